/// Passive health check: estimates from request outcomes whether an upstream is failing.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace corianderhoist {

/// Outcome of one finished attempt, as evidence of the health of the upstream that ran it.
enum class attempt_evidence : std::uint8_t {
  kGood,         ///< A complete response that is not a server error.
  kFailed,       ///< A server error, a malformed response, or a connection lost during the request.
  kTimedOut,     ///< Timeout of the response or of the connection attempt.
  kLateSuccess,  ///< A good response to a request that was already reported as `kTimedOut`.
};

/// Whether the request got a good response, in time or not.
inline bool IsSuccess(attempt_evidence evidence) {
  return evidence == attempt_evidence::kGood || evidence == attempt_evidence::kLateSuccess;
}

/// Bayesian filter over a two-state Markov model: an upstream is healthy or failing and changes
/// state at random times. Each outcome updates the probability of the failing state by Bayes' rule;
/// without outcomes it decays to the long-run ratio. A healthy upstream fails about 1 % of its
/// requests and a failing one most of them, so that one failure is strong evidence and several
/// successes are needed to outweigh it. Not thread safe.
class health_filter {
 public:
  explicit health_filter(steady_time now) : updated_at_(now) {}

  void Observe(attempt_evidence evidence, steady_time now);
  /// Probability that the upstream is in the failing state at `now`.
  double FailingProbabilityAt(steady_time now) const;
  /// Probability that the next request fails.
  double RequestFailureProbabilityAt(steady_time now) const;

  /// Probability that a request fails if the upstream is in the failing state with probability
  /// `failing`.
  static double RequestFailureProbability(double failing);

 private:
  double failing_ = kLongRunFailingRatio;
  steady_time updated_at_;

 public:
  /// Long-run ratio of failing upstreams; also the estimate for an upstream without outcomes.
  static constexpr double kLongRunFailingRatio = 0.25;
};

}  // namespace corianderhoist
