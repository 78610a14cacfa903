/// Messages between operators and control, and the commands in control's replicated log.
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

/// `control.change`. Members that do not apply to `kind` are ignored. The operator's name is taken
/// from the certificate of the caller.
struct change_request {
  std::string change_id;  ///< A repeated change id returns the first result.
  change_kind kind = change_kind::kApplyRules;
  std::uint64_t base_version = 0;          ///< Rules: version that the difference is based on.
  std::vector<std::string> removed_rules;  ///< Canonical lines.
  std::vector<std::string> added_rules;
  std::string workspace;             ///< Workspace of the key to give.
  digest key_hash{};                 ///< Hash of the key to give.
  std::string key_id;                ///< Id of the key to withdraw.
  digest fingerprint{};              ///< Fingerprint of the request to release.
  std::chrono::milliseconds wait{};  ///< Maximum wait until the change is in force.

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

/// A change as an entry of control's replicated log.
struct control_command {
  change_request change;
  std::string changed_by;
  std::chrono::milliseconds changed_at{};  ///< Unix time of the leader that proposed the change.
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
  kCommitted,        ///< The change is part of the configuration.
  kRefused,          ///< Nothing changed; see `cause` and `detail`.
  kVersionConflict,  ///< Nothing changed; the result names the change that was committed first.
};

/// The result of a change, retained by change id.
struct change_result {
  change_status status = change_status::kCommitted;
  error_kind cause = error_kind::kInternal;  ///< Set with `kRefused` and `kVersionConflict`.
  std::string detail;
  std::uint64_t version = 0;  ///< Version of the change, or of the conflicting change.
  std::string changed_by;     ///< Author of `version`.
  std::chrono::milliseconds changed_at{};
  std::vector<std::string> regions;  ///< Regions that must commit `version`.
  std::string workspace;             ///< Set for key changes.
  std::string key_id;                ///< Set for key changes.

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

/// Reply to `control.change`. A committed change is in force only when `pending` is empty. A call
/// that fails with `kNotLeader` has changed nothing; after other failures it may be committed.
struct change_reply {
  change_result result;
  std::vector<std::string> pending;  ///< Regions that have not committed the change.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.result);
    visit(2, self.pending);
  }
};

/// `control.show`: the version of the configuration and the state of the regions.
struct show_request {
  template <class Self, class Visitor>
  static void ForEachField(Self&, Visitor&&) {}
};

/// The version that a region has reported to the leader; 0 before its first report.
struct region_report {
  std::string region;
  std::uint64_t version = 0;
  std::chrono::milliseconds since{};  ///< Unix time of the first report of this version.
  std::string changed_by;  ///< Author of `version`; empty when its change is not retained.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.region);
    visit(2, self.version);
    visit(3, self.since);
    visit(4, self.changed_by);
  }
};

/// A committed change that some regions have not committed yet.
struct pending_change {
  std::uint64_t version = 0;
  std::string changed_by;
  std::chrono::milliseconds changed_at{};
  std::vector<std::string> regions;  ///< Regions that have not committed it.

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
  std::uint64_t rules_version = 0;  ///< Last change of rules; `base_version` of the next.
  std::string rules_changed_by;
  std::chrono::milliseconds rules_changed_at{};
  std::vector<region_report> regions;
  std::vector<pending_change> pending;  ///< At most the oldest 100.
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
