// Fault injection and the simulated operator of `consensus_schedule`.
#include "support/consensus_schedule.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::int64_t kMillisecond = 1'000'000;
constexpr std::int64_t kOperatorInterval = 150 * kMillisecond;
constexpr std::size_t kMinVoterCount = 3;
constexpr std::uint64_t kMaxRestartTimeMs = 250;
constexpr std::chrono::milliseconds kFleetHeartbeat(250);  // As in fleet/fleet_core.cpp.
constexpr std::int64_t kMaxMeasuredTime = 60'000 * kMillisecond;

}  // namespace

void consensus_schedule::InjectFaults() {
  if (are_faults_over_) {
    return;
  }
  After(profile_.fault_interval, [this] { InjectFaults(); });
  if (Chance(profile_.proposal_per_mille)) {
    ProposeAtRandomNode();
  }
  if (Chance(profile_.crash_per_mille)) {
    CrashRandomNode();
  }
  if (Chance(profile_.link_change_per_mille)) {
    ChangeLinks();
  }
  if (Chance(profile_.group_restart_per_mille)) {
    RestartMembers();
  }
  const std::uint64_t draw = RandomBelow(1000);
  if (draw < 150) {
    ReadAtRandomNode();
  } else if (draw < 170) {
    FreezeRandomNode();
  } else if (draw < 180) {
    FailRandomDisk();
  } else if (draw < 200) {
    WipeRandomNode();
  } else if (draw < 270) {
    ChangeMembers();
  } else if (draw < 272) {
    for (auto& crashed : nodes_) {
      CrashNode(*crashed);
      After(Downtime(), [this, raw = crashed.get()] { StartNode(*raw); });
    }
  }
}

void consensus_schedule::ProposeAtRandomNode() {
  node* leader = Leader();
  node& chosen = leader != nullptr && Chance(800) ? *leader : RandomNode();
  for (std::uint64_t i = RandomBelow(4); i > 0; --i) {
    const std::string command = "c" + std::to_string(next_command_++);
    Step(chosen, [&](consensus_core& core) { core.Propose(command); });
  }
}

void consensus_schedule::ReadAtRandomNode() {
  const std::uint64_t token = next_token_++;
  min_read_index_[token] = acknowledged_index_;
  Step(RandomNode(), [&](consensus_core& core) { core.RequestReadIndex(token); });
}

// Cuts only the link from the leader to one member. That member then requests votes while the
// leader still holds its lease.
void consensus_schedule::CutFromLeader(const node& leader) {
  const std::vector<group_member>& members = leader.core->Log().Members().members;
  cut_links_ = {{leader.name, members[RandomBelow(members.size())].name}};
  loss_per_mille_ = 0;
}

// Cuts links in one direction, isolates a node, sets message loss, or heals all links.
void consensus_schedule::ChangeLinks() {
  const std::uint64_t draw = RandomBelow(10);
  node* leader = Leader();
  if (leader != nullptr && Chance(400)) {
    return CutFromLeader(*leader);
  }
  node& chosen = leader != nullptr && Chance(500) ? *leader : RandomNode();
  if (draw < 4) {
    cut_links_.clear();
    loss_per_mille_ = 0;
  } else if (draw < 7) {
    cut_links_.insert({chosen.name, RandomNode().name});
  } else if (draw < 8) {
    loss_per_mille_ = RandomBelow(4) * 100;
  } else {
    for (const auto& other : nodes_) {
      cut_links_.insert({chosen.name, other->name});
      if (draw == 9) {
        cut_links_.insert({other->name, chosen.name});
      }
    }
  }
}

void consensus_schedule::CrashRandomNode() {
  node& chosen = RandomNode();
  CrashNode(chosen);
  After(Downtime(), [this, &chosen] { StartNode(chosen); });
}

// Restarts a node shortly after it granted a vote, to detect a vote that was not persisted.
void consensus_schedule::CrashVoter(node& crashed) {
  CrashNode(crashed);
  After(static_cast<std::int64_t>(RandomBelow(100)) * kMillisecond,
        [this, raw = &crashed] { StartNode(*raw); });
}

void consensus_schedule::RestartBriefly(node& crashed) {
  CrashNode(crashed);
  After(static_cast<std::int64_t>(RandomBelow(kMaxRestartTimeMs)) * kMillisecond,
        [this, raw = &crashed] { StartNode(*raw); });
}

// Restarts all members, a majority of the nodes or the leader alone, with the leader cut off from
// the others in some cases.
void consensus_schedule::RestartMembers() {
  if (are_faults_over_) {
    return;
  }
  ++counts_.group_restarts;
  node* leader = Leader();
  const std::uint64_t draw = RandomBelow(4);
  if (leader != nullptr && Chance(150)) {
    for (std::uint64_t cuts = RandomBelow(3); cuts > 0; --cuts) {
      cut_links_.insert({leader->name, RandomNode().name});
    }
  }
  if (leader != nullptr && draw < 2) {
    RestartBriefly(*leader);
  }
  if (draw == 0) {
    return;
  }
  const std::uint64_t restarted_per_mille = draw == 3 ? 1000 : 600;
  for (const auto& restarted : nodes_) {
    if (Chance(restarted_per_mille)) {
      RestartBriefly(*restarted);
    }
  }
}

