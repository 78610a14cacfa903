// Membership changes, one server at a time, and the founding of a group.
//
// Founding: the first members have no ids in the settings. The founder (the first member by name)
// asks all others for their ids, and founds the group once all of them have answered that they have
// none. A member accepts the founding only while it has no group and if its own id is named, so a
// member with a wiped disk can neither be founded again nor vote under its former id. A group has a
// random id; messages of another group are ignored, so two foundings (the founder lost its disk
// in between) cannot both gather a majority of data folders.
//
// When every first member has lost its disk and was replaced by a member that the settings do not
// name, the exchange alone would found a second group. A replica without a group that is addressed
// by one, under a former id or by the announcements of the leader, therefore remembers on disk that
// a group exists. Replicas that are cut off from the whole group and all lost their disks would
// still found a new one; their settings must name a current member.
#include "consensus/core.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr int kAnnouncementHeartbeats = 10;

}  // namespace

bool consensus_core::IsChangeBlocked() const {
  return log_.MembersIndex() > commit_ || commit_ < term_start_;
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
  if (peers_[found->replica_id].match < commit_) {
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

// ---- Founding ----

bool consensus_core::IsFounder() const {
  const auto& first = settings_.first_members;
  const auto smallest = std::min_element(
      first.begin(), first.end(),
      [](const group_member& a, const group_member& b) { return a.name < b.name; });
  return smallest != first.end() && smallest->name == settings_.name;
}

void consensus_core::TickFounding() {
  if (now_ < next_founding_) {
    return;
  }
  next_founding_ = now_ + settings_.heartbeat;
  if (IsLeader()) {
    next_founding_ = now_ + settings_.heartbeat * kAnnouncementHeartbeats;
    AnnounceGroup();
  } else if (state_.group == 0 && !state_.is_barred && IsFounder()) {
    AskFirstMembers();
  } else if (state_.group != 0 && commit_ == 0 && !HasHeardLeader()) {
    HandOutFounding();
  }
}

// Tells first members that are not in the group any more that it exists.
void consensus_core::AnnounceGroup() {
  for (const group_member& member : settings_.first_members) {
    if (member.name != settings_.name && !log_.Members().FindByName(member.name)) {
      raft_message notice = Make(message_kind::kFound, 0);
      notice.to = member.name;
      Send(std::move(notice));
    }
  }
}

void consensus_core::BarFounding() {
  if (state_.group == 0 && !state_.is_barred) {
    state_.is_barred = true;
    SaveState();
  }
}

void consensus_core::AskFirstMembers() {
  if (first_ids_.size() + 1 == settings_.first_members.size()) {
    FoundGroup();
    return;
  }
  for (const group_member& member : settings_.first_members) {
    if (member.name != settings_.name) {
      raft_message request = Make(message_kind::kIdentify, 0);
      request.to = member.name;
      Send(std::move(request));
    }
  }
}

void consensus_core::FoundGroup() {
  membership first{settings_.first_members};
  for (group_member& member : first.members) {
    member.replica_id = member.name == settings_.name ? state_.replica_id : first_ids_[member.name];
    member.is_voter = true;
  }
  state_.group = random_() | 1;
  state_.term = 1;
  SaveState();
  AppendToLog({1, state_.term, entry_kind::kMembership, Encode(first)});
  HandOutFounding();
}

// Every member that has the founding entry passes it on until a leader commits it, so that the
// group does not depend on the founder alone.
void consensus_core::HandOutFounding() {
  if (log_.LastIndex() == 0 || !log_.HasTerm(0) || log_.At(1).kind != entry_kind::kMembership) {
    return;
  }
  for (const group_member& member : log_.MembersAt(1).second.members) {
    if (member.replica_id != state_.replica_id && !founded_.contains(member.name)) {
      raft_message request = Make(message_kind::kFound, member.replica_id);
      request.to = member.name;
      request.entries = {log_.At(1)};
      SendWhenDurable(std::move(request));
    }
  }
}

void consensus_core::OnIdentify(const raft_message& request) {
  raft_message answer = MakeAnswer(request, message_kind::kIdentifyAnswer);
  answer.is_granted = state_.group == 0 && !state_.is_barred;
  SendWhenDurable(std::move(answer));
}

void consensus_core::OnIdentifyAnswer(const raft_message& answer) {
  const auto& first = settings_.first_members;
  const bool is_first = std::any_of(first.begin(), first.end(), [&](const group_member& member) {
    return member.name == answer.from;
  });
  if (state_.group != 0 || !is_first || answer.from == settings_.name) {
    return;
  }
  if (answer.is_granted) {
    first_ids_[answer.from] = answer.from_id;
  } else {
    first_ids_.erase(answer.from);
  }
}

void consensus_core::OnFound(const raft_message& request) {
  raft_message answer = MakeAnswer(request, message_kind::kFoundAnswer);
  answer.group = request.group;
  if (state_.group == 0 || state_.group == request.group) {
    StoreFounding(request);
  }
  answer.is_granted = state_.group == request.group && state_.has_log;
  SendWhenDurable(std::move(answer));
}

// Takes over the founding entry while the log is empty.
void consensus_core::StoreFounding(const raft_message& request) {
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
