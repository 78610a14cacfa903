// Single-server membership changes and the bootstrap of a group.
//
// The settings name the initial members but not their replica ids. The bootstrap initiator, which
// is the initial member with the smallest name, requests the ids of all others and creates the
// group once all of them have answered that they belong to no group. A member accepts the bootstrap
// entry only while it has no group and if the entry contains its own id. A member with a wiped disk
// can therefore neither be bootstrapped again nor vote under its previous id. Each group has a
// random id, and messages of other groups are ignored. If the initiator loses its disk and
// bootstraps a second time, the two groups cannot both gather a majority of the data folders.
//
// If every initial member has lost its disk and was replaced by a member that the settings do not
// name, these rules alone would allow a second group. A replica without a group therefore records
// on disk that a group exists as soon as one addresses it, either by a previous id or by the
// announcements of the leader. Replicas that have all lost their disks and are partitioned from the
// whole group would still create a new one, so their settings must name a current member.
#include "consensus/core.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr int kGroupAnnouncementIntervalHeartbeats = 10;

}  // namespace

bool consensus_core::IsChangeBlocked() const {
  return log_.MembersIndex() > commit_index_ || commit_index_ < term_start_index_;
}

membership_result consensus_core::ChangeMembership(const membership& changed) {
  AppendAsLeader(entry_kind::kMembership, Encode(changed));
  SyncProgress();
  return membership_result::kStarted;
}

membership_result consensus_core::AddLearner(group_member learner) {
  if (!IsLeader()) {
    return membership_result::kNotLeader;
  }
  if (log_.Members().FindByName(learner.name) || log_.Members().Find(learner.replica_id)) {
    return membership_result::kExists;
  }
  if (IsChangeBlocked()) {
    return membership_result::kBusy;
  }
  membership changed = log_.Members();
  learner.is_voter = false;
  changed.members.push_back(std::move(learner));
  return ChangeMembership(changed);
}

membership_result consensus_core::Promote(const std::string& name) {
  if (!IsLeader()) {
    return membership_result::kNotLeader;
  }
  membership changed = log_.Members();
  const auto found = std::find_if(changed.members.begin(), changed.members.end(),
                                  [&](const group_member& member) { return member.name == name; });
  if (found == changed.members.end()) {
    return membership_result::kNotFound;
  }
  if (found->is_voter) {
    return membership_result::kExists;
  }
  if (IsChangeBlocked()) {
    return membership_result::kBusy;
  }
  if (peers_[found->replica_id].match < commit_index_) {
    return membership_result::kNotCaughtUp;
  }
  found->is_voter = true;
  return ChangeMembership(changed);
}

membership_result consensus_core::Remove(const std::string& name) {
  if (!IsLeader()) {
    return membership_result::kNotLeader;
  }
  membership changed = log_.Members();
  const group_member* member = changed.FindByName(name);
  if (member == nullptr) {
    return membership_result::kNotFound;
  }
  if (member->is_voter && changed.VoterCount() == 1) {
    return membership_result::kLastVoter;
  }
  if (IsChangeBlocked()) {
    return membership_result::kBusy;
  }
  std::erase_if(changed.members, [&](const group_member& item) { return item.name == name; });
  return ChangeMembership(changed);
}

// ---- Bootstrap ----

bool consensus_core::IsBootstrapInitiator() const {
  const auto& first = settings_.initial_members;
  const auto smallest = std::min_element(
      first.begin(), first.end(),
      [](const group_member& a, const group_member& b) { return a.name < b.name; });
  return smallest != first.end() && smallest->name == settings_.name;
}

void consensus_core::TickBootstrap() {
  if (now_ < next_bootstrap_) {
    return;
  }
  next_bootstrap_ = now_ + settings_.heartbeat;
  if (IsLeader()) {
    next_bootstrap_ = now_ + settings_.heartbeat * kGroupAnnouncementIntervalHeartbeats;
    AnnounceGroup();
  } else if (state_.group == 0 && !state_.is_bootstrap_blocked && IsBootstrapInitiator()) {
    RequestInitialMemberIds();
  } else if (state_.group != 0 && commit_index_ == 0 && !HasRecentLeaderContact()) {
    SendBootstrapEntry();
  }
}

