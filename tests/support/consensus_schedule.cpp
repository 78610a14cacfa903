#include "support/consensus_schedule.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace corianderhoist {
namespace {

constexpr std::int64_t kMillisecond = 1'000'000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kTick = 40 * kMillisecond;
constexpr std::int64_t kFaultTime = 30 * kSecond;
// Elections, repairs of up to one member and catching up take a few seconds without faults.
constexpr std::int64_t kCalmTime = 60 * kSecond;
constexpr std::size_t kFirstMembers = 3;
constexpr std::size_t kNodes = 5;
constexpr std::uint64_t kSnapshotEvery = 15;
// The lease allows 10 % between the speeds of two clocks.
constexpr std::uint64_t kSlowestClockPerMille = 955;
constexpr std::uint64_t kClockSpreadPerMille = 91;

std::uint64_t Chain(std::uint64_t before, const log_entry& entry) {
  return entry.kind == entry_kind::kCommand ? FastHash(std::to_string(before) + "/" + entry.data)
                                            : before;
}

}  // namespace

consensus_schedule::consensus_schedule(std::uint64_t seed, bool is_traced)
    : seed_(seed), is_traced_(is_traced), random_(seed * 2 + 1) {
  character_.busy_per_mille = std::array{15, 150, 1000}[Below(3)];
  character_.disturbance = std::array{20, 40, 60}[Below(3)] * kMillisecond;
  character_.crash_per_mille = std::array{4, 15, 40}[Below(3)];
  character_.link_per_mille = std::array{15, 70, 200}[Below(3)];
  character_.late_per_mille = std::array{10, 50, 150}[Below(3)];
  character_.shared_seed = Chance(400) ? random_() | 1 : 0;
  character_.longest_downtime = std::array{100, 1000, 3000}[Below(3)] * kMillisecond;
  for (std::size_t i = 0; i < kNodes; ++i) {
    auto made = std::make_unique<node>();
    made->name = std::string(1, static_cast<char>('a' + i));
    made->clock_offset = static_cast<std::int64_t>(1 + Below(1000)) * kSecond;
    made->clock_per_mille = kSlowestClockPerMille + Below(kClockSpreadPerMille);
    nodes_.push_back(std::move(made));
  }
}

consensus_schedule::~consensus_schedule() = default;

schedule_counts consensus_schedule::Run() {
  for (auto& made : nodes_) {
    At(static_cast<std::int64_t>(Below(1000)) * kMillisecond,
       [this, raw = made.get()] { StartNode(*raw); });
  }
  At(character_.disturbance, [this] { Disturb(); });
  bool is_recovered = false;
  while (!events_.empty() && now_ < kFaultTime + kCalmTime && !is_recovered) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    if (now_ >= kFaultTime && !is_calm_) {
      Repair();
    }
    next.action();
    CheckAlways();
    is_recovered = is_calm_ && IsRecovered();
  }
  CheckRecovered();
  counts_.committed = committed_.size();
  counts_.elections = leader_of_term_.size();
  return counts_;
}

void consensus_schedule::At(std::int64_t delay, std::function<void()> action) {
  events_.push({now_ + delay, next_order_++, std::move(action)});
}

steady_time consensus_schedule::LocalTime(const node& of) const {
  return steady_time(std::chrono::nanoseconds(
      of.clock_offset + now_ / 1000 * static_cast<std::int64_t>(of.clock_per_mille)));
}

void consensus_schedule::Trace(const std::string& text) const {
  if (is_traced_) {
    std::cout << now_ / kMillisecond << " ms " << text << "\n";
  }
}

void consensus_schedule::Require(bool condition, const std::string& check) const {
  if (!condition) {
    throw schedule_failure("seed " + std::to_string(seed_) + " at " +
                           std::to_string(now_ / kMillisecond) + " ms: " + check);
  }
}

// ---- Nodes ----

