/// The consensus algorithm (Raft) as a deterministic state machine: no thread, no I/O, no clock.
///
/// Inputs are messages, ticks with a time, proposals and completed writes; outputs are messages,
/// writes and committed entries. The driver calls `Take` after each group of inputs. A message that
/// depends on a write is held back until `WriteDone`.
#pragma once

#include "base/clock.h"
#include "consensus/core_log.h"
#include "consensus/message.h"
#include "storage/records.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

struct core_settings {
  std::string name;
  std::vector<group_member> first_members;  ///< Name and address; for the founding of the group.
  std::chrono::milliseconds heartbeat{100};
  std::chrono::milliseconds election_timeout{700};
  std::uint64_t seed = 0;
  std::uint64_t trailing_entries = 1000;  ///< Kept behind a snapshot for members that lag a little.
  std::size_t append_bytes = 1 << 20;     ///< Of one message; at least one entry is sent.
  std::size_t append_entries = 1024;
  std::size_t snapshot_part_bytes = 1 << 20;
};

enum class core_role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// What the driver has to do, in this order.
struct core_output {
  std::optional<storage_write> write;  ///< Only one is under way at a time.
  std::vector<raft_message> messages;
  snapshot_ptr restore;              ///< Replaces the state of the application.
  std::vector<log_entry> committed;  ///< To be applied, in order.
  std::vector<std::uint64_t> confirmed_reads;
  std::vector<std::uint64_t> failed_reads;

  bool IsEmpty() const;
};

enum class membership_result : std::uint8_t {
  kStarted,
  kNotLeader,
  kBusy,      ///< Another change is under way, or the leader is too new.
  kNotFound,  ///< No such member.
  kExists,    ///< A member of that name exists.
  kNotCaughtUp,
  kLastVoter,
};

class consensus_core {
 public:
  consensus_core(core_settings settings, stored_state stored, steady_time now);

  void Tick(steady_time now);
  void Receive(const raft_message& message, steady_time now);
  /// The write with this number is durable.
  void WriteDone(std::uint64_t sequence, steady_time now);
  core_output Take();

  /// Appends a command when leading; returns its index.
  std::optional<std::uint64_t> Propose(std::string command);
  /// Asks for a confirmation that all entries committed so far are known here; `token` appears in
  /// `confirmed_reads` after them, or in `failed_reads`. False when not leading.
  bool Read(std::uint64_t token);

  membership_result AddLearner(group_member learner);
  membership_result Promote(const std::string& name);
  membership_result Remove(const std::string& name);

  /// Hands in the state of the application after the entry `index`, which has been taken.
  void Compact(std::uint64_t index, std::string data);

  core_role Role() const { return role_; }
  bool IsLeader() const { return role_ == core_role::kLeader; }
  std::uint64_t Term() const { return state_.term; }
  std::uint64_t ReplicaId() const { return state_.replica_id; }
  std::uint64_t Group() const { return state_.group; }
  std::uint64_t LeaderId() const { return leader_; }
  std::string LeaderName() const;
  std::uint64_t CommitIndex() const { return commit_; }
  std::uint64_t TakenIndex() const { return taken_; }
  const core_log& Log() const { return log_; }
  /// End of the leader lease; the past when there is none.
  steady_time LeaseEnd() const;
  /// The newest moment, on this member's clock, as of which the entries taken here are known to
  /// include everything that was committed by then. The epoch when none is known.
  ///
  /// A follower's answer carries its time; the leader returns it with a later append that it makes
  /// while it holds the lease. No other leader exists at that moment, so the commit index of that
  /// append covers all that was committed when the follower sent its answer, however long the
  /// append was on its way.
  steady_time FreshAt() const;

  /// What a leader knows of another member.
  struct member_progress {
    std::uint64_t replica_id = 0;
    steady_time acknowledged{};  ///< Sending time of the newest message that it answered.
    bool holds_log = false;      ///< Holds all committed entries.
  };
  /// Empty when not leading.
  std::vector<member_progress> Progress() const;

