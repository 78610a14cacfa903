// The faults and operators of the schedules.
#include "support/consensus_schedule.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::int64_t kMillisecond = 1'000'000;
constexpr std::int64_t kOperatorPause = 150 * kMillisecond;
constexpr std::size_t kFewestVoters = 3;

}  // namespace

void consensus_schedule::Disturb() {
  if (is_calm_) {
    return;
  }
  At(character_.disturbance, [this] { Disturb(); });
  if (Chance(character_.busy_per_mille)) {
    ProposeSomewhere();
  }
  if (Chance(character_.crash_per_mille)) {
    CrashSomeone();
  }
  if (Chance(character_.link_per_mille)) {
    ChangeLinks();
  }
  const std::uint64_t draw = Below(1000);
  if (draw < 150) {
    ReadSomewhere();
  } else if (draw < 170) {
    FreezeSomeone();
  } else if (draw < 180) {
    RefuseSomeDisk();
  } else if (draw < 200) {
    WipeSomeone();
  } else if (draw < 270) {
    ChangeMembers();
  } else if (draw < 272) {
    for (auto& crashed : nodes_) {
      CrashNode(*crashed);
      At(Downtime(), [this, raw = crashed.get()] { StartNode(*raw); });
    }
  }
}

void consensus_schedule::ProposeSomewhere() {
  node* leader = Leader();
  node& chosen = leader != nullptr && Chance(800) ? *leader : AnyNode();
  for (std::uint64_t i = Below(4); i > 0; --i) {
    const std::string command = "c" + std::to_string(next_command_++);
    Step(chosen, [&](consensus_core& core) { core.Propose(command); });
  }
}

void consensus_schedule::ReadSomewhere() {
  const std::uint64_t token = next_token_++;
  read_floor_[token] = acknowledged_;
  Step(AnyNode(), [&](consensus_core& core) { core.Read(token); });
}

// Cuts go one way, or isolate a node; sometimes all are healed.
void consensus_schedule::ChangeLinks() {
  const std::uint64_t draw = Below(10);
  node* leader = Leader();
  node& chosen = leader != nullptr && Chance(500) ? *leader : AnyNode();
  if (draw < 4) {
    cut_links_.clear();
    loss_per_mille_ = 0;
  } else if (draw < 7) {
    cut_links_.insert({chosen.name, AnyNode().name});
  } else if (draw < 8) {
    loss_per_mille_ = Below(4) * 100;
  } else {
    for (const auto& other : nodes_) {
      cut_links_.insert({chosen.name, other->name});
      if (draw == 9) {
        cut_links_.insert({other->name, chosen.name});
      }
    }
  }
}

void consensus_schedule::CrashSomeone() {
  node& chosen = AnyNode();
  CrashNode(chosen);
  At(Downtime(), [this, &chosen] { StartNode(chosen); });
}

// A short outage right after a vote, in which a replica could forget whom it voted for.
void consensus_schedule::CrashVoter(node& crashed) {
  CrashNode(crashed);
  At(static_cast<std::int64_t>(Below(100)) * kMillisecond,
     [this, raw = &crashed] { StartNode(*raw); });
}

void consensus_schedule::FreezeSomeone() {
  AnyNode().frozen_until = now_ + static_cast<std::int64_t>(Below(3000)) * kMillisecond;
}

void consensus_schedule::RefuseSomeDisk() {
  node& chosen = AnyNode();
  if (Chance(500)) {
    chosen.files->RefuseAfter(Below(10));
  } else {
    chosen.files->LimitSpace(Below(300));
  }
}

void consensus_schedule::WipeSomeone() {
  node& chosen = AnyNode();
  if (MayWipe(chosen)) {
    WipeNode(chosen);
    At(Downtime(), [this, &chosen] { StartNode(chosen); });
  }
}

// The group promises to survive one lost disk at a time; more would be allowed to lose entries.
bool consensus_schedule::MayWipe(const node& wiped) {
  if (wiped.replica_id == 0) {
    return false;
  }
  if (committed_.empty()) {
    return counts_.wipes == 0;
  }
  const node* leader = Leader();
  if (leader == nullptr || leader->core->LeaseEnd() <= LocalTime(*leader) ||
      leader->core->Log().MembersIndex() > leader->core->CommitIndex()) {
    return false;
  }
  const membership& current = leader->core->Log().Members();
  return current.VoterCount() >= kFewestVoters &&
         std::none_of(current.members.begin(), current.members.end(),
                      [&](const group_member& member) { return IsDead(member); });
}

consensus_schedule::node* consensus_schedule::Leader() {
  node* newest = nullptr;
  for (const auto& candidate : nodes_) {
    if (candidate->core && candidate->core->IsLeader() &&
        (newest == nullptr || candidate->core->Term() > newest->core->Term())) {
      newest = candidate.get();
    }
  }
  return newest;
}

void consensus_schedule::RemoveDead() {
  node* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  const membership current = leader->core->Log().Members();
  for (const group_member& member : current.members) {
    if (IsDead(member)) {
      Step(*leader, [&](consensus_core& core) {
        counts_.membership_changes += core.Remove(member.name) == membership_result::kStarted;
      });
      return;
    }
  }
}

void consensus_schedule::ChangeMembers() {
  RemoveDead();
  node* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  const node& chosen = AnyNode();
  const group_member* member = leader->core->Log().Members().FindByName(chosen.name);
  const bool has_spare = leader->core->Log().Members().VoterCount() > kFewestVoters;
  auto outcome = membership_result::kBusy;
  Step(*leader, [&](consensus_core& core) {
    if (member == nullptr && chosen.replica_id != 0) {
      outcome = core.AddLearner({chosen.name, chosen.replica_id, chosen.name, false});
    } else if (member != nullptr && !member->is_voter) {
      outcome = core.Promote(chosen.name);
    } else if (member != nullptr && has_spare && Chance(300)) {
      outcome = core.Remove(chosen.name);
    }
  });
  counts_.membership_changes += outcome == membership_result::kStarted;
}

// The end of all faults. Operators replace lost members from now on.
void consensus_schedule::Repair() {
  is_calm_ = true;
  Trace("calm");
  cut_links_.clear();
  loss_per_mille_ = 0;
  for (auto& repaired : nodes_) {
    repaired->frozen_until = 0;
    repaired->files->RefuseAfter(fake_disk::kUnlimited);
    repaired->files->LimitSpace(fake_disk::kUnlimited);
    StartNode(*repaired);
  }
  Operate();
}

void consensus_schedule::Operate() {
  RemoveDead();
  if (node* leader = Leader(); leader != nullptr && !is_final_committed_) {
    const std::string command = "final" + std::to_string(next_command_++);
    Step(*leader, [&](consensus_core& core) { core.Propose(command); });
  }
  At(kOperatorPause, [this] { Operate(); });
}

}  // namespace corianderhoist
