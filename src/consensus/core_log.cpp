#include "consensus/core_log.h"

#include <cassert>

namespace corianderhoist {

membership DecodeMembership(const std::string& bytes) {
  return Recover([&] { return Decode<membership>(bytes); },
                 [](const error&) {
                   assert(false && "an encoded membership must be valid");
                   return membership();
                 });
}

core_log::core_log(snapshot_ptr last_snapshot, std::vector<log_entry> entries)
    : snapshot_(std::move(last_snapshot)) {
  base_index_ = SnapshotIndex();
  base_term_ = snapshot_ ? snapshot_->term : 0;
  ResetMemberships();
  // The first recovered entry up to the snapshot index only supplies the base index and term.
  if (!entries.empty() && entries.front().index <= base_index_) {
    base_index_ = entries.front().index;
    base_term_ = entries.front().term;
  }
  for (log_entry& entry : entries) {
    if (entry.index > base_index_) {
      Append(std::move(entry));
    }
  }
}

void core_log::ResetMemberships() {
  memberships_.clear();
  if (snapshot_) {
    memberships_.emplace_back(snapshot_->membership_index, DecodeMembership(snapshot_->membership));
  } else {
    memberships_.emplace_back();
  }
}

std::uint64_t core_log::TermAt(std::uint64_t index) const {
  assert(HasTerm(index) && "the term of a compacted entry is unknown");
  return index == base_index_ ? base_term_ : At(index).term;
}

const log_entry& core_log::At(std::uint64_t index) const {
  assert(index > base_index_ && index <= LastIndex() && "the entry is not in memory");
  return entries_[index - base_index_ - 1];
}

void core_log::RecordMembership(const log_entry& entry) {
  if (entry.kind == entry_kind::kMembership && entry.index > SnapshotIndex()) {
    memberships_.emplace_back(entry.index, DecodeMembership(entry.data));
  }
}

void core_log::Append(log_entry entry) {
  assert(entry.index == LastIndex() + 1 && "the log must not have gaps");
  RecordMembership(entry);
  entries_.push_back(std::move(entry));
}

void core_log::TruncateFrom(std::uint64_t index) {
  assert(index > base_index_ && "compacted entries are committed and must not be truncated");
  entries_.resize(index - base_index_ - 1);
  while (memberships_.size() > 1 && memberships_.back().first >= index) {
    memberships_.pop_back();
  }
}

void core_log::Compact(snapshot_ptr new_snapshot, std::uint64_t keep_from) {
  snapshot_ = std::move(new_snapshot);
  while (base_index_ + 1 < keep_from && !entries_.empty()) {
    base_term_ = entries_.front().term;
    base_index_ = entries_.front().index;
    entries_.pop_front();
  }
  while (memberships_.size() > 1 && memberships_[1].first <= snapshot_->index) {
    memberships_.erase(memberships_.begin());
  }
}

void core_log::Reset(snapshot_ptr leader_snapshot) {
  snapshot_ = std::move(leader_snapshot);
  entries_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  ResetMemberships();
}

const std::pair<std::uint64_t, membership>& core_log::MembersAt(std::uint64_t index) const {
  std::size_t at = memberships_.size() - 1;
  while (at > 0 && memberships_[at].first > index) {
    --at;
  }
  return memberships_[at];
}

}  // namespace corianderhoist
