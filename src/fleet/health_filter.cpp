#include "fleet/health_filter.h"

#include <algorithm>
#include <cmath>

namespace corianderhoist {
namespace {

// Ratio of requests that fail at a healthy and at a failing upstream.
constexpr double kHealthyFailureRatio = 0.015;
constexpr double kFailingFailureRatio = 0.7;
// Ratio of requests that time out. At a healthy upstream a timeout is rarer than an error.
constexpr double kHealthyUnansweredRatio = 0.005;
constexpr double kFailingUnansweredRatio = 0.3;
// Mean time that an upstream stays in the failing state. Sets how fast old outcomes lose weight.
constexpr std::chrono::milliseconds kMeanFailingDuration(10'000);
// Bounds that keep a long run of equal outcomes from outweighing all later ones.
constexpr double kMinFailingProbability = 0.002;
constexpr double kMaxFailingProbability = 0.995;

double Likelihood(attempt_evidence evidence, double failure_ratio, double unanswered_ratio) {
  switch (evidence) {
    case attempt_evidence::kGood:
      return 1 - failure_ratio;
    case attempt_evidence::kFailed:
      return failure_ratio;
    case attempt_evidence::kTimedOut:
      return unanswered_ratio;
    case attempt_evidence::kLateSuccess:
      // Cancels the earlier `kTimedOut` of the same request: it was only slow, which its relative
      // latency shows.
      return (1 - failure_ratio) / unanswered_ratio;
  }
  return 1;
}

}  // namespace

double health_filter::FailingProbabilityAt(steady_time now) const {
  const double elapsed = std::max(0.0, std::chrono::duration<double>(now - updated_at_).count());
  const double mean_failing = std::chrono::duration<double>(kMeanFailingDuration).count();
  // Sum of both transition rates: 1 / mean failing time + 1 / mean healthy time.
  const double transition_rate = 1 / (mean_failing * (1 - kLongRunFailingRatio));
  return kLongRunFailingRatio +
         (failing_ - kLongRunFailingRatio) * std::exp(-transition_rate * elapsed);
}

double health_filter::RequestFailureProbability(double failing) {
  return failing * kFailingFailureRatio + (1 - failing) * kHealthyFailureRatio;
}

double health_filter::RequestFailureProbabilityAt(steady_time now) const {
  return RequestFailureProbability(FailingProbabilityAt(now));
}

void health_filter::Observe(attempt_evidence evidence, steady_time now) {
  const double before = FailingProbabilityAt(now);
  const double if_failing =
      before * Likelihood(evidence, kFailingFailureRatio, kFailingUnansweredRatio);
  const double if_healthy =
      (1 - before) * Likelihood(evidence, kHealthyFailureRatio, kHealthyUnansweredRatio);
  failing_ = std::clamp(if_failing / (if_failing + if_healthy), kMinFailingProbability,
                        kMaxFailingProbability);
  updated_at_ = std::max(updated_at_, now);
}

}  // namespace corianderhoist
