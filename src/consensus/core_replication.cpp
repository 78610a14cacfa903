// Log replication, read index, and snapshot transfer to lagging members.
#include "consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corianderhoist {

// ---- Follower ----

void consensus_core::OnAppend(const raft_message& request) {
  state_.group = request.group;
  if (request.term < state_.term) {
    return RejectStaleTerm(request, message_kind::kAppendAnswer);
  }
  FollowLeader(request);
  const bool is_matching =
      request.index <= commit_index_ ||
      (log_.HasTerm(request.index) && log_.TermAt(request.index) == request.index_term);
  if (!is_matching) {
    return RejectAppend(request);
  }
  StoreEntries(request);
  const std::uint64_t last = request.index + request.entries.size();
  CommitUpTo(std::min(request.commit_index, last));
  RecordFreshness(request);
  raft_message answer = MakeAnswer(request, message_kind::kAppendAnswer);
  answer.is_granted = true;
  answer.index = last;
  answer.follower_time = now_.time_since_epoch().count() + timestamp_offset_;
  SendWhenDurable(std::move(answer));
}

// Answers with the current term but without the send time and read round of the request. If they
// were included and the sender has become leader of the current term, it would count the answer to
// a message of its earlier term as a confirmation of its current lease or of a read.
void consensus_core::RejectStaleTerm(const raft_message& request, message_kind kind) {
  raft_message answer = MakeAnswer(request, kind);
  answer.sent_at = 0;
  answer.read_round = 0;
  SendWhenDurable(std::move(answer));
}

void consensus_core::FollowLeader(const raft_message& request) {
  assert(!(IsLeader() && request.term == state_.term) && "a term must not have two leaders");
  if (request.term > state_.term || role_ != core_role::kFollower) {
    BecomeFollower(request.term, request.from_id);
  }
  RecordLeader(request.from_id);
  leader_id_ = request.from_id;
  leader_name_ = request.from;
  last_leader_contact_ = now_;
  ResetElectionTimer();
}

void consensus_core::StoreEntries(const raft_message& request) {
  for (const log_entry& entry : request.entries) {
    if (entry.index <= commit_index_ ||
        (entry.index <= log_.LastIndex() && log_.TermAt(entry.index) == entry.term)) {
      continue;
    }
    if (entry.index <= log_.LastIndex()) {
      TruncateLog(entry.index);
    }
    AppendToLog(entry);
  }
}

void consensus_core::RecordFreshness(const raft_message& request) {
  const steady_time echoed{steady_time::duration(request.follower_time - timestamp_offset_)};
  if (request.follower_time == 0 || echoed < started_ || echoed > now_) {
    return;
  }
  if (!pending_fresh_) {  // An older candidate is kept, because it becomes valid first.
    pending_fresh_ = {request.commit_index, echoed};
  }
  ApplyPendingFreshness();
}

void consensus_core::ApplyPendingFreshness() {
  if (pending_fresh_ && pending_fresh_->first <= applied_index_) {
    fresh_at_ = std::max(fresh_at_, pending_fresh_->second);
    pending_fresh_.reset();
  }
}

steady_time consensus_core::FreshAt() const {
  return IsLeader() && LeaseEnd() > now_ ? now_ : fresh_at_;
}

std::vector<consensus_core::member_progress> consensus_core::Progress() const {
  std::vector<member_progress> all;
  if (IsLeader()) {
    for (const auto& [peer, state] : peers_) {
      all.push_back({peer, state.acknowledged_at, state.match >= commit_index_});
    }
  }
  return all;
}

// The answer hints at the last entry that can match. All entries of the conflicting term are
// skipped, so that the leader does not probe them one by one.
void consensus_core::RejectAppend(const raft_message& request) {
  std::uint64_t hint = std::min(request.index - 1, log_.LastIndex());
  if (log_.HasTerm(request.index)) {
    const std::uint64_t conflict = log_.TermAt(request.index);
    while (hint > commit_index_ && log_.HasTerm(hint) && log_.TermAt(hint) == conflict) {
      --hint;
    }
  }
  raft_message answer = MakeAnswer(request, message_kind::kAppendAnswer);
  answer.index = hint;
  SendWhenDurable(std::move(answer));
}

void consensus_core::OnSnapshot(const raft_message& request) {
  if (request.term < state_.term) {
    return RejectStaleTerm(request, message_kind::kSnapshotAnswer);
  }
  raft_message answer = MakeAnswer(request, message_kind::kSnapshotAnswer);
  answer.index = request.index;
  state_.group = answer.group = request.group;
  FollowLeader(request);
  answer.term = request.term;
  if (request.index > commit_index_) {
    if (!incoming_snapshot_ || incoming_snapshot_->index != request.index ||
        incoming_snapshot_->term != request.index_term) {
      incoming_snapshot_ = incoming_snapshot{request.index, request.index_term, {}};
    }
    if (incoming_snapshot_->data.size() == request.offset) {
      incoming_snapshot_->data += request.data;
      if (request.is_last_part) {
        InstallSnapshot(request);
      }
    }
  }
  answer.is_granted = request.index <= commit_index_;
  answer.offset = incoming_snapshot_ ? incoming_snapshot_->data.size() : 0;
  SendWhenDurable(std::move(answer));
}