void consensus_schedule::StartNode(node& started) {
  if (started.core) {
    return;
  }
  stored_state stored;
  const error failure = Recover(
      [&]() -> result<error> {
        BOOST_LEAF_ASSIGN(started.store, replica_store::Open(*started.files, random_() | 1));
        stored = started.store->TakeRecovered();
        return error();
      },
      [](const error& cause) { return cause; });
  Require(failure.kind != error_kind::kStorageDamaged,
          "a crash does not damage the storage: " + failure.detail);
  if (!failure.detail.empty()) {  // The disk still refuses; somebody makes room.
    started.files->Crash(random_);
    return At(kSecond, [this, raw = &started] { StartNode(*raw); });
  }
  started.replica_id = stored.state.replica_id;
  started.applied = 0;
  started.chain = 0;
  if (stored.last_snapshot) {
    started.applied = stored.last_snapshot->index;
    started.chain = std::stoull(stored.last_snapshot->data);
  }
  core_settings settings;
  settings.name = started.name;
  for (std::size_t i = 0; i < kFirstMembers; ++i) {
    settings.first_members.push_back({nodes_[i]->name, 0, nodes_[i]->name, true});
  }
  settings.seed = character_.shared_seed != 0 ? character_.shared_seed : random_();
  settings.trailing_entries = Below(12);
  settings.append_entries = 4;
  settings.snapshot_part_bytes = 8;
  started.core = std::make_unique<consensus_core>(settings, std::move(stored), LocalTime(started));
  ++started.life;
  Trace(started.name + " starts");
  TickNode(started, started.life);
}

// A crash can come in the middle of a write: some of its operations have been done.
void consensus_schedule::CrashNode(node& crashed) {
  if (!crashed.core) {
    return;
  }
  Trace(crashed.name + " crashes");
  if (crashed.write) {
    crashed.files->RefuseAfter(Below(12));
    (void)Recover([&] { return crashed.store->Write(*crashed.write); }, [](const error&) {});
  }
  crashed.files->Crash(random_);
  crashed.core.reset();
  crashed.store.reset();
  crashed.write.reset();
  ++crashed.life;
  ++counts_.crashes;
}

void consensus_schedule::WipeNode(node& wiped) {
  CrashNode(wiped);
  Trace(wiped.name + " loses its disk");
  dead_ids_.insert(wiped.replica_id);
  wiped.files = std::make_unique<fake_disk>();
  ++counts_.wipes;
}

void consensus_schedule::TickNode(node& ticked, std::uint64_t life) {
  if (ticked.life != life) {
    return;
  }
  if (ticked.frozen_until > now_) {
    return At(ticked.frozen_until - now_, [this, raw = &ticked, life] { TickNode(*raw, life); });
  }
  Step(ticked, [&](consensus_core& core) { core.Tick(LocalTime(ticked)); });
  At(kTick, [this, raw = &ticked, life] { TickNode(*raw, life); });
}

// A frozen node handles its inputs when it runs again, at the time of that moment.
void consensus_schedule::Deliver(const raft_message& message) {
  for (auto& receiver : nodes_) {
    if (receiver->name == message.to && receiver->frozen_until > now_) {
      At(receiver->frozen_until - now_, [this, message] { Deliver(message); });
    } else if (receiver->name == message.to && receiver->core) {
      Step(*receiver, [&](consensus_core& core) { core.Receive(message, LocalTime(*receiver)); });
    }
  }
}

void consensus_schedule::Step(node& stepped, const std::function<void(consensus_core&)>& input) {
  if (stepped.core) {
    input(*stepped.core);
    Drain(stepped);
  }
}

void consensus_schedule::Drain(node& drained) {
  while (drained.core) {
    core_output output = drained.core->Take();
    if (output.IsEmpty()) {
      return;
    }
    if (output.write) {
      StartWrite(drained, std::move(*output.write));
    }
    for (const raft_message& message : output.messages) {
      SendOne(drained, message);
    }
    ApplyTo(drained, output);
    CompactIfDue(drained);
  }
}

