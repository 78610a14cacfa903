/// Admission control: checks the route, API key and rate of a request before an upstream is chosen.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "fleet/usage_ledger.h"
#include "serving/fleet_view.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

struct admission_settings {
  /// Time from the acknowledgement of a key's withdrawal until no VM admits the key any more.
  std::chrono::milliseconds withdrawal_bound{5000};
  /// Time from the acknowledgement of a policy until every VM follows it.
  std::chrono::milliseconds policy_bound{2500};
  /// Sliding window in which the rate limit of a workspace holds, at most 10 s, and its tolerance.
  rate_tolerance rates;
  /// Seed of the rounding of this VM's part of a limit; differs between VMs.
  std::uint64_t seed = 0;
};

/// The parts of a request that admission depends on.
struct admission_request {
  std::string_view host;
  std::string_view path;
  const std::string* key = nullptr;  ///< Null if the request has no key.
};

/// The route and workspace of an admitted request, or the reason for its refusal.
struct admission_decision {
  policy_ptr policy;  ///< Owns `route` and `workspace`.
  const policy_route* route = nullptr;
  const policy_workspace* workspace = nullptr;  ///< Null on a public route.
  std::optional<error_kind> refusal;            ///< Empty if the request is admitted.
  std::string detail;                           ///< Reason for the refusal, as text.
  std::chrono::milliseconds state_age{};  ///< Age of the fleet state that the decision is based on.
};

/// Requests with an API key are served under a lease that each reply of a core VM renews. The lease
/// starts at the time as of which the fleet state is known to be complete, and expires before a
/// withdrawal that was acknowledged after that time has to be in force. Not thread safe.
class admission {
 public:
  admission(admission_settings settings, const fleet_view& view, const clock_source& clock);

  /// Finds the route and checks the key. Refuses with `kNoRoute`, `kKeyMissing` or `kKeyUnknown`,
  /// and with `kStateUnconfirmed` if there is no policy or the state is too old for the decision.
  admission_decision Decide(const admission_request& request) const;

  /// Counts the request against the rate limit of its workspace. Returns false if it exceeds it.
  bool TakeRate(const policy_workspace& workspace);

  /// Whether the lease for requests with an API key is valid.
  bool HasValidLease() const;
  /// Whether there is a policy that is young enough to tell that a route or key does not exist.
  bool IsStateRecent() const;

 private:
  /// The part of a workspace's rate limit that this VM may use while no core VM is reachable.
  struct local_quota {
    /// Requests that this VM had admitted in the window when it last called the core VMs with
    /// success. The sum over all VMs is what the core VMs allowed.
    std::uint64_t level = 0;
    std::uint64_t growth = 0;  ///< Requests in a window beyond the level.
    bool was_limited = false;  ///< The core VMs admitted less than all requests at that time.
    steady_time last_disconnected_at{};  ///< Last decision without core VMs.
    double tokens = 0;                   ///< Bucket that spreads the growth over the window.
    steady_time refilled_at{};
  };

  std::chrono::milliseconds StateAge() const;
  std::uint64_t LevelOf(const sliding_count& admitted) const;
  std::uint64_t GrowthOf(const policy_workspace& workspace) const;
  void StartLocalQuota(const policy_workspace& workspace,
                       const sliding_count& admitted,
                       local_quota& quota) const;
  bool TakeLocalQuota(std::uint64_t admitted, local_quota& quota) const;
  bool TakeAdmittedShare(const std::string& workspace);

  const admission_settings settings_;
  const fleet_view& view_;
  const clock_source& clock_;
  std::map<std::string, double>
      share_remainders_;  ///< Of the error diffusion in `TakeAdmittedShare`, by workspace.
  std::map<std::string, sliding_count> admitted_counts_;  ///< Admitted by this VM, by workspace.
  std::map<std::string, local_quota> local_quotas_;
};

}  // namespace corianderhoist
