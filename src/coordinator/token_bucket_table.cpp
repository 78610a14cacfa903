#include "coordinator/token_bucket_table.h"

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::nanoseconds;

// Accrual per token/s of the rate. NTP slews a clock by at most 500 ppm, so tokens accrue at
// 1999/2000 of the rate.
constexpr std::int64_t kUnitsAccruedPerNanosecond = 1999;
constexpr std::int64_t kUnitsPerToken = 2'000 * std::int64_t{1'000'000'000};
// Keeps levels within 64 bits. Larger bursts are clamped.
constexpr std::uint64_t kMaxBurst = 4'000'000;
constexpr std::uint64_t kMaxRatePerSecond = 1'000'000'000;
// A commit within a region takes a few milliseconds.
constexpr nanoseconds kCheckpointRetryDelay = std::chrono::milliseconds(3);

using int128 = __int128;

std::int64_t Units(std::uint64_t tokens) {
  return static_cast<std::int64_t>(tokens) * kUnitsPerToken;
}

rate_limit ClampLimit(rate_limit limit) {
  return {std::min(limit.rate_per_second, kMaxRatePerSecond), std::min(limit.burst, kMaxBurst)};
}

}  // namespace

std::uint64_t DefaultGuarantee(const rate_limit& limit) {
  return std::min(limit.burst, kMaxBurst) / 4 * 3;
}

token_bucket::token_bucket(rate_limit limit,
                           std::uint64_t tokens,
                           std::uint64_t guarantee,
                           steady_time now)
    : limit_(ClampLimit(limit)),
      level_(Units(std::min(tokens, limit_.burst))),
      accrued_at_(now),
      committed_guarantee_(std::min(guarantee, limit_.burst)) {}

