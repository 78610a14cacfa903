/// The fleet state as an entry VM knows it: policy, upstreams, their conditions and shared limits.
#pragma once

#include "base/clock.h"
#include "fleet/latency_digest.h"
#include "fleet/messages.h"
#include "fleet/serving_policy.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// A roster entry with the state that this VM keeps about the upstream.
struct known_upstream {
  upstream_entry entry;
  endpoint address;
  upstream_condition condition;  ///< From the last reply that had it.
  bool has_condition = false;
  steady_time known_since;            ///< When this VM first received it.
  bool is_added_after_start = false;  ///< Was not in the first roster; slower at first (cold).
};

/// Ignores versions and log indices older than the known ones, since replies may come from
/// different core VMs. Not thread safe.
class fleet_view {
 public:
  explicit fleet_view(policy_decoder decoder) : decoder_(std::move(decoder)) {}

  /// Applies the reply to a watch call that was sent at `sent_at`.
  void Apply(const watch_reply& reply, steady_time sent_at, steady_time now);
  /// The versions and revisions to send with the next watch call.
  watch_request Known() const;

  const policy_ptr& Policy() const { return policy_; }
  const shared_limits& Limits() const { return limits_; }
  const latency_digests& Digests() const { return digests_; }
  /// Whether requests with this fingerprint are refused because they have crashed upstreams.
  bool IsBlocked(std::uint64_t fingerprint) const { return blocked_.contains(fingerprint); }
  /// The share of a workspace's requests to admit, from 0 to 1; 1 if it is not limited.
  double AdmittedShare(const std::string& workspace) const;
  /// The part of a workspace's limit, per mille, that all VMs without contact to the core VMs may
  /// use beyond their former level; 0 if no core VM has stated it.
  std::uint32_t RoomPerMille(const std::string& workspace) const;
  /// Whether this VM must restrict repeats to its part of the budget: the fleet has used much of
  /// the budget, or its usage is unknown here.
  bool IsRepeatBudgetLow(const std::string& service, steady_time now) const;

  /// The time as of which policy and roster are known to be complete: they include every change
  /// that was acknowledged before it.
  steady_time FreshAt() const { return fresh_at_; }
  /// Whether the shared limits are recent enough to be applied.
  bool AreLimitsCurrent(steady_time now) const;
  /// When a core VM that had complete counts of all VMs last replied.
  steady_time LimitsReceivedAt() const { return limits_received_at_; }
  /// When the call was sent to which that core VM replied: it knows what was reported before.
  steady_time LevelAt() const { return level_at_; }

  /// Upstreams of the service that are announced as ready and have not been replaced. Their health
  /// is not considered.
  const std::vector<const known_upstream*>& UpstreamsOf(const std::string& service) const;
  /// The upstream, or null if it is unknown or gone.
  const known_upstream* Find(upstream_handle handle) const;
  bool IsKnown(upstream_handle handle) const { return upstreams_.contains(handle); }
  /// Excludes an incarnation after another one has answered at its address, until the roster lists
  /// it as gone.
  void MarkReplaced(upstream_handle handle);

 private:
  void ApplyPolicy(const policy_document& document);
  void ApplyRoster(const fleet_changes& changes, steady_time now);
  void IndexServices();

  const policy_decoder decoder_;
  policy_ptr policy_;
  std::uint64_t policy_version_ = 0;
  std::map<upstream_handle, known_upstream> upstreams_;
  std::map<std::string, std::vector<const known_upstream*>> ready_by_service_;
  std::set<upstream_handle> replaced_;
  shared_limits limits_;
  std::map<std::string, workspace_share> shares_;
  bool has_shares_ = false;
  bool has_unapplied_shares_ = false;  ///< `shares_` does not have those of `limits_` yet.
  std::set<std::uint64_t> blocked_;
  latency_digests digests_;
  std::uint64_t roster_index_ = 0;
  std::uint64_t core_life_ = 0;
  std::uint64_t conditions_revision_ = 0;
  std::uint64_t limits_revision_ = 0;
  steady_time fresh_at_{};
  steady_time limits_received_at_{};
  steady_time level_at_{};
};

}  // namespace corianderhoist
