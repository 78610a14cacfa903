#include "coordinator/health_judge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kHalfLifeSeconds = 2;
// A healthy upstream crosses the threshold about once in exp(10) = 22,000 outcomes even when it
// fails as often as the reference share allows; four failures in a row cross it at the lowest
// share.
constexpr double kThreshold = 10;
constexpr double kHalfThreshold = kThreshold / 2;
// Evidence older than this says nothing about the present state.
constexpr seconds kEvidenceLife(30);
// An upstream that the floor kept in service is a last choice for this long after its last failure.
constexpr seconds kLastChoiceTime(10);
// Evidence counts as raised from one recent bad outcome on.
constexpr double kRaised = kThreshold / 5;
// A lost connection takes all requests of an upstream with it at the same moment, which is one
// event.
constexpr milliseconds kShortestEvidence(150);
// Shares of bad outcomes: the reference never goes below the one and never above the other.
constexpr double kLowestReference = 0.02;
constexpr double kHighestReference = 0.7;
constexpr double kLowestSickShare = 0.35;
constexpr double kHighestSickShare = 0.95;
// A success this many times slower than the peers' mean counts as bad.
constexpr double kSlowFactor = 4;
constexpr double kSlowAllowanceMicroseconds = 30'000;
constexpr double kLatencyWeight = 0.1;
constexpr std::uint32_t kTrialsUntilReturn = 3;
constexpr milliseconds kTrialSpacing(100);
constexpr milliseconds kTrialTimeout(30'000);
constexpr seconds kTrialPatience(5);
constexpr seconds kRepetitionDecay(60);
constexpr milliseconds kReporterInterval(250);
constexpr double kBadLinkShare = 0.5;
constexpr double kFineShare = 0.2;
constexpr double kFewOutcomes = 0.5;
constexpr std::uint32_t kMostRepetitions = 6;  // 5 s x 2^6 exceeds the longest ejection.

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
  return std::min(kFirstEjection * (1 << std::min(repetition, kMostRepetitions)), kLongestEjection);
}

void health_judge::decaying_counts::DecayTo(steady_time now) {
  const double elapsed = std::chrono::duration<double>(now - at).count();
  if (elapsed > 0) {
    const double factor = std::exp2(-elapsed / kHalfLifeSeconds);
    good *= factor;
    bad *= factor;
    at = now;
  }
}

double health_judge::decaying_counts::Share() const {
  const double sum = good + bad;
  return sum < kFewOutcomes ? 0 : bad / sum;
}

// Nothing: the outcome says nothing about the health of the upstream.
std::optional<bool> health_judge::IsBad(const outcome_report& report, double usual_latency_us) {
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
  return !report.is_warming_up && usual_latency_us > 0 &&
         latency > kSlowFactor * usual_latency_us + kSlowAllowanceMicroseconds;
}

void health_judge::Observe(const outcome_report& report, steady_time now) {
  record& entry = records_[report.upstream];
  const std::optional<bool> is_bad = IsBad(report, entry.peer_latency_us);
  if (!is_bad) {
    if (report.is_trial) {
      entry.is_trial_running = false;
    }
    return;
  }
  if (report.is_trial) {
    FinishTrial(entry, *is_bad, now);
    return;
  }
  if (entry.state == standing::kHealthy) {
    Count(entry, report, *is_bad, now);
  }
}

