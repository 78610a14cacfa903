#include "serving/repeat_budget.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// Part of the budget that the VMs may use together once it is scarce. Half is used by then, and a
// tenth covers what they send until they have heard of it.
constexpr double kOwnPart = 0.4;

}  // namespace

void repeat_budget::CountRequest(const std::string& service) {
  services_[service].requests.Add(1, clock_.Now());
}

bool repeat_budget::TryTake(const std::string& service, bool is_scarce, std::uint32_t active_vms) {
  counts& own = services_[service];
  const steady_time now = clock_.Now();
  if (is_scarce) {
    const auto requests = static_cast<double>(own.requests.Sum(bound_.window, now));
    const auto repeats = static_cast<double>(own.repeats.Sum(bound_.window, now));
    const double part =
        kOwnPart * (bound_.ratio * requests + bound_.extra / std::max(active_vms, 1U));
    if (repeats + 1 > part) {
      return false;
    }
  }
  own.repeats.Add(1, now);
  return true;
}

}  // namespace corianderhoist