void consensus_core::InstallSnapshot(const raft_message& request) {
  MarkLogPresent();
  std::string data = std::exchange(incoming_snapshot_, std::nullopt)->data;
  if (log_.HasTerm(request.index) && log_.TermAt(request.index) == request.index_term) {
    return CommitUpTo(request.index);
  }
  auto received = std::make_shared<const snapshot>(snapshot{request.index, request.index_term,
                                                            request.membership_index,
                                                            request.members, std::move(data)});
  storage_write& write = PendingWrite();
  write.new_snapshot = received;
  write.truncate_from = 1;
  write.entries.clear();
  write.keep_from = 0;
  log_.Reset(received);
  durable_index_ = in_flight_last_index_ = 0;
  commit_index_ = applied_index_ = request.index;
  output_.committed.clear();
  output_.restore = std::move(received);
}

// ---- Leader ----

void consensus_core::SyncProgress() {
  std::erase_if(peers_, [&](const auto& item) { return !log_.Members().Find(item.first); });
  for (const group_member& member : log_.Members().members) {
    if (member.replica_id != state_.replica_id && !peers_.contains(member.replica_id)) {
      peers_[member.replica_id].next = log_.LastIndex() + 1;
    }
  }
}

void consensus_core::Replicate() {
  if (std::exchange(is_heartbeat_requested_, false)) {
    SendHeartbeats();
  }
  SendFirstEchoes();
  for (auto& [peer, state] : peers_) {
    if (state.is_waiting && now_ - state.waiting_since > settings_.election_timeout / 2) {
      state.is_waiting = false;  // The message or its answer was lost.
    }
    // Compares `match`, not `next`: `next` is an optimistic guess until the first answer, and a
    // member that lacks entries must still be probed.
    if (!state.is_waiting && state.match < log_.LastIndex()) {
      ReplicateTo(peer, state);
    }
  }
}

// A new leader returns the first `follower_time` of each follower without waiting for the next
// heartbeat. The append must refer to an entry of this term, else the follower cannot commit up to
// `commit_index`, on which the freshness timestamp depends.
void consensus_core::SendFirstEchoes() {
  if (LeaseEnd() <= now_) {
    return;
  }
  for (auto& [peer, state] : peers_) {
    if (state.is_echo_due && state.match >= term_start_index_ && log_.HasTerm(state.match)) {
      state.is_echo_due = false;
      Send(MakeAppend(peer, state.match));
    }
  }
}

void consensus_core::ReplicateTo(std::uint64_t peer, progress& state) {
  state.is_waiting = true;
  state.waiting_since = now_;
  if (log_.HasTerm(state.next - 1)) {
    SendEntries(peer, state);
  } else {
    SendSnapshotPart(peer, state);
  }
}

raft_message consensus_core::MakeAppend(std::uint64_t peer, std::uint64_t previous) const {
  raft_message request = MakeMessage(message_kind::kAppend, peer);
  request.index = previous;
  request.index_term = previous == 0 ? 0 : log_.TermAt(previous);
  request.commit_index = commit_index_;
  request.sent_at = now_.time_since_epoch().count();
  request.read_round = read_round_;
  if (const auto found = peers_.find(peer); found != peers_.end() && LeaseEnd() > now_) {
    request.follower_time = found->second.follower_time;
  }
  return request;
}

void consensus_core::SendEntries(std::uint64_t peer, progress& state) {
  raft_message request = MakeAppend(peer, state.next - 1);
  std::size_t bytes = 0;
  for (std::uint64_t index = state.next;
       index <= log_.LastIndex() && request.entries.size() < settings_.max_append_entries;
       ++index) {
    const log_entry& entry = log_.At(index);
    bytes += entry.data.size();
    if (!request.entries.empty() && bytes > settings_.max_append_bytes) {
      break;
    }
    request.entries.push_back(entry);
  }
  state.waiting_index = request.index + request.entries.size();
  Send(std::move(request));
}

