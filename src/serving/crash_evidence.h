/// What an entry VM knows about requests that were lost together with their upstream.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace corianderhoist {

/// Decides which lost requests are reported to the core VMs as crashes. An upstream that crashes
/// loses all requests that it runs; the one that crashed it never succeeds anywhere. Requests are
/// identified by their fingerprint, see `crash_report`. Bounded: of more requests than
/// `kMaxRequests` in `kMemory`, the oldest are forgotten. Not thread safe.
class crash_evidence {
 public:
  static constexpr std::chrono::seconds kMemory{60};
  static constexpr std::size_t kMaxRequests = 8192;

  /// Returns whether a lost request is to be reported: it has not succeeded lately.
  bool NoteLoss(std::uint64_t fingerprint, steady_time now);
  /// Returns whether the success is to be reported, since a loss was.
  bool NoteSuccess(std::uint64_t fingerprint, steady_time now);

 private:
  enum class outcome : std::uint8_t { kLost, kSucceeded };
  using generation = std::unordered_map<std::uint64_t, outcome>;

  const outcome* Find(std::uint64_t fingerprint) const;
  void Set(std::uint64_t fingerprint, outcome value, steady_time now);

  generation newer_;
  generation older_;
  steady_time newer_since_{};
};

}  // namespace corianderhoist
