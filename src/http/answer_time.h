/// Estimates the time in which requests of a route are likely to be answered.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace corianderhoist {

/// The times from the arrival of a request to its answer that its route suggests.
struct answer_estimate {
  std::chrono::milliseconds likely{};      ///< For about nine of ten answers.
  std::chrono::milliseconds nearly_all{};  ///< For all but rare ones.
  std::chrono::milliseconds typical{};     ///< The mean; half of the objective without answers.
};

/// Smoothed mean and mean deviation, as in RFC 6298: follows a change within a few answers.
class answer_time {
 public:
  /// Adds the time of an answer, or the time without one at the deadline.
  void Add(std::chrono::microseconds taken) {
    if (!mean_) {
      mean_ = taken;
      deviation_ = taken / 2;
      return;
    }
    const std::chrono::microseconds error = std::chrono::abs(taken - *mean_);
    deviation_ += (error - deviation_) / kDeviationSmoothing;
    *mean_ += (taken - *mean_) / kMeanSmoothing;
  }

  /// `objective` and `limit` are those of the route. They bound the estimates, and stand for them
  /// without any answer.
  answer_estimate Estimate(std::chrono::milliseconds objective,
                           std::chrono::milliseconds limit) const {
    if (!mean_) {
      return {objective, limit, objective / 2};
    }
    return {std::min(WithDeviations(kLikelyDeviations), objective),
            std::min(WithDeviations(kNearlyAllDeviations), limit),
            std::min(WithDeviations(0), objective)};
  }

 private:
  static constexpr int kMeanSmoothing = 8;
  static constexpr int kDeviationSmoothing = 4;
  static constexpr int kLikelyDeviations = 2;
  static constexpr int kNearlyAllDeviations = 4;

  std::chrono::milliseconds WithDeviations(int count) const {
    return std::chrono::ceil<std::chrono::milliseconds>(*mean_ + count * deviation_);
  }

  std::optional<std::chrono::microseconds> mean_;
  std::chrono::microseconds deviation_{};
};

}  // namespace corianderhoist
