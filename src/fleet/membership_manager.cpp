#include "fleet/membership_manager.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// Candidates repeat their request several times within this time.
constexpr std::chrono::milliseconds kCandidateTimeout(3000);
// Limits the replication traffic of the leader.
constexpr std::size_t kMaxLearners = 6;

std::size_t VoterCount(const replica_status& status) {
  return status.voters.size();
}

const group_member* FindMember(const replica_status& status, const std::string& name) {
  const auto found = std::find_if(status.members.begin(), status.members.end(),
                                  [&](const group_member& member) { return member.name == name; });
  return found == status.members.end() ? nullptr : &*found;
}

member_change Change(member_step step, const std::string& name, std::string reason) {
  return {step, {name, {}, 0}, std::move(reason)};
}

}  // namespace

void membership_manager::RecordCandidate(const member_candidate& candidate, steady_time now) {
  candidates_[candidate.name] = {candidate, now};
}

void membership_manager::OnElected(steady_time now) {
  leading_since_ = now;
}

std::chrono::nanoseconds membership_manager::SilenceOf(const replica_status& status,
                                                       std::uint64_t replica_id,
                                                       steady_time now) const {
  if (replica_id == status.replica_id) {
    return {};
  }
  steady_time last_contact = leading_since_;
  for (const auto& peer : status.progress) {
    if (peer.replica_id == replica_id) {
      last_contact = std::max(last_contact, peer.acknowledged_at);
    }
  }
  return now - last_contact;
}

bool membership_manager::HoldsLog(const replica_status& status, std::uint64_t replica_id) const {
  return std::any_of(status.progress.begin(), status.progress.end(), [&](const auto& peer) {
    return peer.replica_id == replica_id && peer.is_caught_up;
  });
}

std::optional<member_change> membership_manager::NextChange(const replica_status& status,
                                                            steady_time now) {
  std::erase_if(candidates_, [&](const auto& item) {
    return now - item.second.requested_at > kCandidateTimeout;
  });
  if (auto change = RemoveMemberWithLostDisk(status)) {
    return change;
  }
  if (auto change = AddCandidate(status)) {
    return change;
  }
  if (auto change = FillVacancy(status, now)) {
    return change;
  }
  return RemoveSilentLearner(status, now);
}

// A join request with a replica id other than the member's means that the former disk is lost.
std::optional<member_change> membership_manager::RemoveMemberWithLostDisk(
    const replica_status& status) const {
  for (const auto& [name, record] : candidates_) {
    const group_member* member = FindMember(status, name);
    if (member != nullptr && member->replica_id != record.candidate.replica_id) {
      return Change(member_step::kRemove, name, "disk lost");
    }
  }
  return std::nullopt;
}

std::optional<member_change> membership_manager::AddCandidate(const replica_status& status) const {
  if (status.learners.size() >= kMaxLearners) {
    return std::nullopt;
  }
  for (const auto& [name, record] : candidates_) {
    if (FindMember(status, name) == nullptr) {
      return member_change{member_step::kAddLearner, record.candidate, "requested to join"};
    }
  }
  return std::nullopt;
}

const group_member* membership_manager::FindReadyLearner(const replica_status& status,
                                                         steady_time now) const {
  for (const group_member& member : status.members) {
    if (!member.is_voter && HoldsLog(status, member.replica_id) &&
        SilenceOf(status, member.replica_id, now) < kVoterSilenceTimeout / 2) {
      return &member;
    }
  }
  return nullptr;
}

std::optional<member_change> membership_manager::FillVacancy(const replica_status& status,
                                                             steady_time now) const {
  const group_member* learner = FindReadyLearner(status, now);
  if (learner == nullptr) {
    return std::nullopt;
  }
  if (VoterCount(status) < target_voters_) {
    return Change(member_step::kPromote, learner->name, "holds the log");
  }
  for (const group_member& member : status.members) {
    if (member.is_voter && SilenceOf(status, member.replica_id, now) > kVoterSilenceTimeout) {
      return Change(member_step::kRemove, member.name, "silent voter, a learner can replace it");
    }
  }
  return std::nullopt;
}

std::optional<member_change> membership_manager::RemoveSilentLearner(const replica_status& status,
                                                                     steady_time now) const {
  for (const group_member& member : status.members) {
    if (!member.is_voter && SilenceOf(status, member.replica_id, now) > kLearnerSilenceTimeout) {
      return Change(member_step::kRemove, member.name, "silent learner");
    }
  }
  return std::nullopt;
}

}  // namespace corianderhoist
