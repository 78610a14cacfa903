#include "serving/upstream_tracker.h"

#include "base/hash.h"

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// The pooled condition includes a local failure after about a round trip to the core VM. Until
// then, and while no core VM replies, the local filter is used as well.
constexpr milliseconds kLocalEvidenceLifetime(400);
constexpr milliseconds kMaxPooledStateAge(1500);
// An upstream at capacity is likely to stay so for about the duration of one request. Until then it
// counts as having this many additional running requests per slot.
constexpr milliseconds kShedPenaltyDuration(300);
constexpr std::uint32_t kShedPenaltyRequestsPerSlot = 3;
constexpr milliseconds kColdStartDuration(3500);
// By then the pooled condition includes the last local request.
constexpr milliseconds kMinTrialInterval(500);
// The part of the VMs that may send a trial to an upstream in the same second: of the VMs in its
// region, which are about a third of the fleet, and of the whole fleet.
constexpr std::uint64_t kTrialVmsPerMilleOfRegion = 300;
constexpr std::uint64_t kTrialVmsPerMilleOfFleet = 120;
constexpr double kProbabilityScale = 255;
constexpr double kRelativeLatencyScale = 100;

}  // namespace

network_distance vm_place::DistanceTo(const std::string& other_data_centre) const {
  if (other_data_centre == data_centre) {
    return network_distance::kSameDataCentre;
  }
  const auto found = region_of.find(other_data_centre);
  return found != region_of.end() && found->second == region ? network_distance::kSameRegion
                                                             : network_distance::kOtherRegion;
}

upstream_tracker::upstream_tracker(const fleet_view& view,
                                   fleet_link& link,
                                   vm_place place,
                                   const std::string& vm,
                                   const clock_source& clock)
    : view_(view), link_(link), place_(std::move(place)), vm_hash_(FastHash(vm)), clock_(clock) {}

// All VMs learn at the same time that an upstream is due for a trial. A hash selects a few VMs,
// which change every second, so that the upstream gets about one request and not one from every VM.
bool upstream_tracker::IsChosenForTrial(upstream_handle upstream, bool is_own_region) const {
  const auto second = clock_.WallNow().time_since_epoch() / std::chrono::seconds(1);
  const std::uint64_t parts[] = {vm_hash_, upstream, static_cast<std::uint64_t>(second)};
  const std::string_view bytes(reinterpret_cast<const char*>(parts), sizeof(parts));
  return FastHash(bytes) % 1000 <
         (is_own_region ? kTrialVmsPerMilleOfRegion : kTrialVmsPerMilleOfFleet);
}

upstream_tracker::record& upstream_tracker::RecordOf(upstream_handle upstream) {
  return records_.try_emplace(upstream, clock_.Now()).first->second;
}

void upstream_tracker::Start(upstream_handle upstream) {
  record& entry = RecordOf(upstream);
  entry.started_at = clock_.Now();
  link_.NoteLoad(upstream, ++entry.running);
}

void upstream_tracker::End(upstream_handle upstream) {
  record& entry = RecordOf(upstream);
  assert(entry.running > 0 && "End without a running attempt");
  link_.NoteLoad(upstream, --entry.running);
  if (on_end) {
    on_end(upstream);
  }
}

std::uint32_t upstream_tracker::RunningHere(upstream_handle upstream) const {
  const auto found = records_.find(upstream);
  return found == records_.end() ? 0 : found->second.running;
}

void upstream_tracker::Observe(upstream_handle upstream, attempt_evidence evidence) {
  const steady_time now = clock_.Now();
  record& entry = RecordOf(upstream);
  entry.health.Observe(evidence, now);
  if (!IsSuccess(evidence)) {
    entry.failed_at = now;
  }
}

void upstream_tracker::NoteShed(upstream_handle upstream) {
  RecordOf(upstream).shed_at = clock_.Now();
}

// Without requests there is no evidence that a failing upstream has recovered or that a new one
// works, so either gets a trial request from time to time.
bool upstream_tracker::IsTrialDue(const known_upstream& upstream,
                                  const record& own,
                                  bool may_try) const {
  const steady_time now = clock_.Now();
  const bool is_own_region =
      place_.DistanceTo(upstream.entry.data_centre) != network_distance::kOtherRegion;
  if (now - own.started_at < kMinTrialInterval || now - own.shed_at < kShedPenaltyDuration ||
      !IsChosenForTrial(upstream.entry.handle, is_own_region)) {
    return false;
  }
  const bool is_starting_cold =
      upstream.is_added_after_start && now - upstream.known_since <= kColdStartDuration;
  const bool has_succeeded = upstream.has_condition && upstream.condition.relative_latency > 0;
  if (is_starting_cold && !has_succeeded) {
    return false;
  }
  if (!upstream.has_condition) {
    return upstream.is_added_after_start;
  }
  switch (upstream.condition.trial) {
    case upstream_trial::kNone:
      return false;
    case upstream_trial::kForRepeatable:
      return is_own_region && may_try;
    case upstream_trial::kForAny:
      return is_own_region;
    case upstream_trial::kForAnyRegion:
      return true;
  }
  return false;
}

placement_candidate upstream_tracker::CandidateOf(const known_upstream& upstream, bool may_try) {
  const steady_time now = clock_.Now();
  const record& own = RecordOf(upstream.entry.handle);
  double failing = upstream.has_condition ? upstream.condition.failing / kProbabilityScale
                                          : health_filter::kLongRunFailingRatio;
  const bool is_pool_stale = now - view_.FreshAt() > kMaxPooledStateAge;
  if (now - own.failed_at < kLocalEvidenceLifetime || is_pool_stale) {
    failing = std::max(failing, own.health.FailingProbabilityAt(now));
  }
  placement_candidate candidate;
  candidate.failure = health_filter::RequestFailureProbability(failing);
  candidate.relative_latency =
      upstream.has_condition ? upstream.condition.relative_latency / kRelativeLatencyScale : 0;
  candidate.distance = place_.DistanceTo(upstream.entry.data_centre);
  candidate.slots = upstream.entry.slots;
  // The pooled number includes what this VM has reported. Requests started since then are added.
  const std::uint32_t reported = link_.ReportedLoad(upstream.entry.handle);
  const std::uint32_t pooled = upstream.has_condition ? upstream.condition.running : 0;
  candidate.running =
      std::max(own.running, pooled + (own.running > reported ? own.running - reported : 0));
  if (now - own.shed_at < kShedPenaltyDuration) {
    candidate.running += kShedPenaltyRequestsPerSlot * candidate.slots;
  }
  candidate.is_silent = upstream.has_condition && upstream.condition.is_silent;
  candidate.is_cold =
      upstream.is_added_after_start && now - upstream.known_since < kColdStartDuration;
  candidate.is_trial_due = IsTrialDue(upstream, own, may_try);
  return candidate;
}

void upstream_tracker::Sweep() {
  std::erase_if(records_, [this](const auto& item) {
    return item.second.running == 0 && !view_.IsKnown(item.first);
  });
}

}  // namespace corianderhoist
