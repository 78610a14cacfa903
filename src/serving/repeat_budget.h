/// This VM's part of the budget for repeated requests.
#pragma once

#include "base/clock.h"
#include "fleet/usage_ledger.h"

#include <cstdint>
#include <map>
#include <string>

namespace corianderhoist {

/// Why a request is sent to another upstream.
enum class repeat_cause : std::uint8_t {
  kFailure,   ///< The first attempt has failed: without a repeat the request fails.
  kSlowness,  ///< The first attempt is late and may still succeed.
};

/// While the fleet uses little of the budget, repeats are not limited here. Once it has used half,
/// each VM keeps to its own part of the other half, counted over the same window, and only failures
/// are repeated. Repeats for slowness are a small share of the requests at all times, so that they
/// do not use up what failures need. Answers the load of many failures at once. Not thread safe.
class repeat_budget {
 public:
  repeat_budget(repeat_bound bound, const clock_source& clock) : bound_(bound), clock_(clock) {}

  /// A request for the service, not a repeat.
  void CountRequest(const std::string& service);
  /// Takes a repeat. `is_scarce`: the fleet has used half of the budget. `active_vms` share it.
  bool TryTake(const std::string& service,
               repeat_cause cause,
               bool is_scarce,
               std::uint32_t active_vms);

 private:
  struct counts {
    sliding_count requests;
    sliding_count repeats;
    double slow_tokens = 1;  ///< Repeats for slowness that may be taken.
  };

  const repeat_bound bound_;
  const clock_source& clock_;
  std::map<std::string, counts> services_;
};

}  // namespace corianderhoist
