/// Requests that crash the upstreams that run them.
#pragma once

#include "base/clock.h"
#include "base/hash.h"
#include "coordinator/upstream_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace corianderhoist {

/// Crashes are remembered, and blocks last, for this long.
inline constexpr std::chrono::minutes kCrashMemory(10);

/// Counts crashed upstream incarnations by fingerprint. After the first one, requests with the
/// fingerprint run one at a time; after the second one the fingerprint must be blocked. A whole
/// answer clears the suspicion, because a request that crashes every upstream never gets one. Not
/// thread safe; used by shard.
class crash_registry {
 public:
  /// A connection ended without an answer while the request was running. Returns true when the
  /// fingerprint must be blocked now.
  bool OnCrash(const digest& fingerprint, const upstream_id& upstream, steady_time now);
  void OnAnswered(const digest& fingerprint);

  bool IsSuspect(const digest& fingerprint, steady_time now) const;
  /// Admits a request. False when the fingerprint is suspect and another of its requests is
  /// running.
  bool TryStart(const digest& fingerprint,
                const std::string& request_id,
                steady_time now,
                steady_time deadline);
  void End(const digest& fingerprint, const std::string& request_id);
  /// Forgets a fingerprint that an operator has released.
  void Release(const digest& fingerprint);

  void Sweep(steady_time now);
  std::size_t Size() const { return suspects_.size(); }

 private:
  struct suspect {
    std::set<upstream_id> crashed;
    steady_time last_crash;
    std::string running;  // Request id, empty when none runs.
    steady_time running_until;
  };

  std::map<digest, suspect> suspects_;
};

}  // namespace corianderhoist
