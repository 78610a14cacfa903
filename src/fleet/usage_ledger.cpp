#include "fleet/usage_ledger.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRateWindow(1000);
// A rate is also measured over this shorter window, so that a sudden rise of the demand shows soon.
constexpr milliseconds kShortRateWindow(400);
// Delay of the control loop: until a request is counted and until the resulting decision reaches
// the VMs.
constexpr double kFeedbackDelaySeconds = 0.3;
// Part of the limit that is reserved for counts that have not arrived: a ratio of the limit, and a
// few requests for small workspaces.
constexpr double kReservedLimitRatio = 0.07;
constexpr double kReservedRequests = 2;
// Below this ratio of the limit nothing is refused.
constexpr double kUnthrottledUsageRatio = 0.9;
constexpr double kNearLimitUsageRatio = 0.6;
// Repeats are unrestricted until this ratio of the budget is used. The rest covers the repeats that
// VMs send before they learn that the budget is low.
constexpr double kLowBudgetUsageRatio = 0.5;
constexpr milliseconds kRecentWindow(2000);
// From 10 % of failures on, idle capacity counts as lost; the margin leaves time to react.
constexpr double kDegradedFailureRatio = 0.075;

double LimitOf(const workspace_rate& limit, const rate_tolerance& tolerance) {
  const double base = static_cast<double>(limit.rate_per_second) *
                          std::chrono::duration<double>(tolerance.window).count() +
                      static_cast<double>(limit.burst);
  return std::max(base, base * (1 + tolerance.excess - kReservedLimitRatio) + tolerance.slack -
                            kReservedRequests);
}

// Requests per second: the larger of a long-window and a short-window estimate.
double RateOf(const sliding_count& count, steady_time now) {
  const double short_windows_per_second =
      std::chrono::duration<double>(kRateWindow) / kShortRateWindow;
  return std::max(static_cast<double>(count.Sum(kRateWindow, now)),
                  static_cast<double>(count.Sum(kShortRateWindow, now)) * short_windows_per_second);
}

std::int64_t BucketOf(steady_time now) {
  return now.time_since_epoch() / sliding_count::kBucketDuration;
}

}  // namespace

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
                                      steady_time now) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return {};
  }
  const workspace_counts& counts = found->second;
  workspace_usage usage;
  usage.admitted_rate = RateOf(counts.admitted, now);
  usage.demand_rate = usage.admitted_rate + RateOf(counts.refused, now);
  for (std::size_t i = 0; i < usage.spent.size(); ++i) {
    usage.spent[i] = static_cast<double>(
        counts.admitted.Sum(tolerance.window - workspace_usage::kHorizons[i], now));
  }
  return usage;
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
    usage.spent[i] += LimitOf(limit, tolerance) * (unknown / window);
  }
  return usage;
}

double AdmittedShare(const workspace_usage& usage,
                     const workspace_rate& limit,
                     const rate_tolerance& tolerance) {
  if (limit.rate_per_second == 0 || usage.demand_rate == 0) {
    return 1;
  }
  const double allowed = LimitOf(limit, tolerance);
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
  return limit.rate_per_second != 0 &&
         usage.spent.back() + usage.demand_rate > LimitOf(limit, tolerance) * kNearLimitUsageRatio;
}

bool IsDegraded(const service_usage& usage) {
  return usage.recent_failures > kDegradedFailureRatio * usage.recent_requests;
}

bool IsRepeatBudgetLow(const service_usage& usage, const repeat_bound& bound) {
  return usage.repeats > kLowBudgetUsageRatio * (bound.ratio * usage.requests + bound.extra);
}

}  // namespace corianderhoist
