/// Registry of requests that crash the upstreams that run them.
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

/// Crashes are kept and blocks last for this long.
inline constexpr std::chrono::minutes kCrashRetention(10);

/// Counts crashed upstream incarnations by request fingerprint. After the first crash, requests
/// with the fingerprint run one at a time; after the second, the fingerprint must be blocked. A
/// complete answer clears the fingerprint, because a request that crashes every upstream never gets
/// one. Not thread safe; each shard has its own.
class crash_registry {
 public:
  /// Records that a connection ended without an answer while the request was running. Returns true
  /// if the fingerprint must be blocked now.
  bool OnCrash(const digest& fingerprint, const upstream_id& upstream, steady_time now);
  void OnAnswered(const digest& fingerprint);

  bool IsSuspect(const digest& fingerprint, steady_time now) const;
  /// Returns false if the fingerprint is suspected and another request with it is running.
  bool TryStart(const digest& fingerprint,
                const std::string& request_id,
                steady_time now,
                steady_time deadline);
  void End(const digest& fingerprint, const std::string& request_id);
  /// Clears a fingerprint that an operator has released.
  void Release(const digest& fingerprint);

  void Sweep(steady_time now);
  std::size_t Size() const { return suspects_.size(); }

 private:
  struct suspect {
    std::set<upstream_id> crashed;
    steady_time last_crash;
    std::string running;  // Id of the running request, or empty.
    steady_time running_until;
  };

  std::map<digest, suspect> suspects_;
};

}  // namespace corianderhoist
