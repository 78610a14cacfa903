/// This VM's part of the budget for repeated requests.
#pragma once

#include "base/clock.h"
#include "fleet/usage_ledger.h"

#include <map>
#include <string>

namespace corianderhoist {

/// While the fleet uses little of the budget, repeats are not limited here. Once it has used half,
/// each VM keeps to its own part of the other half, counted over the same window. Not thread safe.
class repeat_budget {
 public:
  repeat_budget(repeat_bound bound, const clock_source& clock) : bound_(bound), clock_(clock) {}

  /// A request for the service, not a repeat.
  void CountRequest(const std::string& service);
  /// Takes a repeat. `is_scarce`: the fleet has used half of the budget. `active_vms` share it.
  bool TryTake(const std::string& service, bool is_scarce, std::uint32_t active_vms);

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
