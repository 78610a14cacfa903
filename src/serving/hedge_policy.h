/// Decides when a request that has no response yet is also sent to a second upstream (a hedge).
///
/// Load: a few slow upstreams, or slow requests, among many. Without a share set by the operator
/// the second attempt is sent after a fixed fraction of the route's objective, within a fraction of
/// the repeat budget. With a share it is sent once the attempt has taken longer than that share of
/// the responses of its service take, and at most this share of the requests is hedged. No I/O and
/// no timers; durations in `std::chrono` units, shares from 0 to 1; there are no errors.
#pragma once

#include "base/clock.h"
#include "fleet/latency_digest.h"
#include "fleet/usage_ledger.h"
#include "serving/repeat_budget.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// The largest share that an operator may set.
inline constexpr double kMaxHedgeShare = 0.2;

/// Shares of the requests that may be hedged. A share of 0 turns hedging by digest off.
struct hedge_settings {
  double max_share = 0;                    ///< Of services without their own share.
  std::map<std::string, double> services;  ///< By service.
  std::map<std::string, double> routes;    ///< By route; these routes have token buckets of their
                                           ///< own.

  /// The share of the route, else of the service, else `max_share`.
  double ShareOf(const std::string& service, const std::string& route) const;
};

enum class hedge_delay_source : std::uint8_t { kObjective, kDigest };

/// Time without a response after which an attempt is hedged.
struct hedge_delay {
  std::chrono::milliseconds delay{};
  hedge_delay_source source = hedge_delay_source::kObjective;
  std::chrono::milliseconds digest_age{};  ///< 0 without a digest.
};

/// What is due for an attempt without a response.
struct slow_step {
  bool has_no_response = false;  ///< The upstream is reported as not responding.
  bool is_repeat_due = false;    ///< The request may be sent to a second upstream.
  /// A missing response that is rare for the service counts as a failure: the second attempt is a
  /// retry, which the shares do not limit.
  repeat_cause cause = repeat_cause::kSlowness;
  std::optional<std::chrono::milliseconds> next;  ///< Time until the next step.
};

/// Time from the start of an attempt until its first step.
std::chrono::milliseconds FirstSlowStep(const hedge_delay& delay,
                                        std::chrono::milliseconds objective);
/// The step of an attempt that has run for `taken`.
slow_step SlowStepAt(std::chrono::nanoseconds taken,
                     const hedge_delay& delay,
                     std::chrono::milliseconds objective);

/// Why a slow request is not sent to a second upstream.
enum class hedge_skip : std::uint8_t {
  kNotRepeatable,    ///< The request must not run twice, or has no attempts or time left.
  kBodyNotReplayed,  ///< Part of the body was streamed and is not kept.
  kOtherAttempt,     ///< Two attempts are running.
  kNotSent,          ///< The attempt is still connecting, or the caller is sending the body.
  kAnswerBegun,
  kDraining,  ///< The VM is shutting down, and the second attempt is not likely to end before.
  kBudgetLow,
  kNearRate,    ///< The workspace is near its rate.
  kNoFreeSlot,  ///< No other upstream of the service has a free slot.
  kLimitReached,
};
inline constexpr std::size_t kHedgeSkips = 10;
std::string_view NameOf(hedge_skip reason);

/// A request with an attempt that has no response yet.
struct slow_request {
  std::string service;
  std::string route;
  repeat_cause cause = repeat_cause::kSlowness;
  bool may_repeat = false;  ///< It may run twice and has attempts and time left.
  bool is_body_replayable = true;
  std::size_t running_attempts = 1;
  bool is_whole_request_sent = true;
  bool has_answer_begun = false;
  bool is_budget_low = false;  ///< The repeat budget of the service.
  // Considered only for hedges with a share:
  bool can_end_before_drain = true;
  double admitted_share = 1;  ///< Of the requests of its workspace.
  bool has_free_slot = true;  ///< At an upstream that was not tried.
};

/// An attempt that is still running when another one of its request is answered.
struct losing_attempt {
  bool is_reported_silent = false;  ///< Its end will show whether the upstream is slow or fails.
  bool has_answer_begun = false;
  std::optional<std::uint64_t> length;  ///< Of the body of the answer, if stated.
  std::uint64_t received = 0;           ///< Bytes of that body.
};

/// Whether the losing attempt is cancelled: not if the rest of its answer is small, because the
/// connection can be reused then.
bool IsCancelled(const losing_attempt& loser);

/// Holds the token buckets of this VM, one for each service, and for each route with a share of its
/// own. A request adds its share to its bucket, which starts empty and holds at most two tokens; a
/// hedge takes one. The hedges of all VMs are therefore at most the share of all requests. Not
/// thread safe.
class hedge_policy {
 public:
  /// `repeats`: budget of which a fraction limits hedges without a share.
  hedge_policy(hedge_settings settings, repeat_bound repeats, const clock_source& clock)
      : settings_(std::move(settings)), repeats_(repeats), clock_(clock) {}

  double ShareOf(const std::string& service, const std::string& route) const {
    return settings_.ShareOf(service, route);
  }
  /// Counts a request that is not a repeat.
  void CountRequest(const std::string& service, const std::string& route);
  hedge_delay DelayFor(const std::string& service,
                       const std::string& route,
                       std::chrono::milliseconds objective,
                       const latency_digests& digests) const;
  /// Returns why the request is not sent to a second upstream. If it is sent, returns nothing, and
  /// takes a token for a hedge.
  std::optional<hedge_skip> TryTake(const slow_request& request);
  /// Whether a skipped hedge is logged: once a second for each reason. Returns the number of
  /// skipped ones since the last that was logged, including this one, or 0.
  std::uint64_t CountSkip(hedge_skip reason);

 private:
  struct skip_count {
    std::uint64_t unlogged = 0;
    steady_time next_log{};
  };

  std::optional<hedge_skip> FindObstacle(const slow_request& request, double share) const;
  double& TokensOf(const std::string& service, const std::string& route);

  const hedge_settings settings_;
  const repeat_bound repeats_;
  const clock_source& clock_;
  std::map<std::string, double> service_tokens_;
  std::map<std::string, double> route_tokens_;
  std::array<skip_count, kHedgeSkips> skips_;
};

}  // namespace corianderhoist
