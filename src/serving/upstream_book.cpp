#include "serving/upstream_book.h"

#include "base/hash.h"

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// The pool includes an own failure after about a round trip to the core VM; until then, and while
// no core VM answers, the own filter counts as well.
constexpr milliseconds kOwnEvidence(400);
constexpr milliseconds kPoolStale(1500);
// An upstream that was full is likely to be so for about one request's work.
constexpr milliseconds kShedMemory(300);
constexpr std::uint32_t kShedAsRunning = 3;  // Requests per slot.
constexpr milliseconds kColdTime(3500);
// The pool knows of an own request after this time.
constexpr milliseconds kOwnTrial(500);
// Share of the VMs that may try an upstream in the same second: of those of its region, which are
// about a third of all, and of all.
constexpr std::uint64_t kTrialPerMilleOfRegion = 300;
constexpr std::uint64_t kTrialPerMille = 120;
constexpr double kProbabilityUnits = 255;
constexpr double kPaceUnits = 100;

}  // namespace

nearness vm_place::DistanceTo(const std::string& other_data_centre) const {
  if (other_data_centre == data_centre) {
    return nearness::kSameDataCentre;
  }
  const auto found = region_of.find(other_data_centre);
  return found != region_of.end() && found->second == region ? nearness::kSameRegion
                                                             : nearness::kOtherRegion;
}

upstream_book::upstream_book(const fleet_view& view,
                             fleet_link& link,
                             vm_place place,
                             const std::string& vm,
                             const clock_source& clock)
    : view_(view), link_(link), place_(std::move(place)), vm_hash_(FastHash(vm)), clock_(clock) {}

// All VMs learn at the same moment that an upstream should be tried. A few of them, others each
// second, may do it, so that it gets one request and not one of every VM.
bool upstream_book::IsChosenForTrial(upstream_handle upstream, bool is_own_region) const {
  const auto second = clock_.WallNow().time_since_epoch() / std::chrono::seconds(1);
  const std::uint64_t parts[] = {vm_hash_, upstream, static_cast<std::uint64_t>(second)};
  const std::string_view bytes(reinterpret_cast<const char*>(parts), sizeof(parts));
  return FastHash(bytes) % 1000 < (is_own_region ? kTrialPerMilleOfRegion : kTrialPerMille);
}

upstream_book::record& upstream_book::RecordOf(upstream_handle upstream) {
  return records_.try_emplace(upstream, clock_.Now()).first->second;
}

void upstream_book::Start(upstream_handle upstream) {
  record& entry = RecordOf(upstream);
  entry.started_at = clock_.Now();
  link_.NoteLoad(upstream, ++entry.running);
}

void upstream_book::End(upstream_handle upstream) {
  record& entry = RecordOf(upstream);
  assert(entry.running > 0 && "an attempt ends once");
  link_.NoteLoad(upstream, --entry.running);
}

void upstream_book::Observe(upstream_handle upstream, attempt_evidence evidence) {
  const steady_time now = clock_.Now();
  record& entry = RecordOf(upstream);
  entry.health.Observe(evidence, now);
  if (!IsAnsweredWell(evidence)) {
    entry.failed_at = now;
  }
}

void upstream_book::NoteShed(upstream_handle upstream) {
  RecordOf(upstream).shed_at = clock_.Now();
}

// An upstream that gets no requests shows no evidence either: neither that it is sound again, nor
// that a new one works at all.
bool upstream_book::IsDue(const known_upstream& upstream, const record& own, bool may_try) const {
  const steady_time now = clock_.Now();
  const bool is_own_region =
      place_.DistanceTo(upstream.entry.data_centre) != nearness::kOtherRegion;
  if (now - own.started_at < kOwnTrial || now - own.shed_at < kShedMemory ||
      !IsChosenForTrial(upstream.entry.handle, is_own_region)) {
    return false;
  }
  const bool is_untried = !upstream.has_condition || upstream.condition.pace == 0;
  if (is_untried && upstream.is_newcomer) {
    return now - upstream.known_since > kColdTime;
  }
  if (!upstream.has_condition) {
    return false;
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

placement_candidate upstream_book::CandidateOf(const known_upstream& upstream, bool may_try) {
  const steady_time now = clock_.Now();
  const record& own = RecordOf(upstream.entry.handle);
  double failing = upstream.has_condition ? upstream.condition.failing / kProbabilityUnits
                                          : health_filter::kFailingShare;
  const bool is_pool_stale = now - view_.FreshAt() > kPoolStale;
  if (now - own.failed_at < kOwnEvidence || is_pool_stale) {
    failing = std::max(failing, own.health.FailingAt(now));
  }
  placement_candidate candidate;
  candidate.failure = health_filter::FailureOf(failing);
  candidate.pace = upstream.has_condition ? upstream.condition.pace / kPaceUnits : 0;
  candidate.distance = place_.DistanceTo(upstream.entry.data_centre);
  candidate.slots = upstream.entry.slots;
  // The pool has what was reported; own requests since then come on top.
  const std::uint32_t reported = link_.ReportedLoad(upstream.entry.handle);
  const std::uint32_t pooled = upstream.has_condition ? upstream.condition.running : 0;
  candidate.running =
      std::max(own.running, pooled + (own.running > reported ? own.running - reported : 0));
  if (now - own.shed_at < kShedMemory) {
    candidate.running += kShedAsRunning * candidate.slots;
  }
  candidate.is_silent = upstream.has_condition && upstream.condition.is_silent;
  candidate.is_cold = upstream.is_newcomer && now - upstream.known_since < kColdTime;
  candidate.is_due = IsDue(upstream, own, may_try);
  return candidate;
}

void upstream_book::Sweep() {
  std::erase_if(records_, [this](const auto& item) {
    return item.second.running == 0 && !view_.IsKnown(item.first);
  });
}

}  // namespace corianderhoist
