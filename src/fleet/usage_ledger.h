/// Request counts over all VMs: for the rate limits of workspaces and the repeat budgets of
/// services.
#pragma once

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace corianderhoist {

/// Sliding-window counter over the last ten seconds, in buckets of 100 ms. Not thread safe.
class sliding_count {
 public:
  void Add(std::uint64_t amount, steady_time now);
  /// Sum over the last `window`, to the resolution of a bucket.
  std::uint64_t Sum(std::chrono::milliseconds window, steady_time now) const;

  static constexpr std::chrono::milliseconds kBucketDuration{100};
  static constexpr std::size_t kBuckets =
      105;  // More than 10 s, so that a window of 10 s has only complete buckets.

 private:
  struct bucket {
    std::int64_t number = -1;  ///< Time in units of `kBucketDuration`.
    std::uint64_t count = 0;
  };
  std::array<bucket, kBuckets> buckets_{};
};

/// Tolerance of a rate limit. In any `window`, at most (rate x window + burst) x (1 + excess) +
/// slack requests are admitted over all VMs. The tolerance is needed because counts of other VMs
/// arrive late. The limiter uses most of it, so that few requests within the rate are refused.
struct rate_tolerance {
  std::chrono::milliseconds window{5000};
  double excess = 0;  ///< Fraction of the limit.
  double slack = 0;   ///< Requests.
};

/// Rate limit of a workspace.
struct workspace_rate {
  std::uint64_t rate_per_second = 0;
  std::uint64_t burst = 0;
};

/// Input of the admission decision for a workspace.
struct workspace_usage {
  /// Times in the future at which the decision checks the limit. Requests from the beginning of the
  /// window have left it by the later horizons but not by the earlier ones; checking all of them
  /// prevents a burst of admitted requests from being followed by a second one.
  static constexpr std::array kHorizons = {
      std::chrono::milliseconds(250), std::chrono::milliseconds(500),
      std::chrono::milliseconds(750), std::chrono::milliseconds(1000)};
  /// By horizon: requests already admitted in the window that ends at the horizon.
  std::array<double, kHorizons.size()> spent{};
  double admitted_rate = 0;  ///< Current requests per second.
  double demand_rate = 0;    ///< The same, admitted and refused.
};

/// An estimate of the requests of the whole fleet, from those that were counted in a part of it
/// with one of `ratio` VMs. Below ten requests it is a standard deviation lower than their
/// proportion. It answers a demand that has risen before the counts of other parts arrive; the
/// deviation keeps few requests of a small workspace, which differ by chance, from looking like a
/// rise.
double EstimateFleetCount(double counted, double ratio);

/// Repeat budget of a service: at most ratio x requests + extra repeats in any `window`.
struct repeat_bound {
  double ratio = 0.2;  ///< Repeats per request.
  std::chrono::milliseconds window{10'000};
  double extra = 0;  ///< Repeats that are allowed regardless of the number of requests.
};

/// Requests and repeats of a service within the window.
struct service_usage {
  double requests = 0;
  double repeats = 0;
  double recent_requests = 0;  ///< In the last two seconds.
  double recent_failures = 0;  ///< Requests that ended without success in the last two seconds.
};

/// Rates counted for less than this time do not reflect the demand. Without this limit, core VMs
/// that restart while a workspace sends eight times its usual rate admit everything until they have
/// counted it (seed 1 of limit_schedule_test).
constexpr std::chrono::milliseconds kMinCountingTime(1000);

/// Adds the requests that may have been admitted before the counts began, `known_for` ago, assuming
/// that the workspace used its full limit. A core VM that has just started has no earlier counts,
/// although those requests are still in the window. Covers the loss of all core VMs while a
/// workspace sends several times its rate.
workspace_usage WithAssumedEarlierUsage(workspace_usage usage,
                                        const workspace_rate& limit,
                                        const rate_tolerance& tolerance,
                                        std::chrono::milliseconds known_for);

/// Share of a workspace's requests that the VMs may admit now, from 0 to 1. It is 1 unless the
/// demand of the last second would reach the limit within the next second. Limits a workspace that
/// sends several times its rate.
double AdmittedShare(const workspace_usage& usage,
                     const workspace_rate& limit,
                     const rate_tolerance& tolerance);

/// The requests of a window up to which the core VMs let VMs admit. What is left up to the bound of
/// `rate_tolerance` covers requests that are not counted yet.
double SteeredLimit(const workspace_rate& limit, const rate_tolerance& tolerance);

/// The part of `SteeredLimit` that VMs without contact may use beyond their former level: what is
/// unused, rounded down to a step, and never more than `kMaxRoomPerMille`. It rises only if it
/// clearly exceeds the next step, since each change is sent to every VM.
constexpr std::uint32_t kMaxRoomPerMille = 750;
std::uint32_t RoomPerMille(const workspace_usage& usage,
                           const workspace_rate& limit,
                           const rate_tolerance& tolerance,
                           std::uint32_t former);

/// Requests in a window by which one of `active_vms` VMs without contact may exceed its former
/// level, so that all of them together use no more than the room.
double GrowthPerVm(const workspace_rate& limit,
                   const rate_tolerance& tolerance,
                   std::uint32_t room_per_mille,
                   std::uint32_t active_vms);

/// Whether the demand is so close to the limit that counts must be exchanged more often.
bool IsNearLimit(const workspace_usage& usage,
                 const workspace_rate& limit,
                 const rate_tolerance& tolerance);

/// Whether so much of the budget is used that each VM must stay within its own part of it. Bounds
/// the load that failing upstreams cause by making all VMs repeat requests at once.
bool IsRepeatBudgetLow(const service_usage& usage, const repeat_bound& bound);

/// How many of a service's requests end without success, trials of suspected upstreams excepted.
enum class service_strain : std::uint8_t {
  kNone,
  /// So many that more failures would soon use up the tolerance for idle upstreams.
  kElevated,
  /// So many that every upstream of the service must get some requests: upstreams that are avoided
  /// because of old outcomes may have recovered.
  kDegraded,
};

/// Derives the strain of a service from its latest requests. Covers the failure of many upstreams
/// at once.
service_strain StrainOf(const service_usage& usage);

/// Request counts by workspace and by service. Not thread safe.
class usage_ledger {
 public:
  void CountWorkspace(const std::string& workspace,
                      std::uint64_t admitted,
                      std::uint64_t refused,
                      steady_time now);
  void CountService(const std::string& service,
                    std::uint64_t requests,
                    std::uint64_t repeats,
                    std::uint64_t failures,
                    steady_time now);

  /// `ratio`: the VMs of the fleet per VM that is counted here, for the rates; see
  /// `EstimateFleetCount`.
  workspace_usage UsageOf(const std::string& workspace,
                          const rate_tolerance& tolerance,
                          steady_time now,
                          double ratio = 1) const;
  /// Admitted requests of the last `window`.
  double Admitted(const std::string& workspace,
                  std::chrono::milliseconds window,
                  steady_time now) const;
  service_usage UsageOf(const std::string& service,
                        const repeat_bound& bound,
                        steady_time now) const;

  /// Calls the visitors with the counts, if any, of the time of length `step` that ends at `end`:
  /// `on_workspace(name, admitted, refused)`, `on_service(name, requests, repeats, failures)`.
  template <class OnWorkspace, class OnService>
  void Visit(std::chrono::milliseconds step,
             steady_time end,
             OnWorkspace on_workspace,
             OnService on_service) const {
    for (const auto& [name, counts] : workspaces_) {
      const std::uint64_t admitted = counts.admitted.Sum(step, end);
      const std::uint64_t refused = counts.refused.Sum(step, end);
      if (admitted + refused > 0) {
        on_workspace(name, admitted, refused);
      }
    }
    for (const auto& [name, counts] : services_) {
      const std::uint64_t requests = counts.requests.Sum(step, end);
      const std::uint64_t repeats = counts.repeats.Sum(step, end);
      const std::uint64_t failures = counts.failures.Sum(step, end);
      if (requests + repeats + failures > 0) {
        on_service(name, requests, repeats, failures);
      }
    }
  }

 private:
  struct workspace_counts {
    sliding_count admitted;
    sliding_count refused;
  };
  struct service_counts {
    sliding_count requests;
    sliding_count repeats;
    sliding_count failures;
  };
  std::map<std::string, workspace_counts> workspaces_;
  std::map<std::string, service_counts> services_;
};

}  // namespace corianderhoist
