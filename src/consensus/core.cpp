#include "consensus/core.h"

#include "consensus/leader_resumption.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corianderhoist {

bool core_output::IsEmpty() const {
  return !write && messages.empty() && !restore && committed.empty() && confirmed_reads.empty() &&
         failed_reads.empty();
}

consensus_core::consensus_core(core_settings settings, stored_state stored, steady_time now)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      state_(stored.state),
      led_term_(settings_.resumes_leadership ? LedTerm(stored.state) : 0),
      log_(std::move(stored.last_snapshot), std::move(stored.entries)),
      now_(now),
      // The replica may have acknowledged a leader just before it stopped. It must not vote for
      // another candidate until that leader's lease has expired, except for that leader itself.
      last_leader_contact_(now),
      timestamp_offset_(static_cast<std::int64_t>(random_() >> 2U)),
      started_(now) {
  commit_index_ = applied_index_ = log_.SnapshotIndex();
  durable_index_ = log_.LastIndex();
  ResetElectionTimer();
  PlanResumption();
}

void consensus_core::Tick(steady_time now) {
  now_ = std::max(now_, now);
  TickBootstrap();
  if (state_.group == 0) {
    return;
  }
  if (IsLeader()) {
    CheckQuorum();
    if (IsLeader() && now_ >= next_heartbeat_) {
      is_heartbeat_requested_ = true;
    }
    return;
  }
  if (IsResuming() && now_ >= next_resumption_) {
    next_resumption_ = now_ + kResumptionInterval;
    StartPreVote();
    return;
  }
  if (now_ >= election_deadline_) {
    ResetElectionTimer();
    if (log_.Members().IsVoter(state_.replica_id)) {
      StartPreVote();
    }
  }
}

void consensus_core::Receive(const raft_message& message, steady_time now) {
  now_ = std::max(now_, now);
  if (Accepts(message)) {
    Dispatch(message);
  }
}

void consensus_core::WriteDone(std::uint64_t sequence, steady_time now) {
  now_ = std::max(now_, now);
  assert(sequence == in_flight_sequence_ && "writes must complete in order");
  in_flight_sequence_ = 0;
  durable_index_ = in_flight_last_index_;
  while (!deferred_messages_.empty() && deferred_messages_.front().sequence <= sequence) {
    raft_message message = std::move(deferred_messages_.front().message);
    deferred_messages_.pop_front();
    if (message.to_id == state_.replica_id) {
      Dispatch(message);
    } else {
      Send(std::move(message));
    }
  }
  AdvanceCommit();
}

core_output consensus_core::TakeOutput() {
  if (IsLeader()) {
    Replicate();
    CompleteReads();
  }
  if (has_pending_write_ && in_flight_sequence_ == 0) {
    in_flight_sequence_ = pending_write_.sequence;
    in_flight_last_index_ = log_.LastIndex();
    output_.write = std::exchange(pending_write_, {});
    has_pending_write_ = false;
  }
  return std::exchange(output_, {});
}

std::optional<std::uint64_t> consensus_core::Propose(std::string command) {
  if (!IsLeader()) {
    return std::nullopt;
  }
  AppendAsLeader(entry_kind::kCommand, std::move(command));
  return log_.LastIndex();
}

void consensus_core::Compact(std::uint64_t index, std::string data) {
  assert(index <= applied_index_ && "only applied entries may be compacted");
  if (index <= log_.SnapshotIndex() || !log_.HasTerm(index)) {
    return;
  }
  const auto& [members_index, members] = log_.MembersAt(index);
  auto compacted = std::make_shared<const snapshot>(
      snapshot{index, log_.TermAt(index), members_index, Encode(members), std::move(data)});
  const std::uint64_t trailing = settings_.trailing_entries;
  const std::uint64_t keep_from = index > trailing ? index - trailing + 1 : 1;
  storage_write& write = PendingWrite();
  write.new_snapshot = compacted;
  write.keep_from = keep_from;
  log_.Compact(std::move(compacted), keep_from);
}

std::string consensus_core::LeaderName() const {
  if (leader_id_ == state_.replica_id && leader_id_ != 0) {
    return settings_.name;
  }
  return leader_id_ == 0 ? std::string() : leader_name_;
}

raft_message consensus_core::MakeMessage(message_kind kind, std::uint64_t to_id) const {
  raft_message message;
  message.kind = kind;
  message.group = state_.group;
  message.from = settings_.name;
  message.from_id = state_.replica_id;
  message.to_id = to_id;
  if (const group_member* member = log_.Members().Find(to_id)) {
    message.to = member->name;
  }
  message.term = state_.term;
  return message;
}