void consensus_schedule::FreezeRandomNode() {
  RandomNode().frozen_until = now_ + static_cast<std::int64_t>(RandomBelow(3000)) * kMillisecond;
}

void consensus_schedule::FailRandomDisk() {
  node& chosen = RandomNode();
  if (Chance(500)) {
    chosen.files->FailOperationsAfter(RandomBelow(10));
  } else {
    chosen.files->LimitSpace(RandomBelow(300));
  }
}

void consensus_schedule::WipeRandomNode() {
  node& chosen = RandomNode();
  if (CanWipe(chosen)) {
    WipeNode(chosen);
    After(Downtime(), [this, &chosen] { StartNode(chosen); });
  }
}

// The group tolerates one lost disk at a time; a second one may lose committed entries.
bool consensus_schedule::CanWipe(const node& wiped) {
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
  return current.VoterCount() >= kMinVoterCount &&
         std::none_of(current.members.begin(), current.members.end(),
                      [&](const group_member& member) { return IsDiskLost(member); });
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

bool consensus_schedule::HasLeaseHolder() {
  const node* leader = Leader();
  return leader != nullptr && leader->core->LeaseEnd() > LocalTime(*leader);
}

void consensus_schedule::RunUntil(const std::function<bool()>& is_done) {
  while (!is_done()) {
    Require(now_ < kMaxMeasuredTime, "the group has a leader with a lease in time");
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
    CheckInvariants();
  }
}

restart_times consensus_schedule::MeasureRestart(const restart_conditions& conditions) {
  are_faults_over_ = true;
  initial_member_count_ = nodes_.size();
  resumes_leadership_ = conditions.resumes_leadership;
  heartbeat_ = kFleetHeartbeat;
  profile_.shared_timeout_seed = 0;
  for (const auto& started : nodes_) {
    StartNode(*started);
  }
  RunUntil([this] { return HasLeaseHolder(); });
  const std::int64_t stop_at =
      now_ + static_cast<std::int64_t>(1000 + RandomBelow(1000)) * kMillisecond;
  RunUntil([&] { return now_ >= stop_at; });
  const auto spread_ms = static_cast<std::uint64_t>(conditions.start_spread.count());
  std::map<const node*, steady_time> local_return;
  for (const auto& restarted : nodes_) {
    CrashNode(*restarted);
    local_return[restarted.get()] = LocalTime(*restarted);
    After(static_cast<std::int64_t>(RandomBelow(spread_ms + 1)) * kMillisecond,
          [this, raw = restarted.get()] { StartNode(*raw); });
  }
  const std::int64_t power_returned_at = now_;
  const auto elapsed = [&] {
    return std::chrono::milliseconds((now_ - power_returned_at) / kMillisecond);
  };
  restart_times times;
  RunUntil([this] { return HasLeaseHolder(); });
  times.leased = elapsed();
  RunUntil([&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& member) {
      return member->core && member->core->FreshAt() > local_return[member.get()];
    });
  });
  times.fresh = elapsed();
  return times;
}

void consensus_schedule::RemoveWipedMember() {
  node* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  const membership current = leader->core->Log().Members();
  for (const group_member& member : current.members) {
    if (IsDiskLost(member)) {
      Step(*leader, [&](consensus_core& core) {
        counts_.membership_changes += core.Remove(member.name) == membership_result::kStarted;
      });
      return;
    }
  }
}

void consensus_schedule::ChangeMembers() {
  RemoveWipedMember();
  node* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  const node& chosen = RandomNode();
  const group_member* member = leader->core->Log().Members().FindByName(chosen.name);
  const bool can_remove_voter = leader->core->Log().Members().VoterCount() > kMinVoterCount;
  auto outcome = membership_result::kBusy;
  Step(*leader, [&](consensus_core& core) {
    if (member == nullptr && chosen.replica_id != 0) {
      outcome = core.AddLearner({chosen.name, chosen.replica_id, chosen.name, false});
    } else if (member != nullptr && !member->is_voter) {
      outcome = core.Promote(chosen.name);
    } else if (member != nullptr && can_remove_voter && Chance(300)) {
      outcome = core.Remove(chosen.name);
    }
  });
  counts_.membership_changes += outcome == membership_result::kStarted;
}

// Ends all faults. From then on, the simulated operator removes members with a lost disk.
void consensus_schedule::EndFaults() {
  are_faults_over_ = true;
  Trace("faults end");
  cut_links_.clear();
  loss_per_mille_ = 0;
  for (auto& repaired : nodes_) {
    repaired->frozen_until = 0;
    repaired->files->FailOperationsAfter(fake_disk::kUnlimited);
    repaired->files->LimitSpace(fake_disk::kUnlimited);
    StartNode(*repaired);
  }
  RunOperator();
}

void consensus_schedule::RunOperator() {
  RemoveWipedMember();
  if (node* leader = Leader(); leader != nullptr && !is_final_committed_) {
    const std::string command = "final" + std::to_string(next_command_++);
    Step(*leader, [&](consensus_core& core) { core.Propose(command); });
  }
  After(kOperatorInterval, [this] { RunOperator(); });
}

}  // namespace corianderhoist
