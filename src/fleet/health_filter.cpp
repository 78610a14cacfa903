#include "fleet/health_filter.h"

#include <algorithm>
#include <cmath>

namespace corianderhoist {
namespace {

// Share of requests that fail at a sound upstream, and at a failing one.
constexpr double kSoundFailures = 0.015;
constexpr double kFailingFailures = 0.7;
// A request that is not answered at all is rarer at a sound upstream than an error.
constexpr double kSoundUnheard = 0.005;
constexpr double kFailingUnheard = 0.3;
// Mean time for which an upstream keeps failing. Sets how fast old evidence loses its weight.
constexpr std::chrono::milliseconds kMeanFailingTime(10'000);
// Keeps one run of outcomes from making the filter deaf to later ones.
constexpr double kLowestFailing = 0.002;
constexpr double kHighestFailing = 0.995;

double Likelihood(attempt_evidence evidence, double failures, double unheard) {
  switch (evidence) {
    case attempt_evidence::kGood:
      return 1 - failures;
    case attempt_evidence::kFailed:
      return failures;
    case attempt_evidence::kUnheard:
      return unheard;
    case attempt_evidence::kLate:
      // Takes back the report of the same request: it was slow, which its pace says.
      return (1 - failures) / unheard;
  }
  return 1;
}

}  // namespace

double health_filter::FailingAt(steady_time now) const {
  const double elapsed = std::max(0.0, std::chrono::duration<double>(now - updated_at_).count());
  const double mean_failing = std::chrono::duration<double>(kMeanFailingTime).count();
  // Both ways of changing state together: 1/failing time + 1/sound time.
  const double rate = 1 / (mean_failing * (1 - kFailingShare));
  return kFailingShare + (failing_ - kFailingShare) * std::exp(-rate * elapsed);
}

double health_filter::FailureOf(double failing) {
  return failing * kFailingFailures + (1 - failing) * kSoundFailures;
}

double health_filter::FailureAt(steady_time now) const {
  return FailureOf(FailingAt(now));
}

void health_filter::Observe(attempt_evidence evidence, steady_time now) {
  const double before = FailingAt(now);
  const double if_failing = before * Likelihood(evidence, kFailingFailures, kFailingUnheard);
  const double if_sound = (1 - before) * Likelihood(evidence, kSoundFailures, kSoundUnheard);
  failing_ = std::clamp(if_failing / (if_failing + if_sound), kLowestFailing, kHighestFailing);
  updated_at_ = std::max(updated_at_, now);
}

}  // namespace corianderhoist
