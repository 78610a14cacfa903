/// State machine that the coordinators of a region replicate: idempotency records, ejections,
/// blocked requests, guaranteed tokens and the region's copy of the configuration.
#pragma once

#include "coordinator/region_command.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace corianderhoist {

/// New limit of a workspace whose rule was changed by a command.
struct limit_change {
  std::string workspace;
  std::uint64_t rate_per_second = 0;
  std::uint64_t burst = 0;
};

/// A `replicated_application`. `Apply`, `Snapshot` and `Restore` run on the replica's thread; all
/// other members are thread safe.
class region_state {
 public:
  /// `on_config` is called after each change of the configuration, outside the lock, with the
  /// workspaces whose limits have changed and the fingerprints that operators unblocked.
  using config_observer =
      std::function<void(const std::vector<limit_change>&, const std::vector<digest>& released)>;

  explicit region_state(std::string region) : region_(std::move(region)) {}

  /// Sets the observer. Must not be called while another thread runs `Apply`.
  void SetConfigObserver(config_observer observer) { on_config_ = std::move(observer); }

  std::string Apply(std::uint64_t index, std::string_view bytes);
  std::string Snapshot() const;
  void Restore(std::string_view bytes);

  /// Calls `function(const configuration&)` under a shared lock.
  template <class Function>
  auto WithConfig(Function&& function) const {
    const std::shared_lock guard(lock_);
    return function(config_);
  }
  std::uint64_t ConfigVersion() const;
  /// Returns the changes after `version` if they are retained, otherwise a snapshot. The reply is
  /// empty when `version` is current.
  config_fetch_reply ConfigAfter(std::uint64_t version) const;

  bool IsBlocked(const digest& fingerprint) const;
  begin_result CheckRecord(const record_begin& request) const;
  /// Guaranteed tokens of a workspace, or nullopt if the log has no guarantee for it.
  std::optional<std::uint64_t> Guarantee(const std::string& workspace) const;
  std::vector<ejection> Ejections() const;

  /// Counters and versions for the status dump.
  struct summary {
    std::size_t records = 0;
    std::map<std::string, std::size_t> records_by_state;
    std::vector<block_entry> blocks;
    std::size_t guarantees = 0;
    std::uint64_t config_version = 0;
    std::uint64_t routing_version = 0;
    std::uint64_t applied_index = 0;
    std::chrono::milliseconds time{};  ///< Region time.
  };
  summary Summary() const;

 private:
  using config_effects = std::pair<std::vector<limit_change>, std::vector<digest>>;

  void ApplyRecords(const region_command& command, region_result& outcome);
  void ApplyHealth(const region_command& command);
  config_effects ApplyConfig(const config_fetch_reply& update, region_result& outcome);
  void RecordChange(const config_change& change,
                    std::set<std::string>& affected,
                    std::vector<digest>& released);
  std::vector<limit_change> AdjustGuarantees(const rule_set& previous,
                                             const std::set<std::string>& affected);
  void AdjustGuarantee(const std::string& workspace,
                       const workspace_rule& before,
                       const workspace_rule& rule,
                       std::vector<limit_change>& changed);
  void Expire();

  const std::string region_;
  config_observer on_config_;
  mutable std::shared_mutex lock_;
  std::uint64_t applied_index_ = 0;
  std::chrono::milliseconds time_{};
  record_store records_;
  std::map<std::pair<std::string, upstream_id>, ejection> ejections_;  // By service.
  std::map<digest, std::chrono::milliseconds> blocks_;
  std::unordered_map<std::string, std::uint64_t> guarantees_;
  configuration config_;
  std::deque<config_change> changes_;
};

}  // namespace corianderhoist