// Expires grants in order of their expiry. An expired grant may have been used at the last moment,
// so tokens accrue in its place only from its expiry on.
void token_bucket::Accrue(steady_time now) {
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

void token_bucket::AccrueUntil(steady_time time) {
  const auto elapsed = nanoseconds(time - accrued_at_).count();
  if (elapsed <= 0) {
    return;
  }
  accrued_at_ = time;
  const int128 gained = int128{elapsed} * kUnitsAccruedPerNanosecond *
                        static_cast<std::int64_t>(limit_.rate_per_second);
  const int128 capacity = Units(limit_.burst - std::min(outstanding_, limit_.burst));
  level_ = static_cast<std::int64_t>(
      std::min(int128{level_} + gained, std::max(capacity, int128{level_})));
}

nanoseconds token_bucket::TimeToAccrue(std::int64_t units) const {
  if (limit_.rate_per_second == 0) {
    return std::chrono::hours(24);
  }
  const std::int64_t per_nanosecond =
      kUnitsAccruedPerNanosecond * static_cast<std::int64_t>(limit_.rate_per_second);
  return nanoseconds((units + per_nanosecond - 1) / per_nanosecond);
}

std::uint64_t token_bucket::Guarantee() const {
  return std::max(committed_guarantee_, pending_guarantee_.value_or(0));
}

take_result token_bucket::TryTake(steady_time now, nanoseconds longest_wait) {
  Accrue(now);
  const std::int64_t required = Units(Guarantee()) + kUnitsPerToken;
  if (level_ >= required) {
    level_ -= kUnitsPerToken;
    return {take_status::kTaken, {}, epoch_};
  }
  if (level_ >= kUnitsPerToken) {
    return {take_status::kCheckpoint, kCheckpointRetryDelay, epoch_};
  }
  const nanoseconds wait = TimeToAccrue(required - level_);
  if (wait > longest_wait || limit_.burst == 0) {
    return {take_status::kRefused, wait, epoch_};
  }
  level_ -= kUnitsPerToken;
  return {take_status::kReserved, wait, epoch_};
}

void token_bucket::Refund(std::uint64_t tokens, steady_time now) {
  Accrue(now);
  const std::int64_t capacity = Units(limit_.burst - std::min(outstanding_, limit_.burst));
  level_ = std::min(level_ + Units(tokens), std::max(capacity, level_));
}

std::uint64_t token_bucket::Grant(std::uint64_t tokens, steady_time now, steady_time expiry) {
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

void token_bucket::Settle(std::uint64_t granted, std::uint64_t unused, steady_time now) {
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

void token_bucket::ChangeLimit(rate_limit limit, std::uint64_t guarantee, steady_time now) {
  Accrue(now);
  const rate_limit clamped = ClampLimit(limit);
  if (clamped.rate_per_second < limit_.rate_per_second) {
    ++epoch_;
  }
  limit_ = clamped;
  level_ = std::min(level_, Units(limit_.burst - std::min(outstanding_, limit_.burst)));
  committed_guarantee_ = std::min(guarantee, limit_.burst);
}

std::optional<std::uint64_t> token_bucket::ProposeGuarantee(steady_time now, bool may_raise) {
  Accrue(now);
  const std::uint64_t quarter = limit_.burst / 4;
  if (pending_guarantee_ || quarter == 0) {
    return std::nullopt;
  }
  const auto tokens =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, level_) / kUnitsPerToken);
  const std::uint64_t margin = std::max<std::uint64_t>(1, limit_.burst / 8);
  if (committed_guarantee_ > 0 && tokens < committed_guarantee_ + margin) {
    const std::uint64_t lowered =
        tokens > 2 * margin ? (tokens - 2 * margin) / quarter * quarter : 0;
    pending_guarantee_ =
        std::min(lowered, committed_guarantee_ > quarter ? committed_guarantee_ - quarter : 0);
    return pending_guarantee_;
  }
  // Hysteresis: a raise needs more tokens than the level at which the same guarantee is lowered.
  const std::uint64_t raised =
      std::min(committed_guarantee_ / quarter * quarter + quarter, 3 * quarter);
  if (may_raise && raised > committed_guarantee_ && tokens >= raised + margin + margin / 2) {
    pending_guarantee_ = raised;
    return pending_guarantee_;
  }
  return std::nullopt;
}

void token_bucket::OnCommitted(std::uint64_t guarantee) {
  if (pending_guarantee_ == guarantee) {
    pending_guarantee_.reset();
    committed_guarantee_ = std::min(guarantee, limit_.burst);
  }
}

void token_bucket::OnProposalFailed(std::uint64_t guarantee) {
  // A failed proposal may still have been committed, so the higher value stays in force.
  if (pending_guarantee_ == guarantee) {
    pending_guarantee_.reset();
    committed_guarantee_ = std::max(committed_guarantee_, guarantee);
  }
}

std::int64_t token_bucket::Tokens(steady_time now) {
  Accrue(now);
  return level_ >= 0 ? level_ / kUnitsPerToken : -((-level_ + kUnitsPerToken - 1) / kUnitsPerToken);
}

void token_bucket_table::Start(steady_time started) {
  started_ = started;
  buckets_.clear();
}

token_bucket& token_bucket_table::Bucket(const std::string& workspace,
                                         const rate_limit& limit,
                                         const guarantee_reader& guarantee,
                                         steady_time now) {
  auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    const std::uint64_t tokens = guarantee(workspace).value_or(DefaultGuarantee(limit));
    found = buckets_.emplace(workspace, token_bucket(limit, tokens, tokens, started_)).first;
  }
  token_bucket& bucket = found->second;
  if (bucket.Limit() != ClampLimit(limit)) {
    const std::uint64_t tokens = guarantee(workspace).value_or(DefaultGuarantee(limit));
    bucket.ChangeLimit(limit, tokens, now);
  }
  return bucket;
}

token_bucket* token_bucket_table::Find(const std::string& workspace) {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? nullptr : &found->second;
}

}  // namespace corianderhoist
