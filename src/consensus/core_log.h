/// The in-memory part of the log: the entries after the last snapshot, and some before it.
#pragma once

#include "consensus/membership.h"
#include "storage/records.h"

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace corianderhoist {

class core_log {
 public:
  /// Builds the log from the recovered snapshot and entries.
  core_log(snapshot_ptr last_snapshot, std::vector<log_entry> entries);

  std::uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  std::uint64_t LastTerm() const { return TermAt(LastIndex()); }
  std::uint64_t FirstIndex() const { return base_index_ + 1; }
  /// True if the term of `index` is known: the entry is in memory or directly precedes the first
  /// one in memory.
  bool HasTerm(std::uint64_t index) const { return index >= base_index_ && index <= LastIndex(); }
  /// `HasTerm(index)` must be true.
  std::uint64_t TermAt(std::uint64_t index) const;
  /// The entry must be in memory.
  const log_entry& At(std::uint64_t index) const;

  void Append(log_entry entry);
  /// Removes `index` and all entries after it.
  void TruncateFrom(std::uint64_t index);
  /// Stores a snapshot taken at an applied entry and removes entries before `keep_from`.
  void Compact(snapshot_ptr new_snapshot, std::uint64_t keep_from);
  /// Replaces the whole log with a snapshot received from the leader.
  void Reset(snapshot_ptr leader_snapshot);

  const snapshot_ptr& LastSnapshot() const { return snapshot_; }
  std::uint64_t SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }

  /// The latest membership in the log, committed or not, and the index of its entry.
  const membership& Members() const { return memberships_.back().second; }
  std::uint64_t MembersIndex() const { return memberships_.back().first; }
  /// The membership in effect at `index`, and the index of its entry.
  const std::pair<std::uint64_t, membership>& MembersAt(std::uint64_t index) const;

 private:
  void RecordMembership(const log_entry& entry);
  void ResetMemberships();

  snapshot_ptr snapshot_;
  std::uint64_t base_index_ = 0;  ///< Index directly before the first entry in memory.
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::vector<std::pair<std::uint64_t, membership>> memberships_;
};

/// Decodes a membership that was written by `Encode`. Corrupt bytes would already have failed a
/// checksum.
membership DecodeMembership(const std::string& bytes);

}  // namespace corianderhoist
