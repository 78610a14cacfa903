// Exchange of observations and loads between core VMs.
#include "fleet/fleet_core.h"
#include "fleet/latency_digest.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Failures are sent to the region's other core VMs at once; loads and good outcomes may wait.
constexpr milliseconds kUrgentDelay(8);
constexpr milliseconds kShareDelay(40);
constexpr milliseconds kCrossRegionInterval(1000);
// While a workspace is near its limit; its counts must not be half a second old.
constexpr milliseconds kCrossRegionIntervalNearLimit(50);
constexpr milliseconds kRegionsInterval(2000);
constexpr milliseconds kShareTimeout(500);
// Older counts have left the rate window.
constexpr milliseconds kMaxResentCountAge(5000);
// A region may have only one core VM for good.
constexpr std::size_t kMaxPendingArrivals = 256;
// A load expires if it or its reporter has not been renewed for this time.
constexpr milliseconds kLoadTimeout(3 * load_change_tracker::kResendInterval);

template <class Note>
void Append(std::vector<Note>& to, const std::vector<Note>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

void Merge(observations& to, const observations& from) {
  Append(to.outcomes, from.outcomes);
  Append(to.crashes, from.crashes);
  Append(to.late, from.late);
  Append(to.limits, from.limits);
  Append(to.lost_races, from.lost_races);
  MergeLatencies(to.latencies, from.latencies);
  MergeCounts(to.workspaces, from.workspaces);
  MergeCounts(to.services, from.services);
}

void Merge(core_share& to, const core_share& from) {
  to.core = from.core;
  to.region = from.region;
  to.active_vms = from.active_vms;
  to.incarnation = from.incarnation;
  to.unreported = from.unreported;
  to.is_near_limit = from.is_near_limit;
  to.waiting = from.waiting;
  to.regions.insert(from.regions.begin(), from.regions.end());
  Append(to.arrivals, from.arrivals);
  Merge(to.seen, from.seen);
  Append(to.announced, from.announced);
  for (const load_report& note : from.loads) {
    const auto found = std::find_if(to.loads.begin(), to.loads.end(), [&](const load_report& each) {
      return each.upstream == note.upstream;
    });
    if (found == to.loads.end()) {
      to.loads.push_back(note);
    } else {
      found->running = note.running;
    }
  }
}

bool IsUrgent(const observations& seen) {
  return !seen.crashes.empty() || !seen.limits.empty() ||
         std::any_of(seen.outcomes.begin(), seen.outcomes.end(),
                     [](const attempt_outcome& outcome) {
                       return outcome.evidence != attempt_evidence::kGood;
                     });
}

}  // namespace

core_share& fleet_core::OwnShare(std::map<std::string, core_share>& pending) {
  core_share& own = pending[settings_.name];
  own.core = settings_.name;
  own.region = settings_.region;
  return own;
}

void fleet_core::QueueForSharing(const observations& seen) {
  Merge(OwnShare(pending_for_region_).seen, seen);
  Merge(OwnShare(pending_across_regions_).seen, seen);
  ScheduleShare(IsUrgent(seen) ? kUrgentDelay : kShareDelay);
  ExpediteCrossRegionShare();
}

void fleet_core::QueueArrivals(const std::vector<vm_arrival>& arrivals) {
  if (!arrivals.empty()) {
    Append(OwnShare(pending_for_region_).arrivals, arrivals);
    Append(OwnShare(pending_across_regions_).arrivals, arrivals);
  }
}

// Sends the counts of a workspace near its limit without waiting for the next tick.
void fleet_core::ExpediteCrossRegionShare() {
  const steady_time now = clock_.Now();
  if (!is_near_limit_ || now + kCrossRegionIntervalNearLimit >= next_cross_region_share_) {
    return;
  }
  next_cross_region_share_ = now + kCrossRegionIntervalNearLimit;
  loop_.After(kCrossRegionIntervalNearLimit + milliseconds(1), [this] { ShareAcrossRegions(); });
}

void fleet_core::ApplyLoads(const std::string& reporter, const std::vector<load_report>& loads) {
  const steady_time now = clock_.Now();
  own_loads_.Update(reporter, loads, now);
  for (const upstream_handle upstream : all_loads_.Update(reporter, loads, now)) {
    health_.SetRunning(upstream, all_loads_.Sum(upstream), now);
  }
}

