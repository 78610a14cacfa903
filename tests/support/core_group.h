/// Runs core VMs in the test process, on loopback ports and in temporary folders.
#pragma once

#include "fleet/fleet_core.h"
#include "platform/policy_json.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace corianderhoist {

/// A group of core VMs. Members are numbered from 1, and the first three are the seeds.
class core_group {
 public:
  core_group();
  ~core_group();

  /// Starts a member. `may_bootstrap` allows it to create a new group, as at the first start of a
  /// fleet.
  void Start(int number, bool may_bootstrap);
  void Stop(int number) { cores_.erase(number); }
  /// Removes the data folder of a stopped member.
  void Wipe(int number);

  /// Puts a policy of this version and retries at all members until one accepts it.
  void PutPolicy(std::uint64_t version);
  /// Puts a policy at this member once. Returns false if the member does not accept it.
  bool PutPolicyAt(int number, std::uint64_t version);
  /// Returns the policy version that this member reads, or 0 if the read fails.
  std::uint64_t ReadPolicyVersionAt(int number);
  /// Returns the answer of this member to an entry VM, or an empty one if the call fails.
  watch_reply WatchAt(int number, const watch_request& request);
  /// Sends the report of an entry VM to this member.
  void ReportAt(int number, const report_request& request);
  /// Returns the core VMs that this member names to an entry VM that knows it and `known`.
  std::vector<std::string> CoresNamedBy(int number, const std::vector<std::string>& known);
  bool AnnounceAt(int number, const upstream_notice& notice);
  fleet_core& Core(int number) { return *cores_.at(number); }
  bool IsRunning(int number) const { return cores_.contains(number); }

  /// Returns the number of voters that the leader reports, or 0 if there is no leader.
  std::size_t VoterCount() const;
  /// Returns the number of the leader, or 0 if there is none.
  int Leader() const;
  /// Waits until `condition` holds. Throws after 30 s.
  void WaitUntilOrThrow(const std::string& what, const std::function<bool()>& condition) const;

  /// Returns a policy document of the platform.
  static std::string PolicyDocument(std::uint64_t version);

 private:
  std::string NameOf(int number) const { return "core-" + std::to_string(number); }
  std::uint16_t PortOf(int number);

  std::filesystem::path folder_;
  std::map<int, std::uint16_t> ports_;
  std::map<int, std::unique_ptr<fleet_core>> cores_;
};

}  // namespace corianderhoist
