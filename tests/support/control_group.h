/// Control VMs as real processes, an operator and stand-ins for the regions' coordinators.
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

/// Follows control as the coordinator of a region does: long poll, then acknowledgement. Notes a
/// version that goes back.
class region_follower {
 public:
  region_follower(std::shared_ptr<tls_identity> identity,
                  const std::vector<named_endpoint>& control,
                  std::string region);
  ~region_follower();
  region_follower(const region_follower&) = delete;
  region_follower& operator=(const region_follower&) = delete;

  std::uint64_t Version() const { return version_; }
  bool HasGoneBack() const { return has_gone_back_; }

 private:
  void Run();
  void Follow(rpc_channel& channel);

  const std::string region_;
  io_loop loop_{"region"};
  std::vector<std::unique_ptr<rpc_channel>> channels_;
  std::atomic<std::uint64_t> version_ = 0;
  std::atomic<bool> has_gone_back_ = false;
  std::atomic<bool> is_ended_ = false;
  std::thread thread_;
};

/// Three control VMs, one per region: centre, west and east.
class control_group {
 public:
  control_group();

  void StartAll();
  /// Starts the stand-in for the coordinators of a region.
  std::unique_ptr<region_follower> Follow(const std::string& region);
  /// A new client; a short patience for tests in which control does not answer.
  std::unique_ptr<operator_client> Operator(
      std::chrono::milliseconds patience = std::chrono::seconds(60));
  /// Waits until a majority follows a leader, and returns its name.
  std::string WaitForLeader();
  std::vector<std::string> Followers();
  /// Calls one member directly.
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

/// Changes with a random change id.
change_request RulesChange(std::uint64_t base,
                           std::vector<std::string> removed,
                           std::vector<std::string> added);
change_request KeyChange(const std::string& workspace, const std::string& key);
change_request ReleaseChange();

}  // namespace corianderhoist
