/// The replicated state of control: the configuration, its changes and their results.
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

/// A workspace that has left its home region.
struct home_move {
  std::uint64_t version = 0;  ///< From which `region` is not its home any more.
  std::string workspace;
  std::string region;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.workspace);
    visit(3, self.region);
  }
};

/// The last change of rules.
struct rules_origin {
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

/// A `replicated_application`. Depends on nothing but the commands, which carry times and regions.
/// Not thread safe.
class control_state {
 public:
  /// Results, changes and moves that are kept.
  static constexpr std::size_t kKeptResults = 10'000;
  static constexpr std::size_t kKeptChanges = 10'000;
  static constexpr std::size_t kKeptMoves = 10'000;
  /// Bytes of rule lines in the kept changes; processes that miss more get a snapshot.
  static constexpr std::size_t kKeptChangeBytes = 8U << 20U;

  /// Applies an encoded `control_command`; returns the encoded `change_result`.
  std::string Apply(std::uint64_t index, std::string_view command);
  std::string Snapshot() const;
  void Restore(std::string_view bytes);

  const configuration& Config() const { return config_; }
  const rules_origin& RulesOrigin() const { return rules_origin_; }
  const std::deque<config_change>& Changes() const { return changes_; }
  std::size_t ResultCount() const { return results_.size(); }

  /// Moves of a workspace, in order of versions.
  std::vector<home_move> MovesOf(std::string_view workspace) const;
  /// The kept change that led to `version`, or null.
  const config_change* FindChange(std::uint64_t version) const;
  /// Changes after `version`, at most 4 MiB of rule lines at once, or a snapshot when they are not
  /// kept any more.
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
  std::vector<home_move> MovesBy(const config_change& change) const;
  void Keep(config_change change);
  void Remember(const std::string& change_id, std::string result);

  configuration config_;
  rules_origin rules_origin_;
  std::deque<config_change> changes_;
  std::size_t change_bytes_ = 0;
  std::deque<home_move> moves_;
  std::map<std::string, std::string, std::less<>> results_;  ///< Encoded, by change id.
  std::deque<std::string> result_order_;
};

}  // namespace corianderhoist
