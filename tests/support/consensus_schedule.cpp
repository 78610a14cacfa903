#include "support/consensus_schedule.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace corianderhoist {
namespace {

constexpr std::int64_t kMillisecond = 1'000'000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kTickInterval = 40 * kMillisecond;
constexpr std::int64_t kFaultPhaseDuration = 30 * kSecond;
// Without faults, an election, the repair of up to one member and catching up take a few seconds.
constexpr std::int64_t kRecoveryTimeout = 60 * kSecond;
constexpr std::size_t kNodeCount = 5;
constexpr std::uint64_t kEntriesPerSnapshot = 15;
// Shorter than any election timeout and the stickiness of a voter, on the fastest clock.
constexpr std::int64_t kMinElectionTimeout = 600 * kMillisecond;
// The lease tolerates a rate difference of 10 % between two clocks.
constexpr std::uint64_t kMinClockRatePerMille = 955;
constexpr std::uint64_t kClockRateRangePerMille = 91;

std::uint64_t ChainHash(std::uint64_t before, const log_entry& entry) {
  return entry.kind == entry_kind::kCommand ? FastHash(std::to_string(before) + "/" + entry.data)
                                            : before;
}

}  // namespace

consensus_schedule::consensus_schedule(std::uint64_t seed, bool is_traced)
    : seed_(seed), is_traced_(is_traced), random_(seed * 2 + 1) {
  profile_.proposal_per_mille = std::array{15, 150, 1000}[RandomBelow(3)];
  profile_.fault_interval = std::array{20, 40, 60}[RandomBelow(3)] * kMillisecond;
  profile_.crash_per_mille = std::array{4, 15, 40}[RandomBelow(3)];
  profile_.link_change_per_mille = std::array{15, 70, 200}[RandomBelow(3)];
  profile_.delayed_message_per_mille = std::array{10, 50, 150}[RandomBelow(3)];
  profile_.shared_timeout_seed = Chance(400) ? random_() | 1 : 0;
  profile_.max_downtime = std::array{100, 1000, 3000}[RandomBelow(3)] * kMillisecond;
  profile_.group_restart_per_mille = std::array{0, 10, 50}[RandomBelow(3)];
  for (std::size_t i = 0; i < kNodeCount; ++i) {
    auto new_node = std::make_unique<node>();
    new_node->name = std::string(1, static_cast<char>('a' + i));
    new_node->clock_offset = static_cast<std::int64_t>(1 + RandomBelow(1000)) * kSecond;
    new_node->clock_per_mille = kMinClockRatePerMille + RandomBelow(kClockRateRangePerMille);
    nodes_.push_back(std::move(new_node));
  }
}

consensus_schedule::~consensus_schedule() = default;

schedule_counts consensus_schedule::Run() {
  for (auto& new_node : nodes_) {
    After(static_cast<std::int64_t>(RandomBelow(1000)) * kMillisecond,
          [this, raw = new_node.get()] { StartNode(*raw); });
  }
  After(profile_.fault_interval, [this] { InjectFaults(); });
  bool is_recovered = false;
  while (!events_.empty() && now_ < kFaultPhaseDuration + kRecoveryTimeout && !is_recovered) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    if (now_ >= kFaultPhaseDuration && !are_faults_over_) {
      EndFaults();
    }
    next.action();
    CheckInvariants();
    is_recovered = are_faults_over_ && IsRecovered();
  }
  CheckRecovered();
  counts_.committed = committed_.size();
  counts_.elections = leader_of_term_.size();
  return counts_;
}

void consensus_schedule::After(std::int64_t delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_order_++, std::move(action)});
}

steady_time consensus_schedule::LocalTime(const node& target) const {
  return steady_time(std::chrono::nanoseconds(
      target.clock_offset + now_ / 1000 * static_cast<std::int64_t>(target.clock_per_mille)));
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
  if (!failure.detail.empty()) {  // The disk still fails; the crash below lifts its limits.
    started.files->Crash(random_);
    return After(kSecond, [this, raw = &started] { StartNode(*raw); });
  }
  started.replica_id = stored.state.replica_id;
  started.applied = 0;
  started.chain_hash = 0;
  if (stored.last_snapshot) {
    started.applied = stored.last_snapshot->index;
    started.chain_hash = std::stoull(stored.last_snapshot->data);
  }
  core_settings settings;
  settings.name = started.name;
  for (std::size_t i = 0; i < initial_member_count_; ++i) {
    settings.initial_members.push_back({nodes_[i]->name, 0, nodes_[i]->name, true});
  }
  settings.seed = profile_.shared_timeout_seed != 0 ? profile_.shared_timeout_seed : random_();
  settings.trailing_entries = RandomBelow(12);
  settings.max_append_entries = 4;
  settings.resumes_leadership = resumes_leadership_;
  settings.heartbeat = heartbeat_;
  settings.max_snapshot_part_bytes = 8;
  started.core = std::make_unique<consensus_core>(settings, std::move(stored), LocalTime(started));
  ++started.generation;
  started.started_at = now_;
  Trace(started.name + " starts");
  TickNode(started, started.generation);
}