void health_judge::Count(record& entry,
                         const outcome_report& report,
                         bool is_bad,
                         steady_time now) {
  decaying_counts& reporter = entry.by_reporter[report.reporter];
  reporter.DecayTo(now);
  (is_bad ? reporter.bad : reporter.good) += 1;
  if (bad_reporters_.contains(report.reporter)) {
    return;
  }
  entry.all.DecayTo(now);
  (is_bad ? entry.all.bad : entry.all.good) += 1;
  if (report.result == attempt_result::kSuccess && !is_bad) {
    const auto latency = static_cast<double>(report.latency.count());
    entry.latency_us = entry.latency_us == 0
                           ? latency
                           : entry.latency_us + kLatencyWeight * (latency - entry.latency_us);
  }
  if (entry.score > 0 && now - entry.last_bad > kEvidenceLife) {
    entry.score = 0;
    entry.first_bad.reset();
  }
  if (!is_bad && entry.score == 0) {
    return;
  }
  const double reference =
      std::clamp(2 * MedianShareOfPeers(report.upstream) + kLowestReference / 2, kLowestReference,
                 kHighestReference);
  const double sick = std::clamp(4 * reference, kLowestSickShare, kHighestSickShare);
  entry.score = std::max(0.0, entry.score + (is_bad ? std::log(sick / reference)
                                                    : std::log((1 - sick) / (1 - reference))));
  if (is_bad) {
    entry.first_bad = entry.first_bad.value_or(now);
    entry.last_bad = now;
  }
  if (entry.score == 0) {
    entry.first_bad.reset();
    entry.is_kept_by_floor = false;
  }
  if (entry.score >= kThreshold) {
    over_threshold_.insert(report.upstream);
  }
}

void health_judge::FinishTrial(record& entry, bool is_bad, steady_time now) {
  entry.is_trial_running = false;
  if (entry.state != standing::kTrial) {
    return;
  }
  if (is_bad) {
    Eject(entry, entry.evidence + "; trial failed", now);
    return;
  }
  if (++entry.trial_successes >= kTrialsUntilReturn) {
    entry.state = standing::kHealthy;
    entry.since = now;
  }
}

void health_judge::Eject(record& entry, std::string evidence, steady_time now) {
  entry.repetition = entry.was_ejected ? std::min(entry.repetition + 1, kMostRepetitions) : 0;
  entry.was_ejected = true;
  entry.state = standing::kEjected;
  entry.since = now;
  entry.until = now + EjectionTime(entry.repetition);
  constexpr std::size_t kLongestEvidence = 300;
  entry.evidence = evidence.substr(0, kLongestEvidence);
  entry.score = 0;
  entry.first_bad.reset();
  entry.all = {};
  entry.by_reporter.clear();
  entry.is_trial_running = false;
  entry.trial_successes = 0;
}

double health_judge::MedianShareOfPeers(const upstream_id& upstream) const {
  std::vector<double> shares;
  for (const auto& [id, entry] : records_) {
    if (id != upstream && entry.state == standing::kHealthy) {
      shares.push_back(entry.all.Share());
    }
  }
  return Median(std::move(shares));
}

double health_judge::MedianLatencyOfPeers(const upstream_id& upstream) const {
  std::vector<double> latencies;
  for (const auto& [id, entry] : records_) {
    if (id != upstream && entry.latency_us > 0) {
      latencies.push_back(entry.latency_us);
    }
  }
  return Median(std::move(latencies));
}

bool health_judge::IsCommonCause(const upstream_id& upstream) const {
  std::size_t peers = 0;
  std::size_t raised = 0;
  for (const auto& [id, entry] : records_) {
    if (id == upstream || entry.state != standing::kHealthy) {
      continue;
    }
    ++peers;
    raised += entry.score >= kRaised ? 1 : 0;
  }
  return peers == 0 || raised * 2 > peers;
}

// An entry VM has a bad link when it fails at several upstreams, and at most of those that it uses,
// while others have answers from the same upstreams.
void health_judge::FindBadReporters(steady_time now) {
  struct reporter_view {
    int used = 0;
    int failing_alone = 0;
  };
  std::map<std::string, reporter_view> views;
  for (auto& [id, entry] : records_) {
    decaying_counts sum;
    for (auto& [reporter, counts] : entry.by_reporter) {
      counts.DecayTo(now);
      sum.good += counts.good;
      sum.bad += counts.bad;
    }
    for (const auto& [reporter, counts] : entry.by_reporter) {
      if (counts.good + counts.bad < kFewOutcomes) {
        continue;
      }
      reporter_view& view = views[reporter];
      ++view.used;
      const double others_good = sum.good - counts.good;
      const double others_bad = sum.bad - counts.bad;
      const bool are_others_fine =
          others_good >= kFewOutcomes && others_bad <= kFineShare * (others_good + others_bad);
      if (counts.Share() >= kBadLinkShare && are_others_fine) {
        ++view.failing_alone;
      }
    }
  }
  bad_reporters_.clear();
  for (const auto& [reporter, view] : views) {
    if (view.failing_alone >= 2 && view.failing_alone * 2 > view.used) {
      bad_reporters_.insert(reporter);
    }
  }
  reporters_judged_at_ = now;
}

