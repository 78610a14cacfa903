#include "serving/upstream_limits.h"

#include "base/hash.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Part of the limit that is used. The slots of the VMs lie at random: in 4 s and a slot, 2.7 of
// them are expected at a limit of one a second, and more than 11 with a probability of 1 in 30,000.
constexpr double kUsedFraction = 0.6;
// A request that comes late in a slot must not add up with those of the next slots.
constexpr nanoseconds kMaxSlotLength = milliseconds(500);
// An upstream that gets no request cannot state that its limit has ended.
constexpr std::uint64_t kMinPerKilosecond = 250;
// By then the core VMs have told whether the limit still holds.
constexpr milliseconds kOwnStatementLifetime(2000);
constexpr double kKilosecondNanoseconds = 1e12;

}  // namespace

bool upstream_limits::Note(upstream_handle upstream, std::optional<std::uint64_t> per_kilosecond) {
  if (!per_kilosecond) {
    const bool was_limited = LimitOf(upstream).has_value();
    if (const auto found = records_.find(upstream); found != records_.end()) {
      found->second.per_kilosecond = 0;
    }
    return was_limited;
  }
  record& entry = records_[upstream];
  entry.per_kilosecond = std::max(*per_kilosecond, kMinPerKilosecond);
  entry.heard_at = clock_.Now();
  return true;
}

std::optional<std::uint64_t> upstream_limits::LimitOf(upstream_handle upstream) const {
  const known_upstream* known = view_.Find(upstream);
  const std::uint64_t shared = known == nullptr ? 0 : known->condition.limit_per_kilosecond;
  const auto found = records_.find(upstream);
  const steady_time now = clock_.Now();
  const bool is_own_valid =
      found != records_.end() && found->second.per_kilosecond > 0 &&
      (now - found->second.heard_at < kOwnStatementLifetime || !view_.AreLimitsCurrent(now));
  if (is_own_valid) {
    return found->second.per_kilosecond;
  }
  return shared == 0 ? std::nullopt : std::optional(std::max(shared, kMinPerKilosecond));
}

std::optional<upstream_limits::slot> upstream_limits::SlotOf(upstream_handle upstream) const {
  const auto limit = LimitOf(upstream);
  if (!limit) {
    return std::nullopt;
  }
  const double vms = std::max(view_.Limits().active_vms, 1U);
  const nanoseconds period(static_cast<std::int64_t>(
      vms * kKilosecondNanoseconds / (kUsedFraction * static_cast<double>(*limit))));
  const nanoseconds length = std::min(period / 2, kMaxSlotLength);
  const std::uint64_t parts[] = {seed_, upstream};
  const std::uint64_t hash = FastHash({reinterpret_cast<const char*>(parts), sizeof(parts)});
  const nanoseconds offset(
      static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(period.count())));
  const steady_time now = clock_.Now();
  const nanoseconds in_period = (now.time_since_epoch() + offset) % period;
  const steady_time begins_at = now - in_period;
  const auto found = records_.find(upstream);
  const bool is_used = found != records_.end() && now - found->second.sent_at <= length;
  const bool is_over = in_period >= length || is_used;
  return slot{is_over ? begins_at + period : begins_at, length};
}

bool upstream_limits::MaySend(upstream_handle upstream) const {
  const auto next = SlotOf(upstream);
  return !next || next->begins_at <= clock_.Now();
}

bool upstream_limits::TakeSlot(upstream_handle upstream) {
  const auto next = SlotOf(upstream);
  if (!next) {
    return true;
  }
  const steady_time now = clock_.Now();
  if (next->begins_at > now) {
    return false;
  }
  records_[upstream].sent_at = now;
  return true;
}

milliseconds upstream_limits::TimeUntilOpen(upstream_handle upstream) const {
  const auto next = SlotOf(upstream);
  return next ? std::max(milliseconds(0),
                         std::chrono::ceil<milliseconds>(next->begins_at - clock_.Now()))
              : milliseconds(0);
}

void upstream_limits::Sweep() {
  std::erase_if(records_, [this](const auto& item) { return !view_.IsKnown(item.first); });
}

}  // namespace corianderhoist
