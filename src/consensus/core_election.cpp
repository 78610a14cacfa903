// Elections with pre-vote, leader stickiness and the leader lease.
#include "consensus/core.h"
#include "consensus/leader_resumption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corianderhoist {
namespace {

// The remaining 10 % allow for drift between the clocks of two machines.
constexpr int kLeasePercentOfElectionTimeout = 90;

}  // namespace

void consensus_core::ResetElectionTimer() {
  using std::chrono::nanoseconds;
  const nanoseconds min_timeout = settings_.election_timeout;
  // std::uniform_int_distribution is avoided because its values differ between standard
  // libraries.
  const auto spread = static_cast<std::uint64_t>(min_timeout.count());
  election_deadline_ =
      now_ + min_timeout + nanoseconds(static_cast<std::int64_t>(random_() % spread));
}

// A former leader campaigns without waiting for its election timeout.
void consensus_core::PlanResumption() {
  using std::chrono::nanoseconds;
  if (led_term_ == 0) {
    return;
  }
  constexpr auto kSpread = static_cast<std::uint64_t>(nanoseconds(kMaxResumptionDelay).count());
  next_resumption_ = now_ + nanoseconds(static_cast<std::int64_t>(random_() % kSpread));
}

// Ends when the term changes, a leader is heard, or the voters' stickiness has passed anyway.
bool consensus_core::IsResuming() const {
  return led_term_ != 0 && state_.term == led_term_ && leader_id_ == 0 &&
         now_ < started_ + settings_.election_timeout && log_.Members().IsVoter(state_.replica_id);
}

bool consensus_core::HasRecentLeaderContact() const {
  return IsLeader() || now_ < last_leader_contact_ + settings_.election_timeout;
}

void consensus_core::StartPreVote() {
  BecomeFollower(state_.term, 0);
  role_ = core_role::kPreCandidate;
  votes_ = {state_.replica_id};
  for (const group_member& member : log_.Members().members) {
    if (member.is_voter && member.replica_id != state_.replica_id) {
      raft_message request = MakeMessage(message_kind::kPreVote, member.replica_id);
      request.term = state_.term + 1;
      request.led_term = led_term_;
      request.index = log_.LastIndex();
      request.index_term = log_.LastTerm();
      // A pre-vote makes no promise, but it names the group, which must be durable before any
      // message does so.
      SendWhenDurable(std::move(request));
    }
  }
  if (log_.Members().Majority() == 1) {
    StartElection();
  }
}

void consensus_core::StartElection() {
  ++state_.term;
  state_.voted_for = state_.replica_id;
  state_.leader = leader_record::kNone;
  SaveState();
  role_ = core_role::kCandidate;
  votes_.clear();
  for (const group_member& member : log_.Members().members) {
    if (!member.is_voter) {
      continue;
    }
    if (member.replica_id == state_.replica_id) {
      raft_message own = MakeMessage(message_kind::kVoteAnswer, state_.replica_id);
      own.is_granted = true;
      SendWhenDurable(std::move(own));
      continue;
    }
    raft_message request = MakeMessage(message_kind::kVote, member.replica_id);
    request.led_term = led_term_;
    request.index = log_.LastIndex();
    request.index_term = log_.LastTerm();
    if (log_.HasTerm(0)) {
      request.entries = {log_.At(1)};  // A voter without a log needs the bootstrap entry.
    }
    SendWhenDurable(std::move(request));
  }
}

