#include "consensus/core.h"

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
      log_(std::move(stored.last_snapshot), std::move(stored.entries)),
      now_(now),
      // The replica may have answered a leader just before it stopped. That leader's lease must
      // pass before this replica votes for another one.
      heard_leader_(now),
      time_mark_(static_cast<std::int64_t>(random_() >> 2U)),
      started_(now) {
  commit_ = taken_ = log_.SnapshotIndex();
  durable_ = log_.LastIndex();
  ResetElectionTimer();
}

void consensus_core::Tick(steady_time now) {
  now_ = std::max(now_, now);
  TickFounding();
  if (state_.group == 0) {
    return;
  }
  if (IsLeader()) {
    CheckQuorum();
    if (IsLeader() && now_ >= next_heartbeat_) {
      wants_heartbeat_ = true;
    }
    return;
  }
  if (now_ >= election_at_) {
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
  assert(sequence == in_flight_ && "writes complete in order");
  in_flight_ = 0;
  durable_ = in_flight_last_;
  while (!held_.empty() && held_.front().sequence <= sequence) {
    raft_message message = std::move(held_.front().message);
    held_.pop_front();
    if (message.to_id == state_.replica_id) {
      Dispatch(message);
    } else {
      Send(std::move(message));
    }
  }
  AdvanceCommit();
}

core_output consensus_core::Take() {
  if (IsLeader()) {
    Replicate();
    CompleteReads();
  }
  if (is_pending_ && in_flight_ == 0) {
    in_flight_ = pending_write_.sequence;
    in_flight_last_ = log_.LastIndex();
    output_.write = std::exchange(pending_write_, {});
    is_pending_ = false;
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
  assert(index <= taken_ && "only applied entries can be compacted");
  if (index <= log_.SnapshotIndex() || !log_.HasTerm(index)) {
    return;
  }
  const auto& [members_index, members] = log_.MembersAt(index);
  auto taken = std::make_shared<const snapshot>(
      snapshot{index, log_.TermAt(index), members_index, Encode(members), std::move(data)});
  const std::uint64_t kept = settings_.trailing_entries;
  const std::uint64_t keep_from = index > kept ? index - kept + 1 : 1;
  storage_write& write = Pending();
  write.new_snapshot = taken;
  write.keep_from = keep_from;
  log_.Compact(std::move(taken), keep_from);
}

std::string consensus_core::LeaderName() const {
  if (leader_ == state_.replica_id && leader_ != 0) {
    return settings_.name;
  }
  return leader_ == 0 ? std::string() : leader_name_;
}

raft_message consensus_core::Make(message_kind kind, std::uint64_t to_id) const {
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
  raft_message answer = Make(kind, request.from_id);
  answer.to = request.from;
  answer.call = request.call;
  answer.sent_at = request.sent_at;
  answer.read_round = request.read_round;
  answer.follower_time = 0;
  return answer;
}

void consensus_core::SendWhenDurable(raft_message message) {
  const std::uint64_t sequence = is_pending_ ? pending_write_.sequence : in_flight_;
  if (sequence == 0) {
    Send(std::move(message));
  } else {
    held_.push_back({sequence, std::move(message)});
  }
}

storage_write& consensus_core::Pending() {
  if (!is_pending_) {
    is_pending_ = true;
    pending_write_.sequence = next_sequence_++;
  }
  return pending_write_;
}

void consensus_core::SaveState() {
  Pending().state = state_;
}

void consensus_core::AppendToLog(log_entry entry) {
  NoteLog();
  Pending().entries.push_back(entry);
  log_.Append(std::move(entry));
}

void consensus_core::NoteLog() {
  if (!state_.has_log) {
    state_.has_log = true;
    SaveState();
  }
}

void consensus_core::TruncateLog(std::uint64_t index) {
  assert(index > commit_ && "a committed entry must not change");
  log_.TruncateFrom(index);
  durable_ = std::min(durable_, index - 1);
  in_flight_last_ = std::min(in_flight_last_, index - 1);
  storage_write& write = Pending();
  write.truncate_from = write.truncate_from == 0 ? index : std::min(write.truncate_from, index);
  std::erase_if(write.entries, [&](const log_entry& entry) { return entry.index >= index; });
}

// A message for another data folder, or from another group, is ignored. A replica without a group
// joins the first one that has its id among the members.
bool consensus_core::Accepts(const raft_message& message) {
  if (message.kind == message_kind::kIdentify) {
    return true;
  }
  if (message.to_id != state_.replica_id) {
    if (message.group != 0) {
      BarFounding();
    }
    return false;
  }
  switch (message.kind) {
    case message_kind::kIdentifyAnswer:
    case message_kind::kFound:
    case message_kind::kFoundAnswer:
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
    case message_kind::kFound:
      return OnFound(message);
    case message_kind::kFoundAnswer:
      founded_.insert(message.from);
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
    SaveState();
  }
  if (IsLeader()) {
    FailReads();
    ResetElectionTimer();
  }
  role_ = core_role::kFollower;
  leader_ = leader;
  votes_.clear();
  peers_.clear();
  wants_heartbeat_ = false;
}

void consensus_core::AppendAsLeader(entry_kind kind, std::string data) {
  AppendToLog({log_.LastIndex() + 1, state_.term, kind, std::move(data)});
}

void consensus_core::CommitUpTo(std::uint64_t index) {
  commit_ = std::max(commit_, index);
  while (taken_ < commit_) {
    output_.committed.push_back(log_.At(++taken_));
  }
  SettleFreshness();
}

}  // namespace corianderhoist
