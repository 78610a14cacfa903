#include "coordinator/rate_ledger.h"

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::nanoseconds;

// NTP slews a clock by at most 500 ppm, so tokens accrue at 1999/2000 of the rate.
constexpr std::int64_t kAccrualPerNanosecond = 1999;
constexpr std::int64_t kUnitsPerToken = 2'000 * std::int64_t{1'000'000'000};
// Keeps levels within 64 bits. A larger burst is treated as this one.
constexpr std::uint64_t kLargestBurst = 4'000'000;
constexpr std::uint64_t kLargestRate = 1'000'000'000;
// A commit within a region takes a few milliseconds.
constexpr nanoseconds kCheckpointRetry = std::chrono::milliseconds(3);

using wide = __int128;

std::int64_t Units(std::uint64_t tokens) {
  return static_cast<std::int64_t>(tokens) * kUnitsPerToken;
}

rate_limit Bounded(rate_limit limit) {
  return {std::min(limit.rate_per_second, kLargestRate), std::min(limit.burst, kLargestBurst)};
}

}  // namespace

std::uint64_t DefaultGuarantee(const rate_limit& limit) {
  return std::min(limit.burst, kLargestBurst) / 4 * 3;
}

rate_bucket::rate_bucket(rate_limit limit,
                         std::uint64_t tokens,
                         std::uint64_t guarantee,
                         steady_time now)
    : limit_(Bounded(limit)),
      level_(Units(std::min(tokens, limit_.burst))),
      accrued_at_(now),
      committed_(std::min(guarantee, limit_.burst)) {}

// Grants lapse in the order of their expiry. A lapsed grant may have been used at its last moment,
// so the room that it occupied begins to fill only then.
void rate_bucket::Accrue(steady_time now) {
  while (!grants_.empty()) {
    const auto next = std::min_element(
        grants_.begin(), grants_.end(),
        [](const grant& left, const grant& right) { return left.expiry < right.expiry; });
    if (next->expiry > now) {
      break;
    }
    AccrueUntil(next->expiry);
    outstanding_ -= next->tokens;
    grants_.erase(next);
  }
  AccrueUntil(now);
}

void rate_bucket::AccrueUntil(steady_time time) {
  const auto elapsed = nanoseconds(time - accrued_at_).count();
  if (elapsed <= 0) {
    return;
  }
  accrued_at_ = time;
  const wide gained =
      wide{elapsed} * kAccrualPerNanosecond * static_cast<std::int64_t>(limit_.rate_per_second);
  const wide highest = Units(limit_.burst - std::min(outstanding_, limit_.burst));
  level_ =
      static_cast<std::int64_t>(std::min(wide{level_} + gained, std::max(highest, wide{level_})));
}

nanoseconds rate_bucket::TimeFor(std::int64_t units) const {
  if (limit_.rate_per_second == 0) {
    return std::chrono::hours(24);
  }
  const std::int64_t per_nanosecond =
      kAccrualPerNanosecond * static_cast<std::int64_t>(limit_.rate_per_second);
  return nanoseconds((units + per_nanosecond - 1) / per_nanosecond);
}

std::uint64_t rate_bucket::Guarantee() const {
  return std::max(committed_, pending_.value_or(0));
}

take_result rate_bucket::TryTake(steady_time now, nanoseconds longest_wait) {
  Accrue(now);
  const std::int64_t lowest = Units(Guarantee()) + kUnitsPerToken;
  if (level_ >= lowest) {
    level_ -= kUnitsPerToken;
    return {take_status::kTaken, {}, epoch_};
  }
  if (level_ >= kUnitsPerToken) {
    return {take_status::kCheckpoint, kCheckpointRetry, epoch_};
  }
  const nanoseconds wait = TimeFor(lowest - level_);
  if (wait > longest_wait || limit_.burst == 0) {
    return {take_status::kRefused, wait, epoch_};
  }
  level_ -= kUnitsPerToken;
  return {take_status::kReserved, wait, epoch_};
}

void rate_bucket::Refund(std::uint64_t tokens, steady_time now) {
  Accrue(now);
  const std::int64_t highest = Units(limit_.burst - std::min(outstanding_, limit_.burst));
  level_ = std::min(level_ + Units(tokens), std::max(highest, level_));
}

