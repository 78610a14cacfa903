/// The part of the log that a replica holds in memory, behind its last snapshot.
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
  /// Takes over what recovery found.
  core_log(snapshot_ptr last_snapshot, std::vector<log_entry> entries);

  std::uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  std::uint64_t LastTerm() const { return TermAt(LastIndex()); }
  std::uint64_t FirstIndex() const { return base_index_ + 1; }
  /// True when the term of `index` is known: it is in memory or the entry just before.
  bool HasTerm(std::uint64_t index) const { return index >= base_index_ && index <= LastIndex(); }
  std::uint64_t TermAt(std::uint64_t index) const;
  const log_entry& At(std::uint64_t index) const;

  void Append(log_entry entry);
  /// Drops the entries from `index` on.
  void TruncateFrom(std::uint64_t index);
  /// Takes over a snapshot of an applied entry and drops entries before `keep_from`.
  void Compact(snapshot_ptr taken, std::uint64_t keep_from);
  /// Replaces the whole log with a snapshot of the leader.
  void Reset(snapshot_ptr received);

  const snapshot_ptr& LastSnapshot() const { return snapshot_; }
  std::uint64_t SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }

  /// The newest membership in the log, committed or not, and its entry.
  const membership& Members() const { return memberships_.back().second; }
  std::uint64_t MembersIndex() const { return memberships_.back().first; }
  /// The membership as of `index`, with its entry.
  const std::pair<std::uint64_t, membership>& MembersAt(std::uint64_t index) const;

 private:
  void NoteMembership(const log_entry& entry);
  void RestartMemberships();

  snapshot_ptr snapshot_;
  std::uint64_t base_index_ = 0;  ///< Entry before the first one in memory.
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::vector<std::pair<std::uint64_t, membership>> memberships_;
};

/// Decodes a membership that this program has encoded; damage would have failed a checksum.
membership DecodeMembership(const std::string& bytes);

}  // namespace corianderhoist
