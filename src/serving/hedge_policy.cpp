#include "serving/hedge_policy.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// If there is no response after this fraction of the objective, an idempotent request is also sent
// to a second upstream. Nearly all responses of healthy upstreams come earlier, and the second one
// can still be in time. After the larger fraction the first upstream is reported as not responding.
constexpr double kHedgeObjectiveFraction = 0.6;
constexpr double kNoResponseObjectiveFraction = 0.9;
// Fraction of the repeat budget that hedges without a share may use. Healthy upstreams take longer
// than the hedge delay for about one request in twenty.
constexpr double kHedgeBudgetFraction = 0.25;
constexpr double kMaxTokens = 2;
constexpr double kInitialTokensWithoutShare = 1;
// Timers have a resolution of a millisecond.
constexpr milliseconds kTimerMargin(1);
constexpr std::uint64_t kSmallRemainderBytes = 16UL << 10U;
constexpr milliseconds kSkipLogInterval(1000);

milliseconds NoResponseAfter(milliseconds objective) {
  return duration_cast<milliseconds>(objective * kNoResponseObjectiveFraction);
}

// Whether even responses of healthy upstreams often come so late that a missing one is no failure.
bool IsLateResponseUsual(const hedge_delay& delay, milliseconds objective) {
  return delay.source == hedge_delay_source::kDigest && delay.delay > NoResponseAfter(objective);
}

}  // namespace

double hedge_settings::ShareOf(const std::string& service, const std::string& route) const {
  if (const auto found = routes.find(route); found != routes.end()) {
    return found->second;
  }
  const auto found = services.find(service);
  return found == services.end() ? max_share : found->second;
}

milliseconds FirstSlowStep(const hedge_delay& delay, milliseconds objective) {
  return IsLateResponseUsual(delay, objective) ? NoResponseAfter(objective) + kTimerMargin
                                               : delay.delay;
}

slow_step SlowStepAt(std::chrono::nanoseconds taken,
                     const hedge_delay& delay,
                     milliseconds objective) {
  const milliseconds no_response_after = NoResponseAfter(objective);
  const bool is_usual = IsLateResponseUsual(delay, objective);
  slow_step step;
  step.has_no_response = taken >= no_response_after;
  step.is_repeat_due = !is_usual || taken >= delay.delay;
  if (step.has_no_response && !is_usual) {
    step.cause = repeat_cause::kFailure;
  }
  if (!step.has_no_response) {
    step.next = duration_cast<milliseconds>(no_response_after - taken) + kTimerMargin;
  } else if (!step.is_repeat_due) {
    step.next = duration_cast<milliseconds>(delay.delay - taken) + kTimerMargin;
  }
  return step;
}

std::string_view NameOf(hedge_skip reason) {
  switch (reason) {
    case hedge_skip::kNotRepeatable:
      return "not_repeatable";
    case hedge_skip::kBodyNotReplayed:
      return "body_not_replayable";
    case hedge_skip::kOtherAttempt:
      return "other_attempt";
    case hedge_skip::kNotSent:
      return "not_sent";
    case hedge_skip::kAnswerBegun:
      return "answer_begun";
    case hedge_skip::kDraining:
      return "draining";
    case hedge_skip::kBudgetLow:
      return "budget_low";
    case hedge_skip::kNearRate:
      return "near_rate";
    case hedge_skip::kNoFreeSlot:
      return "no_free_slot";
    case hedge_skip::kLimitReached:
      return "limit_reached";
  }
  return "unknown";
}

bool IsCancelled(const losing_attempt& loser) {
  if (loser.is_reported_silent) {
    return false;
  }
  const bool is_remainder_small = loser.has_answer_begun && loser.length &&
                                  *loser.length <= loser.received + kSmallRemainderBytes;
  return !is_remainder_small;
}

// ---- hedge_policy ----

double& hedge_policy::TokensOf(const std::string& service, const std::string& route) {
  const double initial = ShareOf(service, route) > 0 ? 0 : kInitialTokensWithoutShare;
  return settings_.routes.contains(route)
             ? route_tokens_.try_emplace(route, initial).first->second
             : service_tokens_.try_emplace(service, initial).first->second;
}

void hedge_policy::CountRequest(const std::string& service, const std::string& route) {
  const double share = ShareOf(service, route);
  double& tokens = TokensOf(service, route);
  tokens =
      std::min(tokens + (share > 0 ? share : kHedgeBudgetFraction * repeats_.ratio), kMaxTokens);
}

hedge_delay hedge_policy::DelayFor(const std::string& service,
                                   const std::string& route,
                                   milliseconds objective,
                                   const latency_digests& digests) const {
  const steady_time now = clock_.Now();
  const double share = ShareOf(service, route);
  const auto* known = share > 0 ? digests.Find(service, now) : nullptr;
  if (known != nullptr) {
    const auto exceeded = std::chrono::ceil<milliseconds>(TimeExceededBy(share, known->digest));
    if (exceeded.count() > 0) {
      return {exceeded, hedge_delay_source::kDigest,
              duration_cast<milliseconds>(now - known->as_of)};
    }
  }
  return {duration_cast<milliseconds>(objective * kHedgeObjectiveFraction),
          hedge_delay_source::kObjective, milliseconds(0)};
}

std::optional<hedge_skip> hedge_policy::FindObstacle(const slow_request& request,
                                                     double share) const {
  if (!request.is_body_replayable) {
    return hedge_skip::kBodyNotReplayed;
  }
  if (!request.may_repeat) {
    return hedge_skip::kNotRepeatable;
  }
  if (request.running_attempts != 1) {
    return hedge_skip::kOtherAttempt;
  }
  if (!request.is_whole_request_sent) {
    return hedge_skip::kNotSent;
  }
  if (request.has_answer_begun) {
    return hedge_skip::kAnswerBegun;
  }
  if (request.cause == repeat_cause::kFailure) {
    return std::nullopt;
  }
  if (request.is_budget_low) {
    return hedge_skip::kBudgetLow;
  }
  if (share <= 0) {
    return std::nullopt;
  }
  if (!request.can_end_before_drain) {
    return hedge_skip::kDraining;
  }
  if (request.admitted_share < 1) {
    return hedge_skip::kNearRate;
  }
  if (!request.has_free_slot) {
    return hedge_skip::kNoFreeSlot;
  }
  return std::nullopt;
}

std::optional<hedge_skip> hedge_policy::TryTake(const slow_request& request) {
  const double share = ShareOf(request.service, request.route);
  if (const auto obstacle = FindObstacle(request, share)) {
    return obstacle;
  }
  if (request.cause == repeat_cause::kFailure) {
    return std::nullopt;
  }
  double& tokens = TokensOf(request.service, request.route);
  if (tokens < 1) {
    return hedge_skip::kLimitReached;
  }
  tokens -= 1;
  return std::nullopt;
}

std::uint64_t hedge_policy::CountSkip(hedge_skip reason) {
  skip_count& count = skips_.at(static_cast<std::size_t>(reason));
  ++count.unlogged;
  const steady_time now = clock_.Now();
  if (now < count.next_log) {
    return 0;
  }
  count.next_log = now + kSkipLogInterval;
  return std::exchange(count.unlogged, 0);
}

}  // namespace corianderhoist
