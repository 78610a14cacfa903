/// Messages between operators and control, and commands of control's log.
#pragma once

#include "base/error.h"
#include "base/hash.h"
#include "wire/codec.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class change_kind { kApplyRules, kGiveKey, kWithdrawKey, kReleaseRequest };

/// `control.change`: the members that its kind does not name are ignored. The operator is taken
/// from the certificate of the caller.
struct change_request {
  std::string change_id;  ///< A change sent again with the same id gets its first result.
  change_kind kind = change_kind::kApplyRules;
  std::uint64_t base_version = 0;          ///< Rules: version that the difference is based on.
  std::vector<std::string> removed_rules;  ///< Canonical lines.
  std::vector<std::string> added_rules;
  std::string workspace;             ///< Key to give.
  digest key_hash{};                 ///< Key to give.
  std::string key_id;                ///< Key to withdraw.
  digest fingerprint{};              ///< Request to release.
  std::chrono::milliseconds wait{};  ///< Longest wait until the change is in force.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.change_id);
    visit(2, self.kind);
    visit(3, self.base_version);
    visit(4, self.removed_rules);
    visit(5, self.added_rules);
    visit(6, self.workspace);
    visit(7, self.key_hash);
    visit(8, self.key_id);
    visit(9, self.fingerprint);
    visit(10, self.wait);
  }
};

/// A change as control's log holds it.
struct control_command {
  change_request change;
  std::string changed_by;
  std::chrono::milliseconds changed_at{};  ///< Unix time at the leader.
  std::vector<std::string> regions;        ///< All regions of the fleet.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.change);
    visit(2, self.changed_by);
    visit(3, self.changed_at);
    visit(4, self.regions);
  }
};

enum class change_status {
  kCommitted,        ///< Part of the configuration.
  kRefused,          ///< Nothing changed; `cause` and `detail` say why.
  kVersionConflict,  ///< Nothing changed; the winner is named.
};

/// The result of a change, kept by change id.
struct change_result {
  change_status status = change_status::kCommitted;
  error_kind cause = error_kind::kInternal;  ///< Of a refusal.
  std::string detail;
  std::uint64_t version = 0;  ///< Of the change, or of the winner of a conflict.
  std::string changed_by;     ///< As `version`.
  std::chrono::milliseconds changed_at{};
  std::vector<std::string> regions;  ///< Regions that must commit `version`.
  std::string workspace;             ///< Of a key change.
  std::string key_id;                ///< Of a key change.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.status);
    visit(2, self.cause);
    visit(3, self.detail);
    visit(4, self.version);
    visit(5, self.changed_by);
    visit(6, self.changed_at);
    visit(7, self.regions);
    visit(8, self.workspace);
    visit(9, self.key_id);
  }
};

/// Answer to `control.change`. A committed change is in force only when `pending` is empty. A call
/// that fails with `kNotLeader` has changed nothing; other failures leave the outcome open.
struct change_reply {
  change_result result;
  std::vector<std::string> pending;  ///< Regions that have not committed the change.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.result);
    visit(2, self.pending);
  }
};

/// `control.show`.
struct show_request {
  template <class Self, class Visitor>
  static void ForEachField(Self&, Visitor&&) {}
};

/// What a region has reported to the leader. Version 0: nothing yet.
struct region_report {
  std::string region;
  std::uint64_t version = 0;
  std::chrono::milliseconds since{};  ///< Unix time of the first report of this version.
  std::string changed_by;             ///< Of this version, empty when it is no longer kept.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.region);
    visit(2, self.version);
    visit(3, self.since);
    visit(4, self.changed_by);
  }
};

/// A committed change that is not in force.
struct pending_change {
  std::uint64_t version = 0;
  std::string changed_by;
  std::chrono::milliseconds changed_at{};
  std::vector<std::string> regions;  ///< Regions that miss it.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.changed_by);
    visit(3, self.changed_at);
    visit(4, self.regions);
  }
};

struct show_reply {
  std::uint64_t version = 0;
  std::uint64_t rules_version = 0;  ///< Base for the next rules change.
  std::string rules_changed_by;
  std::chrono::milliseconds rules_changed_at{};
  std::vector<region_report> regions;
  std::vector<pending_change> pending;  ///< The oldest 100.
  std::string leader;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.rules_version);
    visit(3, self.rules_changed_by);
    visit(4, self.rules_changed_at);
    visit(5, self.regions);
    visit(6, self.pending);
    visit(7, self.leader);
  }
};

}  // namespace corianderhoist