void consensus_core::OnVoteRequest(const raft_message& request) {
  const bool is_pre_vote = request.kind == message_kind::kPreVote;
  const auto answer_kind = is_pre_vote ? message_kind::kPreVoteAnswer : message_kind::kVoteAnswer;
  raft_message answer = MakeAnswer(request, answer_kind);
  answer.group = request.group;
  // A leader may hold a lease that depends on this replica, so neither a vote is granted nor the
  // term advanced, unless the only lease that can exist was the candidate's own.
  if (HasRecentLeaderContact() && (IsLeader() || !IsResumption(state_, request))) {
    return SendWhenDurable(std::move(answer));
  }
  if (!is_pre_vote && request.term > state_.term) {
    state_.group = request.group;
    BecomeFollower(request.term, 0);
    StoreBootstrapEntry(request);
    answer.term = state_.term;
  }
  const bool is_current = is_pre_vote ? request.term > state_.term : request.term == state_.term;
  const bool can_vote = is_pre_vote || state_.voted_for == 0 || state_.voted_for == request.from_id;
  const bool is_log_up_to_date = std::tuple(request.index_term, request.index) >=
                                 std::tuple(log_.LastTerm(), log_.LastIndex());
  answer.is_granted = is_current && can_vote && is_log_up_to_date;
  if (answer.is_granted && is_pre_vote) {
    answer.term = request.term;
  } else if (answer.is_granted) {
    ResetElectionTimer();
    if (state_.voted_for == 0) {
      state_.voted_for = request.from_id;
      SaveState();
    }
  }
  SendWhenDurable(std::move(answer));
}

void consensus_core::OnVoteAnswer(const raft_message& answer) {
  const bool is_pre_vote = answer.kind == message_kind::kPreVoteAnswer;
  if (!answer.is_granted) {
    if (answer.term > state_.term) {
      BecomeFollower(answer.term, 0);
    }
    return;
  }
  const auto expected_role = is_pre_vote ? core_role::kPreCandidate : core_role::kCandidate;
  const std::uint64_t expected_term = is_pre_vote ? state_.term + 1 : state_.term;
  if (role_ != expected_role || answer.term != expected_term ||
      !log_.Members().IsVoter(answer.from_id)) {
    return;
  }
  votes_.insert(answer.from_id);
  if (votes_.size() < log_.Members().Majority()) {
    return;
  }
  if (is_pre_vote) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

// The write is durable before the next answer to the leader is sent.
void consensus_core::RecordLeader(std::uint64_t leader) {
  if (state_.leader == leader_record::kVotedFor && state_.voted_for == leader) {
    return;
  }
  state_.voted_for = leader;
  state_.leader = leader_record::kVotedFor;
  SaveState();
}

void consensus_core::BecomeLeader() {
  role_ = core_role::kLeader;
  RecordLeader(state_.replica_id);
  leader_id_ = state_.replica_id;
  leading_since_ = now_;
  incoming_snapshot_.reset();
  peers_.clear();
  SyncProgress();
  // Entries of earlier terms are committed only indirectly, by an entry of the current term.
  AppendAsLeader(entry_kind::kNoOp, {});
  term_start_index_ = log_.LastIndex();
  is_heartbeat_requested_ = true;
}

// A leader that has lost contact with a majority steps down, so that callers look for a new one.
void consensus_core::CheckQuorum() {
  const steady_time since = std::max(QuorumAcknowledged(), leading_since_);
  if (now_ - since > settings_.election_timeout) {
    BecomeFollower(state_.term, 0);
  }
}

steady_time consensus_core::QuorumAcknowledged() const {
  std::vector<steady_time> times;
  for (const group_member& member : log_.Members().members) {
    if (!member.is_voter) {
      continue;
    }
    if (member.replica_id == state_.replica_id) {
      times.push_back(now_);
    } else if (const auto found = peers_.find(member.replica_id); found != peers_.end()) {
      times.push_back(found->second.acknowledged_at);
    }
  }
  std::sort(times.rbegin(), times.rend());
  return times[log_.Members().Majority() - 1];
}

steady_time consensus_core::LeaseEnd() const {
  if (!IsLeader() || applied_index_ < term_start_index_) {
    return {};
  }
  const steady_time since = QuorumAcknowledged();
  // The epoch means that no majority has answered yet, so there is no lease.
  return since == steady_time{}
             ? since
             : since + settings_.election_timeout * kLeasePercentOfElectionTimeout / 100;
}

void consensus_core::FailReads() {
  for (const pending_read& read : std::exchange(reads_, {})) {
    output_.failed_reads.push_back(read.token);
  }
}

}  // namespace corianderhoist
