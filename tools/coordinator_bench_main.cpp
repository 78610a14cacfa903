// Measures decisions of a coordinator without storage: pairs of acquire and complete per second,
// called directly on a number of threads or over loopback sockets with mutual TLS, and the memory
// per workspace, upstream and record. Prints one JSON object.
#include "base/clock.h"
#include "base/log.h"
#include "coordinator/coordinator_core.h"
#include "coordinator/local_log.h"
#include "coordinator/region_state.h"
#include "wire/certificates.h"
#include "wire/rpc.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <malloc.h>
#include <sys/resource.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

DEFINE_int32(pairs, 200'000, "pairs of acquire and complete per thread");
DEFINE_int32(threads, 1, "threads that call");
DEFINE_int32(workspaces, 1'000, "workspaces");
DEFINE_int32(services, 16, "services");
DEFINE_int32(upstreams, 12, "upstreams per service");
DEFINE_int32(records, 0, "orders whose records are kept, for the memory of records");
DEFINE_int32(connections, 0, "connections of entry VMs; 0 calls the coordinator directly");
DEFINE_int32(parallel, 64, "pairs in flight per connection");
DEFINE_bool(orders, false, "requests are orders with an idempotency key");

namespace corianderhoist {
namespace {

using std::chrono::steady_clock;

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

std::string Workspace(int index) {
  return "workspace-" + std::to_string(index);
}

std::string Service(int index) {
  return "service-" + std::to_string(index);
}

constexpr std::chrono::seconds kCallTimeout(30);

// An RPC server with the coordinator's methods and client connections to it over loopback, each
// connection with its own thread.
class loopback_rpc {
 public:
  explicit loopback_rpc(coordinator_core& core) : folder_(MakeFolder()) {
    authority_ = ValueOrExit(CreateAuthority("bench", {}));
    server_ = std::make_unique<rpc_server>(Identity("coordinator", "server"), FLAGS_threads);
    server_->Handle<acquire_request, acquire_reply>(
        "coordinator.acquire", {"entry"},
        [&core](const rpc_context&, acquire_request request, rpc_callback<acquire_reply> reply) {
          core.Acquire(std::move(request), std::move(reply));
        });
    server_->Handle<complete_request, empty_message>(
        "coordinator.complete", {"entry"},
        [&core](const rpc_context&, complete_request report, rpc_callback<empty_message> reply) {
          core.Complete(std::move(report), std::move(reply));
        });
    port_ = ValueOrExit(server_->Listen({"127.0.0.1", 0}));
  }
  ~loopback_rpc() {
    channels_.clear();
    server_.reset();
    std::filesystem::remove_all(folder_);
  }
  loopback_rpc(const loopback_rpc&) = delete;
  loopback_rpc& operator=(const loopback_rpc&) = delete;

  rpc_channel& Connect() {
    loops_.push_back(std::make_unique<io_loop>("client"));
    channels_.push_back(std::make_unique<rpc_channel>(*loops_.back(), Identity("entry", "client"),
                                                      endpoint{"127.0.0.1", port_}, "server"));
    return *channels_.back();
  }

 private:
  static std::filesystem::path MakeFolder() {
    auto folder =
        std::filesystem::temp_directory_path() / ("coordinator-bench-" + ToHex(RandomBytes(8)));
    std::filesystem::create_directories(folder);
    return folder;
  }
  template <class Value>
  static Value ValueOrExit(result<Value> outcome) {
    if (!outcome) {
      std::cerr << "cannot set up the benchmark\n";
      std::exit(1);
    }
    return std::move(outcome.value());
  }
  std::shared_ptr<tls_identity> Identity(const std::string& role, const std::string& name) {
    const key_pair_pem pair = ValueOrExit(IssueCertificate(authority_, {role, name}, {}));
    tls_files files{folder_ / (name + ".pem"), folder_ / (name + ".key"), folder_ / "ca.pem"};
    for (const auto& [file, text] : {std::pair(files.certificate, pair.certificate),
                                     std::pair(files.private_key, pair.private_key),
                                     std::pair(files.authority, authority_.certificate)}) {
      if (!WriteSecretFile(file, text)) {
        std::cerr << "cannot write " << file << '\n';
        std::exit(1);
      }
    }
    return ValueOrExit(tls_identity::Load(files));
  }

  const std::filesystem::path folder_;
  key_pair_pem authority_;
  std::unique_ptr<rpc_server> server_;
  std::uint16_t port_ = 0;
  std::vector<std::unique_ptr<io_loop>> loops_;
  std::vector<std::unique_ptr<rpc_channel>> channels_;
};

class bench {
 public:
  bench()
      : core_(std::make_shared<coordinator_core>(
            "north",
            state_,
            log_,
            clock_,
            [](std::chrono::nanoseconds, const std::function<void()>&) {})) {
    config_change first;
    first.version = 1;
    for (int i = 0; i < FLAGS_services; ++i) {
      first.added_rules.push_back("service " + Service(i) + " floor=50 # bench");
    }
    for (int i = 0; i < FLAGS_workspaces; ++i) {
      first.added_rules.push_back("workspace " + Workspace(i) +
                                  " places=north rate=1000000/s burst=1000000 # bench");
      first.keys.push_back({"k" + std::to_string(i), Sha256(Workspace(i)), Workspace(i), false});
    }
    const double before = HeapBytes();
    region_command command;
    command.config = config_fetch_reply{std::nullopt, {std::move(first)}};
    log_.Propose(Encode(command), [](const rpc_result<std::string>&) {});
    configuration_bytes_ = (HeapBytes() - before) / FLAGS_workspaces;
  }

  void MeasureUpstreams() {
    const double before = HeapBytes();
    Announce();
    upstream_bytes_ = (HeapBytes() - before) / (FLAGS_services * FLAGS_upstreams);
  }

  void Announce() {
    announced_at_ = clock_.Now();
    for (int i = 0; i < FLAGS_services * FLAGS_upstreams; ++i) {
      announcement message;
      message.service = Service(i % FLAGS_services);
      message.upstream = message.service + "-upstream-" + std::to_string(i);
      message.incarnation = "0123456789abcdef";
      message.region = "north";
      message.data_centre = "a";
      message.address = "10.0.0.1:" + std::to_string(i);
      message.slots = 64;
      core_->Announce(message, [](const rpc_result<empty_message>&) {});
    }
  }

  // Sends one request per workspace, which creates all rate-limit buckets.
  void CreateWorkspaceBuckets() {
    const double before = HeapBytes();
    for (int i = 0; i < FLAGS_workspaces; ++i) {
      RunPair(Request(0, i), attempt_result::kSuccess);
    }
    workspace_bytes_ = (HeapBytes() - before) / FLAGS_workspaces;
  }

  void CreateRecords() {
    const double before = HeapBytes();
    for (int i = 0; i < FLAGS_records; ++i) {
      acquire_request order = Request(1, i);
      order.idempotency_key = "0123456789abcdef-" + std::to_string(i);
      RunPair(order, attempt_result::kSuccess);
      if (i % 10'000 == 0) {
        Announce();
      }
    }
    record_bytes_ = FLAGS_records == 0 ? 0 : (HeapBytes() - before) / FLAGS_records;
  }

  QJsonObject Measure() {
    const double processor = ProcessorSeconds();
    const auto start = steady_clock::now();
    std::atomic<bool> is_finished = false;
    // Announces all upstreams once a second, as in a running fleet.
    std::thread announcer([&] {
      while (!is_finished) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (clock_.Now() - announced_at_.load() >= std::chrono::seconds(1)) {
          Announce();
        }
      }
    });
    if (FLAGS_connections > 0) {
      RunOverSockets();
    } else {
      RunOnThreads();
    }
    const double elapsed = std::chrono::duration<double>(steady_clock::now() - start).count();
    is_finished = true;
    announcer.join();
    const double pairs = static_cast<double>(FLAGS_pairs) *
                         (FLAGS_connections > 0 ? FLAGS_connections : FLAGS_threads);
    return {{"pairs_per_second", pairs / elapsed},
            {"processor_us_per_pair", (ProcessorSeconds() - processor) * 1e6 / pairs},
            {"threads", FLAGS_threads},
            {"connections", FLAGS_connections},
            {"refused", static_cast<qint64>(refused_.load())},
            {"bytes_per_configured_workspace", configuration_bytes_},
            {"bytes_per_active_workspace", workspace_bytes_},
            {"bytes_per_upstream", upstream_bytes_},
            {"bytes_per_record", record_bytes_}};
  }

 private:
  static acquire_request Request(int thread, int index) {
    acquire_request request;
    request.request_id = std::to_string(thread) + "-" + std::to_string(index);
    request.entry_vm = "entry-" + std::to_string(index % 40);
    request.session = "0123456789abcdef";
    request.workspace = Workspace(index % FLAGS_workspaces);
    request.key_hash = KeyOf(index % FLAGS_workspaces);
    request.service = Service(index % FLAGS_services);
    request.config_version = 1;
    const std::uint64_t hash = FastHash(request.request_id);
    std::copy_n(reinterpret_cast<const std::uint8_t*>(&hash), sizeof hash,
                request.fingerprint.begin());
    request.is_idempotent = true;
    request.remaining = std::chrono::seconds(10);
    return request;
  }

  static const digest& KeyOf(int workspace) {
    static const std::vector<digest> kKeys = [] {
      std::vector<digest> all;
      all.reserve(static_cast<std::size_t>(FLAGS_workspaces));
      for (int i = 0; i < FLAGS_workspaces; ++i) {
        all.push_back(Sha256(Workspace(i)));
      }
      return all;
    }();
    return kKeys[static_cast<std::size_t>(workspace)];
  }

  static complete_request Report(const acquire_request& request,
                                 const acquire_reply& granted,
                                 attempt_result outcome) {
    complete_request report;
    report.request_id = request.request_id;
    report.entry_vm = request.entry_vm;
    report.session = request.session;
    report.lease = granted.lease;
    report.workspace = request.workspace;
    report.upstream = granted.upstream;
    report.incarnation = granted.incarnation;
    report.outcome = outcome;
    report.latency = std::chrono::milliseconds(5);
    report.fingerprint = request.fingerprint;
    report.idempotency_key = request.idempotency_key;
    if (!request.idempotency_key.empty()) {
      report.answer =
          stored_answer{201, {"Content-Type: application/json"}, std::string(200, 'x'), true};
    }
    return report;
  }

  void RunPair(const acquire_request& request, attempt_result outcome) {
    core_->Acquire(request, [&](rpc_result<acquire_reply> reply) {
      const auto* granted = std::get_if<acquire_reply>(&reply);
      if (granted == nullptr) {
        ++refused_;
        return;
      }
      core_->Complete(Report(request, *granted, outcome), [](const rpc_result<empty_message>&) {});
    });
  }

  // Starts one pair of calls, whose end starts the next pair, so that `--parallel` pairs per
  // connection are in flight.
  void StartPair(rpc_channel& channel, int connection, int index) {
    auto request = std::make_shared<acquire_request>(Request(2 + connection, index));
    if (FLAGS_orders) {
      request->idempotency_key = request->request_id;
    }
    const auto finish_pair = [this, &channel, connection, index] {
      if (index + FLAGS_parallel < FLAGS_pairs) {
        StartPair(channel, connection, index + FLAGS_parallel);
      }
      const std::lock_guard guard(lock_);
      ++finished_;
      done_.notify_one();
    };
    channel.Call<acquire_reply>(
        "coordinator.acquire", *request, kCallTimeout,
        [this, &channel, request, finish_pair](const rpc_result<acquire_reply>& reply) {
          const auto* granted = std::get_if<acquire_reply>(&reply);
          if (granted == nullptr) {
            ++refused_;
            finish_pair();
            return;
          }
          channel.Call<empty_message>(
              "coordinator.complete", Report(*request, *granted, attempt_result::kSuccess),
              kCallTimeout, [finish_pair](const rpc_result<empty_message>&) { finish_pair(); });
        });
  }

  void RunOverSockets() {
    loopback_rpc rpc(*core_);
    for (int connection = 0; connection < FLAGS_connections; ++connection) {
      rpc_channel& channel = rpc.Connect();
      for (int i = 0; i < FLAGS_parallel && i < FLAGS_pairs; ++i) {
        StartPair(channel, connection, i);
      }
    }
    std::unique_lock guard(lock_);
    done_.wait(guard, [this] { return finished_ >= FLAGS_pairs * FLAGS_connections; });
  }

  void RunOnThreads() {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int thread = 0; thread < FLAGS_threads; ++thread) {
      threads.emplace_back([this, thread] {
        for (int i = 0; i < FLAGS_pairs; ++i) {
          acquire_request request = Request(2 + thread, i);
          if (FLAGS_orders) {
            request.idempotency_key = request.request_id;
          }
          RunPair(request, attempt_result::kSuccess);
        }
      });
    }
    for (std::thread& each : threads) {
      each.join();
    }
  }

  process_clock clock_;
  region_state state_{"north"};
  local_log log_{state_};
  std::shared_ptr<coordinator_core> core_;
  std::atomic<steady_time> announced_at_{};
  std::atomic<std::uint64_t> refused_ = 0;
  std::mutex lock_;
  std::condition_variable done_;
  int finished_ = 0;
  double configuration_bytes_ = 0;
  double workspace_bytes_ = 0;
  double upstream_bytes_ = 0;
  double record_bytes_ = 0;
};

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the decisions of a coordinator");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("bench", corianderhoist::log_level::kError);
  corianderhoist::bench bench;
  bench.MeasureUpstreams();
  bench.CreateWorkspaceBuckets();
  bench.CreateRecords();
  std::cout << QJsonDocument(bench.Measure()).toJson().toStdString();
  return 0;
}
