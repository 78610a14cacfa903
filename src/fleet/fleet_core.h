/// Core VM: a member of the replication group that stores the policy and the upstream roster. It
/// also aggregates the observations of the entry VMs.
#pragma once

#include "base/clock.h"
#include "consensus/replica.h"
#include "fleet/answer_pacing.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_usage.h"
#include "fleet/latency_digest.h"
#include "fleet/load_table.h"
#include "fleet/membership_manager.h"
#include "fleet/messages.h"
#include "fleet/serving_policy.h"
#include "fleet/upstream_health_table.h"
#include "fleet/usage_ledger.h"
#include "fleet/waiting_table.h"
#include "wire/io_loop.h"
#include "wire/rpc.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

struct fleet_core_settings {
  std::string name;  ///< Name of this VM in the group; unique and stable across restarts.
  std::string data_centre;
  std::string region;
  endpoint listen;               ///< Address that serves the `raft.*` and `fleet.*` calls.
  std::filesystem::path folder;  ///< Data folder.
  /// Core VMs to contact in order to join the group, by name and address; may be unavailable.
  std::vector<replica_member> seeds;
  /// Whether the seeds may bootstrap a new group. True only at the first start of the fleet.
  bool may_bootstrap = false;
  std::size_t voters = 5;  ///< 2f+1 voters tolerate the loss of f disks.
  std::chrono::milliseconds announcement_interval{1500};
  rate_tolerance rates;
  repeat_bound repeats;
  /// An entry VM without contact to the core VMs admits no requests of workspaces after this time.
  std::chrono::milliseconds withdrawal_bound{5000};
};

/// Thread safe. Callbacks run on the event loop of the core and must not block.
class fleet_core {
 public:
  template <class Reply>
  using callback = std::function<void(rpc_result<Reply>)>;

  fleet_core(fleet_core_settings settings, policy_decoder decoder, const clock_source& clock);
  ~fleet_core();
  fleet_core(const fleet_core&) = delete;
  fleet_core& operator=(const fleet_core&) = delete;

  /// Opens the data folder and the port. Fails with `kStorageFailed`, `kStorageDamaged` or
  /// `kUnreachable`.
  result<void> Start();
  /// Replaces the seeds after the settings have changed.
  void SetSeeds(std::vector<replica_member> seeds);

  /// Commits a policy that has passed `CheckPolicy`. Also succeeds if the same or a higher version
  /// is already in force. Fails with `kNotAccepted` if the outcome is unknown or no leader is
  /// known.
  void PutPolicy(policy_document document, callback<done_reply> done);
  /// Linearizable read of the newest policy committed before this call. Fails with `kNotAccepted`
  /// if that cannot be confirmed in time, and with `kNotFound` if no policy has been committed yet.
  void ReadPolicy(callback<policy_document> done);
  /// Handles an announcement of an upstream. If it changes the roster, succeeds only after the
  /// change is committed, so that no core VM loses it; fails with `kNotAccepted` if that is not
  /// certain.
  void Announce(upstream_notice notice, callback<done_reply> done);

  /// State for debug dumps. May be called on any thread.
  QJsonObject Dump() const;
  replica_status Status() const { return replica_->Status(); }

 private:
  /// A `fleet.watch` call that has not been answered yet.
  struct watcher {
    watch_request request;
    steady_time arrived_at;
    steady_time deadline;
    rpc_callback<watch_reply> respond;
  };
  struct proposal {
    fleet_command command;
    steady_time deadline;
    callback<done_reply> done;
  };
  /// Counts that another core VM has not received.
  struct undelivered_share {
    steady_time at;
    core_share share;
  };

