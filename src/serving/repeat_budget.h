/// This VM's part of the budget for repeated requests.
#pragma once

#include "base/clock.h"
#include "fleet/usage_ledger.h"

#include <map>
#include <string>

namespace corianderhoist {

/// Tokens per service: each request earns a part of one, and the fixed part of the budget is divided
/// among the VMs. While the fleet as a whole uses little of the budget, repeats are not limited
/// here. Not thread safe.
class repeat_budget {
 public:
  repeat_budget(repeat_bound bound, const clock_source& clock) : bound_(bound), clock_(clock) {}

  /// A request for the service, not a repeat.
  void Earn(const std::string& service);
  /// Takes a repeat. `is_scarce`: the fleet has used much of the budget. `active_vms` share it.
  bool TryTake(const std::string& service, bool is_scarce, std::uint32_t active_vms);

 private:
  struct tokens {
    double earned = 0;
    double fixed = 0;
    steady_time at{};
    bool is_known = false;
  };

  const repeat_bound bound_;
  const clock_source& clock_;
  std::map<std::string, tokens> services_;
};

}  // namespace corianderhoist
