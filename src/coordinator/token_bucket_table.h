/// Token buckets of workspaces. The replicated log of the region guarantees a part of each bucket
/// across changes of leader.
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

/// Rate limit of a workspace.
struct rate_limit {
  std::uint64_t rate_per_second = 0;
  std::uint64_t burst = 0;

  auto operator<=>(const rate_limit&) const = default;
};

/// Tokens that a workspace without a guarantee in the log has after a change of leader: three
/// quarters of the burst, rounded down to whole quarters.
std::uint64_t DefaultGuarantee(const rate_limit& limit);

/// Result of an attempt to take a token.
enum class take_status {
  kTaken,       ///< The request is admitted.
  kReserved,    ///< The request is admitted once `wait` has passed.
  kCheckpoint,  ///< A lower guarantee must be committed first; retry after `wait`.
  kRefused,     ///< No token accrues within the longest wait; `wait` is the time until one does.
};

struct take_result {
  take_status status = take_status::kRefused;
  std::chrono::nanoseconds wait{};
  std::uint64_t epoch = 0;  ///< A reservation is void once the epoch of the bucket has changed.
};

/// Token bucket of one workspace. For every window, admitted(t0, t1) <= rate x (t1 - t0) + burst in
/// true time, provided that the clock gains less than 500 ppm, the maximum NTP slew; tokens accrue
/// slower by that amount. The level never falls below the committed guarantee, so a new leader can
/// start with the guaranteed tokens and the admissions of both leaders stay within the bound.
class token_bucket {
 public:
  token_bucket(rate_limit limit, std::uint64_t tokens, std::uint64_t guarantee, steady_time now);

  /// Takes a token, or reserves one that accrues within `longest_wait`.
  take_result TryTake(steady_time now, std::chrono::nanoseconds longest_wait);
  /// Returns the tokens of requests that were not run.
  void Refund(std::uint64_t tokens, steady_time now);

  /// Moves up to `tokens` from the bucket into a grant and returns the size of the grant. A grant
  /// that is not settled by `expiry` counts as used.
  std::uint64_t Grant(std::uint64_t tokens, steady_time now, steady_time expiry);
  /// Ends the oldest grant of this size and returns its `unused` tokens to the bucket. Does nothing
  /// after the grant has expired.
  void Settle(std::uint64_t granted, std::uint64_t unused, steady_time now);

  /// Tokens up to `now` accrue at the old rate. A lower rate voids open reservations.
  void ChangeLimit(rate_limit limit, std::uint64_t guarantee, steady_time now);

  /// Returns the guarantee to propose to the log, or nullopt if the current one is adequate or a
  /// proposal is pending. Proposes a raise only with `may_raise`. The caller must report the result
  /// with `OnCommitted` or `OnProposalFailed`.
  std::optional<std::uint64_t> ProposeGuarantee(steady_time now, bool may_raise);
  void OnCommitted(std::uint64_t guarantee);
  void OnProposalFailed(std::uint64_t guarantee);

  /// Number of whole tokens at `now`; negative while reservations exceed the accrued tokens.
  std::int64_t Tokens(steady_time now);
  /// Number of tokens in grants that are neither settled nor expired.
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
  std::chrono::nanoseconds TimeToAccrue(std::int64_t units) const;

  rate_limit limit_;
  std::int64_t level_ = 0;  // In units of kUnitsPerToken.
  steady_time accrued_at_;
  std::uint64_t committed_guarantee_ = 0;
  std::optional<std::uint64_t> pending_guarantee_;
  std::uint64_t outstanding_ = 0;
  std::uint64_t epoch_ = 0;
  std::vector<grant> grants_;
};

/// The token buckets of a leader since the start of its leadership. Not thread safe; each shard has
/// its own.
class token_bucket_table {
 public:
  /// Reads the guarantee of a workspace from the log, or nullopt if there is none.
  using guarantee_reader = std::function<std::optional<std::uint64_t>(const std::string&)>;

  /// Clears all buckets. Former leaders must not admit requests after `started`.
  void Start(steady_time started);

  /// Returns the bucket of a workspace. A new bucket has the guaranteed tokens as of the start of
  /// the leadership.
  token_bucket& Bucket(const std::string& workspace,
                       const rate_limit& limit,
                       const guarantee_reader& guarantee,
                       steady_time now);
  token_bucket* Find(const std::string& workspace);

  template <class Function>
  void ForEach(Function&& function) {
    for (auto& [workspace, bucket] : buckets_) {
      function(workspace, bucket);
    }
  }
  std::size_t Size() const { return buckets_.size(); }

 private:
  steady_time started_;
  std::unordered_map<std::string, token_bucket> buckets_;
};

}  // namespace corianderhoist
