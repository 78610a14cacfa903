/// Internal protocol between entry VMs and core VMs, and between core VMs.
///
/// - `fleet.watch` (entry VM to core VM): long poll for changes since the last answer. The call is
///   held until there is a change or its hold time has passed.
/// - `fleet.report` (entry VM to core VM): outcomes and counts.
/// - `fleet.share` (core VM to core VM): the same, aggregated over the reporting VMs.
/// - `fleet.counts` (core VM to core VM): fetches the counts of the last seconds.
/// - `fleet.propose` (to the leader): proposes an entry for the replicated log.
/// - `fleet.join` (to the leader): requests membership for a machine.
#pragma once

#include "base/hash.h"
#include "fleet/fleet_state.h"
#include "fleet/health_filter.h"
#include "fleet/membership_manager.h"
#include "wire/codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// Outcome of one attempt at an upstream.
struct attempt_outcome {
  upstream_handle upstream = 0;
  attempt_evidence evidence = attempt_evidence::kGood;
  /// Time to the complete response in hundredths of the route's objective; 0 if there is none.
  std::uint32_t relative_latency = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.evidence);
    visit(3, self.relative_latency);
  }
};

/// Counts of one workspace or service, by name. For a workspace, `first` and `second` are admitted
/// and refused requests, and `third` is unused. For a service, they are requests, repeats, and
/// requests that ended without success.
struct named_counts {
  std::string name;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  std::uint64_t third = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.name);
    visit(2, self.first);
    visit(3, self.second);
    visit(4, self.third);
  }
};

/// Reports that a request has crashed the upstream that ran it, or that it has succeeded.
struct crash_report {
  std::uint64_t fingerprint = 0;  ///< Hash of workspace, method, target and body.
  upstream_handle upstream = 0;
  bool is_cleared = false;  ///< The request has succeeded.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.fingerprint);
    visit(2, self.upstream);
    visit(3, self.is_cleared);
  }
};

/// Requests in progress at an upstream for one VM, or for all VMs that report to one core VM.
struct load_report {
  upstream_handle upstream = 0;
  std::uint32_t running = 0;  ///< Absolute, so that the next message corrects a lost one.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.running);
  }
};

/// Counts that are resent because the first message did not arrive.
struct resent_counts {
  std::chrono::milliseconds age{};  ///< Time since the requests were counted.
  std::vector<named_counts> workspaces;
  std::vector<named_counts> services;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.age);
    visit(2, self.workspaces);
    visit(3, self.services);
  }
};

/// What an answer of an upstream states about the requests that it takes from all VMs together.
struct stated_limit {
  upstream_handle upstream = 0;
  std::uint64_t per_kilosecond = 0;  ///< Requests per 1,000 s; 0: it states no limit.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.per_kilosecond);
  }
};

/// Number of response times in one bucket; see `fleet/latency_digest.h`.
struct bucket_count {
  std::uint32_t bucket = 0;
  std::uint64_t count = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.bucket);
    visit(2, self.count);
  }
};

/// Times until the responses to first attempts of repeatable requests began, by service. Reported
/// only if hedging is on.
struct latency_counts {
  std::string service;
  std::vector<bucket_count> buckets;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.service);
    visit(2, self.buckets);
  }
};

/// An attempt that was cancelled because a later attempt of the request was answered first. The
/// upstream needs at least this time for the response; nothing is known of its success.
struct lost_race {
  upstream_handle upstream = 0;
  std::uint32_t relative_latency = 0;  ///< Hundredths of the route's objective.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.relative_latency);
  }
};

/// Entry VMs with requests that wait for capacity of a service, by the highest rank that waits on
/// each: the priority of the workspace, then that of the route, lower values first.
struct service_waiting {
  std::string service;
  std::uint32_t vms = 0;
  std::uint32_t workspace_priority = 0;
  std::uint32_t route_priority = 0;

  bool operator==(const service_waiting&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.service);
    visit(2, self.vms);
    visit(3, self.workspace_priority);
    visit(4, self.route_priority);
  }
};

