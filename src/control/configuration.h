/// The configuration that operators change: rules and workspace keys, with a version.
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

/// A workspace key, known by its hash only.
struct key_record {
  std::string key_id;  ///< Public name for operators.
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

/// The public name of a key: the first 14 hexadecimal digits of its hash.
std::string KeyIdOf(const digest& key_hash);

/// One accepted change: what leads from version - 1 to version.
struct config_change {
  std::uint64_t version = 0;
  std::vector<std::string> removed_rules;  ///< Canonical rule lines.
  std::vector<std::string> added_rules;
  std::vector<key_record> keys;           ///< Given or withdrawn.
  std::vector<digest> released_requests;  ///< Fingerprints that an operator unblocks.
  std::string changed_by;
  std::chrono::milliseconds changed_at{};  ///< Unix time.
  std::vector<std::string> regions;        ///< Regions that must commit it before it is in force.

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

/// A whole configuration, for processes that miss more than the kept changes.
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

/// `config.fetch`: long poll for changes after `after_version`. Served by control VMs (to
/// coordinators) and by coordinators (to entry VMs).
struct config_fetch_request {
  std::uint64_t after_version = 0;
  std::chrono::milliseconds wait{};  ///< Longest time to hold the call when nothing is newer.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.after_version);
    visit(2, self.wait);
  }
};

/// Either a snapshot or the changes in order of version; empty when nothing is newer.
struct config_fetch_reply {
  std::optional<config_snapshot> snapshot;
  std::vector<config_change> changes;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.snapshot);
    visit(2, self.changes);
  }
};

/// `config.ack`: the leader of a region's coordinators reports what its group has committed.
struct config_ack_request {
  std::string region;
  std::uint64_t version = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.region);
    visit(2, self.version);
  }
};

/// An answer without content.
struct empty_message {
  template <class Self, class Visitor>
  static void ForEachField(Self&, Visitor&&) {}
};

/// The configuration with lookups. Not thread safe; share immutable copies, which are cheap: they
/// share their memory until one of them changes.
class configuration {
 public:
  std::uint64_t Version() const { return version_; }
  /// Version of the last change of a route or service rule; entry VMs must have it
  /// (`config_behind`).
  std::uint64_t RoutingVersion() const { return routing_version_; }
  const rule_set& Rules() const { return rules_; }
  /// The keys in use; a withdrawn key is dropped, so that the state does not grow with history.
  const chunked_map<digest, key_record>& Keys() const { return keys_; }

  /// Returns the key in use with this hash, or null when it is unknown or withdrawn.
  const key_record* FindKey(const digest& key_hash) const;

  /// Returns the key in use with this public name, or null. The name begins the key's hash.
  const key_record* FindKeyById(std::string_view key_id) const;

  /// Applies the change that follows the current version. Fails with `kVersionConflict` for another
  /// version and `kInvalidRules` for lines that do not fit, or that name a region outside
  /// `known_regions` unless it is null; then nothing has changed.
  result<void> Apply(const config_change& change,
                     const std::set<std::string>* known_regions = nullptr);

  config_snapshot Snapshot() const;
  /// Replaces everything. Fails with `kVersionConflict` when the snapshot is older than this
  /// configuration, `kInvalidRules` when it does not parse; then nothing has changed.
  result<void> Restore(const config_snapshot& snapshot);

 private:
  std::uint64_t version_ = 0;
  std::uint64_t routing_version_ = 0;
  rule_set rules_;
  chunked_map<digest, key_record> keys_;
};

}  // namespace corianderhoist
