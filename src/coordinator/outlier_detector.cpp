#include "coordinator/outlier_detector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kOutcomeHalfLifeSeconds = 2;
// An upstream that fails at the reference share crosses the threshold about once in
// exp(10) = 22,000 outcomes; at the lowest reference share, four consecutive failures cross it.
constexpr double kEjectionScoreThreshold = 10;
// Score of an upstream whose ejection was rejected, or ended to keep the floor.
constexpr double kReducedScore = kEjectionScoreThreshold / 2;
// The score is reset when the last failure is older than this.
constexpr seconds kMaxEvidenceAge(30);
// An upstream that the floor keeps in service stays suspected for this long after its last failure.
constexpr seconds kSuspicionTime(10);
// One recent failure reaches this score at the lowest reference share.
constexpr double kElevatedScore = kEjectionScoreThreshold / 5;
// A lost connection fails all requests on it at once. Failures within this time count as one
// event and do not suffice for an ejection.
constexpr milliseconds kMinEvidenceSpan(150);
// Bounds of the failure shares that the two hypotheses of the test assume: the reference (healthy)
// and the faulty share.
constexpr double kMinReferenceFailureShare = 0.02;
constexpr double kMaxReferenceFailureShare = 0.7;
constexpr double kMinFaultyFailureShare = 0.35;
constexpr double kMaxFaultyFailureShare = 0.95;
// A success slower than this multiple of the median peer latency plus the margin is a failure.
constexpr double kSlowLatencyFactor = 4;
constexpr double kSlowLatencyMarginMicroseconds = 30'000;
constexpr double kLatencyEwmaWeight = 0.1;
constexpr std::uint32_t kTrialSuccessesUntilReturn = 3;
constexpr milliseconds kMinTrialInterval(100);
constexpr milliseconds kTrialTimeout(30'000);
constexpr seconds kNonIdempotentTrialDelay(5);
constexpr seconds kRepetitionDecayInterval(60);
constexpr milliseconds kReporterCheckInterval(250);
constexpr double kMinBadLinkFailureShare = 0.5;
constexpr double kMaxHealthyFailureShare = 0.2;
constexpr double kMinOutcomes = 0.5;
constexpr std::uint32_t kMaxRepetition = 6;  // 5 s x 2^6 = 320 s exceeds the maximum ejection time.

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

milliseconds EjectionTime(std::uint32_t repetition) {
  return std::min(kBaseEjectionTime * (1 << std::min(repetition, kMaxRepetition)),
                  kMaxEjectionTime);
}

void outlier_detector::decaying_counts::DecayTo(steady_time now) {
  const double elapsed = std::chrono::duration<double>(now - at).count();
  if (elapsed > 0) {
    const double factor = std::exp2(-elapsed / kOutcomeHalfLifeSeconds);
    successes *= factor;
    failures *= factor;
    at = now;
  }
}

double outlier_detector::decaying_counts::FailureShare() const {
  const double sum = successes + failures;
  return sum < kMinOutcomes ? 0 : failures / sum;
}

// Returns nullopt for outcomes that are no evidence about the health of the upstream.
std::optional<bool> outlier_detector::IsFailure(const outcome_report& report,
                                                double expected_latency_us) {
  switch (report.result) {
    case attempt_result::kNotSent:
    case attempt_result::kShed:
    case attempt_result::kCancelled:
      return std::nullopt;
    case attempt_result::kConnectionLost:
      return report.is_suspect ? std::nullopt : std::optional(true);
    case attempt_result::kTimeout:
      return report.is_warming_up ? std::nullopt : std::optional(true);
    case attempt_result::kConnectFailed:
    case attempt_result::kServerError:
    case attempt_result::kBrokenAnswer:
      return true;
    case attempt_result::kSuccess:
      break;
  }
  const auto latency = static_cast<double>(report.latency.count());
  return !report.is_warming_up && expected_latency_us > 0 &&
         latency > kSlowLatencyFactor * expected_latency_us + kSlowLatencyMarginMicroseconds;
}

void outlier_detector::Observe(const outcome_report& report, steady_time now) {
  upstream_health& entry = upstreams_[report.upstream];
  const std::optional<bool> is_failure = IsFailure(report, entry.peer_latency_us);
  if (!is_failure) {
    if (report.is_trial) {
      entry.is_trial_running = false;
    }
    return;
  }
  if (report.is_trial) {
    FinishTrial(entry, *is_failure, now);
    return;
  }
  if (entry.state == ejection_state::kHealthy) {
    UpdateScore(entry, report, *is_failure, now);
  }
}

void outlier_detector::UpdateScore(upstream_health& entry,
                                   const outcome_report& report,
                                   bool is_failure,
                                   steady_time now) {
  decaying_counts& reporter = entry.by_reporter[report.reporter];
  reporter.DecayTo(now);
  (is_failure ? reporter.failures : reporter.successes) += 1;
  if (reporters_with_bad_link_.contains(report.reporter)) {
    return;
  }
  entry.all.DecayTo(now);
  (is_failure ? entry.all.failures : entry.all.successes) += 1;
  if (report.result == attempt_result::kSuccess && !is_failure) {
    const auto latency = static_cast<double>(report.latency.count());
    entry.latency_us = entry.latency_us == 0
                           ? latency
                           : entry.latency_us + kLatencyEwmaWeight * (latency - entry.latency_us);
  }
  if (entry.score > 0 && now - entry.last_failure > kMaxEvidenceAge) {
    entry.score = 0;
    entry.first_failure.reset();
  }
  if (!is_failure && entry.score == 0) {
    return;
  }
  const double reference =
      std::clamp(2 * MedianPeerFailureShare(report.upstream) + kMinReferenceFailureShare / 2,
                 kMinReferenceFailureShare, kMaxReferenceFailureShare);
  const double faulty = std::clamp(4 * reference, kMinFaultyFailureShare, kMaxFaultyFailureShare);
  entry.score =
      std::max(0.0, entry.score + (is_failure ? std::log(faulty / reference)
                                              : std::log((1 - faulty) / (1 - reference))));
  if (is_failure) {
    entry.first_failure = entry.first_failure.value_or(now);
    entry.last_failure = now;
  }
  if (entry.score == 0) {
    entry.first_failure.reset();
    entry.is_kept_by_floor = false;
  }
  if (entry.score >= kEjectionScoreThreshold) {
    ejection_candidates_.insert(report.upstream);
  }
}

void outlier_detector::FinishTrial(upstream_health& entry, bool is_failure, steady_time now) {
  entry.is_trial_running = false;
  if (entry.state != ejection_state::kTrial) {
    return;
  }
  if (is_failure) {
    Eject(entry, entry.evidence + "; trial failed", now);
    return;
  }
  if (++entry.trial_successes >= kTrialSuccessesUntilReturn) {
    entry.state = ejection_state::kHealthy;
    entry.since = now;
  }
}

void outlier_detector::Eject(upstream_health& entry, std::string evidence, steady_time now) {
  entry.repetition = entry.was_ejected ? std::min(entry.repetition + 1, kMaxRepetition) : 0;
  entry.was_ejected = true;
  entry.state = ejection_state::kEjected;
  entry.since = now;
  entry.until = now + EjectionTime(entry.repetition);
  constexpr std::size_t kMaxEvidenceLength = 300;
  entry.evidence = evidence.substr(0, kMaxEvidenceLength);
  entry.score = 0;
  entry.first_failure.reset();
  entry.all = {};
  entry.by_reporter.clear();
  entry.is_trial_running = false;
  entry.trial_successes = 0;
}

double outlier_detector::MedianPeerFailureShare(const upstream_id& upstream) const {
  std::vector<double> shares;
  for (const auto& [id, entry] : upstreams_) {
    if (id != upstream && entry.state == ejection_state::kHealthy) {
      shares.push_back(entry.all.FailureShare());
    }
  }
  return Median(std::move(shares));
}

double outlier_detector::MedianPeerLatency(const upstream_id& upstream) const {
  std::vector<double> latencies;
  for (const auto& [id, entry] : upstreams_) {
    if (id != upstream && entry.latency_us > 0) {
      latencies.push_back(entry.latency_us);
    }
  }
  return Median(std::move(latencies));
}

bool outlier_detector::IsCommonCause(const upstream_id& upstream) const {
  std::size_t peers = 0;
  std::size_t elevated = 0;
  for (const auto& [id, entry] : upstreams_) {
    if (id == upstream || entry.state != ejection_state::kHealthy) {
      continue;
    }
    ++peers;
    elevated += entry.score >= kElevatedScore ? 1 : 0;
  }
  return peers == 0 || elevated * 2 > peers;
}

// An entry VM has a bad link when its requests fail at two or more upstreams and at most of those
// that it uses, while requests of other entry VMs to the same upstreams succeed.
void outlier_detector::FindReportersWithBadLink(steady_time now) {
  struct reporter_view {
    int used_upstreams = 0;
    int failing_upstreams = 0;
  };
  std::map<std::string, reporter_view> views;
  for (auto& [id, entry] : upstreams_) {
    decaying_counts sum;
    for (auto& [reporter, counts] : entry.by_reporter) {
      counts.DecayTo(now);
      sum.successes += counts.successes;
      sum.failures += counts.failures;
    }
    for (const auto& [reporter, counts] : entry.by_reporter) {
      if (counts.successes + counts.failures < kMinOutcomes) {
        continue;
      }
      reporter_view& view = views[reporter];
      ++view.used_upstreams;
      const double others_successes = sum.successes - counts.successes;
      const double others_failures = sum.failures - counts.failures;
      const bool do_others_succeed =
          others_successes >= kMinOutcomes &&
          others_failures <= kMaxHealthyFailureShare * (others_successes + others_failures);
      if (counts.FailureShare() >= kMinBadLinkFailureShare && do_others_succeed) {
        ++view.failing_upstreams;
      }
    }
  }
  reporters_with_bad_link_.clear();
  for (const auto& [reporter, view] : views) {
    if (view.failing_upstreams >= 2 && view.failing_upstreams * 2 > view.used_upstreams) {
      reporters_with_bad_link_.insert(reporter);
    }
  }
  reporters_checked_at_ = now;
}

// The evidence needs failures reported by two entry VMs, unless only one uses the upstream.
bool outlier_detector::IsCorroborated(const upstream_health& entry, steady_time now) const {
  int reporting_failures = 0;
  int reporting_successes = 0;
  for (auto [reporter, counts] : entry.by_reporter) {
    if (reporters_with_bad_link_.contains(reporter)) {
      continue;
    }
    counts.DecayTo(now);
    if (counts.failures >= kMinOutcomes) {
      ++reporting_failures;
    } else if (counts.successes >= kMinOutcomes) {
      ++reporting_successes;
    }
  }
  return reporting_failures >= 2 || (reporting_failures == 1 && reporting_successes == 0);
}

bool outlier_detector::AllowsEjection(const std::vector<upstream_capacity>& capacities,
                                      const upstream_capacity& candidate,
                                      std::uint32_t floor_percent) const {
  std::uint64_t announced = 0;
  std::uint64_t healthy = 0;
  for (const upstream_capacity& each : capacities) {
    if (each.place != candidate.place) {
      continue;
    }
    announced += each.slots;
    if (each.is_ready && each.id != candidate.id && StateOf(each.id) == ejection_state::kHealthy) {
      healthy += each.slots;
    }
  }
  return healthy * 100 >= announced * floor_percent && healthy > 0;
}

std::optional<ejection> outlier_detector::EjectOutlier(
    const std::vector<upstream_capacity>& capacities,
    std::uint32_t floor_percent,
    steady_time now) {
  if (ejection_candidates_.empty()) {
    return std::nullopt;
  }
  FindReportersWithBadLink(now);
  for (const upstream_id& id : std::exchange(ejection_candidates_, {})) {
    upstream_health& entry = upstreams_[id];
    const auto capacity =
        std::find_if(capacities.begin(), capacities.end(),
                     [&](const upstream_capacity& each) { return each.id == id; });
    if (capacity == capacities.end() || !capacity->is_ready ||
        entry.score < kEjectionScoreThreshold || entry.state != ejection_state::kHealthy) {
      continue;
    }
    if (!IsCorroborated(entry, now) || IsCommonCause(id)) {
      entry.score = kReducedScore;
      continue;
    }
    if (entry.last_failure - *entry.first_failure < kMinEvidenceSpan) {
      continue;
    }
    if (!AllowsEjection(capacities, *capacity, floor_percent)) {
      entry.is_kept_by_floor = true;
      continue;
    }
    Eject(entry, DescribeEvidence(id, entry), now);
    return ejection{{}, id.name, id.incarnation, entry.repetition, entry.evidence};
  }
  return std::nullopt;
}

std::string outlier_detector::DescribeEvidence(const upstream_id& upstream,
                                               const upstream_health& entry) const {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                "bad %.1f of %.1f recent outcomes, median share of peers %.2f, reporters %zu",
                entry.all.failures, entry.all.failures + entry.all.successes,
                MedianPeerFailureShare(upstream), entry.by_reporter.size());
  return text.data();
}