 private:
  struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    bool is_waiting = false;          ///< An append or snapshot part is under way.
    std::uint64_t waiting_index = 0;  ///< Last entry of the append under way.
    steady_time waiting_since{};
    steady_time acknowledged{};  ///< Sending time of the newest message that was answered.
    std::uint64_t read_round = 0;
    std::uint64_t snapshot_index = 0;  ///< Under transfer; 0 for none.
    std::uint64_t snapshot_offset = 0;
    std::int64_t follower_time = 0;  ///< From the newest answer.
  };
  struct pending_read {
    std::uint64_t token = 0;
    std::uint64_t round = 0;
    std::uint64_t index = 0;
  };
  struct held_message {
    std::uint64_t sequence = 0;
    raft_message message;
  };
  struct received_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string data;
  };

  // Output (core.cpp).
  raft_message Make(message_kind kind, std::uint64_t to_id) const;
  raft_message MakeAnswer(const raft_message& request, message_kind kind) const;
  void Send(raft_message message) { output_.messages.push_back(std::move(message)); }
  void SendWhenDurable(raft_message message);
  storage_write& Pending();
  void SaveState();
  void AppendToLog(log_entry entry);
  void NoteLog();
  void TruncateLog(std::uint64_t index);

  // Dispatch (core.cpp).
  bool Accepts(const raft_message& message);
  void Dispatch(const raft_message& message);
  void BecomeFollower(std::uint64_t term, std::uint64_t leader);
  void AppendAsLeader(entry_kind kind, std::string data);
  void CommitUpTo(std::uint64_t index);

  // Elections (core_election.cpp).
  void ResetElectionTimer();
  bool HasHeardLeader() const;
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void OnVoteRequest(const raft_message& request);
  void OnVoteAnswer(const raft_message& answer);
  void CheckQuorum();
  void FailReads();

  // Replication (core_replication.cpp).
  void OnAppend(const raft_message& request);
  void RefuseFormerTerm(const raft_message& request, message_kind kind);
  void FollowLeader(const raft_message& request);
  void StoreEntries(const raft_message& request);
  void RejectAppend(const raft_message& request);
  void NoteFreshness(const raft_message& request);
  void SettleFreshness();
  void OnAppendAnswer(const raft_message& answer);
  void OnSnapshot(const raft_message& request);
  void InstallSnapshot(const raft_message& request);
  void OnSnapshotAnswer(const raft_message& answer);
  progress* NoteAnswer(const raft_message& answer);
  void Replicate();
  void ReplicateTo(std::uint64_t peer, progress& state);
  raft_message MakeAppend(std::uint64_t peer, std::uint64_t previous) const;
  void SendEntries(std::uint64_t peer, progress& state);
  void SendSnapshotPart(std::uint64_t peer, progress& state);
  void SendHeartbeats();
  void AdvanceCommit();
  void CompleteReads();
  steady_time QuorumAcknowledged() const;
  void SyncProgress();

  // Membership and founding (core_membership.cpp).
  membership_result ChangeMembership(const membership& changed);
  bool IsChangeBlocked() const;
  void FoundGroup();
  void AskFirstMembers();
  void HandOutFounding();
  void TickFounding();
  void OnIdentify(const raft_message& request);
  void OnIdentifyAnswer(const raft_message& answer);
  void OnFound(const raft_message& request);
  void StoreFounding(const raft_message& request);
  bool IsFounder() const;
  void BarFounding();
  void AnnounceGroup();

  const core_settings settings_;
  std::mt19937_64 random_;
  hard_state state_;
  core_log log_;
  steady_time now_;

  core_role role_ = core_role::kFollower;
  std::uint64_t leader_ = 0;
  std::string leader_name_;
  std::uint64_t commit_ = 0;
  std::uint64_t taken_ = 0;    ///< Last entry handed out in `committed`.
  std::uint64_t durable_ = 0;  ///< Last entry that is on this disk.
  steady_time heard_leader_;
  steady_time election_at_;
  steady_time leading_since_{};
  steady_time next_heartbeat_{};
  steady_time next_founding_{};
  std::uint64_t term_start_ = 0;  ///< First entry of this leader's term.
  bool wants_heartbeat_ = false;

  std::set<std::uint64_t> votes_;
  std::map<std::uint64_t, progress> peers_;
  std::uint64_t read_round_ = 0;
  std::deque<pending_read> reads_;
  std::optional<received_snapshot> receiving_;

  /// Added to the times in answers: a time that an earlier life of this process sent is then far
  /// from the present and cannot be taken for a time of this life.
  const std::int64_t time_mark_;
  const steady_time started_;
  steady_time fresh_at_{};
  std::optional<std::pair<std::uint64_t, steady_time>> pending_fresh_;  ///< Once taken up to there.

  std::map<std::string, std::uint64_t> first_ids_;  ///< First members that have no group yet.
  std::set<std::string> founded_;  ///< First members that have answered the founding.

  std::uint64_t next_sequence_ = 1;
  storage_write pending_write_;
  bool is_pending_ = false;
  std::uint64_t in_flight_ = 0;  ///< Number of the write under way, 0 for none.
  std::uint64_t in_flight_last_ = 0;
  std::deque<held_message> held_;
  core_output output_;
};

}  // namespace corianderhoist
