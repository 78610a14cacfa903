/// Raft consensus as a deterministic state machine without threads, I/O or a clock of its own.
///
/// Inputs are messages, ticks with the current time, proposals and completed writes. Outputs are
/// messages, writes and committed entries. The driver calls `TakeOutput` after each batch of
/// inputs. A message that depends on a write is deferred until `WriteDone` reports that write.
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
  std::vector<group_member> initial_members;  ///< Names and addresses; used to bootstrap the group.
  std::chrono::milliseconds heartbeat{100};   ///< Interval between heartbeats of the leader.
  /// Minimum; each timeout is randomized up to twice this value.
  std::chrono::milliseconds election_timeout{700};
  std::uint64_t seed = 0;  ///< Of the random numbers: timeouts, group id and time offset.
  std::uint64_t trailing_entries = 1000;  ///< Kept before a snapshot, for slightly lagging members.
  std::size_t max_append_bytes = 1 << 20;  ///< Limit per message; at least one entry is sent.
  std::size_t max_append_entries = 1024;
  std::size_t max_snapshot_part_bytes = 1 << 20;
  /// Whether a replica that led its term when it stopped campaigns at once; see
  /// `leader_resumption.h`.
  bool resumes_leadership = true;
};

enum class core_role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Actions for the driver, to be performed in this order.
struct core_output {
  std::optional<storage_write> write;  ///< At most one write is in flight.
  std::vector<raft_message> messages;
  snapshot_ptr restore;                        ///< Replaces the application state.
  std::vector<log_entry> committed;            ///< To be applied in log order.
  std::vector<std::uint64_t> confirmed_reads;  ///< Tokens passed to `RequestReadIndex`.
  std::vector<std::uint64_t> failed_reads;     ///< Tokens passed to `RequestReadIndex`.

  bool IsEmpty() const;
};

enum class membership_result : std::uint8_t {
  kStarted,
  kNotLeader,
  kBusy,         ///< A change is uncommitted, or no entry of the current term is committed yet.
  kNotFound,     ///< The group has no member with this name.
  kExists,       ///< The name or replica id is taken, or the member to promote is already a voter.
  kNotCaughtUp,  ///< The learner lacks committed entries.
  kLastVoter,    ///< Removal would leave the group without a voter.
};

/// The Raft state machine of one replica. Not thread safe.
class consensus_core {
 public:
  consensus_core(core_settings settings, stored_state stored, steady_time now);

  void Tick(steady_time now);
  void Receive(const raft_message& message, steady_time now);
  /// Reports that the write `sequence` is durable.
  void WriteDone(std::uint64_t sequence, steady_time now);
  /// Returns the output accumulated since the previous call and clears it.
  core_output TakeOutput();

  /// Appends a command and returns its index. Empty when this replica is not the leader.
  std::optional<std::uint64_t> Propose(std::string command);
  /// Starts a read-index request. `token` is returned in `confirmed_reads` once all entries that
  /// were committed before the call have been output, or in `failed_reads` when leadership is lost.
  /// Returns false when this replica is not the leader.
  bool RequestReadIndex(std::uint64_t token);

  // Each function starts a membership change, which is in effect once its log entry is appended.
  membership_result AddLearner(group_member learner);
  membership_result Promote(const std::string& name);
  membership_result Remove(const std::string& name);

  /// Compacts the log with `data`, the application state after the entry `index`. That entry must
  /// have been output in `committed`.
  void Compact(std::uint64_t index, std::string data);

  core_role Role() const { return role_; }
  /// Term that this replica led before its start; 0 for none.
  std::uint64_t LedTermBeforeStart() const { return led_term_; }
  /// Whether this replica is the leader because it has resumed its leadership.
  bool HasResumed() const { return IsLeader() && led_term_ != 0 && Term() == led_term_ + 1; }
  bool IsLeader() const { return role_ == core_role::kLeader; }
  std::uint64_t Term() const { return state_.term; }
  std::uint64_t ReplicaId() const { return state_.replica_id; }
  std::uint64_t Group() const { return state_.group; }
  std::uint64_t LeaderId() const { return leader_id_; }
  std::string LeaderName() const;
  std::uint64_t CommitIndex() const { return commit_index_; }
  std::uint64_t AppliedIndex() const { return applied_index_; }
  const core_log& Log() const { return log_; }
  /// End of the leader lease, which may have passed; the epoch when there has been none.
  steady_time LeaseEnd() const;
  /// The latest time T on the local clock such that the applied entries include everything
  /// committed in the group by T. The epoch when no such time is known.
  ///
  /// A follower puts its local time into each answer, and the leader echoes it in a later append
  /// that it creates while holding the lease. No other leader exists at that time, so the commit
  /// index of that append covers everything committed when the follower sent the answer. Network
  /// delay of the append does not affect this.
  steady_time FreshAt() const;

  /// Replication state of another member, as the leader knows it.
  struct member_progress {
    std::uint64_t replica_id = 0;
    steady_time acknowledged_at{};  ///< Send time of the latest message that the member answered.
    bool is_caught_up = false;      ///< The member has all committed entries.
  };
  /// One element per other member. Empty when this replica is not the leader.
  std::vector<member_progress> Progress() const;

