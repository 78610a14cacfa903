#include "fleet/usage_ledger.h"

#include <algorithm>
#include <cmath>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRateWindow(1000);
// A rate is also measured over this shorter window, so that a sudden rise of the demand shows soon.
constexpr milliseconds kShortRateWindow(400);
constexpr milliseconds kDemandMemory(1000);
// Fewer requests in a short window do not tell a peak from chance.
constexpr std::uint64_t kMinPeakRequests = 20;
// From this number of counted requests on, chance changes an estimate of the fleet's requests by
// less than the reserve of a workspace of that size.
constexpr double kMinSampleRequests = 10;
// Delay of the control loop: until a request is counted and until the resulting decision reaches
// the VMs.
constexpr double kFeedbackDelaySeconds = 0.3;
// The time for which admitted requests are not counted: one bucket by which counts may leave the
// window early, the exchange between regions near a limit with its delay, and one tick of a core
// VM. A workspace at its limit admits this part of the limit meanwhile.
constexpr milliseconds kUncountedTime = sliding_count::kBucketDuration + milliseconds(150 + 100);
// For small workspaces: requests are whole.
constexpr double kReservedRequests = 2;
// Below this ratio of the limit nothing is refused.
constexpr double kUnthrottledUsageRatio = 0.9;
constexpr double kNearLimitUsageRatio = 0.6;
constexpr double kPerMille = 1000;
constexpr std::uint32_t kRoomStepPerMille = 125;
constexpr double kRoomHysteresisPerMille = 50;
// Repeats are unrestricted until this ratio of the budget is used. The rest covers the repeats that
// VMs send before they learn that the budget is low.
constexpr double kLowBudgetUsageRatio = 0.5;
constexpr milliseconds kRecentWindow(2000);
// From 10 % of failures on, idle capacity counts as lost; the margin leaves time to react.
constexpr double kDegradedFailureRatio = 0.075;
constexpr double kElevatedFailureRatio = 0.05;

// Requests per second: the larger of a long-window and a short-window estimate.
double RateOf(const sliding_count& count, steady_time now, double ratio) {
  const double short_windows_per_second =
      std::chrono::duration<double>(kRateWindow) / kShortRateWindow;
  const auto estimate = [&](milliseconds window) {
    return EstimateFleetCount(static_cast<double>(count.Sum(window, now)), ratio);
  };
  return std::max(estimate(kRateWindow), estimate(kShortRateWindow) * short_windows_per_second);
}

// The highest short-window rate of recent time: callers that pause come back sooner than a decision
// reaches the VMs.
template <class Counts>
double PeakRateOf(const Counts& counts, steady_time now, double ratio) {
  const double short_windows_per_second =
      std::chrono::duration<double>(kRateWindow) / kShortRateWindow;
  std::uint64_t peak = 0;
  for (milliseconds age(0); age < kDemandMemory; age += kShortRateWindow) {
    peak = std::max(peak, counts.admitted.Sum(kShortRateWindow, now - age) +
                              counts.refused.Sum(kShortRateWindow, now - age));
  }
  return peak < kMinPeakRequests
             ? 0
             : EstimateFleetCount(static_cast<double>(peak), ratio) * short_windows_per_second;
}

std::int64_t BucketOf(steady_time now) {
  return now.time_since_epoch() / sliding_count::kBucketDuration;
}

}  // namespace

double SteeredLimit(const workspace_rate& limit, const rate_tolerance& tolerance) {
  const std::chrono::duration<double> window = tolerance.window;
  const double base = static_cast<double>(limit.rate_per_second) * window.count() +
                      static_cast<double>(limit.burst);
  const double reserved_ratio = kUncountedTime / window;
  return std::max(
      base, base * (1 + tolerance.excess - reserved_ratio) + tolerance.slack - kReservedRequests);
}

double EstimateFleetCount(double counted, double ratio) {
  if (counted >= kMinSampleRequests) {
    return counted * ratio;
  }
  // The counted requests are a sample: each came to this part with a probability of 1 / ratio.
  const double deviation = std::sqrt(counted * (1 - 1 / ratio));
  return std::max(counted, ratio * (counted - deviation));
}

void sliding_count::Add(std::uint64_t amount, steady_time now) {
  const std::int64_t number = BucketOf(now);
  bucket& current = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (current.number > number) {
    return;  // The bucket has already been reused for a later time.
  }
  if (current.number != number) {
    current = {number, 0};
  }
  current.count += amount;
}

std::uint64_t sliding_count::Sum(milliseconds window, steady_time now) const {
  const std::int64_t last = BucketOf(now);
  const std::int64_t first = last - window / kBucketDuration + 1;
  std::uint64_t sum = 0;
  for (const bucket& each : buckets_) {
    if (each.number >= first && each.number <= last) {
      sum += each.count;
    }
  }
  return sum;
}

void usage_ledger::CountWorkspace(const std::string& workspace,
                                  std::uint64_t admitted,
                                  std::uint64_t refused,
                                  steady_time now) {
  workspace_counts& counts = workspaces_[workspace];
  counts.admitted.Add(admitted, now);
  counts.refused.Add(refused, now);
}

