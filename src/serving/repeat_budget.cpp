#include "serving/repeat_budget.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// Part of the budget that the VMs may use together once it is scarce. Half is used by then, and a
// tenth covers what they send until they have heard of it.
constexpr double kOwnPart = 0.4;
// Part of the budget's share of the requests that is for slowness. Sound upstreams answer about one
// request in twenty later than the time of a second send.
constexpr double kSlowPart = 0.25;
constexpr double kMostSlowTokens = 2;

}  // namespace

void repeat_budget::CountRequest(const std::string& service) {
  counts& own = services_[service];
  own.requests.Add(1, clock_.Now());
  own.slow_tokens = std::min(own.slow_tokens + kSlowPart * bound_.ratio, kMostSlowTokens);
}

bool repeat_budget::TryTake(const std::string& service,
                            repeat_cause cause,
                            bool is_scarce,
                            std::uint32_t active_vms) {
  counts& own = services_[service];
  if (cause == repeat_cause::kSlowness && (is_scarce || own.slow_tokens < 1)) {
    return false;
  }
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
  own.slow_tokens -= cause == repeat_cause::kSlowness ? 1 : 0;
  own.repeats.Add(1, now);
  return true;
}

}  // namespace corianderhoist
