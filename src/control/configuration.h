/// The versioned configuration that operators change: rules and workspace keys.
#pragma once

#include "base/chunked_map.h"
#include "base/error.h"
#include "base/hash.h"
#include "rules/rule_set.h"
#include "wire/codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// A workspace key; only its hash is stored.
struct key_record {
  std::string key_id;  ///< Public identifier for operators.
  digest key_hash{};   ///< SHA-256 of the key text.
  std::string workspace;
  bool is_withdrawn = false;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.key_id);
    visit(2, self.key_hash);
    visit(3, self.workspace);
    visit(4, self.is_withdrawn);
  }
};

/// Returns the public id of a key: the first 14 hexadecimal digits of its hash.
std::string KeyIdOf(const digest& key_hash);

/// A committed change: the difference between `version - 1` and `version`.
struct config_change {
  std::uint64_t version = 0;
  std::vector<std::string> removed_rules;  ///< Canonical rule lines.
  std::vector<std::string> added_rules;
  std::vector<key_record> keys;           ///< Added or withdrawn keys.
  std::vector<digest> released_requests;  ///< Fingerprints of blocked requests to admit again.
  std::string changed_by;
  std::chrono::milliseconds changed_at{};  ///< Unix time.
  std::vector<std::string> regions;        ///< The change is in force once these have committed it.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.removed_rules);
    visit(3, self.added_rules);
    visit(4, self.keys);
    visit(5, self.released_requests);
    visit(6, self.changed_by);
    visit(7, self.changed_at);
    visit(8, self.regions);
  }
};

/// A complete configuration, for processes that need changes that are no longer retained.
struct config_snapshot {
  std::uint64_t version = 0;
  std::uint64_t routing_version = 0;
  std::vector<std::string> rules;
  std::vector<key_record> keys;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.routing_version);
    visit(3, self.rules);
    visit(4, self.keys);
  }
};

/// `config.fetch`: long poll for changes after `after_version`. Control VMs serve it to
/// coordinators, coordinators serve it to entry VMs.
struct config_fetch_request {
  std::uint64_t after_version = 0;
  std::chrono::milliseconds wait{};  ///< Maximum delay of the reply while no newer version exists.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.after_version);
    visit(2, self.wait);
  }
};

/// Either a snapshot or the changes in version order; empty when no newer version exists.
struct config_fetch_reply {
  std::optional<config_snapshot> snapshot;
  std::vector<config_change> changes;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.snapshot);
    visit(2, self.changes);
  }
};

/// `config.ack`: the leader of a region's coordinators reports the version that its group has
/// committed.
struct config_ack_request {
  std::string region;
  std::uint64_t version = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.region);
    visit(2, self.version);
  }
};

/// A reply without content.
struct empty_message {
  template <class Self, class Visitor>
  static void ForEachField(Self&, Visitor&&) {}
};

/// The configuration in memory. Not thread safe; share immutable copies instead. Copies are cheap,
/// since they share memory until one of them is modified.
class configuration {
 public:
  std::uint64_t Version() const { return version_; }
  /// Version of the last change of a route or service rule. Coordinators reject calls of entry
  /// VMs whose configuration is older (`kConfigBehind`).
  std::uint64_t RoutingVersion() const { return routing_version_; }
  const rule_set& Rules() const { return rules_; }
  /// Keys in use. Withdrawn keys are removed, so that the state does not grow with the number of
  /// past changes.
  const chunked_map<digest, key_record>& Keys() const { return keys_; }

  /// Returns the key in use with this hash, or null when it is unknown or withdrawn.
  const key_record* FindKey(const digest& key_hash) const;

  /// Returns the key in use with this public id, which is a prefix of its hash, or null.
  const key_record* FindKeyById(std::string_view key_id) const;

  /// Applies the change to the next version. Fails with `kVersionConflict` for any other version,
  /// and with `kInvalidRules` when the rule lines are inconsistent with the current rules or name a
  /// region outside `known_regions`; null allows all regions. A failure changes nothing.
  result<void> Apply(const config_change& change,
                     const std::set<std::string>* known_regions = nullptr);

  config_snapshot Snapshot() const;
  /// Replaces the configuration. Fails with `kVersionConflict` when the snapshot is older, and with
  /// `kInvalidRules` when its rules are invalid. A failure changes nothing.
  result<void> Restore(const config_snapshot& snapshot);

 private:
  std::uint64_t version_ = 0;
  std::uint64_t routing_version_ = 0;
  rule_set rules_;
  chunked_map<digest, key_record> keys_;
};

}  // namespace corianderhoist
