#include "serving/repeat_budget.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// Fraction of the budget that all VMs together may use once it is low. Half is used by then, and
// a tenth covers the repeats that VMs send until they learn that it is low.
constexpr double kLowBudgetFraction = 0.4;

}  // namespace

void repeat_budget::CountRequest(const std::string& service) {
  services_[service].requests.Add(1, clock_.Now());
}

bool repeat_budget::TryTake(const std::string& service,
                            repeat_cause cause,
                            bool is_budget_low,
                            std::uint32_t active_vms) {
  counts& service_counts = services_[service];
  if (cause == repeat_cause::kSlowness && is_budget_low) {
    return false;
  }
  const steady_time now = clock_.Now();
  if (is_budget_low) {
    const auto requests = static_cast<double>(service_counts.requests.Sum(bound_.window, now));
    const auto repeats = static_cast<double>(service_counts.repeats.Sum(bound_.window, now));
    const double allowance =
        kLowBudgetFraction * (bound_.ratio * requests + bound_.extra / std::max(active_vms, 1U));
    if (repeats + 1 > allowance) {
      return false;
    }
  }
  service_counts.repeats.Add(1, now);
  return true;
}

}  // namespace corianderhoist
