/// Simulates several consensus cores with network, disk and clock faults, all drawn from one seed,
/// and checks the invariants of the protocol.
#pragma once

#include "consensus/core.h"
#include "storage/replica_store.h"
#include "support/fake_disk.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

/// Thrown when a check fails. The text holds the seed, the simulated time and the check.
class schedule_failure final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Event counts of a schedule, which show how much a run has covered.
struct schedule_counts {
  std::uint64_t committed = 0;
  std::uint64_t elections = 0;
  std::uint64_t crashes = 0;
  std::uint64_t wipes = 0;
  std::uint64_t disk_failures = 0;
  std::uint64_t membership_changes = 0;
  std::uint64_t snapshots_restored = 0;
  std::uint64_t reads = 0;
  std::uint64_t lease_checks = 0;      ///< Checks of a member that held a lease.
  std::uint64_t freshness_checks = 0;  ///< Checks of a member with a freshness timestamp.
  std::uint64_t group_restarts = 0;    ///< Restarts of all, of a majority or of the leader.
  std::uint64_t resumptions = 0;       ///< Leaders elected before their own election timeout.
};

/// Conditions of a measured restart of all members of a group.
struct restart_conditions {
  bool resumes_leadership = true;
  /// Members start at random moments within this time after the power returns.
  std::chrono::milliseconds start_spread{0};
};

/// Simulated times since the return of power.
struct restart_times {
  std::chrono::milliseconds leased{};  ///< A leader holds a lease.
  std::chrono::milliseconds fresh{};   ///< Every member has a freshness timestamp after the return.
};

/// One simulated run: a phase with faults, then a phase without faults, in which the group must
/// recover.
class consensus_schedule {
 public:
  explicit consensus_schedule(std::uint64_t seed, bool is_traced = false);
  ~consensus_schedule();

  /// Runs the schedule. Throws `schedule_failure` when a check fails.
  schedule_counts Run();

  /// Instead of `Run`: restarts a group of five without other faults. A leader with a lease has
  /// committed an entry of its term.
  restart_times MeasureRestart(const restart_conditions& conditions);

 private:
  struct node {
    std::string name;
    std::unique_ptr<fake_disk> files = std::make_unique<fake_disk>();
    std::unique_ptr<replica_store> store;
    std::unique_ptr<consensus_core> core;  ///< Null while the node is down.
    std::optional<storage_write> write;    ///< The write in progress.
    std::uint64_t generation = 0;  ///< Changes at each start and crash; older events are ignored.
    std::uint64_t replica_id = 0;
    std::uint64_t applied = 0;
    std::uint64_t chain_hash = 0;
    std::int64_t frozen_until = 0;
    std::int64_t started_at = 0;
    std::int64_t clock_offset = 0;
    std::uint64_t clock_per_mille = 1000;
  };
  struct event {
    std::int64_t at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  /// Fault and load rates, drawn per schedule. Constant load hides election faults, because only
  /// members with the newest entries can win an election.
  struct fault_profile {
    std::uint64_t proposal_per_mille = 1000;  ///< Share of fault steps that propose commands.
    std::int64_t fault_interval = 0;          ///< Time between two fault steps, in nanoseconds.
    std::uint64_t delayed_message_per_mille = 10;  ///< Share of messages delayed by up to 4 s.
    std::uint64_t crash_per_mille = 40;            ///< Share of fault steps with a crash.
    std::uint64_t link_change_per_mille = 70;      ///< Share of fault steps that cut or heal links.
    std::uint64_t shared_timeout_seed = 0;      ///< If not 0, all members draw the same timeouts.
    std::int64_t max_downtime = 0;              ///< In nanoseconds.
    std::uint64_t group_restart_per_mille = 0;  ///< Share of fault steps, and of new leaders.
  };
  struct committed_entry {
    std::uint64_t term = 0;
    std::string data;
    std::uint64_t chain_hash = 0;  ///< Hash of all commands up to this entry.
  };