// A crash can interrupt a write after some of its operations.
void consensus_schedule::CrashNode(node& crashed) {
  if (!crashed.core) {
    return;
  }
  Trace(crashed.name + " crashes");
  if (crashed.write) {
    crashed.files->FailOperationsAfter(RandomBelow(12));
    (void)Recover([&] { return crashed.store->Write(*crashed.write); }, [](const error&) {});
  }
  crashed.files->Crash(random_);
  crashed.core.reset();
  crashed.store.reset();
  crashed.write.reset();
  ++crashed.generation;
  ++counts_.crashes;
}

void consensus_schedule::WipeNode(node& wiped) {
  CrashNode(wiped);
  Trace(wiped.name + " loses its disk");
  lost_disk_ids_.insert(wiped.replica_id);
  wiped.files = std::make_unique<fake_disk>();
  ++counts_.wipes;
}

void consensus_schedule::TickNode(node& ticked, std::uint64_t generation) {
  if (ticked.generation != generation) {
    return;
  }
  if (ticked.frozen_until > now_) {
    return After(ticked.frozen_until - now_,
                 [this, raw = &ticked, generation] { TickNode(*raw, generation); });
  }
  Step(ticked, [&](consensus_core& core) { core.Tick(LocalTime(ticked)); });
  After(kTickInterval, [this, raw = &ticked, generation] { TickNode(*raw, generation); });
}

// A frozen node handles its inputs when it resumes, with the clock of that moment.
void consensus_schedule::Deliver(const raft_message& message) {
  for (auto& receiver : nodes_) {
    if (receiver->name == message.to && receiver->frozen_until > now_) {
      After(receiver->frozen_until - now_, [this, message] { Deliver(message); });
    } else if (receiver->name == message.to && receiver->core) {
      Step(*receiver, [&](consensus_core& core) { core.Receive(message, LocalTime(*receiver)); });
    }
  }
}

void consensus_schedule::Step(node& stepped, const std::function<void(consensus_core&)>& input) {
  if (stepped.core) {
    input(*stepped.core);
    ProcessOutput(stepped);
  }
}

void consensus_schedule::ProcessOutput(node& target) {
  while (target.core) {
    core_output output = target.core->TakeOutput();
    if (output.IsEmpty()) {
      return;
    }
    if (output.write) {
      StartWrite(target, std::move(*output.write));
    }
    for (const raft_message& message : output.messages) {
      SendMessage(target, message);
    }
    ApplyCommitted(target, output);
    CompactIfDue(target);
  }
}

void consensus_schedule::StartWrite(node& writing, storage_write write) {
  Require(!writing.write, "one write at a time");
  writing.write = std::move(write);
  const std::int64_t delay = static_cast<std::int64_t>(RandomBelow(20)) * kMillisecond;
  After(delay,
        [this, raw = &writing, generation = writing.generation] { FinishWrite(*raw, generation); });
}

void consensus_schedule::FinishWrite(node& writing, std::uint64_t generation) {
  if (writing.generation != generation) {
    return;
  }
  if (writing.frozen_until > now_) {
    return After(writing.frozen_until - now_,
                 [this, raw = &writing, generation] { FinishWrite(*raw, generation); });
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
    ++counts_.disk_failures;
    CrashNode(writing);
    After(kSecond, [this, raw = &writing] { StartNode(*raw); });
    return;
  }
  Step(writing, [&](consensus_core& core) { core.WriteDone(write.sequence, LocalTime(writing)); });
}

