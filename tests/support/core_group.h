/// Core VMs in one process, on loopback ports and folders of the test.
#pragma once

#include "fleet/fleet_core.h"
#include "platform/policy_text.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace corianderhoist {

/// Members are named by numbers from 1; the first three are the seeds.
class core_group {
 public:
  core_group();
  ~core_group();

  /// Starts a member. `may_found` as at the first start of the fleet.
  void Start(int number, bool may_found);
  void Stop(int number) { cores_.erase(number); }
  /// Removes the data folder of a member that is stopped.
  void Wipe(int number);

  /// Sends a policy of this version, again until it is accepted.
  void Put(std::uint64_t version);
  /// One call at this member; false when it was not accepted.
  bool PutAt(int number, std::uint64_t version);
  /// The version that this member reads, or 0 when it cannot be sure.
  std::uint64_t ReadAt(int number);
  bool AnnounceAt(int number, const upstream_notice& notice);
  fleet_core& Core(int number) { return *cores_.at(number); }
  bool IsRunning(int number) const { return cores_.contains(number); }

  /// Number of voters that the leader sees, 0 without a leader.
  std::size_t Voters() const;
  /// Number of the leader, 0 for none.
  int Leader() const;
  /// Waits until `condition` holds; throws after half a minute.
  void Await(const std::string& what, const std::function<bool()>& condition) const;

  /// A policy document of the platform.
  static std::string Document(std::uint64_t version);

 private:
  std::string NameOf(int number) const { return "core-" + std::to_string(number); }
  std::uint16_t PortOf(int number);

  std::filesystem::path folder_;
  std::map<int, std::uint16_t> ports_;
  std::map<int, std::unique_ptr<fleet_core>> cores_;
};

}  // namespace corianderhoist
