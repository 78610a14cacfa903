/// Runs the replicas of one group in the test process, over real sockets and folders.
#pragma once

#include "consensus/replica.h"
#include "support/test_certificate_authority.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace corianderhoist {

/// An application that stores all commands. Thread safe, so that tests can read it while the
/// replica runs.
class command_list {
 public:
  std::string Apply(std::uint64_t index, std::string_view command);
  std::string Snapshot();
  void Restore(std::string_view bytes);
  std::vector<std::string> Commands() const;

 private:
  mutable std::mutex lock_;
  std::vector<std::string> commands_;
};

/// A replica group whose members can be started, stopped and wiped one by one.
class replica_group {
 public:
  struct node {
    std::string name;
    endpoint address;
    std::filesystem::path folder;
    std::unique_ptr<rpc_server> server;
    std::unique_ptr<command_list> application;
    std::unique_ptr<replica> member;
  };

  /// Prepares, without starting, `size` initial members and `spare_nodes` more that can be added as
  /// learners.
  explicit replica_group(
      std::size_t size,
      std::size_t spare_nodes = 0,
      std::chrono::milliseconds election_timeout = std::chrono::milliseconds(700));
  ~replica_group();

  void Start(std::size_t index);
  void StartAll();
  /// Destroys the server and the replica of one member. Its folder and its application stay.
  void Stop(std::size_t index);
  void Wipe(std::size_t index);

  node& At(std::size_t index) { return nodes_[index]; }
  std::size_t Size() const { return nodes_.size(); }
  replica_member MemberOf(std::size_t index) const;

  /// Waits until a member holds a leader lease and returns its index.
  std::size_t WaitForLeader();
  /// Proposes a command at one member and waits for the result.
  rpc_result<std::string> ProposeAt(std::size_t index, const std::string& command);
  /// Proposes a command at the current leader until one accepts it.
  void ProposeUntilAccepted(const std::string& command);

 private:
  test_certificate_authority keys_;
  process_clock clock_;
  replica_settings settings_;
  std::filesystem::path folder_;
  std::vector<node> nodes_;
};

/// Waits until `condition` holds. Throws after 60 s.
void WaitUntil(const std::string& what, const std::function<bool()>& condition);

}  // namespace corianderhoist