 private:
  /// Replication state of one peer on the leader.
  struct progress {
    std::uint64_t next = 1;           ///< Index of the next entry to send.
    std::uint64_t match = 0;          ///< Last entry known to be replicated to the peer.
    bool is_waiting = false;          ///< An append or snapshot part is unanswered.
    std::uint64_t waiting_index = 0;  ///< Last entry covered by the unanswered message.
    steady_time waiting_since{};
    steady_time acknowledged_at{};     ///< Send time of the latest answered message.
    std::uint64_t read_round = 0;      ///< Latest read round that the peer has confirmed.
    std::uint64_t snapshot_index = 0;  ///< Snapshot being transferred; 0 for none.
    std::uint64_t snapshot_offset = 0;
    std::int64_t follower_time = 0;  ///< `follower_time` of that message's answer.
    bool is_echo_due = false;        ///< The first `follower_time` is not yet returned.
  };
  struct pending_read {
    std::uint64_t token = 0;
    std::uint64_t round = 0;
    std::uint64_t index = 0;
  };
  struct deferred_message {
    std::uint64_t sequence = 0;  ///< Write that must be durable before the message is sent.
    raft_message message;
  };
  struct incoming_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string data;
  };

  // Output (core.cpp).
  raft_message MakeMessage(message_kind kind, std::uint64_t to_id) const;
  raft_message MakeAnswer(const raft_message& request, message_kind kind) const;
  void Send(raft_message message) { output_.messages.push_back(std::move(message)); }
  void SendWhenDurable(raft_message message);
  storage_write& PendingWrite();
  void SaveState();
  void AppendToLog(log_entry entry);
  void MarkLogPresent();
  void TruncateLog(std::uint64_t index);

  // Dispatch (core.cpp).
  bool Accepts(const raft_message& message);
  void Dispatch(const raft_message& message);
  void BecomeFollower(std::uint64_t term, std::uint64_t leader);
  void AppendAsLeader(entry_kind kind, std::string data);
  void CommitUpTo(std::uint64_t index);

  // Elections (core_election.cpp).
  void ResetElectionTimer();
  void PlanResumption();
  bool IsResuming() const;
  bool HasRecentLeaderContact() const;
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void RecordLeader(std::uint64_t leader);
  void OnVoteRequest(const raft_message& request);
  void OnVoteAnswer(const raft_message& answer);
  void CheckQuorum();
  void FailReads();

  // Replication (core_replication.cpp).
  void OnAppend(const raft_message& request);
  void RejectStaleTerm(const raft_message& request, message_kind kind);
  void FollowLeader(const raft_message& request);
  void StoreEntries(const raft_message& request);
  void RejectAppend(const raft_message& request);
  void RecordFreshness(const raft_message& request);
  void ApplyPendingFreshness();
  void OnAppendAnswer(const raft_message& answer);
  void OnSnapshot(const raft_message& request);
  void InstallSnapshot(const raft_message& request);
  void OnSnapshotAnswer(const raft_message& answer);
  progress* RecordAcknowledgement(const raft_message& answer);
  void Replicate();
  void ReplicateTo(std::uint64_t peer, progress& state);
  raft_message MakeAppend(std::uint64_t peer, std::uint64_t previous) const;
  void SendEntries(std::uint64_t peer, progress& state);
  void SendSnapshotPart(std::uint64_t peer, progress& state);
  void SendFirstEchoes();
  void SendHeartbeats();
  void AdvanceCommit();
  void CompleteReads();
  steady_time QuorumAcknowledged() const;
  void SyncProgress();

  // Membership and bootstrap (core_membership.cpp).
  membership_result ChangeMembership(const membership& changed);
  bool IsChangeBlocked() const;
  void BootstrapGroup();
  void RequestInitialMemberIds();
  void SendBootstrapEntry();
  void TickBootstrap();
  void OnIdentify(const raft_message& request);
  void OnIdentifyAnswer(const raft_message& answer);
  void OnBootstrap(const raft_message& request);
  void StoreBootstrapEntry(const raft_message& request);
  bool IsBootstrapInitiator() const;
  void BlockBootstrap();
  void AnnounceGroup();

  const core_settings settings_;
  std::mt19937_64 random_;
  hard_state state_;
  const std::uint64_t led_term_;  ///< Term that this replica led before its start; 0 for none.
  core_log log_;
  steady_time now_;

  core_role role_ = core_role::kFollower;
  std::uint64_t leader_id_ = 0;
  std::string leader_name_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;  ///< Last entry output in `committed`.
  std::uint64_t durable_index_ = 0;  ///< Last entry that is durable on the local disk.
  steady_time last_leader_contact_;
  steady_time election_deadline_;
  steady_time next_resumption_{};  ///< Time of the next pre-vote as a former leader.
  steady_time leading_since_{};
  steady_time next_heartbeat_{};
  steady_time next_bootstrap_{};
  std::uint64_t term_start_index_ = 0;  ///< First entry of this leader's term.
  bool is_heartbeat_requested_ = false;

  std::set<std::uint64_t> votes_;
  std::map<std::uint64_t, progress> peers_;
  std::uint64_t read_round_ = 0;
  std::deque<pending_read> reads_;
  std::optional<incoming_snapshot> incoming_snapshot_;

  /// Random offset added to `follower_time`, so that an echo of a time sent before a restart falls
  /// outside the valid range and is ignored.
  const std::int64_t timestamp_offset_;
  const steady_time started_;
  steady_time fresh_at_{};
  /// Index and time: the time becomes `fresh_at_` once the index is applied.
  std::optional<std::pair<std::uint64_t, steady_time>> pending_fresh_;

  std::map<std::string, std::uint64_t> initial_member_ids_;  ///< Initial members without a group.
  /// Initial members that have answered the bootstrap request.
  std::set<std::string> bootstrap_acknowledged_;

  std::uint64_t next_sequence_ = 1;
  storage_write pending_write_;
  bool has_pending_write_ = false;
  std::uint64_t in_flight_sequence_ = 0;  ///< Sequence number of the write in flight; 0 for none.
  std::uint64_t in_flight_last_index_ = 0;
  std::deque<deferred_message> deferred_messages_;
  core_output output_;
};

}  // namespace corianderhoist
