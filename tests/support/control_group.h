/// Runs control VMs as real processes, with an operator client and simulated coordinators.
#pragma once

#include "control/operator_client.h"
#include "support/fleet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist {

/// Follows the configuration as the coordinator of a region does, with long polls and
/// acknowledgements. Detects a version that decreases or is skipped.
class region_follower {
 public:
  region_follower(std::shared_ptr<tls_identity> identity,
                  const std::vector<named_endpoint>& control,
                  std::string region);
  ~region_follower();
  region_follower(const region_follower&) = delete;
  region_follower& operator=(const region_follower&) = delete;

  std::uint64_t Version() const { return version_; }
  bool HasUnorderedVersions() const { return has_unordered_versions_; }

 private:
  void Run();
  void Follow(rpc_channel& channel);

  const std::string region_;
  io_loop loop_{"region"};
  std::vector<std::unique_ptr<rpc_channel>> channels_;
  std::atomic<std::uint64_t> version_ = 0;
  std::atomic<bool> has_unordered_versions_ = false;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

/// Three control VMs, one in each of the regions centre, west and east.
class control_group {
 public:
  control_group();

  void StartAll();
  /// Starts a simulated coordinator of a region.
  std::unique_ptr<region_follower> Follow(const std::string& region);
  /// Returns a new client. Tests in which control does not answer pass a short `timeout`.
  std::unique_ptr<operator_client> NewOperatorClient(
      std::chrono::milliseconds timeout = std::chrono::seconds(60));
  /// Waits until a majority follows a leader and returns the name of the leader.
  std::string WaitForLeader();
  std::vector<std::string> Followers();
  /// Calls a method of one member directly and waits for its reply.
  template <class Reply, class Request>
  rpc_result<Reply> CallMember(const std::string& member,
                               const std::string& method,
                               const Request& request,
                               std::chrono::milliseconds timeout = std::chrono::seconds(20)) {
    io_loop loop("direct");
    rpc_channel channel(loop, identity_, AddressOf(member), member);
    std::promise<rpc_result<Reply>> promise;
    channel.Call<Reply>(method, request, timeout,
                        [&](rpc_result<Reply> reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
  }

  fleet& Processes() { return processes_; }
  endpoint AddressOf(const std::string& member) const;
  const std::shared_ptr<tls_identity>& Identity() const { return identity_; }

 private:
  std::shared_ptr<tls_identity> IdentityOf(const std::string& name) const;

  fleet processes_;
  std::vector<named_endpoint> members_;
  std::shared_ptr<tls_identity> identity_;
};

/// Build changes with a random change id.
change_request RulesChange(std::uint64_t base_version,
                           std::vector<std::string> removed,
                           std::vector<std::string> added);
change_request KeyChange(const std::string& workspace, const std::string& key);
change_request ReleaseChange();

}  // namespace corianderhoist