  // Randomness and time.
  std::uint64_t RandomBelow(std::uint64_t limit) { return random_() % limit; }
  bool Chance(std::uint64_t per_mille) { return RandomBelow(1000) < per_mille; }
  void After(std::int64_t delay, std::function<void()> action);
  steady_time LocalTime(const node& target) const;
  void Trace(const std::string& text) const;
  void TraceNodes() const;

  // Nodes.
  void StartNode(node& started);
  void CrashNode(node& crashed);
  void WipeNode(node& wiped);
  void TickNode(node& ticked, std::uint64_t generation);
  void Deliver(const raft_message& message);
  void Step(node& stepped, const std::function<void(consensus_core&)>& input);
  void ProcessOutput(node& target);
  void StartWrite(node& writing, storage_write write);
  void FinishWrite(node& writing, std::uint64_t generation);
  void SendMessage(node& sender, const raft_message& message);
  void ApplyCommitted(node& applying, const core_output& output);
  void CompactIfDue(node& compacting);

  // Faults and operators.
  void InjectFaults();
  void ChangeLinks();
  void CutFromLeader(const node& leader);
  void CrashRandomNode();
  void CrashVoter(node& crashed);
  void RestartMembers();
  void RestartBriefly(node& crashed);
  void WipeRandomNode();
  std::int64_t Downtime() {
    return static_cast<std::int64_t>(
        RandomBelow(static_cast<std::uint64_t>(profile_.max_downtime)));
  }
  void FreezeRandomNode();
  void FailRandomDisk();
  node& RandomNode() { return *nodes_[RandomBelow(nodes_.size())]; }
  void ChangeMembers();
  void ProposeAtRandomNode();
  void ReadAtRandomNode();
  void EndFaults();
  node* Leader();
  bool HasLeaseHolder();
  void RunUntil(const std::function<bool()>& is_done);
  bool CanWipe(const node& wiped);
  void RunOperator();
  void RemoveWipedMember();
  bool IsDiskLost(const group_member& member) const {
    return lost_disk_ids_.contains(member.replica_id);
  }

  // Checks.
  void CheckInvariants();
  void CheckLeaseHolder(const node& checked);
  void OnNewLeader(const node& elected);
  void CheckFreshness(const node& checked);
  void CheckCommitted(node& applying, const log_entry& entry);
  void CheckRecovered();
  bool IsRecovered();
  void Require(bool condition, const std::string& check) const;

  const std::uint64_t seed_;
  const bool is_traced_;
  std::mt19937_64 random_;
  fault_profile profile_;
  std::size_t initial_member_count_ = 3;
  bool resumes_leadership_ = true;
  std::chrono::milliseconds heartbeat_{100};
  std::int64_t now_ = 0;  ///< Simulated time in nanoseconds.
  std::uint64_t next_event_order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::set<std::pair<std::string, std::string>> cut_links_;  ///< Pairs of sender and receiver.
  std::uint64_t loss_per_mille_ = 0;
  bool are_faults_over_ = false;
  bool is_final_committed_ = false;

  std::map<std::uint64_t, std::uint64_t> leader_of_term_;
  std::map<std::uint64_t, committed_entry> committed_;
  std::set<std::string> applied_commands_;
  std::uint64_t acknowledged_index_ = 0;  ///< Index of the last entry that a leader has applied.
  std::map<std::int64_t, std::uint64_t>
      acknowledged_index_by_time_;  ///< History of `acknowledged_index_`, by time.
  std::uint64_t group_id_ = 0;
  std::uint64_t next_command_ = 1;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, std::uint64_t>
      min_read_index_;  ///< Read token to `acknowledged_index_` at the start of the read.
  std::set<std::uint64_t> lost_disk_ids_;  ///< Replica ids of wiped disks.
  schedule_counts counts_;
};

}  // namespace corianderhoist
