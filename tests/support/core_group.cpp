#include "support/core_group.h"

#include "base/hash.h"
#include "support/test_certificate_authority.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <stdexcept>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr int kSeedCount = 3;
constexpr milliseconds kPollInterval(20);
constexpr std::chrono::seconds kWaitTimeout(30);
constexpr std::chrono::seconds kCallTimeout(10);

std::uint16_t FreePort() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool is_bound =
      ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  ::close(descriptor);
  if (!is_bound) {
    throw std::runtime_error("no free port on the loopback address");
  }
  return ntohs(address.sin_port);
}

template <class Reply>
rpc_result<Reply> CallAndWait(const std::function<void(fleet_core::callback<Reply>)>& call) {
  auto promise = std::make_shared<std::promise<rpc_result<Reply>>>();
  auto future = promise->get_future();
  call([promise](rpc_result<Reply> reply) { promise->set_value(std::move(reply)); });
  if (future.wait_for(kCallTimeout) != std::future_status::ready) {
    throw std::runtime_error("call timed out");
  }
  return future.get();
}

}  // namespace

core_group::core_group()
    : folder_(std::filesystem::temp_directory_path() /
              ("corianderhoist-cores-" + ToHex(RandomBytes(6)))) {
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    PortOf(seed);
  }
}

core_group::~core_group() {
  cores_.clear();
  std::error_code status;
  std::filesystem::remove_all(folder_, status);
}

std::uint16_t core_group::PortOf(int number) {
  std::uint16_t& port = ports_[number];
  while (port == 0) {
    port = FreePort();
  }
  return port;
}

void core_group::Start(int number, bool may_bootstrap) {
  fleet_core_settings settings;
  settings.name = NameOf(number);
  settings.data_centre = "dc" + std::to_string(number);
  settings.region = "region-" + std::to_string(number % 2);
  settings.listen = {"127.0.0.1", PortOf(number)};
  settings.folder = folder_ / NameOf(number);
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    settings.seeds.push_back({NameOf(seed), {"127.0.0.1", PortOf(seed)}});
  }
  settings.may_bootstrap = may_bootstrap;
  settings.voters = 5;
  auto core = std::make_unique<fleet_core>(settings, platform::DecodePolicy, SystemClock());
  Expect([&]() -> result<bool> {
    BOOST_LEAF_CHECK(core->Start());
    return true;
  });
  cores_[number] = std::move(core);
}

void core_group::Wipe(int number) {
  std::filesystem::remove_all(folder_ / NameOf(number));
}

std::string core_group::PolicyDocument(std::uint64_t version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{"a":{"host":"a.example","path_prefix":"/","kind":"safe",)"
         R"("timeout_ms":1000,"service":"s"}},"services":{"s":{"health_path":"/health"}}})";
}

bool core_group::PutPolicyAt(int number, std::uint64_t version) {
  const auto reply = CallAndWait<done_reply>([&](fleet_core::callback<done_reply> done) {
    Core(number).PutPolicy({version, PackText(PolicyDocument(version))}, std::move(done));
  });
  return std::holds_alternative<done_reply>(reply);
}

void core_group::PutPolicy(std::uint64_t version) {
  WaitUntilOrThrow("version " + std::to_string(version) + " is accepted", [&] {
    for (const auto& [number, core] : cores_) {
      if (PutPolicyAt(number, version)) {
        return true;
      }
    }
    return false;
  });
}

std::uint64_t core_group::ReadPolicyVersionAt(int number) {
  const auto reply = CallAndWait<policy_document>([&](fleet_core::callback<policy_document> done) {
    Core(number).ReadPolicy(std::move(done));
  });
  const auto* document = std::get_if<policy_document>(&reply);
  return document != nullptr ? document->version : 0;
}

watch_reply core_group::WatchAt(int number, const watch_request& request) {
  io_loop loop("watch");
  rpc_channel channel(loop, nullptr, {"127.0.0.1", PortOf(number)}, NameOf(number));
  const auto reply = CallAndWait<watch_reply>([&](fleet_core::callback<watch_reply> done) {
    channel.Call<watch_reply>("fleet.watch", request, kCallTimeout, std::move(done));
  });
  const auto* answered = std::get_if<watch_reply>(&reply);
  return answered != nullptr ? *answered : watch_reply();
}

void core_group::ReportAt(int number, const report_request& request) {
  io_loop loop("report");
  rpc_channel channel(loop, nullptr, {"127.0.0.1", PortOf(number)}, NameOf(number));
  CallAndWait<done_reply>([&](fleet_core::callback<done_reply> done) {
    channel.Call<done_reply>("fleet.report", request, kCallTimeout, std::move(done));
  });
}

std::vector<std::string> core_group::CoresNamedBy(int number,
                                                  const std::vector<std::string>& known) {
  watch_request request;
  request.vm = "entry";
  request.core_incarnation = WatchAt(number, request).core_incarnation;
  request.cores_digest = CoresDigest(known);
  return WatchAt(number, request).cores;
}

bool core_group::AnnounceAt(int number, const upstream_notice& notice) {
  const auto reply = CallAndWait<done_reply>([&](fleet_core::callback<done_reply> done) {
    Core(number).Announce(notice, std::move(done));
  });
  return std::holds_alternative<done_reply>(reply);
}

int core_group::Leader() const {
  for (const auto& [number, core] : cores_) {
    if (core->Status().role == "leader") {
      return number;
    }
  }
  return 0;
}

std::size_t core_group::VoterCount() const {
  const int leader = Leader();
  return leader == 0 ? 0 : cores_.at(leader)->Status().voters.size();
}

void core_group::WaitUntilOrThrow(const std::string& what,
                                  const std::function<bool()>& condition) const {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("timed out waiting for: " + what);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace corianderhoist
