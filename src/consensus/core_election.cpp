// Elections with pre-vote, leader stickiness and the leader lease.
#include "consensus/core.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corianderhoist {
namespace {

// Clocks of two machines may differ in speed by this share.
constexpr int kLeasePercent = 90;

}  // namespace

void consensus_core::ResetElectionTimer() {
  using std::chrono::nanoseconds;
  const nanoseconds shortest = settings_.election_timeout;
  // Not std::uniform_int_distribution: its values differ between standard libraries.
  const auto spread = static_cast<std::uint64_t>(shortest.count());
  election_at_ = now_ + shortest + nanoseconds(static_cast<std::int64_t>(random_() % spread));
}

bool consensus_core::HasHeardLeader() const {
  return IsLeader() || now_ < heard_leader_ + settings_.election_timeout;
}

void consensus_core::StartPreVote() {
  BecomeFollower(state_.term, 0);
  role_ = core_role::kPreCandidate;
  votes_ = {state_.replica_id};
  for (const group_member& member : log_.Members().members) {
    if (member.is_voter && member.replica_id != state_.replica_id) {
      raft_message request = Make(message_kind::kPreVote, member.replica_id);
      request.term = state_.term + 1;
      request.index = log_.LastIndex();
      request.index_term = log_.LastTerm();
      // Waits even though it promises nothing: it names the group, which must be on disk by then.
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
  SaveState();
  role_ = core_role::kCandidate;
  votes_.clear();
  for (const group_member& member : log_.Members().members) {
    if (!member.is_voter) {
      continue;
    }
    if (member.replica_id == state_.replica_id) {
      raft_message own = Make(message_kind::kVoteAnswer, state_.replica_id);
      own.is_granted = true;
      SendWhenDurable(std::move(own));
      continue;
    }
    raft_message request = Make(message_kind::kVote, member.replica_id);
    request.index = log_.LastIndex();
    request.index_term = log_.LastTerm();
    if (log_.HasTerm(0)) {
      request.entries = {log_.At(1)};  // A voter that joins needs the founding entry.
    }
    SendWhenDurable(std::move(request));
  }
}

void consensus_core::OnVoteRequest(const raft_message& request) {
  const bool is_pre = request.kind == message_kind::kPreVote;
  const auto answer_kind = is_pre ? message_kind::kPreVoteAnswer : message_kind::kVoteAnswer;
  raft_message answer = MakeAnswer(request, answer_kind);
  answer.group = request.group;
  // While a leader may hold a lease because of this replica, even the term stays as it is.
  if (HasHeardLeader()) {
    return SendWhenDurable(std::move(answer));
  }
  if (!is_pre && request.term > state_.term) {
    state_.group = request.group;
    BecomeFollower(request.term, 0);
    StoreFounding(request);
    answer.term = state_.term;
  }
  const bool is_current = is_pre ? request.term > state_.term : request.term == state_.term;
  const bool is_free = is_pre || state_.voted_for == 0 || state_.voted_for == request.from_id;
  const bool has_log = std::tuple(request.index_term, request.index) >=
                       std::tuple(log_.LastTerm(), log_.LastIndex());
  answer.is_granted = is_current && is_free && has_log;
  if (answer.is_granted && is_pre) {
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
  const bool is_pre = answer.kind == message_kind::kPreVoteAnswer;
  if (!answer.is_granted) {
    if (answer.term > state_.term) {
      BecomeFollower(answer.term, 0);
    }
    return;
  }
  const auto expected_role = is_pre ? core_role::kPreCandidate : core_role::kCandidate;
  const std::uint64_t expected_term = is_pre ? state_.term + 1 : state_.term;
  if (role_ != expected_role || answer.term != expected_term ||
      !log_.Members().IsVoter(answer.from_id)) {
    return;
  }
  votes_.insert(answer.from_id);
  if (votes_.size() < log_.Members().Majority()) {
    return;
  }
  if (is_pre) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void consensus_core::BecomeLeader() {
  role_ = core_role::kLeader;
  leader_ = state_.replica_id;
  leading_since_ = now_;
  receiving_.reset();
  peers_.clear();
  SyncProgress();
  // Entries of former terms count as committed only through an entry of the own term.
  AppendAsLeader(entry_kind::kNoOp, {});
  term_start_ = log_.LastIndex();
  wants_heartbeat_ = true;
}

// A leader that no majority hears steps down, so that its callers look for another one.
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
      times.push_back(found->second.acknowledged);
    }
  }
  std::sort(times.rbegin(), times.rend());
  return times[log_.Members().Majority() - 1];
}

steady_time consensus_core::LeaseEnd() const {
  if (!IsLeader() || taken_ < term_start_) {
    return {};
  }
  const steady_time since = QuorumAcknowledged();
  // Nobody has answered yet: the time is the epoch, which must not become a lease.
  return since == steady_time{} ? since : since + settings_.election_timeout * kLeasePercent / 100;
}

void consensus_core::FailReads() {
  for (const pending_read& read : std::exchange(reads_, {})) {
    output_.failed_reads.push_back(read.token);
  }
}

}  // namespace corianderhoist
