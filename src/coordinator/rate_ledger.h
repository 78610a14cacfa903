/// Token buckets of workspaces, with the part of each bucket that the region's log guarantees.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// Limit of a workspace.
struct rate_limit {
  std::uint64_t rate_per_second = 0;
  std::uint64_t burst = 0;

  auto operator<=>(const rate_limit&) const = default;
};

/// Tokens that a workspace without an entry in the log is guaranteed to have after a change of
/// leader: three quarters of the burst, rounded down to whole quarters.
std::uint64_t DefaultGuarantee(const rate_limit& limit);

/// Whether a token was taken.
enum class take_status {
  kTaken,       ///< The request is admitted.
  kReserved,    ///< The request is admitted once `wait` has passed.
  kCheckpoint,  ///< The log must hold a lower guarantee first; try again after `wait`.
  kRefused,     ///< No token within the longest wait; `wait` is the time until one is free.
};

struct take_result {
  take_status status = take_status::kRefused;
  std::chrono::nanoseconds wait{};
  std::uint64_t epoch = 0;  ///< A reservation is void when the bucket's epoch has changed.
};

/// One token bucket. For every window, admitted(t0, t1) <= rate x (t1 - t0) + burst in true time,
/// as long as the clock gains less than 500 ppm (the most that NTP slews a clock); tokens accrue
/// slower by that amount. The level never falls below the guarantee that the log holds, so that a
/// new leader may start with the guaranteed tokens: what both leaders admit stays within the bound.
class rate_bucket {
 public:
  rate_bucket(rate_limit limit, std::uint64_t tokens, std::uint64_t guarantee, steady_time now);

  /// Takes a token, or reserves one that accrues within `longest_wait`.
  take_result TryTake(steady_time now, std::chrono::nanoseconds longest_wait);
  /// Gives back tokens whose requests were not run.
  void Refund(std::uint64_t tokens, steady_time now);

  /// Moves up to `tokens` from the bucket into a grant and returns its size. A grant that is not
  /// settled by `expiry` counts as used.
  std::uint64_t Grant(std::uint64_t tokens, steady_time now, steady_time expiry);
  /// Ends the oldest grant of this size; `unused` tokens return. A lapsed grant returns nothing.
  void Settle(std::uint64_t granted, std::uint64_t unused, steady_time now);

  /// Tokens accrue by the former rate up to now. Open reservations become void when the rate falls.
  void ChangeLimit(rate_limit limit, std::uint64_t guarantee, steady_time now);

  /// The guarantee that should go to the log, if another than the present one. A raise is proposed
  /// only with `may_raise`. The caller must call `OnCommitted` or `OnProposalFailed` later.
  std::optional<std::uint64_t> ProposeGuarantee(steady_time now, bool may_raise);
  void OnCommitted(std::uint64_t guarantee);
  void OnProposalFailed(std::uint64_t guarantee);

  /// Whole tokens at `now`; negative while tokens are reserved in advance.
  std::int64_t Tokens(steady_time now);
  std::uint64_t Outstanding() const { return outstanding_; }
  std::uint64_t Guarantee() const;
  std::uint64_t Epoch() const { return epoch_; }
  const rate_limit& Limit() const { return limit_; }

 private:
  struct grant {
    std::uint64_t tokens;
    steady_time expiry;
  };

  void Accrue(steady_time now);
  void AccrueUntil(steady_time time);
  std::chrono::nanoseconds TimeFor(std::int64_t units) const;

  rate_limit limit_;
  std::int64_t level_ = 0;  // In units of kUnitsPerToken.
  steady_time accrued_at_;
  std::uint64_t committed_ = 0;
  std::optional<std::uint64_t> pending_;
  std::uint64_t outstanding_ = 0;
  std::uint64_t epoch_ = 0;
  std::vector<grant> grants_;
};

/// The buckets of a leader, from the moment at which it became leader. Not thread safe; used by
/// shard.
class rate_ledger {
 public:
  /// Tokens that the log guarantees for a workspace, if it holds an entry.
  using guarantee_reader = std::function<std::optional<std::uint64_t>(const std::string&)>;

  /// A former leader admits nothing after `started`.
  void Start(steady_time started);

  /// Returns the bucket, which starts at `started` with the guaranteed tokens.
  rate_bucket& Bucket(const std::string& workspace,
                      const rate_limit& limit,
                      const guarantee_reader& guarantee,
                      steady_time now);
  rate_bucket* Find(const std::string& workspace);

  template <class Function>
  void ForEach(Function&& function) {
    for (auto& [workspace, bucket] : buckets_) {
      function(workspace, bucket);
    }
  }
  std::size_t Size() const { return buckets_.size(); }

 private:
  steady_time started_;
  std::unordered_map<std::string, rate_bucket> buckets_;
};

}  // namespace corianderhoist