void consensus_schedule::StartWrite(node& writing, storage_write write) {
  Require(!writing.write, "one write at a time");
  writing.write = std::move(write);
  const std::int64_t delay = static_cast<std::int64_t>(Below(20)) * kMillisecond;
  At(delay, [this, raw = &writing, life = writing.life] { FinishWrite(*raw, life); });
}

void consensus_schedule::FinishWrite(node& writing, std::uint64_t life) {
  if (writing.life != life) {
    return;
  }
  if (writing.frozen_until > now_) {
    return At(writing.frozen_until - now_,
              [this, raw = &writing, life] { FinishWrite(*raw, life); });
  }
  const storage_write write = std::move(*writing.write);
  writing.write.reset();
  const std::string failure = Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(writing.store->Write(write));
        return std::string();
      },
      [](const error& cause) { return cause.detail; });
  if (!failure.empty()) {
    ++counts_.refusals;
    CrashNode(writing);
    At(kSecond, [this, raw = &writing] { StartNode(*raw); });
    return;
  }
  Step(writing, [&](consensus_core& core) { core.WriteDone(write.sequence, LocalTime(writing)); });
}

void consensus_schedule::SendOne(node& sender, const raft_message& message) {
  if (cut_links_.contains({sender.name, message.to}) || Chance(loss_per_mille_)) {
    return;
  }
  if (!is_calm_ && message.kind == message_kind::kVoteAnswer && message.is_granted && Chance(100)) {
    At(kMillisecond, [this, raw = &sender] { CrashVoter(*raw); });
  }
  const std::uint64_t copies = !is_calm_ && Chance(30) ? 2 : 1;
  for (std::uint64_t i = 0; i < copies; ++i) {
    std::int64_t delay = static_cast<std::int64_t>(500 + Below(30'000)) * kMillisecond / 1000;
    if (!is_calm_ && Chance(character_.late_per_mille)) {
      delay += static_cast<std::int64_t>(Below(4000)) * kMillisecond;
    }
    if (!is_calm_ && message.kind == message_kind::kVote && Chance(200)) {
      delay += static_cast<std::int64_t>(Below(1500)) * kMillisecond;
    }
    At(delay, [this, message] { Deliver(message); });
  }
}

void consensus_schedule::ApplyTo(node& applying, const core_output& output) {
  if (output.restore) {
    const std::uint64_t index = output.restore->index;
    ++counts_.restored;
    Require(committed_.contains(index), "a snapshot holds only committed entries");
    applying.applied = index;
    applying.chain = std::stoull(output.restore->data);
    Require(committed_[index].chain == applying.chain,
            "a snapshot equals the entries it stands for");
  }
  for (const log_entry& entry : output.committed) {
    CheckCommitted(applying, entry);
  }
  for (const std::uint64_t token : output.confirmed_reads) {
    ++counts_.reads;
    Require(applying.applied >= read_floor_[token], "a confirmed read sees all earlier commits");
  }
}

void consensus_schedule::CompactIfDue(node& compacting) {
  if (compacting.core->TakenIndex() >= compacting.core->Log().SnapshotIndex() + kSnapshotEvery) {
    compacting.core->Compact(compacting.applied, std::to_string(compacting.chain));
  }
}

// ---- Checks ----

void consensus_schedule::CheckCommitted(node& applying, const log_entry& entry) {
  Require(entry.index == applying.applied + 1, "entries are applied in order and once");
  applying.applied = entry.index;
  applying.chain = Chain(applying.chain, entry);
  const auto [known, is_new] =
      committed_.try_emplace(entry.index, committed_entry{entry.term, entry.data, applying.chain});
  Require(known->second.term == entry.term && known->second.data == entry.data &&
              known->second.chain == applying.chain,
          "a committed entry never changes");
  if (is_new && entry.kind == entry_kind::kCommand) {
    Require(applied_commands_.insert(entry.data).second, "a command is committed once");
    is_final_committed_ = is_final_committed_ || entry.data.starts_with("final");
  }
  if (applying.core->IsLeader()) {
    acknowledged_ = std::max(acknowledged_, entry.index);
    acknowledged_at_[now_] = acknowledged_;
  }
}

// Everything that was accepted by the moment that a member names is applied there, however late the
// message came from which it knows.
void consensus_schedule::CheckFreshness(const node& checked) {
  const steady_time fresh_at = checked.core->FreshAt();
  if (fresh_at == steady_time{}) {
    return;
  }
  const std::int64_t local = fresh_at.time_since_epoch().count() - checked.clock_offset;
  const std::int64_t moment = local / static_cast<std::int64_t>(checked.clock_per_mille) * 1000;
  const auto after = acknowledged_at_.upper_bound(moment);
  if (after == acknowledged_at_.begin()) {
    return;
  }
  ++counts_.freshness_checks;
  Require(checked.applied >= std::prev(after)->second,
          checked.name + " knows all that was accepted by the moment as of which it is fresh");
}

void consensus_schedule::CheckAlways() {
  int lease_holders = 0;
  for (const auto& checked : nodes_) {
    if (checked->core) {
      CheckFreshness(*checked);
    }
    if (!checked->core || !checked->core->IsLeader()) {
      continue;
    }
    const consensus_core& core = *checked->core;
    const auto [leader, is_new] = leader_of_term_.try_emplace(core.Term(), core.ReplicaId());
    if (is_new) {
      Trace(checked->name + " leads term " + std::to_string(core.Term()));
      TraceNodes();
    }
    Require(group_ == 0 || group_ == core.Group(), "only one group ever has a leader");
    Require(leader->second == core.ReplicaId(), "a term has one leader");
    group_ = core.Group();
    if (core.LeaseEnd() > LocalTime(*checked)) {
      ++lease_holders;
      ++counts_.lease_checks;
      Require(checked->applied >= acknowledged_, "the lease holder knows all accepted commands");
    }
  }
  Require(lease_holders <= 1, "at most one member holds the lease");
}

bool consensus_schedule::IsRecovered() {
  const node* leader = Leader();
  if (leader == nullptr || leader->core->LeaseEnd() <= LocalTime(*leader) ||
      leader->core->Log().MembersIndex() > leader->core->CommitIndex()) {
    return false;
  }
  const auto& members = leader->core->Log().Members().members;
  return std::all_of(members.begin(), members.end(), [&](const group_member& member) {
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& item) {
      return item->replica_id == member.replica_id;
    });
    return found != nodes_.end() && (*found)->core && (*found)->applied >= acknowledged_ &&
           is_final_committed_;
  });
}