// Two entry VMs must agree, unless only one uses the upstream.
bool health_judge::IsTrusted(const record& entry, steady_time now) const {
  int accusing = 0;
  int content = 0;
  for (auto [reporter, counts] : entry.by_reporter) {
    if (bad_reporters_.contains(reporter)) {
      continue;
    }
    counts.DecayTo(now);
    if (counts.bad >= kFewOutcomes) {
      ++accusing;
    } else if (counts.good >= kFewOutcomes) {
      ++content;
    }
  }
  return accusing >= 2 || (accusing == 1 && content == 0);
}

bool health_judge::AllowsEjection(const std::vector<upstream_capacity>& capacities,
                                  const upstream_capacity& candidate,
                                  std::uint32_t floor_percent) const {
  std::uint64_t announced = 0;
  std::uint64_t healthy = 0;
  for (const upstream_capacity& each : capacities) {
    if (each.place != candidate.place) {
      continue;
    }
    announced += each.slots;
    if (each.is_ready && each.id != candidate.id && StandingOf(each.id) == standing::kHealthy) {
      healthy += each.slots;
    }
  }
  return healthy * 100 >= announced * floor_percent && healthy > 0;
}

std::optional<ejection> health_judge::Judge(const std::vector<upstream_capacity>& capacities,
                                            std::uint32_t floor_percent,
                                            steady_time now) {
  if (over_threshold_.empty()) {
    return std::nullopt;
  }
  FindBadReporters(now);
  for (const upstream_id& id : std::exchange(over_threshold_, {})) {
    record& entry = records_[id];
    const auto capacity =
        std::find_if(capacities.begin(), capacities.end(),
                     [&](const upstream_capacity& each) { return each.id == id; });
    if (capacity == capacities.end() || !capacity->is_ready || entry.score < kThreshold ||
        entry.state != standing::kHealthy) {
      continue;
    }
    if (!IsTrusted(entry, now) || IsCommonCause(id)) {
      entry.score = kHalfThreshold;
      continue;
    }
    if (entry.last_bad - *entry.first_bad < kShortestEvidence) {
      continue;
    }
    if (!AllowsEjection(capacities, *capacity, floor_percent)) {
      entry.is_kept_by_floor = true;
      continue;
    }
    Eject(entry, Describe(id, entry), now);
    return ejection{{}, id.name, id.incarnation, entry.repetition, entry.evidence};
  }
  return std::nullopt;
}

std::string health_judge::Describe(const upstream_id& upstream, const record& entry) const {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                "bad %.1f of %.1f recent outcomes, median share of peers %.2f, reporters %zu",
                entry.all.bad, entry.all.bad + entry.all.good, MedianShareOfPeers(upstream),
                entry.by_reporter.size());
  return text.data();
}

std::vector<upstream_id> health_judge::EnforceFloor(
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
    if (StandingOf(each.id) == standing::kHealthy) {
      healthy += each.slots;
    } else {
      ejected.push_back(&each);
    }
  }
  // Those with the fewest repetitions, and of these the ones longest ejected, return first.
  std::sort(ejected.begin(), ejected.end(), [&](const auto* left, const auto* right) {
    const record& a = records_.at(left->id);
    const record& b = records_.at(right->id);
    return std::tie(a.repetition, a.since) < std::tie(b.repetition, b.since);
  });
  std::vector<upstream_id> returned;
  for (const upstream_capacity* each : ejected) {
    auto& [announced, healthy] = places[each->place];
    if (healthy * 100 >= announced * floor_percent && healthy > 0) {
      continue;
    }
    record& entry = records_[each->id];
    entry.state = standing::kHealthy;
    entry.since = now;
    entry.is_kept_by_floor = true;
    entry.score = kHalfThreshold;
    entry.first_bad = now;
    entry.last_bad = now;
    healthy += each->slots;
    returned.push_back(each->id);
  }
  return returned;
}