void consensus_schedule::SendMessage(node& sender, const raft_message& message) {
  if (cut_links_.contains({sender.name, message.to}) || Chance(loss_per_mille_)) {
    return;
  }
  if (!are_faults_over_ && message.kind == message_kind::kVoteAnswer && message.is_granted &&
      Chance(100)) {
    After(kMillisecond, [this, raw = &sender] { CrashVoter(*raw); });
  }
  const std::uint64_t copies = !are_faults_over_ && Chance(30) ? 2 : 1;
  for (std::uint64_t i = 0; i < copies; ++i) {
    std::int64_t delay = static_cast<std::int64_t>(500 + RandomBelow(30'000)) * kMillisecond / 1000;
    if (!are_faults_over_ && Chance(profile_.delayed_message_per_mille)) {
      delay += static_cast<std::int64_t>(RandomBelow(4000)) * kMillisecond;
    }
    if (!are_faults_over_ && message.kind == message_kind::kVote && Chance(200)) {
      delay += static_cast<std::int64_t>(RandomBelow(1500)) * kMillisecond;
    }
    After(delay, [this, message] { Deliver(message); });
  }
}

void consensus_schedule::ApplyCommitted(node& applying, const core_output& output) {
  if (output.restore) {
    const std::uint64_t index = output.restore->index;
    ++counts_.snapshots_restored;
    Require(committed_.contains(index), "a snapshot holds only committed entries");
    applying.applied = index;
    applying.chain_hash = std::stoull(output.restore->data);
    Require(committed_[index].chain_hash == applying.chain_hash,
            "a snapshot matches the entries that it replaces");
  }
  for (const log_entry& entry : output.committed) {
    CheckCommitted(applying, entry);
  }
  for (const std::uint64_t token : output.confirmed_reads) {
    ++counts_.reads;
    Require(applying.applied >= min_read_index_[token],
            "a confirmed read sees all earlier commits");
  }
}

void consensus_schedule::CompactIfDue(node& compacting) {
  if (compacting.core->AppliedIndex() >=
      compacting.core->Log().SnapshotIndex() + kEntriesPerSnapshot) {
    compacting.core->Compact(compacting.applied, std::to_string(compacting.chain_hash));
  }
}

// ---- Checks ----

void consensus_schedule::CheckCommitted(node& applying, const log_entry& entry) {
  Require(entry.index == applying.applied + 1, "entries are applied in order and once");
  applying.applied = entry.index;
  applying.chain_hash = ChainHash(applying.chain_hash, entry);
  const auto [known, is_new] = committed_.try_emplace(
      entry.index, committed_entry{entry.term, entry.data, applying.chain_hash});
  Require(known->second.term == entry.term && known->second.data == entry.data &&
              known->second.chain_hash == applying.chain_hash,
          "a committed entry never changes");
  if (is_new && entry.kind == entry_kind::kCommand) {
    Require(applied_commands_.insert(entry.data).second, "a command is committed once");
    is_final_committed_ = is_final_committed_ || entry.data.starts_with("final");
  }
  if (applying.core->IsLeader()) {
    acknowledged_index_ = std::max(acknowledged_index_, entry.index);
    acknowledged_index_by_time_[now_] = acknowledged_index_;
  }
}

// A member must have applied every entry acknowledged by its freshness timestamp, however late the
// message that carried the timestamp arrived.
void consensus_schedule::CheckFreshness(const node& checked) {
  const steady_time fresh_at = checked.core->FreshAt();
  if (fresh_at == steady_time{}) {
    return;
  }
  const std::int64_t local = fresh_at.time_since_epoch().count() - checked.clock_offset;
  const std::int64_t moment = local / static_cast<std::int64_t>(checked.clock_per_mille) * 1000;
  const auto after = acknowledged_index_by_time_.upper_bound(moment);
  if (after == acknowledged_index_by_time_.begin()) {
    return;
  }
  ++counts_.freshness_checks;
  Require(checked.applied >= std::prev(after)->second,
          checked.name + " has applied every entry acknowledged by its freshness timestamp");
}

void consensus_schedule::CheckInvariants() {
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
      OnNewLeader(*checked);
    }
    Require(group_id_ == 0 || group_id_ == core.Group(), "only one group ever has a leader");
    Require(leader->second == core.ReplicaId(), "a term has one leader");
    group_id_ = core.Group();
    if (core.LeaseEnd() > LocalTime(*checked)) {
      ++lease_holders;
      CheckLeaseHolder(*checked);
    }
  }
  Require(lease_holders <= 1, "at most one member holds the lease");
}

void consensus_schedule::CheckLeaseHolder(const node& checked) {
  ++counts_.lease_checks;
  Require(checked.applied >= acknowledged_index_,
          "the lease holder has applied all acknowledged entries");
  // Also holds if the later leader has crashed meanwhile: it may have committed entries.
  Require(leader_of_term_.rbegin()->first == checked.core->Term(),
          "no leader holds a lease once a later term has had a leader");
}

// Restarts members shortly after an election, while the records of the leader are being written.
void consensus_schedule::OnNewLeader(const node& elected) {
  Trace(elected.name + " becomes leader of term " + std::to_string(elected.core->Term()));
  TraceNodes();
  counts_.resumptions += now_ < elected.started_at + kMinElectionTimeout;
  if (!are_faults_over_ && Chance(profile_.group_restart_per_mille * 10)) {
    After(static_cast<std::int64_t>(RandomBelow(150)) * kMillisecond, [this] { RestartMembers(); });
  }
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
    return found != nodes_.end() && (*found)->core && (*found)->applied >= acknowledged_index_ &&
           is_final_committed_;
  });
}

// Writes one trace line per node.
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
                 (IsDiskLost(member) ? "(disk lost)" : "");
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
  Require(IsRecovered(), "the group recovers and all members converge after the faults end");
  for (const auto& checked : nodes_) {
    if (checked->core && checked->core->CommitIndex() > 0) {
      Require(checked->applied <= committed_.rbegin()->first,
              "no node applies an entry that was never committed");
    }
  }
}

}  // namespace corianderhoist
