// Replication of the log, read index and snapshots for members that lag.
#include "consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corianderhoist {

// ---- Receiving side ----

void consensus_core::OnAppend(const raft_message& request) {
  state_.group = request.group;
  if (request.term < state_.term) {
    return RefuseFormerTerm(request, message_kind::kAppendAnswer);
  }
  FollowLeader(request);
  const bool is_matching =
      request.index <= commit_ ||
      (log_.HasTerm(request.index) && log_.TermAt(request.index) == request.index_term);
  if (!is_matching) {
    return RejectAppend(request);
  }
  StoreEntries(request);
  const std::uint64_t last = request.index + request.entries.size();
  CommitUpTo(std::min(request.commit_index, last));
  NoteFreshness(request);
  raft_message answer = MakeAnswer(request, message_kind::kAppendAnswer);
  answer.is_granted = true;
  answer.index = last;
  answer.follower_time = now_.time_since_epoch().count() + time_mark_;
  SendWhenDurable(std::move(answer));
}

// The answer carries the present term. If it also named the time and read round of the request, a
// leader of the present term would count a message of a former term as a sign of its own authority.
void consensus_core::RefuseFormerTerm(const raft_message& request, message_kind kind) {
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
  leader_ = request.from_id;
  leader_name_ = request.from;
  heard_leader_ = now_;
  ResetElectionTimer();
}

void consensus_core::StoreEntries(const raft_message& request) {
  for (const log_entry& entry : request.entries) {
    if (entry.index <= commit_ ||
        (entry.index <= log_.LastIndex() && log_.TermAt(entry.index) == entry.term)) {
      continue;
    }
    if (entry.index <= log_.LastIndex()) {
      TruncateLog(entry.index);
    }
    AppendToLog(entry);
  }
}

void consensus_core::NoteFreshness(const raft_message& request) {
  const steady_time echoed{steady_time::duration(request.follower_time - time_mark_)};
  if (request.follower_time == 0 || echoed < started_ || echoed > now_) {
    return;
  }
  if (!pending_fresh_) {  // An older one is kept: it comes true first.
    pending_fresh_ = {request.commit_index, echoed};
  }
  SettleFreshness();
}

void consensus_core::SettleFreshness() {
  if (pending_fresh_ && pending_fresh_->first <= taken_) {
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
      all.push_back({peer, state.acknowledged, state.match >= commit_});
    }
  }
  return all;
}

// The answer names the last entry that can match, skipping the whole term of the conflict.
void consensus_core::RejectAppend(const raft_message& request) {
  std::uint64_t hint = std::min(request.index - 1, log_.LastIndex());
  if (log_.HasTerm(request.index)) {
    const std::uint64_t conflict = log_.TermAt(request.index);
    while (hint > commit_ && log_.HasTerm(hint) && log_.TermAt(hint) == conflict) {
      --hint;
    }
  }
  raft_message answer = MakeAnswer(request, message_kind::kAppendAnswer);
  answer.index = hint;
  SendWhenDurable(std::move(answer));
}

void consensus_core::OnSnapshot(const raft_message& request) {
  if (request.term < state_.term) {
    return RefuseFormerTerm(request, message_kind::kSnapshotAnswer);
  }
  raft_message answer = MakeAnswer(request, message_kind::kSnapshotAnswer);
  answer.index = request.index;
  state_.group = answer.group = request.group;
  FollowLeader(request);
  answer.term = request.term;
  if (request.index > commit_) {
    if (!receiving_ || receiving_->index != request.index ||
        receiving_->term != request.index_term) {
      receiving_ = received_snapshot{request.index, request.index_term, {}};
    }
    if (receiving_->data.size() == request.offset) {
      receiving_->data += request.data;
      if (request.is_last_part) {
        InstallSnapshot(request);
      }
    }
  }
  answer.is_granted = request.index <= commit_;
  answer.offset = receiving_ ? receiving_->data.size() : 0;
  SendWhenDurable(std::move(answer));
}

void consensus_core::InstallSnapshot(const raft_message& request) {
  NoteLog();
  std::string data = std::exchange(receiving_, std::nullopt)->data;
  if (log_.HasTerm(request.index) && log_.TermAt(request.index) == request.index_term) {
    return CommitUpTo(request.index);
  }
  auto received = std::make_shared<const snapshot>(snapshot{request.index, request.index_term,
                                                            request.membership_index,
                                                            request.members, std::move(data)});
  storage_write& write = Pending();
  write.new_snapshot = received;
  write.truncate_from = 1;
  write.entries.clear();
  write.keep_from = 0;
  log_.Reset(received);
  durable_ = in_flight_last_ = 0;
  commit_ = taken_ = request.index;
  output_.committed.clear();
  output_.restore = std::move(received);
}

// ---- Sending side ----

