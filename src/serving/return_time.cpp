#include "serving/return_time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter(200);
constexpr milliseconds kRetryAfterJitter(600);
constexpr int kLongRetryAfterJitterDivisor = 4;
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

}  // namespace

milliseconds ReturnTime(serving_context& context, error_kind kind, const std::string& service) {
  const auto base = AnswerFor(kind).retry_after;
  if (!base) {
    return {};
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