/// Observations since the last report.
struct observations {
  std::vector<attempt_outcome> outcomes;
  std::vector<named_counts> workspaces;
  std::vector<named_counts> services;
  std::vector<crash_report> crashes;
  std::vector<resent_counts> late;
  std::vector<stated_limit> limits;
  std::vector<latency_counts> latencies;
  std::vector<lost_race> lost_races;

  bool IsEmpty() const {
    return outcomes.empty() && workspaces.empty() && services.empty() && crashes.empty() &&
           late.empty() && limits.empty() && latencies.empty() && lost_races.empty();
  }

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.outcomes);
    visit(2, self.workspaces);
    visit(3, self.services);
    visit(4, self.crashes);
    visit(5, self.late);
    visit(6, self.limits);
    visit(7, self.latencies);
    visit(8, self.lost_races);
  }
};

/// Adds the counts of `from` to those of the same name in `to`.
inline void MergeCounts(std::vector<named_counts>& to, const std::vector<named_counts>& from) {
  for (const named_counts& note : from) {
    const auto found = std::find_if(
        to.begin(), to.end(), [&](const named_counts& each) { return each.name == note.name; });
    if (found == to.end()) {
      to.push_back(note);
    } else {
      found->first += note.first;
      found->second += note.second;
      found->third += note.third;
    }
  }
}

/// Entry VMs keep the counts that core VMs have received in steps of up to this length.
inline constexpr std::chrono::milliseconds kFormerCountStep{200};

/// Body of `fleet.report`.
struct report_request {
  std::string vm;  ///< Name of the entry VM.
  observations seen;
  std::vector<load_report> loads;  ///< Changed loads only.
  /// Counts of the current window that another core VM has received, in the first report to a core
  /// VM: it reckons with them if it loses contact to this VM.
  std::vector<resent_counts> former;
  std::uint64_t former_core = 0;         ///< Incarnation of the core VM that received `former`.
  bool is_last = false;                  ///< The VM has stopped and admits no more requests.
  std::vector<service_waiting> waiting;  ///< Services with requests that wait on this VM; `vms` 1.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.vm);
    visit(2, self.seen);
    visit(3, self.loads);
    visit(4, self.former);
    visit(5, self.is_last);
    visit(6, self.former_core);
    visit(7, self.waiting);
  }
};

/// Whether an upstream should get a trial request although another one has a better estimate.
/// Except for `kForAnyRegion`, only VMs of the upstream's own region make the trial, since a
/// request to another region takes longer.
enum class upstream_trial : std::uint8_t {
  kNone,
  kForRepeatable,  ///< With a request that can be repeated at another upstream.
  kForAny,         ///< With any request.
  kForAnyRegion,   ///< With any request, also from VMs of other regions.
};

/// Condition of an upstream, derived from the outcomes of all VMs.
struct upstream_condition {
  upstream_handle upstream = 0;
  std::uint32_t failing = 0;  ///< Probability of the failing state, in 1/255.
  /// Mean of `attempt_outcome::relative_latency`; 0 if unknown.
  std::uint32_t relative_latency = 0;
  bool is_silent = false;     ///< No announcements or good outcomes arrive.
  std::uint32_t running = 0;  ///< Requests in progress for all VMs.
  upstream_trial trial = upstream_trial::kNone;
  /// Requests per 1,000 s that it takes from all VMs together; 0: it states no limit.
  std::uint64_t limit_per_kilosecond = 0;

  bool operator==(const upstream_condition&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.failing);
    visit(3, self.relative_latency);
    visit(4, self.is_silent);
    visit(5, self.running);
    visit(6, self.trial);
    visit(7, self.limit_per_kilosecond);
  }
};

/// How much of a workspace's requests may be admitted.
struct workspace_share {
  std::string workspace;
  std::uint32_t per_mille = 1000;  ///< Share of the requests.
  /// Part of the limit that the VMs without contact may use beyond their former level together.
  std::uint32_t room_per_mille = 0;