void consensus_core::SendSnapshotPart(std::uint64_t peer, progress& state) {
  const snapshot_ptr& last = log_.LastSnapshot();
  assert(last && "entries are removed only after a snapshot covers them");
  if (state.snapshot_index != last->index) {
    state.snapshot_index = last->index;
    state.snapshot_offset = 0;
  }
  raft_message request = MakeAppend(peer, 0);
  request.kind = message_kind::kSnapshot;
  request.index = last->index;
  request.index_term = last->term;
  request.membership_index = last->membership_index;
  request.members = last->membership;
  request.offset = std::min<std::uint64_t>(state.snapshot_offset, last->data.size());
  request.data = last->data.substr(request.offset, settings_.max_snapshot_part_bytes);
  request.is_last_part = request.offset + request.data.size() == last->data.size();
  state.waiting_index = last->index;
  Send(std::move(request));
}

// Heartbeats are sent even while an append is unanswered. They refer to an entry that is known to
// match, so that the follower does not reject them.
void consensus_core::SendHeartbeats() {
  next_heartbeat_ = now_ + settings_.heartbeat;
  for (const auto& [peer, state] : peers_) {
    Send(MakeAppend(peer, log_.HasTerm(state.match) ? state.match : 0));
  }
}

consensus_core::progress* consensus_core::RecordAcknowledgement(const raft_message& answer) {
  if (answer.term > state_.term) {
    BecomeFollower(answer.term, 0);
    return nullptr;
  }
  const auto found = peers_.find(answer.from_id);
  const bool is_stale = answer.sent_at == 0;
  if (!IsLeader() || answer.term != state_.term || found == peers_.end() || is_stale) {
    return nullptr;
  }
  progress& state = found->second;
  const steady_time sent_at{steady_time::duration(answer.sent_at)};
  state.is_echo_due = state.is_echo_due || (state.follower_time == 0 && answer.follower_time != 0);
  if (sent_at >= state.acknowledged_at) {
    state.acknowledged_at = sent_at;
    state.follower_time = answer.follower_time;
  }
  state.read_round = std::max(state.read_round, answer.read_round);
  return &state;
}

void consensus_core::OnAppendAnswer(const raft_message& answer) {
  progress* state = RecordAcknowledgement(answer);
  if (state == nullptr) {
    return;
  }
  if (answer.is_granted) {
    state->match = std::max(state->match, answer.index);
    state->next = std::max(state->next, state->match + 1);
    state->is_waiting = state->is_waiting && state->match < state->waiting_index;
    AdvanceCommit();
  } else {
    // A member that lost the end of its log answers below `match`; replication resumes there.
    state->match = std::min(state->match, answer.index);
    state->next = std::min(state->next, answer.index + 1);
    state->is_waiting = false;
  }
}

void consensus_core::OnSnapshotAnswer(const raft_message& answer) {
  progress* state = RecordAcknowledgement(answer);
  if (state == nullptr || state->snapshot_index != answer.index) {
    return;
  }
  state->is_waiting = false;
  state->snapshot_offset = answer.offset;
  if (answer.is_granted) {
    state->snapshot_index = 0;
    state->match = std::max(state->match, answer.index);
    state->next = std::max(state->next, state->match + 1);
    AdvanceCommit();
  }
}

void consensus_core::AdvanceCommit() {
  if (!IsLeader()) {
    return;
  }
  std::vector<std::uint64_t> matches;
  for (const group_member& member : log_.Members().members) {
    if (member.is_voter) {
      matches.push_back(member.replica_id == state_.replica_id ? durable_index_
                                                               : peers_[member.replica_id].match);
    }
  }
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t agreed = matches[log_.Members().Majority() - 1];
  if (agreed <= commit_index_ || agreed < term_start_index_) {
    return;
  }
  CommitUpTo(agreed);
  const bool is_removed = !log_.Members().IsVoter(state_.replica_id);
  if (is_removed && log_.MembersIndex() <= commit_index_) {
    BecomeFollower(state_.term, 0);
  }
}

// ---- Reads ----

bool consensus_core::RequestReadIndex(std::uint64_t token) {
  if (!IsLeader()) {
    return false;
  }
  reads_.push_back({token, ++read_round_, std::max(commit_index_, term_start_index_)});
  is_heartbeat_requested_ = true;
  return true;
}

void consensus_core::CompleteReads() {
  if (reads_.empty()) {
    return;
  }
  std::vector<std::uint64_t> rounds;
  for (const group_member& member : log_.Members().members) {
    if (member.is_voter) {
      const bool is_own = member.replica_id == state_.replica_id;
      rounds.push_back(is_own ? read_round_ : peers_[member.replica_id].read_round);
    }
  }
  std::sort(rounds.rbegin(), rounds.rend());
  const std::uint64_t confirmed = rounds[log_.Members().Majority() - 1];
  while (!reads_.empty() && reads_.front().round <= confirmed &&
         reads_.front().index <= applied_index_) {
    output_.confirmed_reads.push_back(reads_.front().token);
    reads_.pop_front();
  }
}

}  // namespace corianderhoist