std::vector<upstream_id> outlier_detector::EnforceFloor(
    const std::vector<upstream_capacity>& capacities,
    std::uint32_t floor_percent,
    steady_time now) {
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> places;  // Announced, healthy.
  std::vector<const upstream_capacity*> ejected;
  for (const upstream_capacity& each : capacities) {
    auto& [announced, healthy] = places[each.place];
    announced += each.slots;
    if (!each.is_ready) {
      continue;
    }
    if (StateOf(each.id) == ejection_state::kHealthy) {
      healthy += each.slots;
    } else {
      ejected.push_back(&each);
    }
  }
  // Upstreams return in the order of fewest repetitions, then of the longest ejection.
  std::sort(ejected.begin(), ejected.end(), [&](const auto* left, const auto* right) {
    const upstream_health& a = upstreams_.at(left->id);
    const upstream_health& b = upstreams_.at(right->id);
    return std::tie(a.repetition, a.since) < std::tie(b.repetition, b.since);
  });
  std::vector<upstream_id> returned;
  for (const upstream_capacity* each : ejected) {
    auto& [announced, healthy] = places[each->place];
    if (healthy * 100 >= announced * floor_percent && healthy > 0) {
      continue;
    }
    upstream_health& entry = upstreams_[each->id];
    entry.state = ejection_state::kHealthy;
    entry.since = now;
    entry.is_kept_by_floor = true;
    entry.score = kReducedScore;
    entry.first_failure = now;
    entry.last_failure = now;
    healthy += each->slots;
    returned.push_back(each->id);
  }
  return returned;
}

