#include "fleet/member_keeper.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// A machine repeats its request several times in this time.
constexpr std::chrono::milliseconds kCandidateLife(3000);
// Learners cost the leader traffic; more than this are not kept waiting.
constexpr std::size_t kMaxLearners = 6;

std::size_t CountVoters(const replica_status& status) {
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

void member_keeper::NoteCandidate(const member_candidate& candidate, steady_time now) {
  candidates_[candidate.name] = {candidate, now};
}

void member_keeper::Restart(steady_time now) {
  restarted_ = now;
}

std::chrono::nanoseconds member_keeper::SilenceOf(const replica_status& status,
                                                  std::uint64_t replica_id,
                                                  steady_time now) const {
  if (replica_id == status.replica_id) {
    return {};
  }
  steady_time heard = restarted_;
  for (const auto& peer : status.progress) {
    if (peer.replica_id == replica_id) {
      heard = std::max(heard, peer.acknowledged);
    }
  }
  return now - heard;
}

bool member_keeper::HoldsLog(const replica_status& status, std::uint64_t replica_id) const {
  return std::any_of(status.progress.begin(), status.progress.end(), [&](const auto& peer) {
    return peer.replica_id == replica_id && peer.holds_log;
  });
}

std::optional<member_change> member_keeper::Next(const replica_status& status, steady_time now) {
  std::erase_if(candidates_,
                [&](const auto& item) { return now - item.second.at > kCandidateLife; });
  if (auto change = ReplaceLostDisk(status)) {
    return change;
  }
  if (auto change = AddCandidate(status)) {
    return change;
  }
  if (auto change = FillPlace(status, now)) {
    return change;
  }
  return DropLearner(status, now);
}

// The machine asks with another replica id than the group knows: the former disk is lost.
std::optional<member_change> member_keeper::ReplaceLostDisk(const replica_status& status) const {
  for (const auto& [name, candidate] : candidates_) {
    const group_member* member = FindMember(status, name);
    if (member != nullptr && member->replica_id != candidate.what.replica_id) {
      return Change(member_step::kRemove, name, "disk lost");
    }
  }
  return std::nullopt;
}

std::optional<member_change> member_keeper::AddCandidate(const replica_status& status) const {
  if (status.learners.size() >= kMaxLearners) {
    return std::nullopt;
  }
  for (const auto& [name, candidate] : candidates_) {
    if (FindMember(status, name) == nullptr) {
      return member_change{member_step::kAddLearner, candidate.what, "asked to take part"};
    }
  }
  return std::nullopt;
}

const group_member* member_keeper::ReadyLearner(const replica_status& status,
                                                steady_time now) const {
  for (const group_member& member : status.members) {
    if (!member.is_voter && HoldsLog(status, member.replica_id) &&
        SilenceOf(status, member.replica_id, now) < kSilence / 2) {
      return &member;
    }
  }
  return nullptr;
}

std::optional<member_change> member_keeper::FillPlace(const replica_status& status,
                                                      steady_time now) const {
  const group_member* learner = ReadyLearner(status, now);
  if (learner == nullptr) {
    return std::nullopt;
  }
  if (CountVoters(status) < target_voters_) {
    return Change(member_step::kPromote, learner->name, "holds the log");
  }
  for (const group_member& member : status.members) {
    if (member.is_voter && SilenceOf(status, member.replica_id, now) > kSilence) {
      return Change(member_step::kRemove, member.name, "silent, and a learner can take its place");
    }
  }
  return std::nullopt;
}

std::optional<member_change> member_keeper::DropLearner(const replica_status& status,
                                                        steady_time now) const {
  for (const group_member& member : status.members) {
    if (!member.is_voter && SilenceOf(status, member.replica_id, now) > kLearnerSilence) {
      return Change(member_step::kRemove, member.name, "silent learner");
    }
  }
  return std::nullopt;
}

}  // namespace corianderhoist
