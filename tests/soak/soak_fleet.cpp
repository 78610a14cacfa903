#include "soak/soak_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace corianderhoist::soak {
namespace {

// Below the range of ports that the kernel assigns.
constexpr std::uint16_t kCallerPort = 8782;
constexpr std::uint16_t kControlPort = 8783;
constexpr std::uint16_t kReadyPort = 8789;
constexpr std::uint16_t kFirstVmPort = 7340;
constexpr std::uint16_t kLastVmPort = 7355;
constexpr std::uint16_t kLockPort = 7339;
constexpr const char* kDataCentre = "centre-a";

// Binds a port of 127.N.0.1 for as long as a run uses the addresses of 127.N.
int LockNetwork(int number) {
  const int lock = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kLockPort);
  ::inet_pton(AF_INET, ("127." + std::to_string(number) + ".0.1").c_str(), &address.sin_addr);
  if (::bind(lock, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(lock);
    return -1;
  }
  return lock;
}

QString Address(const std::string& ip, std::uint16_t port) {
  return QString::fromStdString(FormatEndpoint({ip, port}));
}

QJsonObject Settings(const std::string& name,
                     const std::string& role,
                     const std::string& ip,
                     const std::filesystem::path& folder,
                     const std::vector<std::string>& seeds,
                     bool may_bootstrap,
                     const promised_bounds& bounds) {
  QJsonArray seed_list;
  for (const std::string& seed : seeds) {
    seed_list.append(Address(seed, kControlPort));
  }
  const bool is_core = role == "core";
  QJsonObject listen;
  if (is_core) {
    listen["control"] = Address(ip, kControlPort);
  } else {
    listen["front"] = Address(ip, kCallerPort);
    listen["ready"] = Address(ip, kReadyPort);
  }
  return {{"name", QString::fromStdString(name)},
          {"ip", QString::fromStdString(ip)},
          {"data_centre", kDataCentre},
          {"region", "region"},
          {"regions", QJsonObject{{kDataCentre, "region"}}},
          {"listen", listen},
          {"ports", QJsonArray{kFirstVmPort, kLastVmPort}},
          {"seeds", seed_list},
          {"may_found", may_bootstrap},
          {"data_folder",
           is_core ? QJsonValue(QString::fromStdString((folder / "data").string())) : QJsonValue()},
          {"announcement_interval_ms", 1000},
          {"tolerated_losses", 1},
          {"state_wait", QJsonObject{{"max_requests", 256}}},
          {"bounds", QJsonObject{{"stable_window_ms", double(bounds.stable_window.count())},
                                 {"drain_ms", double(bounds.drain.count())},
                                 {"grace_s", double(bounds.grace.count()) / 1000},
                                 {"config_ms", double(bounds.policy.count())},
                                 {"revoke_ms", double(bounds.withdrawal.count())},
                                 {"budget_ratio", 0.2},
                                 {"budget_window_s", 10},
                                 {"budget_extra", 56},
                                 {"quota_window_s", 5},
                                 {"quota_excess", 0.1},
                                 {"quota_slack", 20}}}};
}

}  // namespace

soak_vm::soak_vm(std::string name,
                 std::string role,
                 std::string ip,
                 const std::filesystem::path& folder)
    : name_(std::move(name)),
      role_(std::move(role)),
      ip_(std::move(ip)),
      folder_(folder / name_),
      process_(ProgramPath("corianderhoist-platform"),
               {"--role=" + role_},
               folder / (name_ + ".log")) {
  process_.SetEnvironment("CORIANDERHOIST_BOOT", (folder_ / "settings.json").string());
}

void soak_vm::Start(const std::vector<std::string>& seeds,
                    bool may_bootstrap,
                    promised_bounds bounds) {
  std::filesystem::create_directories(folder_ / "data");
  const QJsonDocument settings(Settings(name_, role_, ip_, folder_, seeds, may_bootstrap, bounds));
  std::ofstream(folder_ / "settings.json") << settings.toJson().toStdString();
  process_.Start();
}

void soak_vm::WipeData() const {
  std::filesystem::remove_all(folder_ / "data");
}

endpoint soak_vm::Callers() const {
  return {ip_, kCallerPort};
}

endpoint soak_vm::Ready() const {
  return {ip_, kReadyPort};
}

endpoint soak_vm::Control() const {
  return {ip_, kControlPort};
}

soak_fleet::soak_fleet(std::size_t cores, std::size_t entries, promised_bounds bounds)
    : bounds_(bounds) {
  std::string name =
      (std::filesystem::temp_directory_path() / "corianderhoist-soak-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create the folder " + name);
  }
  folder_ = name;
  constexpr int kFirstNetwork = 16;
  constexpr int kNetworks = 200;
  int network = 0;
  for (int i = 0; network_lock_ < 0; ++i) {
    if (i == kNetworks) {
      throw std::runtime_error("all loopback networks of soak runs are in use");
    }
    network = kFirstNetwork + (::getpid() + i) % kNetworks;
    network_lock_ = LockNetwork(network);
  }
  const std::string prefix = "127." + std::to_string(network) + ".";
  for (std::size_t i = 1; i <= cores; ++i) {
    const std::string ip = prefix + "1." + std::to_string(i);
    seeds_.push_back(ip);
    cores_.push_back(std::make_unique<soak_vm>("core-" + std::to_string(i), "core", ip, folder_));
  }
  for (std::size_t i = 0; i < entries; ++i) {
    entries_.push_back(std::make_unique<soak_vm>("entry-" + std::to_string(i), "entry",
                                                 prefix + "2." + std::to_string(i + 1), folder_));
  }
}

soak_fleet::~soak_fleet() {
  for (auto* group : {&entries_, &cores_}) {
    for (const auto& vm : *group) {
      vm->Process().Kill();
    }
  }
  ::close(network_lock_);
  if (!keeps_folder_) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void soak_fleet::StartAll() {
  for (auto* group : {&cores_, &entries_}) {
    for (const auto& vm : *group) {
      vm->Start(seeds_, true, bounds_);
    }
  }
}

}  // namespace corianderhoist::soak