std::vector<upstream_id> health_judge::Advance(steady_time now) {
  if (now - reporters_judged_at_ >= kReporterInterval) {
    FindBadReporters(now);
  }
  std::vector<upstream_id> returned;
  for (auto& [id, entry] : records_) {
    entry.peer_latency_us = MedianLatencyOfPeers(id);
    if (entry.state == standing::kEjected && now >= entry.until) {
      entry.state = standing::kTrial;
      entry.since = now;
      entry.trial_successes = 0;
    }
    if (entry.is_kept_by_floor && now - entry.last_bad > kLastChoiceTime) {
      entry.is_kept_by_floor = false;
    }
    if (entry.is_trial_running && now - entry.trial_started >= kTrialTimeout) {
      entry.is_trial_running = false;
    }
    if (entry.state == standing::kHealthy && entry.was_ejected) {
      if (entry.trial_successes >= kTrialsUntilReturn) {
        returned.push_back(id);
        entry.trial_successes = 0;
      }
      if (now - entry.since >= kRepetitionDecay) {
        entry.since = now;
        entry.was_ejected = entry.repetition > 0;
        entry.repetition -= entry.was_ejected ? 1 : 0;
      }
    }
  }
  return returned;
}

bool health_judge::HasEjections() const {
  return std::any_of(records_.begin(), records_.end(),
                     [](const auto& each) { return each.second.state != standing::kHealthy; });
}

standing health_judge::StandingOf(const upstream_id& upstream) const {
  const auto found = records_.find(upstream);
  return found == records_.end() ? standing::kHealthy : found->second.state;
}

bool health_judge::IsSuspected(const upstream_id& upstream) const {
  const auto found = records_.find(upstream);
  return found != records_.end() && found->second.is_kept_by_floor;
}

bool health_judge::MayTry(const upstream_id& upstream, bool is_idempotent, steady_time now) const {
  const auto found = records_.find(upstream);
  if (found == records_.end() || found->second.state != standing::kTrial ||
      found->second.is_trial_running || now - found->second.trial_started < kTrialSpacing) {
    return false;
  }
  return is_idempotent || now - found->second.since >= kTrialPatience;
}

void health_judge::StartTrial(const upstream_id& upstream, steady_time now) {
  record& entry = records_[upstream];
  entry.is_trial_running = true;
  entry.trial_started = now;
}

void health_judge::CancelTrial(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found != records_.end()) {
    found->second.is_trial_running = false;
  }
}

void health_judge::Restore(const ejection& former, steady_time now) {
  record& entry = records_[{former.upstream, former.incarnation}];
  Eject(entry, former.evidence, now);
  entry.repetition = former.repetition;
  entry.until = now + EjectionTime(former.repetition);
}

std::vector<upstream_id> health_judge::Retain(const std::set<upstream_id>& known, steady_time now) {
  std::vector<upstream_id> dropped;
  std::erase_if(records_, [&](const auto& each) {
    if (known.contains(each.first)) {
      return false;
    }
    // An ejection from the log may be older than the first announcement that this leader receives.
    if (each.second.state != standing::kHealthy) {
      if (now - each.second.since <= kLongestEjection) {
        return false;
      }
      dropped.push_back(each.first);
    }
    return true;
  });
  return dropped;
}

std::vector<health_judge::ejection_view> health_judge::Ejections() const {
  std::vector<ejection_view> views;
  for (const auto& [id, entry] : records_) {
    if (entry.state != standing::kHealthy) {
      views.push_back(
          {id, entry.state, entry.repetition, entry.since, entry.until, entry.evidence});
    }
  }
  return views;
}

}  // namespace corianderhoist