void fleet_core::ExpireLoads() {
  const steady_time now = clock_.Now();
  own_loads_.Expire(kLoadTimeout, now);
  own_waiting_.Expire(kLoadTimeout, now);
  all_waiting_.Expire(kLoadTimeout, now);
  for (const upstream_handle upstream : all_loads_.Expire(kLoadTimeout, now)) {
    health_.SetRunning(upstream, all_loads_.Sum(upstream), now);
  }
}

void fleet_core::ScheduleShare(milliseconds delay) {
  if (!std::exchange(is_share_scheduled_, true)) {
    loop_.After(delay, [this] { ShareInRegion(); });
  }
}

void fleet_core::AddChangedLoads(core_share& share, load_change_tracker& tracker) {
  const steady_time now = clock_.Now();
  usage_.AddState(share);
  share.waiting = own_waiting_.Sums();
  for (const load_report& note : tracker.Update(own_loads_.Sums(), now)) {
    share.loads.push_back(note);
  }
}

void fleet_core::AddRegions(core_share& share, steady_time& next) {
  const steady_time now = clock_.Now();
  if (replica_->LeadingTerm() != 0 && now >= next) {
    next = now + kRegionsInterval;
    share.regions = usage_.Regions();
  }
}

void fleet_core::SendShares(const std::string& member,
                            share_request request,
                            on_send_failure policy) {
  rpc_channel* channel = ChannelTo(member);
  if (channel == nullptr) {
    return;
  }
  if (policy == on_send_failure::kResendToMember) {
    AddUndelivered(member, request);
  }
  channel->Call<done_reply>(
      "fleet.share", request, kShareTimeout,
      [this, member, policy, request, sent_at = clock_.Now()](const rpc_result<done_reply>& reply) {
        if (!std::holds_alternative<rpc_failure>(reply)) {
          return;
        }
        if (policy == on_send_failure::kRequeueCounts) {
          RequeueCounts(request, sent_at);
        } else {
          KeepUndelivered(member, request, sent_at);
        }
      });
}

// Outcomes that did not arrive are too old to resend, but counts must not be lost, because
// admission is limited by them. A call that failed after its arrival is counted twice, which limits
// a workspace too much for one window, never too little.
void fleet_core::RequeueCounts(const share_request& request, steady_time sent_at) {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(clock_.Now() - sent_at);
  for (const core_share& share : request.shares) {
    core_share& requeued = pending_across_regions_[share.core];
    requeued.core = share.core;
    requeued.region = share.region;
    Append(requeued.arrivals, share.arrivals);
    if (!share.seen.workspaces.empty() || !share.seen.services.empty()) {
      requeued.seen.late.push_back({elapsed, share.seen.workspaces, share.seen.services});
    }
    for (const resent_counts& late : share.seen.late) {
      if (late.age + elapsed < kMaxResentCountAge) {
        requeued.seen.late.push_back({late.age + elapsed, late.workspaces, late.services});
      }
    }
  }
}

// Counts that a member of the same region, or the leader's receiver, lacks are sent to it alone.
void fleet_core::KeepUndelivered(const std::string& member,
                                 const share_request& request,
                                 steady_time sent_at) {
  for (const core_share& share : request.shares) {
    core_share kept;
    kept.core = share.core;
    kept.region = share.region;
    if (!share.seen.workspaces.empty() || !share.seen.services.empty()) {
      kept.seen.late.push_back({milliseconds(0), share.seen.workspaces, share.seen.services});
    }
    Append(kept.seen.late, share.seen.late);
    kept.arrivals = share.arrivals;
    if (!kept.seen.late.empty() || !kept.arrivals.empty()) {
      undelivered_[member].push_back({sent_at, std::move(kept)});
    }
  }
}

void fleet_core::AddUndelivered(const std::string& member, share_request& request) {
  const auto found = undelivered_.find(member);
  if (found == undelivered_.end()) {
    return;
  }
  const steady_time now = clock_.Now();
  std::vector<undelivered_share> rest;
  for (undelivered_share& kept : found->second) {
    const auto elapsed = std::chrono::ceil<milliseconds>(now - kept.at);
    const auto to =
        std::find_if(request.shares.begin(), request.shares.end(),
                     [&](const core_share& share) { return share.core == kept.share.core; });
    if (to == request.shares.end()) {
      // Waits for the next share of that core VM, which has its current state.
      if (elapsed < kMaxResentCountAge) {
        rest.push_back(std::move(kept));
      }
      continue;
    }
    Append(to->arrivals, kept.share.arrivals);
    for (const resent_counts& late : kept.share.seen.late) {
      if (late.age + elapsed < kMaxResentCountAge) {
        to->seen.late.push_back({late.age + elapsed, late.workspaces, late.services});
      }
    }
  }
  found->second = std::move(rest);
}