// Notifies initial members that are no longer in the group that the group exists.
void consensus_core::AnnounceGroup() {
  for (const group_member& member : settings_.initial_members) {
    if (member.name != settings_.name && !log_.Members().FindByName(member.name)) {
      raft_message notice = MakeMessage(message_kind::kBootstrap, 0);
      notice.to = member.name;
      Send(std::move(notice));
    }
  }
}

void consensus_core::BlockBootstrap() {
  if (state_.group == 0 && !state_.is_bootstrap_blocked) {
    state_.is_bootstrap_blocked = true;
    SaveState();
  }
}

void consensus_core::RequestInitialMemberIds() {
  if (initial_member_ids_.size() + 1 == settings_.initial_members.size()) {
    BootstrapGroup();
    return;
  }
  for (const group_member& member : settings_.initial_members) {
    if (member.name != settings_.name) {
      raft_message request = MakeMessage(message_kind::kIdentify, 0);
      request.to = member.name;
      Send(std::move(request));
    }
  }
}

void consensus_core::BootstrapGroup() {
  membership first{settings_.initial_members};
  for (group_member& member : first.members) {
    member.replica_id =
        member.name == settings_.name ? state_.replica_id : initial_member_ids_[member.name];
    member.is_voter = true;
  }
  state_.group = random_() | 1;
  state_.term = 1;
  SaveState();
  AppendToLog({1, state_.term, entry_kind::kMembership, Encode(first)});
  SendBootstrapEntry();
}

// Every member that has the bootstrap entry forwards it until a leader commits it, so that the
// bootstrap completes even if the initiator fails.
void consensus_core::SendBootstrapEntry() {
  if (log_.LastIndex() == 0 || !log_.HasTerm(0) || log_.At(1).kind != entry_kind::kMembership) {
    return;
  }
  for (const group_member& member : log_.MembersAt(1).second.members) {
    if (member.replica_id != state_.replica_id && !bootstrap_acknowledged_.contains(member.name)) {
      raft_message request = MakeMessage(message_kind::kBootstrap, member.replica_id);
      request.to = member.name;
      request.entries = {log_.At(1)};
      SendWhenDurable(std::move(request));
    }
  }
}

void consensus_core::OnIdentify(const raft_message& request) {
  raft_message answer = MakeAnswer(request, message_kind::kIdentifyAnswer);
  answer.is_granted = state_.group == 0 && !state_.is_bootstrap_blocked;
  SendWhenDurable(std::move(answer));
}

void consensus_core::OnIdentifyAnswer(const raft_message& answer) {
  const auto& first = settings_.initial_members;
  const bool is_first = std::any_of(first.begin(), first.end(), [&](const group_member& member) {
    return member.name == answer.from;
  });
  if (state_.group != 0 || !is_first || answer.from == settings_.name) {
    return;
  }
  if (answer.is_granted) {
    initial_member_ids_[answer.from] = answer.from_id;
  } else {
    initial_member_ids_.erase(answer.from);
  }
}

void consensus_core::OnBootstrap(const raft_message& request) {
  raft_message answer = MakeAnswer(request, message_kind::kBootstrapAnswer);
  answer.group = request.group;
  if (state_.group == 0 || state_.group == request.group) {
    StoreBootstrapEntry(request);
  }
  answer.is_granted = state_.group == request.group && state_.has_log;
  SendWhenDurable(std::move(answer));
}

// Stores the bootstrap entry if the log is still empty and the entry names this replica as a voter.
void consensus_core::StoreBootstrapEntry(const raft_message& request) {
  if (state_.has_log || request.entries.size() != 1) {
    return;
  }
  const log_entry& entry = request.entries.front();
  if (entry.index != 1 || entry.kind != entry_kind::kMembership ||
      !DecodeMembership(entry.data).IsVoter(state_.replica_id)) {
    return;
  }
  state_.group = request.group;
  state_.term = std::max(state_.term, entry.term);
  AppendToLog(entry);
}

}  // namespace corianderhoist