std::vector<upstream_id> outlier_detector::Advance(steady_time now) {
  if (now - reporters_checked_at_ >= kReporterCheckInterval) {
    FindReportersWithBadLink(now);
  }
  std::vector<upstream_id> returned;
  for (auto& [id, entry] : upstreams_) {
    entry.peer_latency_us = MedianPeerLatency(id);
    if (entry.state == ejection_state::kEjected && now >= entry.until) {
      entry.state = ejection_state::kTrial;
      entry.since = now;
      entry.trial_successes = 0;
    }
    if (entry.is_kept_by_floor && now - entry.last_failure > kSuspicionTime) {
      entry.is_kept_by_floor = false;
    }
    if (entry.is_trial_running && now - entry.trial_started >= kTrialTimeout) {
      entry.is_trial_running = false;
    }
    if (entry.state == ejection_state::kHealthy && entry.was_ejected) {
      if (entry.trial_successes >= kTrialSuccessesUntilReturn) {
        returned.push_back(id);
        entry.trial_successes = 0;
      }
      if (now - entry.since >= kRepetitionDecayInterval) {
        entry.since = now;
        entry.was_ejected = entry.repetition > 0;
        entry.repetition -= entry.was_ejected ? 1 : 0;
      }
    }
  }
  return returned;
}