void usage_ledger::CountService(const std::string& service,
                                std::uint64_t requests,
                                std::uint64_t repeats,
                                std::uint64_t failures,
                                steady_time now) {
  service_counts& counts = services_[service];
  counts.requests.Add(requests, now);
  counts.repeats.Add(repeats, now);
  counts.failures.Add(failures, now);
}

workspace_usage usage_ledger::UsageOf(const std::string& workspace,
                                      const rate_tolerance& tolerance,
                                      steady_time now,
                                      double ratio) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return {};
  }
  const workspace_counts& counts = found->second;
  workspace_usage usage;
  usage.admitted_rate = RateOf(counts.admitted, now, ratio);
  usage.demand_rate = std::max(usage.admitted_rate + RateOf(counts.refused, now, ratio),
                               PeakRateOf(counts, now, ratio));
  for (std::size_t i = 0; i < usage.spent.size(); ++i) {
    usage.spent[i] = static_cast<double>(
        counts.admitted.Sum(tolerance.window - workspace_usage::kHorizons[i], now));
  }
  return usage;
}

double usage_ledger::Admitted(const std::string& workspace,
                              milliseconds window,
                              steady_time now) const {
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() ? 0
                                    : static_cast<double>(found->second.admitted.Sum(window, now));
}

service_usage usage_ledger::UsageOf(const std::string& service,
                                    const repeat_bound& bound,
                                    steady_time now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  return {static_cast<double>(found->second.requests.Sum(bound.window, now)),
          static_cast<double>(found->second.repeats.Sum(bound.window, now)),
          static_cast<double>(found->second.requests.Sum(kRecentWindow, now)),
          static_cast<double>(found->second.failures.Sum(kRecentWindow, now))};
}

workspace_usage WithAssumedEarlierUsage(workspace_usage usage,
                                        const workspace_rate& limit,
                                        const rate_tolerance& tolerance,
                                        milliseconds known_for) {
  const std::chrono::duration<double> window = tolerance.window;
  for (std::size_t i = 0; i < usage.spent.size(); ++i) {
    const milliseconds elapsed = tolerance.window - workspace_usage::kHorizons[i];
    const std::chrono::duration<double> unknown = std::max(elapsed - known_for, milliseconds(0));
    usage.spent[i] += SteeredLimit(limit, tolerance) * (unknown / window);
  }
  return usage;
}

double AdmittedShare(const workspace_usage& usage,
                     const workspace_rate& limit,
                     const rate_tolerance& tolerance) {
  if (limit.rate_per_second == 0 || usage.demand_rate == 0) {
    return 1;
  }
  const double allowed = SteeredLimit(limit, tolerance);
  const double in_flight = usage.admitted_rate * kFeedbackDelaySeconds;
  if (usage.spent.back() + in_flight + usage.demand_rate <= allowed * kUnthrottledUsageRatio) {
    return 1;
  }
  double share = 1;
  for (std::size_t i = 0; i < usage.spent.size(); ++i) {
    const double horizon_seconds =
        std::chrono::duration<double>(workspace_usage::kHorizons[i]).count();
    share = std::min(
        share, (allowed - usage.spent[i] - in_flight) / (usage.demand_rate * horizon_seconds));
  }
  return std::max(share, 0.0);
}

bool IsNearLimit(const workspace_usage& usage,
                 const workspace_rate& limit,
                 const rate_tolerance& tolerance) {
  return limit.rate_per_second != 0 && usage.spent.back() + usage.demand_rate >
                                           SteeredLimit(limit, tolerance) * kNearLimitUsageRatio;
}

std::uint32_t RoomPerMille(const workspace_usage& usage,
                           const workspace_rate& limit,
                           const rate_tolerance& tolerance,
                           std::uint32_t former) {
  const double allowed = SteeredLimit(limit, tolerance);
  const double used = usage.spent.front() + usage.admitted_rate * kFeedbackDelaySeconds;
  const double unused = std::clamp(kPerMille * (1 - used / allowed), 0.0, kPerMille);
  const auto step_below = [](double room) {
    return std::min(static_cast<std::uint32_t>(room) / kRoomStepPerMille * kRoomStepPerMille,
                    kMaxRoomPerMille);
  };
  const std::uint32_t room = step_below(unused);
  return room > former
             ? std::max(former, step_below(std::max(unused - kRoomHysteresisPerMille, 0.0)))
             : room;
}

double GrowthPerVm(const workspace_rate& limit,
                   const rate_tolerance& tolerance,
                   std::uint32_t room_per_mille,
                   std::uint32_t active_vms) {
  return SteeredLimit(limit, tolerance) * room_per_mille / kPerMille / std::max(active_vms, 1U);
}

service_strain StrainOf(const service_usage& usage) {
  return usage.recent_failures > kDegradedFailureRatio * usage.recent_requests
             ? service_strain::kDegraded
         : usage.recent_failures > kElevatedFailureRatio * usage.recent_requests
             ? service_strain::kElevated
             : service_strain::kNone;
}

bool IsRepeatBudgetLow(const service_usage& usage, const repeat_bound& bound) {
  return usage.repeats > kLowBudgetUsageRatio * (bound.ratio * usage.requests + bound.extra);
}

}  // namespace corianderhoist
