/// Messages between replicas. Requests and answers share one type.
#pragma once

#include "storage/records.h"
#include "wire/codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class message_kind : std::uint8_t {
  kIdentify,  ///< Requests a replica id, and whether the replica may be bootstrapped into a group.
  kIdentifyAnswer,
  kBootstrap,  ///< Sends the bootstrap entry of a new group, or announces that a group exists.
  kBootstrapAnswer,
  kPreVote,  ///< Tests whether an election could be won, without advancing the term.
  kPreVoteAnswer,
  kVote,
  kVoteAnswer,
  kAppend,
  kAppendAnswer,
  kSnapshot,
  kSnapshotAnswer,
};

struct raft_message {
  message_kind kind = message_kind::kIdentify;
  std::uint64_t call = 0;  ///< Identifies the request; copied into the answer.
  std::uint64_t group = 0;
  std::string from;
  std::uint64_t from_id = 0;
  std::string to;
  std::uint64_t to_id = 0;  ///< 0 if the replica id is unknown.
  std::uint64_t term = 0;

  /// Append: index of the entry before `entries`. Vote: last entry of the candidate. Snapshot: last
  /// entry that it includes. Answer to an append: last matching entry if granted, else the index to
  /// try next.
  std::uint64_t index = 0;
  std::uint64_t index_term = 0;
  std::vector<log_entry> entries;
  std::uint64_t commit_index = 0;
  /// Answers: vote granted, append matched, snapshot installed, bootstrap accepted.
  bool is_granted = false;

  /// Append and snapshot, copied into the answer: send time on the leader's clock in nanoseconds
  /// (for the lease), and the number of the read round (for the read index).
  std::int64_t sent_at = 0;
  std::uint64_t read_round = 0;

  /// Answer to an append: time on the follower's clock in nanoseconds. The leader echoes the latest
  /// one in its next append, or sends 0 while it holds no lease; see `consensus_core::FreshAt`.
  std::int64_t follower_time = 0;

  /// Snapshot: one part of its data, and the membership that it includes.
  std::uint64_t offset = 0;
  std::string data;
  bool is_last_part = false;
  std::uint64_t membership_index = 0;
  std::string members;

  /// Vote and pre-vote: the term that the candidate led before it restarted; 0 if none.
  std::uint64_t led_term = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.kind);
    visit(2, self.call);
    visit(3, self.group);
    visit(4, self.from);
    visit(5, self.from_id);
    visit(6, self.to);
    visit(7, self.to_id);
    visit(8, self.term);
    visit(9, self.index);
    visit(10, self.index_term);
    visit(11, self.entries);
    visit(12, self.commit_index);
    visit(13, self.is_granted);
    visit(14, self.sent_at);
    visit(15, self.read_round);
    visit(16, self.offset);
    visit(17, self.data);
    visit(18, self.is_last_part);
    visit(19, self.membership_index);
    visit(20, self.members);
    visit(21, self.follower_time);
    visit(22, self.led_term);
  }
};

/// Relies on the order of `message_kind`, in which each request is followed by its answer.
inline bool IsAnswer(message_kind kind) {
  return static_cast<int>(kind) % 2 == 1;
}

}  // namespace corianderhoist