bool outlier_detector::HasEjections() const {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& each) {
    return each.second.state != ejection_state::kHealthy;
  });
}

ejection_state outlier_detector::StateOf(const upstream_id& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? ejection_state::kHealthy : found->second.state;
}

bool outlier_detector::IsSuspected(const upstream_id& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found != upstreams_.end() && found->second.is_kept_by_floor;
}

bool outlier_detector::MaySendTrial(const upstream_id& upstream,
                                    bool is_idempotent,
                                    steady_time now) const {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end() || found->second.state != ejection_state::kTrial ||
      found->second.is_trial_running || now - found->second.trial_started < kMinTrialInterval) {
    return false;
  }
  return is_idempotent || now - found->second.since >= kNonIdempotentTrialDelay;
}

void outlier_detector::StartTrial(const upstream_id& upstream, steady_time now) {
  upstream_health& entry = upstreams_[upstream];
  entry.is_trial_running = true;
  entry.trial_started = now;
}

void outlier_detector::CancelTrial(const upstream_id& upstream) {
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end()) {
    found->second.is_trial_running = false;
  }
}

void outlier_detector::Restore(const ejection& former, steady_time now) {
  upstream_health& entry = upstreams_[{former.upstream, former.incarnation}];
  Eject(entry, former.evidence, now);
  entry.repetition = former.repetition;
  entry.until = now + EjectionTime(former.repetition);
}

std::vector<upstream_id> outlier_detector::Retain(const std::set<upstream_id>& known,
                                                  steady_time now) {
  std::vector<upstream_id> dropped;
  std::erase_if(upstreams_, [&](const auto& each) {
    if (known.contains(each.first)) {
      return false;
    }
    // After a change of leader, ejections from the log are restored before the first announcement
    // of their upstream arrives.
    if (each.second.state != ejection_state::kHealthy) {
      if (now - each.second.since <= kMaxEjectionTime) {
        return false;
      }
      dropped.push_back(each.first);
    }
    return true;
  });
  return dropped;
}

std::vector<outlier_detector::ejection_view> outlier_detector::Ejections() const {
  std::vector<ejection_view> views;
  for (const auto& [id, entry] : upstreams_) {
    if (entry.state != ejection_state::kHealthy) {
      views.push_back(
          {id, entry.state, entry.repetition, entry.since, entry.until, entry.evidence});
    }
  }
  return views;
}

}  // namespace corianderhoist
