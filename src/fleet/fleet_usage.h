/// Requests of all entry VMs as one core VM knows them, for the rates of workspaces and the repeat
/// budgets of services.
#pragma once

#include "base/clock.h"
#include "fleet/messages.h"
#include "fleet/serving_policy.h"
#include "fleet/unreported_usage.h"
#include "fleet/usage_ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

struct fleet_usage_settings {
  std::string region;  ///< Of the core VM.
  rate_tolerance rates;
  repeat_bound repeats;
  /// An entry VM without contact to the core VMs admits no requests of workspaces after this time.
  std::chrono::milliseconds withdrawal_bound{5000};
};

/// What the VMs may admit of a workspace with a rate, and the usage that this follows from.
struct limited_workspace {
  workspace_share share;
  workspace_usage usage;
  bool is_near_limit = false;  ///< Counts must be exchanged more often.
};

/// Counts what entry VMs report to this core VM and what other core VMs share, and estimates what
/// VMs admit uncounted. Not thread safe.
class fleet_usage {
 public:
  /// `incarnation`: of this core VM.
  fleet_usage(fleet_usage_settings settings, std::uint64_t incarnation, const clock_source& clock);

  // Entry VMs.
  /// Records a `fleet.watch` call. Returns an arrival for the other core VMs if the VM has changed
  /// from one of them to this one.
  std::vector<vm_arrival> OnWatch(const watch_request& request);
  /// Records the counts of a VM. Those that another core VM has received, but not shared before
  /// its contact was lost, are added to `request.seen`, which must then be passed to `Count`.
  /// Returns an arrival like `OnWatch`.
  std::vector<vm_arrival> OnReport(report_request& request);
  /// Counts for the whole fleet; for the region too, unless they come from another one.
  void Count(const observations& seen, bool is_own_region);

  // Other core VMs.
  /// Records who sent the share and the VMs that have arrived there, and removes from it the counts
  /// that are known already. The rest must then be passed to `Count`.
  void OnShare(core_share& share);
  /// Adds what this core VM states of itself with each share.
  void AddState(core_share& share) const;
  /// Whether the core VM is in this region, as it has stated or the leader has.
  bool IsInOwnRegion(const std::string& core) const;
  /// The regions of the core VMs that have sent a share.
  std::map<std::string, std::string> Regions() const;
  /// The region of a core VM, if it has sent a share.
  std::optional<std::string> RegionOf(const std::string& core) const;

  // Completeness of the counts.
  /// Discards the counts after a pause of the process, during which VMs reported elsewhere.
  /// `known_vms`: number of VMs that was known before.
  void RestartAfterPause(std::uint32_t known_vms);
  bool IsCounting() const { return clock_.Now() - counting_since_ >= kMinCountingTime; }
  bool HasCompleteCounts() const;
  counts_reply MakeCountsReply() const;
  /// Takes the counts of the time before this core VM counted. Returns whether they were needed.
  bool OnCounts(const counts_reply& reply);

  /// Recomputes the estimates. `limits`: what the VMs have been told.
  void Refresh(const policy_ptr& policy, const shared_limits& limits);
  workspace_usage UsageOf(const std::string& workspace, const workspace_rate& limit) const;
  /// Limits each workspace that has a rate. `former`: what the VMs have been told.
  std::vector<limited_workspace> LimitWorkspaces(const policy_ptr& policy,
                                                 const shared_limits& former) const;
  /// Records whether a workspace is near its limit here. Returns whether counts are to be exchanged
  /// more often, which is so if that holds, or held lately, here or at another core VM.
  bool UpdateNearLimit(bool is_near_limit);
  service_usage ServiceUsageOf(const std::string& service) const;
  /// Requests of the workspace that VMs may admit, or may have admitted, uncounted.
  double UnreportedBy(const std::string& workspace) const;
  /// The part of `UnreportedBy` that is due to core VMs without contact.
  double UnreportedByCores(const std::string& workspace) const;
  /// Number of active VMs in the fleet per active VM in this region; at least 1.
  double FleetToRegionRatio() const;
  std::uint32_t CountActiveVms() const;
  /// The number by which the VMs divide what is unused of a limit. It follows a loss of contact
  /// late, so that the VMs that come back do not find larger parts than all of them can have.
  std::uint32_t UpdateFleetSize();

 private:
  /// State of another core VM, as of its last share.
  struct peer {
    std::string region;
    std::uint32_t active_vms = 0;
    steady_time received_at;
    std::uint64_t incarnation = 0;
    std::vector<named_counts> unreported;
    bool is_near_limit = false;
    std::set<std::string> departed_vms;  ///< Have changed to another core VM since then.

    std::uint32_t RemainingVms() const {
      return active_vms - std::min(active_vms, static_cast<std::uint32_t>(departed_vms.size()));
    }
  };

  std::chrono::milliseconds CountDelay() const;
  std::vector<vm_arrival> ArrivalFrom(const std::string& vm, std::uint64_t former_core);
  void OnArrivals(const std::vector<vm_arrival>& arrivals);
  void CountForPeer(const core_share& share);
  void ApplyCounts(const std::vector<named_counts>& workspaces,
                   const std::vector<named_counts>& services,
                   bool is_own_region,
                   steady_time at);
  std::vector<resent_counts> UnsharedCounts(const report_request& request) const;
  void SetGrowthOfPeers(const policy_workspace& workspace);
  void ExpectVms(std::uint32_t count);
  std::uint32_t CountOwnVms() const;

  const fleet_usage_settings settings_;
  const std::uint64_t incarnation_;
  const clock_source& clock_;
  /// When this core VM began to count, or went on after a pause.
  steady_time counting_started_at_;
  steady_time counting_since_;  ///< Start of the complete counts in the ledgers.
  usage_ledger all_;            ///< Counts of all VMs, as far as they have arrived.
  usage_ledger regional_;       ///< Counts of this region's VMs, which arrive first.
  unreported_usage unreported_by_vms_;
  unreported_usage unreported_by_cores_;  ///< By the VMs of other core VMs.
  std::map<std::string, steady_time> active_vms_;
  std::uint32_t expected_vms_ = 0;  ///< The most that others knew of when the counts began.
  std::uint32_t fleet_size_ = 1;    ///< The most entry VMs of the last time.
  steady_time fleet_size_at_{};     ///< When there were so many.
  steady_time near_limit_until_{};  ///< Here, as stated to the other core VMs.
  std::optional<steady_time> near_limit_since_;  ///< Anywhere; see `UpdateNearLimit`.
  std::map<std::string, peer> peers_;
  std::map<std::string, std::string> stated_regions_;  ///< By core VM, as the leader has stated.
  steady_time peers_refreshed_at_{};                   ///< Of the last `Refresh`.
};

}  // namespace corianderhoist
