/// Estimates the time in which requests of a route are likely to be answered.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace corianderhoist {

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

  /// Returns the time in which about nine of ten answers come, at most `bound`, which is also the
  /// estimate without any answer.
  std::chrono::milliseconds Likely(std::chrono::milliseconds bound) const {
    return mean_ ? std::min(std::chrono::ceil<std::chrono::milliseconds>(*mean_ +
                                                                         kDeviations * deviation_),
                            bound)
                 : bound;
  }

 private:
  static constexpr int kMeanSmoothing = 8;
  static constexpr int kDeviationSmoothing = 4;
  static constexpr int kDeviations = 2;

  std::optional<std::chrono::microseconds> mean_;
  std::chrono::microseconds deviation_{};
};

}  // namespace corianderhoist