  void RegisterCalls();
  void Tick();
  // Proposals.
  void Submit(const std::shared_ptr<proposal>& pending);
  void OnSubmitted(const std::shared_ptr<proposal>& pending, const rpc_result<std::string>& reply);
  void QueueNotice(upstream_notice notice, callback<done_reply> done);
  void FlushNotices();
  void AwaitFreshState(steady_time since, steady_time deadline, std::function<void(bool)> done);
  // Membership.
  void UpdateMembership();
  void RequestJoin();
  void OnJoin(const join_request& request, const rpc_callback<done_reply>& respond);
  // Watch calls and aggregation (fleet_core_observations.cpp).
  void OnWatch(watch_request request, rpc_callback<watch_reply> respond);
  const core_versions& Versions();
  void OnConditionsChanged(const condition_changes& changes);
  void AnswerWatchers();
  /// Answers the watchers for which `is_due` returns true.
  template <class Condition>
  void AnswerWatchersIf(Condition is_due);
  void AnswerExpiredWatchers();
  void AnswerAwaiting();
  void ScheduleAnswers();
  watch_reply MakeReply(const watcher& waiting) const;
  enum class origin { kOwnRegion, kOtherRegion };
  void ApplyObservations(const observations& seen, origin source);
  void RestartCountingAfterPause();
  void RequestCounts();
  void OnCounts(const counts_reply& reply);
  void OnReport(report_request request);
  // Exchange between core VMs (fleet_core_share.cpp).
  void OnShare(share_request request);
  void QueueForSharing(const observations& seen);
  void QueueArrivals(const std::vector<vm_arrival>& arrivals);
  core_share& OwnShare(std::map<std::string, core_share>& pending);
  void AddChangedLoads(core_share& share, load_change_tracker& tracker);
  void AddRegions(core_share& share, steady_time& next);
  void ShareInRegion();
  void ShareAcrossRegions();
  void ExpediteCrossRegionShare();
  void ScheduleShare(std::chrono::milliseconds delay);
  enum class on_send_failure { kResendToMember, kRequeueCounts };
  void SendShares(const std::string& member, share_request request, on_send_failure policy);
  void RequeueCounts(const share_request& request, steady_time sent_at);
  void KeepUndelivered(const std::string& member,
                       const share_request& request,
                       steady_time sent_at);
  void AddUndelivered(const std::string& member, share_request& request);
  void ApplyLoads(const std::string& reporter, const std::vector<load_report>& loads);
  void ExpireLoads();
  void RefreshLimits();
  void RefreshPolicy();
  void RefreshRoster();
  void PlanTrials();
  void ExpireSilent();

  rpc_channel* ChannelTo(const std::string& name);
  rpc_channel& Channel(const std::string& name, const endpoint& address);
  const group_member* FindMember(const std::string& name) const;

  fleet_core_settings settings_;
  const policy_decoder decoder_;
  const clock_source& clock_;
  const std::uint64_t incarnation_;  ///< Random, one per start of this core VM.

  fleet_state state_;
  io_loop loop_;
  rpc_server server_;
  std::unique_ptr<replica> replica_;

  // Accessed only on the thread of `loop_`.
  replica_status status_;  ///< As of the last tick.
  std::map<std::string, std::unique_ptr<rpc_channel>> channels_;
  membership_manager membership_;
  upstream_health_table health_;
  crash_tracker crashes_;
  latency_pool latencies_;
  fleet_usage usage_;
  policy_ptr policy_;
  std::vector<upstream_entry> roster_;  ///< As of `roster_index_`.
  std::uint64_t roster_index_ = 0;
  std::map<upstream_handle, std::string> data_centre_of_;  ///< Of the upstreams in `roster_`.
  core_versions versions_;  ///< Of what the answers to watch calls contain.
  std::vector<watcher> watchers_;
  std::vector<upstream_notice> queued_notices_;
  std::vector<callback<done_reply>> queued_callbacks_;
  waiting_table own_waiting_;  ///< Of the entry VMs that report to this core VM.
  waiting_table all_waiting_;  ///< `own_waiting_` and those of other core VMs.
  load_table own_loads_;       ///< Loads that entry VMs reported to this core VM.
  load_table all_loads_;       ///< `own_loads_` and the loads of other core VMs.
  /// Not yet sent to core VMs of this region, by core VM of origin.
  std::map<std::string, core_share> pending_for_region_;
  /// Not yet sent across regions, by core VM of origin.
  std::map<std::string, core_share> pending_across_regions_;
  load_change_tracker loads_sent_in_region_;
  load_change_tracker loads_sent_across_regions_;
  std::map<std::string, std::vector<undelivered_share>> undelivered_;  ///< By core VM.
  shared_limits limits_;
  std::uint64_t limits_revision_ = 1;
  std::uint64_t seen_index_ = 0;
  std::size_t next_seed_ = 0;
  steady_time next_join_{};
  steady_time next_expiry_{};
  steady_time last_tick_{};
  steady_time next_counts_request_{};
  std::size_t next_counts_member_ = 0;
  bool is_near_limit_ = false;  ///< A workspace is near its limit, here or at another core VM.
  steady_time next_cross_region_share_{};
  // When the leader next states the regions of the core VMs to those of its own and other regions.
  steady_time next_regions_in_region_{};
  steady_time next_regions_across_regions_{};
  steady_time next_answer_{};
  steady_time next_limits_{};
  bool is_changing_members_ = false;
  bool is_flush_scheduled_ = false;
  bool is_answer_scheduled_ = false;
  bool is_awaiting_scheduled_ = false;
  bool is_share_scheduled_ = false;
  bool was_leader_ = false;
  bool is_stopped_ = false;
};

}  // namespace corianderhoist