void consensus_core::SyncProgress() {
  std::erase_if(peers_, [&](const auto& item) { return !log_.Members().Find(item.first); });
  for (const group_member& member : log_.Members().members) {
    if (member.replica_id != state_.replica_id && !peers_.contains(member.replica_id)) {
      peers_[member.replica_id].next = log_.LastIndex() + 1;
    }
  }
}

void consensus_core::Replicate() {
  if (std::exchange(wants_heartbeat_, false)) {
    SendHeartbeats();
  }
  for (auto& [peer, state] : peers_) {
    if (state.is_waiting && now_ - state.waiting_since > settings_.election_timeout / 2) {
      state.is_waiting = false;  // The message or its answer was lost.
    }
    // Not `next`: it is a guess at first, and a member that lacks entries must be asked for them.
    if (!state.is_waiting && state.match < log_.LastIndex()) {
      ReplicateTo(peer, state);
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
  raft_message request = Make(message_kind::kAppend, peer);
  request.index = previous;
  request.index_term = previous == 0 ? 0 : log_.TermAt(previous);
  request.commit_index = commit_;
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
       index <= log_.LastIndex() && request.entries.size() < settings_.append_entries; ++index) {
    const log_entry& entry = log_.At(index);
    bytes += entry.data.size();
    if (!request.entries.empty() && bytes > settings_.append_bytes) {
      break;
    }
    request.entries.push_back(entry);
  }
  state.waiting_index = request.index + request.entries.size();
  Send(std::move(request));
}

void consensus_core::SendSnapshotPart(std::uint64_t peer, progress& state) {
  const snapshot_ptr& last = log_.LastSnapshot();
  assert(last && "entries are dropped only behind a snapshot");
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
  request.data = last->data.substr(request.offset, settings_.snapshot_part_bytes);
  request.is_last_part = request.offset + request.data.size() == last->data.size();
  state.waiting_index = last->index;
  Send(std::move(request));
}

// Heartbeats are sent beside an append that is under way; they name an entry that is known to
// match.
void consensus_core::SendHeartbeats() {
  next_heartbeat_ = now_ + settings_.heartbeat;
  for (const auto& [peer, state] : peers_) {
    Send(MakeAppend(peer, log_.HasTerm(state.match) ? state.match : 0));
  }
}

consensus_core::progress* consensus_core::NoteAnswer(const raft_message& answer) {
  if (answer.term > state_.term) {
    BecomeFollower(answer.term, 0);
    return nullptr;
  }
  const auto found = peers_.find(answer.from_id);
  const bool is_of_former_term = answer.sent_at == 0;
  if (!IsLeader() || answer.term != state_.term || found == peers_.end() || is_of_former_term) {
    return nullptr;
  }
  progress& state = found->second;
  const steady_time sent_at{steady_time::duration(answer.sent_at)};
  if (sent_at >= state.acknowledged) {
    state.acknowledged = sent_at;
    state.follower_time = answer.follower_time;
  }
  state.read_round = std::max(state.read_round, answer.read_round);
  return &state;
}

void consensus_core::OnAppendAnswer(const raft_message& answer) {
  progress* state = NoteAnswer(answer);
  if (state == nullptr) {
    return;
  }
  if (answer.is_granted) {
    state->match = std::max(state->match, answer.index);
    state->next = std::max(state->next, state->match + 1);
    state->is_waiting = state->is_waiting && state->match < state->waiting_index;
    AdvanceCommit();
  } else {
    // A member whose log file was cut answers below `match`; replication starts again from there.
    state->match = std::min(state->match, answer.index);
    state->next = std::min(state->next, answer.index + 1);
    state->is_waiting = false;
  }
}

void consensus_core::OnSnapshotAnswer(const raft_message& answer) {
  progress* state = NoteAnswer(answer);
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
      matches.push_back(member.replica_id == state_.replica_id ? durable_
                                                               : peers_[member.replica_id].match);
    }
  }
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t agreed = matches[log_.Members().Majority() - 1];
  if (agreed <= commit_ || agreed < term_start_) {
    return;
  }
  CommitUpTo(agreed);
  const bool is_removed = !log_.Members().IsVoter(state_.replica_id);
  if (is_removed && log_.MembersIndex() <= commit_) {
    BecomeFollower(state_.term, 0);
  }
}

// ---- Reads ----

bool consensus_core::Read(std::uint64_t token) {
  if (!IsLeader()) {
    return false;
  }
  reads_.push_back({token, ++read_round_, std::max(commit_, term_start_)});
  wants_heartbeat_ = true;
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
  while (!reads_.empty() && reads_.front().round <= confirmed && reads_.front().index <= taken_) {
    output_.confirmed_reads.push_back(reads_.front().token);
    reads_.pop_front();
  }
}

}  // namespace corianderhoist
