/// Estimates whether an upstream is failing its requests, from the outcomes of real requests.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace corianderhoist {

/// What one finished attempt says of the upstream that ran it.
enum class attempt_evidence : std::uint8_t {
  kGood,     ///< A whole answer that is not a server error.
  kFailed,   ///< A server error, a broken answer, or a connection lost under way.
  kUnheard,  ///< No answer, or no connection, in time.
  kLate,     ///< A good answer after all to a request that was reported as `kUnheard`.
};

/// Whether the request was answered well, in time or not.
inline bool IsAnsweredWell(attempt_evidence evidence) {
  return evidence == attempt_evidence::kGood || evidence == attempt_evidence::kLate;
}

/// A model with two states, sound and failing, that change at random times. Each outcome moves the
/// probability of the failing state by Bayes' rule; without outcomes it returns to the long-run
/// share. A sound upstream fails about 1 % of its requests, a failing one most of them, so that one
/// failure is strong evidence and several successes are needed to outweigh it. Not thread safe.
class health_filter {
 public:
  explicit health_filter(steady_time now) : updated_at_(now) {}

  void Observe(attempt_evidence evidence, steady_time now);
  /// Probability that the upstream is failing at `now`.
  double FailingAt(steady_time now) const;
  /// Probability that the next request fails.
  double FailureAt(steady_time now) const;

  /// Probability that a request fails at an upstream whose probability of failing is `failing`.
  static double FailureOf(double failing);

 private:
  double failing_ = kFailingShare;
  steady_time updated_at_;

 public:
  /// Long-run share of failing upstreams.
  static constexpr double kFailingShare = 0.25;
};

}  // namespace corianderhoist
