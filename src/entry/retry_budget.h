/// Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
#pragma once

#include <algorithm>
#include <mutex>

namespace corianderhoist {

/// Thread safe. Each request adds a tenth of a retry, up to a reserve of ten retries.
class retry_budget {
 public:
  void OnRequest() {
    const std::lock_guard guard(lock_);
    tenths_ = std::min(tenths_ + 1, kReserveTenths);
  }
  /// Takes one retry from the reserve. Returns false if less than one is left.
  bool TryTake() {
    const std::lock_guard guard(lock_);
    if (tenths_ < kTenthsPerRetry) {
      return false;
    }
    tenths_ -= kTenthsPerRetry;
    return true;
  }

 private:
  static constexpr int kTenthsPerRetry = 10;
  static constexpr int kReserveTenths = 10 * kTenthsPerRetry;

  std::mutex lock_;
  int tenths_ = kReserveTenths;
};

}  // namespace corianderhoist
