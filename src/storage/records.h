/// Data that a replica stores on disk.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

enum class entry_kind : std::uint8_t { kNoOp, kCommand, kMembership };

/// One entry of the replicated log. Indices start at 1 and are contiguous.
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

/// What a replica durably knows about the leader of its current term.
enum class leader_record : std::uint8_t {
  kUnknown,   ///< The state was written by a version that did not record the leader.
  kNone,      ///< The replica has followed no leader in `hard_state::term` and does not lead it.
  kVotedFor,  ///< `hard_state::voted_for` is the leader: the one followed, or the replica itself.
};

/// State other than the log that must survive a restart. The replica id and the vote are stored in
/// the same file, so that a replica cannot lose its vote and keep its identity.
struct hard_state {
  std::uint64_t replica_id = 0;  ///< Random; generated when the data folder is created.
  std::uint64_t group = 0;       ///< Random id of the group; 0 until the replica belongs to one.
  std::uint64_t term = 0;
  /// Replica id; 0 for none. Replaced by the id of the leader once the replica follows one: the
  /// election of the term is then decided, so the vote cannot elect another replica any more.
  std::uint64_t voted_for = 0;
  bool has_log = false;  ///< Set with the first entry or snapshot, so that their loss is detected.

  /// A group that knows this replica exists; it must not bootstrap another one.
  bool is_bootstrap_blocked = false;

  /// Saved before the first append of the leader is acknowledged; see `leader_resumption.h`.
  leader_record leader = leader_record::kUnknown;

  bool operator==(const hard_state&) const = default;
};

/// The application state after the entry `index`.
struct snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t membership_index = 0;  ///< Index of the entry that set the membership.
  std::string membership;
  std::string data;
};
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Changes that are written together, in this order: snapshot, truncation, entries. The state is
/// written first, or last if it sets `has_log`.
struct storage_write {
  std::uint64_t sequence = 0;
  std::optional<hard_state> state;
  snapshot_ptr new_snapshot;
  std::uint64_t truncate_from = 0;  ///< First index to remove from the end of the log; 0 for none.
  std::vector<log_entry> entries;
  std::uint64_t keep_from = 0;  ///< Entries before this index may be removed; 0 to keep all.
};

/// Recovered content of a data folder.
struct stored_state {
  hard_state state;
  snapshot_ptr last_snapshot;  ///< Null if there is none.
  std::vector<log_entry> entries;
};

}  // namespace corianderhoist
