#include "serving/return_time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter(200);
constexpr milliseconds kRetryAfterJitter(600);
constexpr int kLongRetryAfterJitterDivisor = 4;
constexpr milliseconds kMinBacklogReturnTime(100);
// A queue that has stalled gives no estimate beyond this.
constexpr milliseconds kMaxBacklogReturnTime(10'000);
constexpr double kReturnJitterRatio = 0.25;
constexpr milliseconds kMinRetryElsewhere(10);
constexpr milliseconds kRetryElsewhereJitter(90);

milliseconds DrawUpTo(serving_context& context, milliseconds limit) {
  return milliseconds(
      static_cast<std::int64_t>(context.random() % static_cast<std::uint64_t>(limit.count())));
}

// Time until an upstream of the service accepts requests; zero if one does or all of them leave.
milliseconds TimeUntilOpen(const serving_context& context, const std::string& service) {
  std::optional<milliseconds> first;
  for (const known_upstream* upstream : context.view.UpstreamsOf(service)) {
    const auto stated = context.statements.TimeUntilOpen(IncarnationOf(upstream->entry));
    if (!stated) {
      continue;
    }
    const auto time = std::max(*stated, context.limits.TimeUntilOpen(upstream->entry.handle));
    if (!first || time < *first) {
      first = time;
    }
  }
  return first.value_or(milliseconds(0));
}

milliseconds WithJitter(std::chrono::microseconds base, milliseconds longest, double draw) {
  const auto bounded = std::clamp<std::chrono::microseconds>(base, kMinBacklogReturnTime, longest);
  return std::chrono::ceil<milliseconds>(bounded * (1 + kReturnJitterRatio * draw));
}

// The time that the queue suggests; nothing if it says nothing about this refusal.
std::optional<milliseconds> ScarcityReturnTime(serving_context& context,
                                               error_kind kind,
                                               const std::string& service,
                                               const queue_rank& rank) {
  if (!context.queues.IsEnabled()) {
    return std::nullopt;
  }
  const double draw = std::uniform_real_distribution<>(0, 1)(context.random);
  if (kind == error_kind::kQueueFull || kind == error_kind::kQueueTimeout) {
    const auto backlog = context.queues.BacklogOf(service, rank, context.clock.Now());
    return backlog ? std::optional(BacklogReturnTime(backlog->ahead, backlog->interval, draw))
                   : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

milliseconds BacklogReturnTime(std::size_t ahead, std::chrono::microseconds interval, double draw) {
  return WithJitter(interval * ahead, kMaxBacklogReturnTime, draw);
}

milliseconds ReturnTime(serving_context& context,
                        error_kind kind,
                        const std::string& service,
                        const queue_rank& rank) {
  const auto base = AnswerFor(kind).retry_after;
  if (!base) {
    return {};
  }
  if (const auto time = ScarcityReturnTime(context, kind, service, rank)) {
    return *time;
  }
  if (kind == error_kind::kShuttingDown && context.view.Limits().active_vms > 1) {
    // Other VMs can serve the caller at once.
    return kMinRetryElsewhere + DrawUpTo(context, kRetryElsewhereJitter);
  }
  if (kind == error_kind::kNoUpstream || kind == error_kind::kUpstreamUnreachable) {
    const milliseconds wait = std::max(kMinRetryAfter, TimeUntilOpen(context, service));
    return wait +
           DrawUpTo(context, std::max(kRetryAfterJitter, wait / kLongRetryAfterJitterDivisor));
  }
  if (kind == error_kind::kStateUnconfirmed && context.waits.IsEnabled()) {
    return context.waits.ReturnTime(context.clock.Now()) + DrawUpTo(context, kRetryAfterJitter);
  }
  const bool is_long = kind == error_kind::kRequestHeldBack;
  return (is_long ? milliseconds(*base) : kMinRetryAfter) + DrawUpTo(context, kRetryAfterJitter);
}

}  // namespace corianderhoist