// One line per node, for the trace.
void consensus_schedule::TraceNodes() const {
  for (const auto& traced : nodes_) {
    if (!traced->core) {
      Trace(traced->name + " is down");
      continue;
    }
    const consensus_core& core = *traced->core;
    std::string members;
    for (const group_member& member : core.Log().Members().members) {
      members += " " + member.name + (member.is_voter ? "" : "(learner)") +
                 (IsDead(member) ? "(dead)" : "");
    }
    Trace(traced->name + " role " + std::to_string(static_cast<int>(core.Role())) + " group " +
          std::to_string(core.Group()) + " term " + std::to_string(core.Term()) + " commit " +
          std::to_string(core.CommitIndex()) + " last " + std::to_string(core.Log().LastIndex()) +
          " snapshot " + std::to_string(core.Log().SnapshotIndex()) + " members" + members);
  }
}

void consensus_schedule::CheckRecovered() {
  if (!IsRecovered()) {
    TraceNodes();
  }
  Require(IsRecovered(), "the group works again and all members agree once the faults have ended");
  for (const auto& checked : nodes_) {
    if (checked->core && checked->core->CommitIndex() > 0) {
      Require(checked->applied <= committed_.rbegin()->first, "nobody applies unknown entries");
    }
  }
}

}  // namespace corianderhoist
