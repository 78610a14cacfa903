#include "support/replica_group.h"

#include <QHostAddress>
#include <QTcpServer>

#include <future>
#include <thread>

namespace corianderhoist {
namespace {

constexpr std::chrono::seconds kWaitTimeout(60);
constexpr std::chrono::milliseconds kPollInterval(5);

struct encoded_commands {
  std::vector<std::string> commands;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.commands);
  }
};

// Finds free ports in advance, because members must know each other's ports before they listen.
std::vector<std::uint16_t> FindFreePorts(std::size_t count) {
  std::vector<std::unique_ptr<QTcpServer>> servers;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < count; ++i) {
    servers.push_back(std::make_unique<QTcpServer>());
    if (!servers.back()->listen(QHostAddress::LocalHost, 0)) {
      throw std::runtime_error("no free port");
    }
    ports.push_back(servers.back()->serverPort());
  }
  return ports;
}

}  // namespace

std::string command_list::Apply(std::uint64_t index, std::string_view command) {
  const std::lock_guard guard(lock_);
  commands_.emplace_back(command);
  return std::to_string(index);
}

std::string command_list::Snapshot() {
  const std::lock_guard guard(lock_);
  return Encode(encoded_commands{commands_});
}

void command_list::Restore(std::string_view bytes) {
  const std::lock_guard guard(lock_);
  commands_ = Expect([&] { return Decode<encoded_commands>(bytes); }).commands;
}

std::vector<std::string> command_list::Commands() const {
  const std::lock_guard guard(lock_);
  return commands_;
}

void WaitUntil(const std::string& what, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("timed out waiting for: " + what);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

replica_group::replica_group(std::size_t size,
                             std::size_t spare_nodes,
                             std::chrono::milliseconds election_timeout) {
  folder_ =
      std::filesystem::temp_directory_path() / ("corianderhoist-group-" + ToHex(RandomBytes(8)));
  settings_.group = "test";
  settings_.role = "control";
  settings_.recovers_in_process = true;
  settings_.election_timeout = election_timeout;
  const std::vector<std::uint16_t> ports = FindFreePorts(size + spare_nodes);
  for (std::size_t i = 0; i < size + spare_nodes; ++i) {
    node new_node;
    new_node.name = "vm-" + std::to_string(i + 1);
    new_node.address = {"127.0.0.1", ports[i]};
    new_node.folder = folder_ / new_node.name;
    if (i < size) {
      settings_.initial_members.push_back({new_node.name, new_node.address});
    }
    nodes_.push_back(std::move(new_node));
  }
}

replica_group::~replica_group() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Stop(i);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void replica_group::Start(std::size_t index) {
  node& started = nodes_[index];
  auto identity = keys_.Identity(settings_.role, started.name);
  replica_settings settings = settings_;
  settings.name = started.name;
  settings.folder = started.folder;
  started.server = std::make_unique<rpc_server>(identity, 1);
  started.application = std::make_unique<command_list>();
  started.member = Expect([&] {
    return replica::Open(settings, *started.application, *started.server, identity, clock_);
  });
  Expect([&] { return started.server->Listen(started.address); });
  started.member->Start();
}

void replica_group::StartAll() {
  for (std::size_t i = 0; i < settings_.initial_members.size(); ++i) {
    Start(i);
  }
}

void replica_group::Stop(std::size_t index) {
  node& stopped = nodes_[index];
  if (stopped.server) {
    stopped.server->Close();
  }
  stopped.member.reset();
  stopped.server.reset();
}

void replica_group::Wipe(std::size_t index) {
  std::filesystem::remove_all(nodes_[index].folder);
}

replica_member replica_group::MemberOf(std::size_t index) const {
  return {nodes_[index].name, nodes_[index].address};
}

std::size_t replica_group::WaitForLeader() {
  std::size_t leader = 0;
  WaitUntil("a leader with a lease", [&] {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].member && nodes_[i].member->HasLease()) {
        leader = i;
        return true;
      }
    }
    return false;
  });
  return leader;
}

rpc_result<std::string> replica_group::ProposeAt(std::size_t index, const std::string& command) {
  std::promise<rpc_result<std::string>> promise;
  nodes_[index].member->Propose(
      command, [&](rpc_result<std::string> reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

void replica_group::ProposeUntilAccepted(const std::string& command) {
  while (!std::holds_alternative<std::string>(ProposeAt(WaitForLeader(), command))) {
  }
}

}  // namespace corianderhoist
