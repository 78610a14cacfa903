/// Runs several consensus cores against a network, disks and clocks that misbehave, all drawn from
/// one seed, and checks what must always hold.
#pragma once

#include "consensus/core.h"
#include "storage/replica_store.h"
#include "support/fake_disk.h"

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

/// A check that failed; the text names it.
class schedule_failure final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct schedule_counts {
  std::uint64_t committed = 0;
  std::uint64_t elections = 0;
  std::uint64_t crashes = 0;
  std::uint64_t wipes = 0;
  std::uint64_t refusals = 0;
  std::uint64_t membership_changes = 0;
  std::uint64_t restored = 0;
  std::uint64_t reads = 0;
  std::uint64_t lease_checks = 0;      ///< Moments at which a member held a lease.
  std::uint64_t freshness_checks = 0;  ///< Moments at which a follower knew how fresh it was.
};

/// One run: a time of faults, then a time without, in which the group must work again.
class consensus_schedule {
 public:
  explicit consensus_schedule(std::uint64_t seed, bool is_traced = false);
  ~consensus_schedule();

  /// Throws `schedule_failure`.
  schedule_counts Run();

 private:
  struct node {
    std::string name;
    std::unique_ptr<fake_disk> files = std::make_unique<fake_disk>();
    std::unique_ptr<replica_store> store;
    std::unique_ptr<consensus_core> core;  ///< Null while the node is down.
    std::optional<storage_write> write;    ///< Under way.
    std::uint64_t life = 0;                ///< Counts starts, so that old events are ignored.
    std::uint64_t replica_id = 0;
    std::uint64_t applied = 0;
    std::uint64_t chain = 0;
    std::int64_t frozen_until = 0;
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
  /// How one schedule differs from the next. A group that is busy all the time hides faults of
  /// elections, because only members with the newest entries can win.
  struct character {
    std::uint64_t busy_per_mille = 1000;  ///< Disturbances with proposals.
    std::int64_t disturbance = 0;         ///< Nanoseconds between two.
    std::uint64_t late_per_mille = 10;    ///< Messages that are seconds late.
    std::uint64_t crash_per_mille = 40;   ///< Disturbances that are crashes.
    std::uint64_t link_per_mille = 70;    ///< Disturbances that cut or heal links.
    std::uint64_t shared_seed = 0;        ///< Not 0: all members draw the same timeouts.
    std::int64_t longest_downtime = 0;    ///< Nanoseconds.
  };
  struct committed_entry {
    std::uint64_t term = 0;
    std::string data;
    std::uint64_t chain = 0;  ///< Hash over all commands up to here.
  };

  // Randomness and time.
  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }
  bool Chance(std::uint64_t per_mille) { return Below(1000) < per_mille; }
  void At(std::int64_t delay, std::function<void()> action);
  steady_time LocalTime(const node& of) const;
  void Trace(const std::string& text) const;
  void TraceNodes() const;

  // Nodes.
  void StartNode(node& started);
  void CrashNode(node& crashed);
  void WipeNode(node& wiped);
  void TickNode(node& ticked, std::uint64_t life);
  void Deliver(const raft_message& message);
  void Step(node& stepped, const std::function<void(consensus_core&)>& input);
  void Drain(node& drained);
  void StartWrite(node& writing, storage_write write);
  void FinishWrite(node& writing, std::uint64_t life);
  void SendOne(node& sender, const raft_message& message);
  void ApplyTo(node& applying, const core_output& output);
  void CompactIfDue(node& compacting);

  // Faults and operators.
  void Disturb();
  void ChangeLinks();
  void CutFromLeader(const node& leader);
  void CrashSomeone();
  void CrashVoter(node& crashed);
  void WipeSomeone();
  std::int64_t Downtime() {
    return static_cast<std::int64_t>(
        Below(static_cast<std::uint64_t>(character_.longest_downtime)));
  }
  void FreezeSomeone();
  void RefuseSomeDisk();
  node& AnyNode() { return *nodes_[Below(nodes_.size())]; }
  void ChangeMembers();
  void ProposeSomewhere();
  void ReadSomewhere();
  void Repair();
  node* Leader();
  bool MayWipe(const node& wiped);
  void Operate();
  void RemoveDead();
  bool IsDead(const group_member& member) const { return dead_ids_.contains(member.replica_id); }

  // Checks.
  void CheckAlways();
  void CheckFreshness(const node& checked);
  void CheckCommitted(node& applying, const log_entry& entry);
  void CheckRecovered();
  bool IsRecovered();
  void Require(bool condition, const std::string& check) const;

  const std::uint64_t seed_;
  const bool is_traced_;
  std::mt19937_64 random_;
  character character_;
  std::int64_t now_ = 0;  ///< Nanoseconds.
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::set<std::pair<std::string, std::string>> cut_links_;  ///< From, to.
  std::uint64_t loss_per_mille_ = 0;
  bool is_calm_ = false;
  bool is_final_committed_ = false;

  std::map<std::uint64_t, std::uint64_t> leader_of_term_;
  std::map<std::uint64_t, committed_entry> committed_;
  std::set<std::string> applied_commands_;
  std::uint64_t acknowledged_ = 0;  ///< Last entry that a leader has applied.
  std::map<std::int64_t, std::uint64_t> acknowledged_at_;  ///< Its changes, by time.
  std::uint64_t group_ = 0;
  std::uint64_t next_command_ = 1;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, std::uint64_t> read_floor_;  ///< Token to `acknowledged_` at its start.
  std::set<std::uint64_t> dead_ids_;                   ///< Replica ids whose disk is lost.
  schedule_counts counts_;
};

}  // namespace corianderhoist