raft_message consensus_core::MakeAnswer(const raft_message& request, message_kind kind) const {
  raft_message answer = MakeMessage(kind, request.from_id);
  answer.to = request.from;
  answer.call = request.call;
  answer.sent_at = request.sent_at;
  answer.read_round = request.read_round;
  answer.follower_time = 0;
  return answer;
}

void consensus_core::SendWhenDurable(raft_message message) {
  const std::uint64_t sequence = has_pending_write_ ? pending_write_.sequence : in_flight_sequence_;
  if (sequence == 0) {
    Send(std::move(message));
  } else {
    deferred_messages_.push_back({sequence, std::move(message)});
  }
}

storage_write& consensus_core::PendingWrite() {
  if (!has_pending_write_) {
    has_pending_write_ = true;
    pending_write_.sequence = next_sequence_++;
  }
  return pending_write_;
}

void consensus_core::SaveState() {
  PendingWrite().state = state_;
}

void consensus_core::AppendToLog(log_entry entry) {
  MarkLogPresent();
  PendingWrite().entries.push_back(entry);
  log_.Append(std::move(entry));
}

void consensus_core::MarkLogPresent() {
  if (!state_.has_log) {
    state_.has_log = true;
    SaveState();
  }
}

void consensus_core::TruncateLog(std::uint64_t index) {
  assert(index > commit_index_ && "a committed entry must not change");
  log_.TruncateFrom(index);
  durable_index_ = std::min(durable_index_, index - 1);
  in_flight_last_index_ = std::min(in_flight_last_index_, index - 1);
  storage_write& write = PendingWrite();
  write.truncate_from = write.truncate_from == 0 ? index : std::min(write.truncate_from, index);
  std::erase_if(write.entries, [&](const log_entry& entry) { return entry.index >= index; });
}

// Rejects messages that are addressed to another replica id or come from another group. A replica
// without a group joins the first group that addresses it by its replica id.
bool consensus_core::Accepts(const raft_message& message) {
  if (message.kind == message_kind::kIdentify) {
    return true;
  }
  if (message.to_id != state_.replica_id) {
    if (message.group != 0) {
      BlockBootstrap();
    }
    return false;
  }
  switch (message.kind) {
    case message_kind::kIdentifyAnswer:
    case message_kind::kBootstrap:
    case message_kind::kBootstrapAnswer:
      return true;
    case message_kind::kPreVote:
    case message_kind::kVote:
    case message_kind::kAppend:
    case message_kind::kSnapshot:
      return state_.group == 0 || message.group == state_.group;
    default:
      return state_.group != 0 && message.group == state_.group;
  }
}

void consensus_core::Dispatch(const raft_message& message) {
  switch (message.kind) {
    case message_kind::kIdentify:
      return OnIdentify(message);
    case message_kind::kIdentifyAnswer:
      return OnIdentifyAnswer(message);
    case message_kind::kBootstrap:
      return OnBootstrap(message);
    case message_kind::kBootstrapAnswer:
      bootstrap_acknowledged_.insert(message.from);
      return;
    case message_kind::kPreVote:
    case message_kind::kVote:
      return OnVoteRequest(message);
    case message_kind::kPreVoteAnswer:
    case message_kind::kVoteAnswer:
      return OnVoteAnswer(message);
    case message_kind::kAppend:
      return OnAppend(message);
    case message_kind::kAppendAnswer:
      return OnAppendAnswer(message);
    case message_kind::kSnapshot:
      return OnSnapshot(message);
    case message_kind::kSnapshotAnswer:
      return OnSnapshotAnswer(message);
  }
}

void consensus_core::BecomeFollower(std::uint64_t term, std::uint64_t leader) {
  if (term > state_.term) {
    state_.term = term;
    state_.voted_for = 0;
    state_.leader = leader_record::kNone;
    SaveState();
  }
  if (IsLeader()) {
    FailReads();
    ResetElectionTimer();
  }
  role_ = core_role::kFollower;
  leader_id_ = leader;
  votes_.clear();
  peers_.clear();
  is_heartbeat_requested_ = false;
}

void consensus_core::AppendAsLeader(entry_kind kind, std::string data) {
  AppendToLog({log_.LastIndex() + 1, state_.term, kind, std::move(data)});
}

void consensus_core::CommitUpTo(std::uint64_t index) {
  commit_index_ = std::max(commit_index_, index);
  while (applied_index_ < commit_index_) {
    output_.committed.push_back(log_.At(++applied_index_));
  }
  ApplyPendingFreshness();
}

}  // namespace corianderhoist
