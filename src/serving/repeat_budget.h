/// Limits repeats of requests (retries after a failure and hedged requests) to this VM's part of
/// the fleet's budget.
#pragma once

#include "base/clock.h"
#include "fleet/usage_ledger.h"

#include <cstdint>
#include <map>
#include <string>

namespace corianderhoist {

/// Why a request is sent to another upstream.
enum class repeat_cause : std::uint8_t {
  kFailure,   ///< Retry: the first attempt failed, and so does the request without a repeat.
  kSlowness,  ///< Hedge: the first attempt is slow and may still succeed.
};

/// As long as the fleet has used less than half of the budget, this VM does not limit retries.
/// After that the budget is low: each VM keeps to its part of the other half, counted over the
/// same window, and only failures are repeated. `hedge_policy` limits hedged requests further.
/// Bounds the extra load when many requests fail at once. Not thread safe.
class repeat_budget {
 public:
  repeat_budget(repeat_bound bound, const clock_source& clock) : bound_(bound), clock_(clock) {}

  /// Counts a request for the service that is not a repeat.
  void CountRequest(const std::string& service);
  /// Takes a repeat from the budget, or returns false. `is_budget_low` tells that the fleet has
  /// used half of the budget, which `active_vms` share.
  bool TryTake(const std::string& service,
               repeat_cause cause,
               bool is_budget_low,
               std::uint32_t active_vms);

 private:
  struct counts {
    sliding_count requests;
    sliding_count repeats;
  };

  const repeat_bound bound_;
  const clock_source& clock_;
  std::map<std::string, counts> services_;
};

}  // namespace corianderhoist
