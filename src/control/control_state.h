/// The replicated state of control: the configuration, recent changes and the results of changes.
#pragma once

#include "control/configuration.h"
#include "control/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Records that a workspace was removed or moved to another home region.
struct home_move {
  std::uint64_t version = 0;  ///< First version in which `region` is no longer the home.
  std::string workspace;
  std::string region;  ///< The former home region.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.workspace);
    visit(3, self.region);
  }
};

/// Version, author and time of the last change of rules.
struct rules_revision {
  std::uint64_t version = 0;
  std::string changed_by;
  std::chrono::milliseconds changed_at{};

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.changed_by);
    visit(3, self.changed_at);
  }
};

/// A `replicated_application`. Deterministic: the state depends only on the sequence of commands,
/// which carry times and regions. Not thread safe.
class control_state {
 public:
  /// The oldest entries are dropped beyond these limits.
  static constexpr std::size_t kMaxRetainedResults = 10'000;
  static constexpr std::size_t kMaxRetainedChanges = 10'000;
  static constexpr std::size_t kMaxRetainedMoves = 10'000;
  /// Bytes of rule lines in the retained changes. A process that needs a dropped change receives a
  /// snapshot instead.
  static constexpr std::size_t kMaxRetainedRuleBytes = 8U << 20U;

  /// Applies an encoded `control_command` and returns the encoded `change_result`. A command whose
  /// change id has a retained result returns that result and changes nothing.
  std::string Apply(std::uint64_t index, std::string_view command);
  std::string Snapshot() const;
  /// Replaces the state. Throws `std::runtime_error` when the snapshot is invalid.
  void Restore(std::string_view bytes);

  const configuration& Config() const { return config_; }
  const rules_revision& RulesRevision() const { return rules_revision_; }
  const std::deque<config_change>& Changes() const { return changes_; }
  std::size_t ResultCount() const { return results_.size(); }

  /// Returns the retained home moves of a workspace in version order.
  std::vector<home_move> HomeMovesOf(std::string_view workspace) const;
  /// Returns the change that produced `version`, or null when it is not retained.
  const config_change* FindChange(std::uint64_t version) const;
  /// Returns the changes after `version` in order, or a snapshot when the first of them is not
  /// retained. Limits the reply to 4 MiB of rule lines, but returns at least one change.
  config_fetch_reply ChangesAfter(std::uint64_t version) const;

 private:
  change_result Evaluate(const control_command& command);
  change_result ApplyRules(const control_command& command);
  change_result GiveKey(const control_command& command);
  change_result WithdrawKey(const control_command& command);
  change_result ReleaseRequest(const control_command& command);
  change_result Commit(const control_command& command,
                       config_change change,
                       change_result accepted);
  void WithdrawKeysOfRemovedWorkspaces(config_change& change) const;
  std::vector<home_move> FindHomeMoves(const config_change& change) const;
  void RetainChange(config_change change);
  void RetainResult(const std::string& change_id, std::string result);

  configuration config_;
  rules_revision rules_revision_;
  std::deque<config_change> changes_;
  std::size_t change_bytes_ = 0;
  std::deque<home_move> moves_;
  std::map<std::string, std::string, std::less<>> results_;  ///< Encoded results by change id.
  std::deque<std::string> result_order_;                     ///< Change ids, oldest first.
};

}  // namespace corianderhoist