std::uint64_t rate_bucket::Grant(std::uint64_t tokens, steady_time now, steady_time expiry) {
  Accrue(now);
  const std::int64_t spare = level_ - Units(Guarantee());
  if (spare < kUnitsPerToken || expiry <= now) {
    return 0;
  }
  const std::uint64_t granted =
      std::min(tokens, static_cast<std::uint64_t>(spare / kUnitsPerToken));
  if (granted == 0) {
    return 0;
  }
  level_ -= Units(granted);
  outstanding_ += granted;
  grants_.push_back({granted, expiry});
  return granted;
}

void rate_bucket::Settle(std::uint64_t granted, std::uint64_t unused, steady_time now) {
  Accrue(now);
  const auto found = std::find_if(grants_.begin(), grants_.end(),
                                  [&](const grant& each) { return each.tokens == granted; });
  if (found == grants_.end()) {
    return;
  }
  grants_.erase(found);
  outstanding_ -= granted;
  Refund(std::min(unused, granted), now);
}

void rate_bucket::ChangeLimit(rate_limit limit, std::uint64_t guarantee, steady_time now) {
  Accrue(now);
  const rate_limit bounded = Bounded(limit);
  if (bounded.rate_per_second < limit_.rate_per_second) {
    ++epoch_;
  }
  limit_ = bounded;
  level_ = std::min(level_, Units(limit_.burst - std::min(outstanding_, limit_.burst)));
  committed_ = std::min(guarantee, limit_.burst);
}

std::optional<std::uint64_t> rate_bucket::ProposeGuarantee(steady_time now, bool may_raise) {
  Accrue(now);
  const std::uint64_t quarter = limit_.burst / 4;
  if (pending_ || quarter == 0) {
    return std::nullopt;
  }
  const auto tokens =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, level_) / kUnitsPerToken);
  const std::uint64_t margin = std::max<std::uint64_t>(1, limit_.burst / 8);
  if (committed_ > 0 && tokens < committed_ + margin) {
    const std::uint64_t low = tokens > 2 * margin ? (tokens - 2 * margin) / quarter * quarter : 0;
    pending_ = std::min(low, committed_ > quarter ? committed_ - quarter : 0);
    return pending_;
  }
  // A raise needs more tokens than the level at which the same guarantee would be lowered.
  const std::uint64_t raised = std::min(committed_ / quarter * quarter + quarter, 3 * quarter);
  if (may_raise && raised > committed_ && tokens >= raised + margin + margin / 2) {
    pending_ = raised;
    return pending_;
  }
  return std::nullopt;
}

void rate_bucket::OnCommitted(std::uint64_t guarantee) {
  if (pending_ == guarantee) {
    pending_.reset();
    committed_ = std::min(guarantee, limit_.burst);
  }
}

void rate_bucket::OnProposalFailed(std::uint64_t guarantee) {
  // The outcome of a failed proposal is open, so the higher value stays in force.
  if (pending_ == guarantee) {
    pending_.reset();
    committed_ = std::max(committed_, guarantee);
  }
}

std::int64_t rate_bucket::Tokens(steady_time now) {
  Accrue(now);
  return level_ >= 0 ? level_ / kUnitsPerToken : -((-level_ + kUnitsPerToken - 1) / kUnitsPerToken);
}

void rate_ledger::Start(steady_time started) {
  started_ = started;
  buckets_.clear();
}

rate_bucket& rate_ledger::Bucket(const std::string& workspace,
                                 const rate_limit& limit,
                                 const guarantee_reader& guarantee,
                                 steady_time now) {
  auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    const std::uint64_t tokens = guarantee(workspace).value_or(DefaultGuarantee(limit));
    found = buckets_.emplace(workspace, rate_bucket(limit, tokens, tokens, started_)).first;
  }
  rate_bucket& bucket = found->second;
  if (bucket.Limit() != Bounded(limit)) {
    const std::uint64_t tokens = guarantee(workspace).value_or(DefaultGuarantee(limit));
    bucket.ChangeLimit(limit, tokens, now);
  }
  return bucket;
}

rate_bucket* rate_ledger::Find(const std::string& workspace) {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? nullptr : &found->second;
}

}  // namespace corianderhoist