  bool operator==(const workspace_share&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspace);
    visit(2, self.per_mille);
    visit(3, self.room_per_mille);
  }
};

/// Quantiles of the response times of a service, as positions of buckets; see
/// `fleet/latency_digest.h`.
struct service_digest {
  std::string service;
  std::vector<std::uint32_t> quantiles;

  bool operator==(const service_digest&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.service);
    visit(2, self.quantiles);
  }
};

/// Limits that apply to all VMs. Small, hence sent as a whole whenever one of them changes.
struct shared_limits {
  /// Only those with a share below 1 or less room than `kMaxRoomPerMille`.
  std::vector<workspace_share> workspaces;
  std::vector<std::string> low_budget_services;  ///< Services whose repeat budget is running low.
  std::vector<std::uint64_t> blocked_requests;   ///< Fingerprints of requests that crash upstreams.
  std::uint32_t active_vms = 1;                  ///< Entry VMs that were active recently.
  std::vector<service_digest> latency_digests;   ///< Only if hedging is on.
  std::vector<service_waiting> waiting;          ///< Only services with waiting requests.

  bool operator==(const shared_limits&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspaces);
    visit(2, self.low_budget_services);
    visit(3, self.blocked_requests);
    visit(4, self.active_vms);
    visit(5, self.latency_digests);
    visit(6, self.waiting);
  }
};

/// Body of `fleet.watch`: what the entry VM already has. Versions, revisions and the log index are
/// 0 at first.
struct watch_request {
  std::string vm;                      ///< Name of the entry VM.
  std::uint64_t policy_version = 0;    ///< Version that the entry VM has.
  std::uint64_t roster_index = 0;      ///< Log index up to which it has the roster.
  std::uint64_t core_incarnation = 0;  ///< Of the core VM that issued the two revisions below.
  std::uint64_t conditions_revision = 0;
  std::uint64_t limits_revision = 0;
  std::chrono::milliseconds hold{};  ///< Longest time until the answer.
  std::uint64_t cores_digest = 0;    ///< `CoresDigest` of the core VMs that it knows.
  std::string data_centre;           ///< Of the entry VM.
  bool is_probe = false;  ///< Requests no state, only what identifies the core VM and its age.
  /// Time since it sent the call whose answer set its level of admitted requests.
  std::chrono::milliseconds level_age{};
  std::uint32_t active_vms = 0;  ///< Number of entry VMs that a core VM stated last; 0: unknown.
  bool awaits_state = false;     ///< Answer as soon as policy and roster are complete and recent.
  bool awaits_limits = false;    ///< Answer as soon as the limits are reliable.
  bool is_turning = false;       ///< It has turned to this core VM from another one.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.vm);
    visit(2, self.policy_version);
    visit(3, self.roster_index);
    visit(4, self.core_incarnation);
    visit(5, self.conditions_revision);
    visit(6, self.limits_revision);
    visit(7, self.hold);
    visit(8, self.cores_digest);
    visit(9, self.data_centre);
    visit(10, self.is_probe);
    visit(11, self.level_age);
    visit(12, self.active_vms);
    visit(13, self.awaits_state);
    visit(14, self.awaits_limits);
    visit(15, self.is_turning);
  }
};

/// Identifies a set of addresses of core VMs, independent of their order.
inline std::uint64_t CoresDigest(const std::vector<std::string>& addresses) {
  std::uint64_t digest = 0;
  for (const std::string& address : addresses) {
    digest ^= FastHash(address);
  }
  return digest;
}

