#include "serving/repeat_budget.h"

#include <algorithm>
#include <chrono>

namespace corianderhoist {
namespace {

// Part of the budget that is handed out as tokens; the rest covers differences between the windows
// in which requests and repeats are counted.
constexpr double kHandedOut = 0.8;
constexpr double kMostEarned = 8;  // Tokens.

}  // namespace

void repeat_budget::Earn(const std::string& service) {
  tokens& own = services_[service];
  own.earned = std::min(own.earned + bound_.ratio * kHandedOut, kMostEarned);
}

bool repeat_budget::TryTake(const std::string& service, bool is_scarce, std::uint32_t active_vms) {
  tokens& own = services_[service];
  const steady_time now = clock_.Now();
  const double most_fixed = bound_.extra * kHandedOut / std::max(active_vms, 1U);
  const double elapsed = std::chrono::duration<double>(now - own.at).count();
  const double window = std::chrono::duration<double>(bound_.window).count();
  own.fixed = own.is_known ? std::min(own.fixed + most_fixed * elapsed / window, most_fixed)
                           : most_fixed;
  own.is_known = true;
  own.at = now;
  if (own.earned + own.fixed >= 1) {
    const double from_earned = std::min(own.earned, 1.0);
    own.earned -= from_earned;
    own.fixed -= 1 - from_earned;
    return true;
  }
  if (is_scarce) {
    return false;
  }
  own.earned = own.fixed = 0;
  return true;
}

}  // namespace corianderhoist
