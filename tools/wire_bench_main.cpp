// Measures RPC calls over loopback, with client and server threads in one process: calls per
// second, latency, processor time and bytes per call. Prints one JSON object.
#include "base/hash.h"
#include "base/log.h"
#include "coordinator/messages.h"
#include "observe/metrics.h"
#include "wire/certificates.h"
#include "wire/rpc.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <sys/resource.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <iostream>
#include <mutex>

DEFINE_int32(calls, 100'000, "calls to make");
DEFINE_int32(parallel, 32, "calls in flight");

namespace corianderhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kCallTimeout(10);

microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

acquire_request TypicalRequest() {
  acquire_request request;
  request.request_id = ToHex(RandomBytes(8));
  request.entry_vm = "entry-17";
  request.session = ToHex(RandomBytes(8));
  request.workspace = "aprons-kutaisi";
  request.key_hash = Sha256("key");
  request.route_id = "GET,HEAD /catalogue";
  request.service = "catalogue";
  request.places = {"tbilisi"};
  request.fingerprint = Sha256("request");
  request.is_idempotent = true;
  request.remaining = std::chrono::seconds(10);
  return request;
}

// Closed-loop load: keeps `--parallel` calls in flight until `--calls` have been answered.
class closed_loop_client {
 public:
  explicit closed_loop_client(rpc_channel& channel) : channel_(channel) {}

  void Run() {
    for (int i = 0; i < FLAGS_parallel; ++i) {
      StartCall();
    }
    std::unique_lock guard(lock_);
    done_.wait(guard, [this] { return answered_ >= FLAGS_calls; });
  }

 private:
  void StartCall() {
    const auto start = steady_clock::now();
    channel_.Call<acquire_reply>(
        "bench.acquire", request_, kCallTimeout, [this, start](rpc_result<acquire_reply>) {
          metrics::Instance().Latency("call").Add(
              std::chrono::duration_cast<microseconds>(steady_clock::now() - start));
          const std::lock_guard guard(lock_);
          if (++answered_ >= FLAGS_calls) {
            done_.notify_one();
          } else if (answered_ + FLAGS_parallel <= FLAGS_calls) {
            StartCall();
          }
        });
  }

  rpc_channel& channel_;
  const acquire_request request_ = TypicalRequest();
  std::mutex lock_;
  std::condition_variable done_;
  int answered_ = 0;
};

std::shared_ptr<tls_identity> MakeIdentity(const std::filesystem::path& folder,
                                           const key_pair_pem& authority,
                                           const std::string& role) {
  return Recover(
      [&]() -> result<std::shared_ptr<tls_identity>> {
        BOOST_LEAF_AUTO(pair, IssueCertificate(authority, {role, role}, {}));
        const tls_files files{folder / (role + ".pem"), folder / (role + ".key"),
                              folder / "authority.pem"};
        BOOST_LEAF_CHECK(WriteSecretFile(files.certificate, pair.certificate));
        BOOST_LEAF_CHECK(WriteSecretFile(files.private_key, pair.private_key));
        BOOST_LEAF_CHECK(WriteSecretFile(files.authority, authority.certificate));
        return tls_identity::Load(files);
      },
      [](const error& failure) -> std::shared_ptr<tls_identity> {
        std::cerr << failure.detail << "\n";
        std::exit(1);
      });
}

void Run() {
  const auto folder = std::filesystem::temp_directory_path() / ToHex(RandomBytes(8));
  std::filesystem::create_directories(folder);
  const key_pair_pem authority = Recover([] { return CreateAuthority("bench", {}); },
                                         [](const error&) { return key_pair_pem{}; });
  acquire_reply answer;
  answer.lease = ToHex(RandomBytes(8));
  answer.upstream = "catalogue-7";
  answer.incarnation = ToHex(RandomBytes(8));
  answer.address = "127.0.0.1:12345";
  answer.place = "tbilisi/tbilisi-a";

  rpc_server server(MakeIdentity(folder, authority, "coordinator"), 1);
  server.Handle<acquire_request, acquire_reply>(
      "bench.acquire", {"entry"},
      [&](const rpc_context&, const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        reply(answer);
      });
  const std::uint16_t port = Recover(
      [&] {
        return server.Listen({"127.0.0.1", 0});
      },
      [](const error&) { return std::uint16_t(0); });
  io_loop loop("client");
  rpc_channel channel(loop, MakeIdentity(folder, authority, "entry"), {"127.0.0.1", port},
                      "coordinator");
  const auto start = steady_clock::now();
  const auto processor_start = ProcessorTime();
  closed_loop_client(channel).Run();
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  const auto processor = ProcessorTime() - processor_start;
  std::filesystem::remove_all(folder);

  const QJsonObject report{
      {"calls", FLAGS_calls},
      {"parallel", FLAGS_parallel},
      {"calls_per_second", FLAGS_calls / elapsed.count()},
      {"processor_us_per_call_both_ends", static_cast<double>(processor.count()) / FLAGS_calls},
      {"request_bytes", static_cast<qint64>(Encode(TypicalRequest()).size())},
      {"reply_bytes", static_cast<qint64>(Encode(answer).size())},
      {"latency", metrics::Instance().Latency("call").Dump()}};
  std::cout << QJsonDocument(report).toJson().toStdString();
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures calls between processes");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("wire_bench", corianderhoist::log_level::kError);
  corianderhoist::Run();
  return 0;
}
