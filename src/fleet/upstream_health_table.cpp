#include "fleet/upstream_health_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr double kRelativeLatencySmoothingFactor = 0.15;
// Bound of the mean of an upstream that loses all races.
constexpr double kMinAnswered = 0.05;
constexpr double kProbabilityUnits = 255;
// Answers from before an upstream stated its limit arrive within this time after the first that
// states it.
constexpr milliseconds kLimitSettlingTime(500);
// Smaller changes of a condition are not published, to limit the number of messages.
constexpr std::uint32_t kMinPublishedFailingChange = 12;
constexpr double kMinPublishedLatencyChangeRatio = 0.25;
constexpr std::uint32_t kMinPublishedLatencyChange = 5;
// Tolerates announcements that are delayed by seconds.
constexpr int kMaxMissedAnnouncements = 3;
// Hundredths of the objective. A slower upstream is tried as rarely as a failing one.
constexpr double kMaxTrustedRelativeLatency = 100;
constexpr double kMaxTrustedFailingProbability = 0.3;
// A healthy upstream must get a new request within two seconds. Starting a trial takes up to half a
// second.
constexpr milliseconds kTrustedTrialDelay(1000);
// Idle time after which an upstream whose last request failed is tried: with a repeatable request,
// with any request, and with any request while the service is degraded. Upstreams fail for about
// ten seconds, so most earlier trials are lost requests; only a degraded service needs the capacity
// sooner.
constexpr milliseconds kFailingRepeatableTrialDelay(2500);
constexpr milliseconds kFailingTrialDelay(6000);
constexpr milliseconds kDegradedTrialDelay(1500);
// Ratio of a service's reachable upstreams that may be idle for `kDegradedTrialDelay` because they
// were found failing. The platform allows 30 % of the healthy ones to be idle for two seconds; with
// 15 %, trials lost 2.9 % of the requests of a day without faults.
constexpr double kMaxIdleUpstreamRatio = 0.25;
// An upstream that did not respond is not counted as reachable for this time.
constexpr milliseconds kUnreachableTimeout(10'000);
// Idle time after which an upstream is tried whose last request succeeded, until it is trusted.
constexpr milliseconds kRecoveringRepeatableTrialDelay(200);
constexpr milliseconds kRecoveringTrialDelay(500);
// VMs in the upstream's own region get this much time to make a trial before VMs of other regions
// may. The short delay, for a degraded service or a trusted upstream, ends within the two seconds
// above. The long one assumes that the own region has no requests for the service.
constexpr milliseconds kCrossRegionTrialDelay(300);
constexpr milliseconds kCrossRegionFailingTrialDelay(6000);
constexpr milliseconds kCrashRetention(60'000);
constexpr std::size_t kMaxTrackedRequests = 1000;

bool IsSignificantChange(const upstream_condition& published, const upstream_condition& current) {
  if (published.limit_per_kilosecond != current.limit_per_kilosecond) {
    return true;
  }
  const auto failing_change = published.failing > current.failing
                                  ? published.failing - current.failing
                                  : current.failing - published.failing;
  const auto latency_change = published.relative_latency > current.relative_latency
                                  ? published.relative_latency - current.relative_latency
                                  : current.relative_latency - published.relative_latency;
  const auto latency_step =
      std::max(kMinPublishedLatencyChange,
               static_cast<std::uint32_t>(kMinPublishedLatencyChangeRatio *
                                          static_cast<double>(published.relative_latency)));
  return failing_change >= kMinPublishedFailingChange || latency_change >= latency_step ||
         published.is_silent != current.is_silent || published.running != current.running ||
         published.trial != current.trial;
}

// Whether requests have to be kept away from the upstream or sent to it, unlike before.
bool IsUrgentChange(const upstream_condition& published, const upstream_condition& current) {
  if (published.limit_per_kilosecond != current.limit_per_kilosecond) {
    return true;
  }
  return current.failing >= published.failing + kMinPublishedFailingChange ||
         (current.is_silent && !published.is_silent) || current.trial != published.trial;
}

}  // namespace

upstream_health_table::upstream_health_table(milliseconds announcement_interval, steady_time now)
    : announcement_interval_(announcement_interval), started_(now) {}

upstream_health_table::record& upstream_health_table::RecordOf(upstream_handle upstream,
                                                               steady_time now) {
  return records_.try_emplace(upstream, now).first->second;
}

void upstream_health_table::Observe(const attempt_outcome& outcome, steady_time now) {
  observed_.insert(outcome.upstream);
  record& entry = RecordOf(outcome.upstream, now);
  entry.health.Observe(outcome.evidence, now);
  // Load reports show the start of a long request; a short one may appear only as an outcome.
  entry.started_at = entry.running == 0 ? now : entry.started_at;
  entry.used_at = now;
  // Other VMs would send further trials until the next call of `PlanTrials`.
  entry.trial = upstream_trial::kNone;
  entry.was_good = IsSuccess(outcome.evidence);
  if (outcome.evidence == attempt_evidence::kTimedOut) {
    entry.unanswered_at = now;
  }
  if (!entry.was_good) {
    return;
  }
  entry.last_good_at = now;
  if (outcome.relative_latency > 0) {
    const auto relative_latency = static_cast<double>(outcome.relative_latency);
    entry.relative_latency =
        entry.relative_latency == 0
            ? relative_latency
            : entry.relative_latency +
                  kRelativeLatencySmoothingFactor * (relative_latency - entry.relative_latency);
    entry.answered += kRelativeLatencySmoothingFactor * (1 - entry.answered);
  }
}

// The attempt was cancelled before its end, so its time is a lower bound. The mean is the time of
// all attempts per answered one (the estimate for exponential times with censoring): it never falls
// because of a lost race, and grows without an answer in between.
void upstream_health_table::ObserveLostRace(const lost_race& race, steady_time now) {
  observed_.insert(race.upstream);
  record& entry = RecordOf(race.upstream, now);
  entry.used_at = now;
  const auto relative_latency = static_cast<double>(race.relative_latency);
  if (entry.relative_latency == 0) {
    entry.relative_latency = relative_latency;
    return;
  }
  entry.relative_latency +=
      kRelativeLatencySmoothingFactor * (relative_latency - entry.relative_latency);
  entry.answered -= kRelativeLatencySmoothingFactor * entry.answered;
}

double upstream_health_table::MeanRelativeLatency(const record& entry) {
  return entry.relative_latency / std::max(entry.answered, kMinAnswered);
}

void upstream_health_table::RecordAnnouncement(upstream_handle upstream, steady_time now) {
  RecordOf(upstream, now).announced_at = now;
}

void upstream_health_table::SetRunning(upstream_handle upstream,
                                       std::uint32_t running,
                                       steady_time now) {
  observed_.insert(upstream);
  record& entry = RecordOf(upstream, now);
  entry.started_at = running > entry.running ? now : entry.started_at;
  entry.trial = running > entry.running ? upstream_trial::kNone : entry.trial;
  entry.used_at = now;
  entry.running = running;
}

void upstream_health_table::SetLimit(upstream_handle upstream,
                                     std::uint64_t per_kilosecond,
                                     steady_time now) {
  observed_.insert(upstream);
  record& entry = RecordOf(upstream, now);
  if (per_kilosecond > 0) {
    entry.limit_heard_at = now;
  } else if (now - entry.limit_heard_at < kLimitSettlingTime) {
    return;
  }
  entry.limit_per_kilosecond = per_kilosecond;
}

void upstream_health_table::Retain(const std::set<upstream_handle>& known) {
  std::erase_if(records_, [&](const auto& item) { return !known.contains(item.first); });
  std::erase_if(by_revision_, [&](const auto& item) { return !known.contains(item.second); });
}

upstream_condition upstream_health_table::ConditionOf(upstream_handle upstream,
                                                      const record& entry,
                                                      steady_time now) const {
  const milliseconds max_silence = announcement_interval_ * kMaxMissedAnnouncements;
  upstream_condition condition;
  condition.upstream = upstream;
  condition.failing = static_cast<std::uint32_t>(
      std::lround(entry.health.FailingProbabilityAt(now) * kProbabilityUnits));
  condition.relative_latency = static_cast<std::uint32_t>(std::lround(MeanRelativeLatency(entry)));
  condition.running = entry.running;
  condition.trial = entry.trial;
  condition.limit_per_kilosecond = entry.limit_per_kilosecond;
  condition.is_silent = now - std::max(entry.announced_at, entry.last_good_at) > max_silence &&
                        now - started_ > max_silence;
  return condition;
}

upstream_trial upstream_health_table::ChooseTrial(const record& entry,
                                                  bool is_degraded,
                                                  steady_time now) const {
  const bool is_slow = MeanRelativeLatency(entry) > kMaxTrustedRelativeLatency;
  const bool is_trusted =
      !is_slow && entry.health.FailingProbabilityAt(now) < kMaxTrustedFailingProbability;
  // A trusted upstream with one long request still has capacity for others.
  const bool is_busy = entry.running > (is_trusted ? 1 : 0);
  const auto idle_time = is_busy      ? steady_time::duration()
                         : is_trusted ? now - entry.started_at
                                      : now - entry.used_at;
  const bool is_recovering = !is_slow && entry.was_good;
  const milliseconds any_delay = is_trusted      ? kTrustedTrialDelay
                                 : is_recovering ? kRecoveringTrialDelay
                                 : is_degraded   ? kDegradedTrialDelay
                                                 : kFailingTrialDelay;
  const milliseconds repeatable_delay = is_trusted      ? kTrustedTrialDelay
                                        : is_recovering ? kRecoveringRepeatableTrialDelay
                                                        : kFailingRepeatableTrialDelay;
  const milliseconds cross_region_delay =
      is_trusted || is_degraded ? kCrossRegionTrialDelay : kCrossRegionFailingTrialDelay;
  return idle_time > any_delay + cross_region_delay ? upstream_trial::kForAnyRegion
         : idle_time > any_delay                    ? upstream_trial::kForAny
         : idle_time > repeatable_delay             ? upstream_trial::kForRepeatable
                                                    : upstream_trial::kNone;
}

// How much an upstream counts towards the usable ones of its service.
double upstream_health_table::IdleWeight(const record& entry,
                                         service_strain strain,
                                         steady_time now) {
  return strain == service_strain::kNone ? 1 - entry.health.FailingProbabilityAt(now) : 1;
}

void upstream_health_table::PlanTrials(const std::vector<upstream_handle>& service,
                                       service_strain strain,
                                       steady_time now) {
  double reachable = 0;
  double idle_weight = 0;
  std::vector<record*> idle;
  for (const upstream_handle upstream : service) {
    record& entry = RecordOf(upstream, now);
    entry.trial = ChooseTrial(entry, strain == service_strain::kDegraded, now);
    if (entry.unanswered_at && now - *entry.unanswered_at < kUnreachableTimeout) {
      continue;
    }
    const double weight = IdleWeight(entry, strain, now);
    reachable += weight;
    if (entry.running == 0 && now - entry.used_at > kDegradedTrialDelay) {
      idle.push_back(&entry);
      idle_weight += weight;
    }
  }
  const double max_idle = std::max(1.0, kMaxIdleUpstreamRatio * reachable);
  // The upstreams that have been idle longest are the most likely to have recovered.
  std::sort(idle.begin(), idle.end(),
            [](const record* a, const record* b) { return a->used_at < b->used_at; });
  for (record* entry : idle) {
    if (idle_weight <= max_idle) {
      return;
    }
    idle_weight -= IdleWeight(*entry, strain, now);
    entry->trial = std::max(entry->trial, ChooseTrial(*entry, true, now));
  }
}

void upstream_health_table::RefreshRecord(upstream_handle upstream,
                                          record& entry,
                                          steady_time now,
                                          condition_changes& changes) {
  const upstream_condition current = ConditionOf(upstream, entry, now);
  if (entry.revision != 0 && !IsSignificantChange(entry.published, current)) {
    return;
  }
  if (IsUrgentChange(entry.published, current)) {
    changes.urgent.push_back(upstream);
  }
  by_revision_.erase(entry.revision);
  entry.published = current;
  entry.revision = ++revision_;
  by_revision_.emplace(entry.revision, upstream);
  changes.has_changed = true;
}

condition_changes upstream_health_table::Refresh(steady_time now) {
  condition_changes changes;
  observed_.clear();
  for (auto& [upstream, entry] : records_) {
    RefreshRecord(upstream, entry, now, changes);
  }
  return changes;
}

condition_changes upstream_health_table::RefreshObserved(steady_time now) {
  condition_changes changes;
  for (const upstream_handle upstream : std::exchange(observed_, {})) {
    RefreshRecord(upstream, RecordOf(upstream, now), now, changes);
  }
  return changes;
}

std::vector<upstream_condition> upstream_health_table::ChangedSince(std::uint64_t revision) const {
  std::vector<upstream_condition> changed;
  for (auto each = by_revision_.upper_bound(revision); each != by_revision_.end(); ++each) {
    changed.push_back(records_.at(each->second).published);
  }
  return changed;
}

std::vector<upstream_handle> upstream_health_table::SilentFor(milliseconds silence,
                                                              steady_time now) const {
  std::vector<upstream_handle> silent;
  for (const auto& [upstream, entry] : records_) {
    if (now - std::max(entry.announced_at, entry.last_good_at) > silence) {
      silent.push_back(upstream);
    }
  }
  return silent;
}

void crash_tracker::Record(const crash_report& note, steady_time now) {
  if (requests_.size() >= kMaxTrackedRequests) {
    std::erase_if(requests_, [&](const auto& item) {
      return now - item.second.last_crash_at > kCrashRetention;
    });
    if (requests_.size() >= kMaxTrackedRequests) {
      return;
    }
  }
  if (note.is_cleared) {
    if (const auto found = requests_.find(note.fingerprint); found != requests_.end()) {
      found->second.has_succeeded = true;
    }
    return;
  }
  request_record& request = requests_[note.fingerprint];
  request.crashed.insert(note.upstream);
  request.last_crash_at = now;
}

std::vector<std::uint64_t> crash_tracker::Blocked(steady_time now) const {
  std::vector<std::uint64_t> blocked;
  for (const auto& [fingerprint, request] : requests_) {
    if (!request.has_succeeded && request.crashed.size() >= kCrashesUntilBlocked &&
        now - request.last_crash_at < kCrashRetention) {
      blocked.push_back(fingerprint);
    }
  }
  return blocked;
}

}  // namespace corianderhoist