/// Answer to `fleet.watch`: what has changed since the state in the request.
struct watch_reply {
  fleet_changes changes;
  /// Staleness of `changes` when the answer was sent: everything committed before then is included.
  std::chrono::milliseconds age{};
  std::chrono::milliseconds held{};    ///< Time between the arrival of the call and the answer.
  std::uint64_t core_incarnation = 0;  ///< Random, one per start of the core VM.
  std::uint64_t conditions_revision = 0;
  std::vector<upstream_condition> conditions;  ///< Changed conditions only.
  std::uint64_t limits_revision = 0;
  std::vector<shared_limits> limits;  ///< One element if the limits have changed, else empty.
  /// Addresses of all core VMs, if they differ from those that the entry VM knows.
  std::vector<std::string> cores;
  /// False until the core VM has counted for `kMinCountingTime`; its limits are not reliable before
  /// that.
  bool is_counting = true;
  std::string data_centre;  ///< Of the core VM, if `core_incarnation` is new.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.changes);
    visit(2, self.age);
    visit(3, self.held);
    visit(4, self.core_incarnation);
    visit(5, self.conditions_revision);
    visit(6, self.conditions);
    visit(7, self.limits_revision);
    visit(8, self.limits);
    visit(9, self.cores);
    visit(10, self.is_counting);
    visit(11, self.data_centre);
  }
};

/// An entry VM that has changed to the core VM that sends this.
struct vm_arrival {
  std::string vm;
  std::uint64_t former_core = 0;  ///< Incarnation of the core VM that it watched before.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.vm);
    visit(2, self.former_core);
  }
};

/// Observations of the VMs that report to one core VM since the last call.
struct core_share {
  std::string core;
  std::string region;  ///< Region of the core VM.
  observations seen;
  std::vector<upstream_handle> announced;  ///< Upstreams that have announced themselves.
  std::vector<load_report> loads;          ///< Changed loads only.
  std::uint32_t active_vms = 0;            ///< Active entry VMs that use this core VM.
  std::uint64_t incarnation = 0;           ///< Of the core VM.
  std::vector<vm_arrival> arrivals;
  /// By workspace: requests that its VMs may have admitted or may still admit unreported. Replaces
  /// the former list.
  std::vector<named_counts> unreported;
  bool is_near_limit = false;  ///< A workspace is near its limit there: counts are sent sooner.
  /// Its VMs with waiting requests, by service and rank. Replaces the former list.
  std::vector<service_waiting> waiting;
  /// By core VM: its region. Sent by the leader at intervals: it passes no shares on within a
  /// region, so core VMs of one region might not hear of each other.
  std::map<std::string, std::string> regions;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.core);
    visit(2, self.region);
    visit(3, self.seen);
    visit(4, self.announced);
    visit(5, self.loads);
    visit(6, self.active_vms);
    visit(7, self.incarnation);
    visit(8, self.arrivals);
    visit(9, self.unreported);
    visit(10, self.is_near_limit);
    visit(11, self.waiting);
    visit(12, self.regions);
  }
};

/// Body of `fleet.share`. Core VMs of one region exchange observations directly and at once.
/// Between regions they go through the leader at a limited rate, so that the traffic between
/// regions does not grow with the square of the number of core VMs.
struct share_request {
  std::vector<core_share> shares;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.shares);
  }
};

/// Body of `fleet.counts`: a core VM whose counts are incomplete asks another one for them.
struct counts_request {
  std::string core;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.core);
  }
};

/// Answer to `fleet.counts`.
struct counts_reply {
  bool is_complete = false;  ///< False: the counts of this core VM are incomplete, too.
  std::vector<resent_counts> counts;
  std::uint32_t active_vms = 0;  ///< Entry VMs of the fleet.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.is_complete);
    visit(2, self.counts);
    visit(3, self.active_vms);
  }
};

/// Body of `fleet.propose`.
struct propose_request {
  fleet_command command;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.command);
  }
};

/// Body of `fleet.join`: a machine that requests to become a member of the group.
struct join_request {
  std::string name;
  std::string address;  ///< Address of its RPC server, in the format of `FormatEndpoint`.
  std::uint64_t replica_id = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.name);
    visit(2, self.address);
    visit(3, self.replica_id);
  }
};

/// An empty answer.
struct done_reply {
  template <class Self, class Visitor>
  static void ForEachField(Self&, Visitor&&) {}
};

}  // namespace corianderhoist
