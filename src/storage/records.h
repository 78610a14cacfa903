/// What a replica keeps on disk.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

enum class entry_kind : std::uint8_t { kNoOp, kCommand, kMembership };

/// One entry of the replicated log. Indices start at 1 and have no gaps.
struct log_entry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  entry_kind kind = entry_kind::kNoOp;
  std::string data;

  bool operator==(const log_entry&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.index);
    visit(2, self.term);
    visit(3, self.kind);
    visit(4, self.data);
  }
};

/// What must survive a restart besides the log. The replica id is in the same file as the vote, so
/// that a replica cannot lose its vote and keep its identity.
struct hard_state {
  std::uint64_t replica_id = 0;  ///< Random, made with the data folder.
  std::uint64_t group = 0;       ///< Random id of the group; 0 before the replica belongs to one.
  std::uint64_t term = 0;
  std::uint64_t voted_for = 0;  ///< Replica id, 0 for none.
  bool has_log = false;  ///< Set with the first entry or snapshot, so that their loss is noticed.

  bool is_barred = false;  ///< A group that knows this name exists; no other may be founded.

  bool operator==(const hard_state&) const = default;
};

/// The state of the application after the entry `index`.
struct snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t membership_index = 0;  ///< Entry from which the membership comes.
  std::string membership;
  std::string data;
};
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Changes that become durable together, in this order: snapshot, truncation, entries; the state
/// comes first, or last when it sets `has_log`.
struct storage_write {
  std::uint64_t sequence = 0;
  std::optional<hard_state> state;
  snapshot_ptr new_snapshot;
  std::uint64_t truncate_from = 0;  ///< Entries from this index on are dropped; 0 for none.
  std::vector<log_entry> entries;
  std::uint64_t keep_from = 0;  ///< Entries before this index are no longer needed.
};

/// What a data folder holds after recovery.
struct stored_state {
  hard_state state;
  snapshot_ptr last_snapshot;  ///< May be null.
  std::vector<log_entry> entries;
};

}  // namespace corianderhoist