void fleet_core::ShareInRegion() {
  is_share_scheduled_ = false;
  core_share own = std::exchange(OwnShare(pending_for_region_), {});
  pending_for_region_.clear();
  const bool has_peer =
      std::any_of(status_.members.begin(), status_.members.end(),
                  [this](const group_member& member) { return usage_.IsInOwnRegion(member.name); });
  if (is_stopped_ || !has_peer) {
    if (own.arrivals.size() <= kMaxPendingArrivals) {
      OwnShare(pending_for_region_).arrivals = std::move(own.arrivals);  // Until a peer is known.
    }
    return;
  }
  own.core = settings_.name;
  own.region = settings_.region;
  AddChangedLoads(own, loads_sent_in_region_);
  AddRegions(own, next_regions_in_region_);
  const bool is_empty = own.seen.IsEmpty() && own.announced.empty() && own.loads.empty() &&
                        own.arrivals.empty() && own.unreported.empty() && own.waiting.empty() &&
                        own.regions.empty();
  // Near a limit the others must hear that this core VM is in contact.
  if (is_empty && !is_near_limit_) {
    return;
  }
  for (const group_member& member : status_.members) {
    if (usage_.IsInOwnRegion(member.name)) {
      SendShares(member.name, {{own}}, on_send_failure::kResendToMember);
    }
  }
}

// Sends pending shares to the leader, which forwards to each region what comes from the others.
void fleet_core::ShareAcrossRegions() {
  const steady_time now = clock_.Now();
  if (is_stopped_ || now < next_cross_region_share_) {
    return;
  }
  next_cross_region_share_ =
      now + (is_near_limit_ ? kCrossRegionIntervalNearLimit : kCrossRegionInterval);
  const bool is_leader = replica_->LeadingTerm() != 0;
  if (!is_leader && ChannelTo(status_.leader) == nullptr) {
    return;  // The shares stay pending until a leader is known.
  }
  AddChangedLoads(OwnShare(pending_across_regions_), loads_sent_across_regions_);
  AddRegions(OwnShare(pending_across_regions_), next_regions_across_regions_);
  const auto pending = std::exchange(pending_across_regions_, {});
  if (!is_leader) {
    const auto own = pending.find(settings_.name);
    if (own != pending.end() && !usage_.IsInOwnRegion(status_.leader)) {
      SendShares(status_.leader, {{own->second}}, on_send_failure::kRequeueCounts);
    }
    return;
  }
  for (const group_member& member : status_.members) {
    const auto region = usage_.RegionOf(member.name);
    share_request request;
    for (const auto& [origin, share] : pending) {
      if (origin != member.name && share.region != region) {
        request.shares.push_back(share);
      }
    }
    if (!request.shares.empty()) {
      SendShares(member.name, std::move(request), on_send_failure::kResendToMember);
    }
  }
}

void fleet_core::OnShare(share_request request) {
  const steady_time now = clock_.Now();
  for (core_share& share : request.shares) {
    for (const upstream_handle upstream : share.announced) {
      health_.RecordAnnouncement(upstream, now);
    }
    for (const upstream_handle upstream : all_loads_.Update(share.core, share.loads, now)) {
      health_.SetRunning(upstream, all_loads_.Sum(upstream), now);
    }
    if (replica_->LeadingTerm() != 0) {  // Others may lack the counts that are dropped below.
      Merge(pending_across_regions_[share.core], share);
    }
    usage_.OnShare(share);
    all_waiting_.Update(share.core, share.waiting, now);
    ApplyObservations(share.seen,
                      share.region == settings_.region ? origin::kOwnRegion : origin::kOtherRegion);
  }
  if (replica_->LeadingTerm() != 0) {
    ExpediteCrossRegionShare();
  }
}

}  // namespace corianderhoist
