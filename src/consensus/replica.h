/// A member of a replicated state machine group: consensus, storage and the application.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "consensus/core.h"
#include "settings/settings_reader.h"
#include "wire/rpc.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// A deterministic state machine. `Apply` is called once per committed command, in log order, on
/// the replica's thread, and returns the result for the proposer. It must depend only on the state
/// and the command; a command that needs a time carries it.
template <class Application>
concept replicated_application = requires(Application& application,
                                          std::uint64_t index,
                                          std::string_view bytes) {
  { application.Apply(index, bytes) } -> std::same_as<std::string>;
  { application.Snapshot() } -> std::same_as<std::string>;
  { application.Restore(bytes) } -> std::same_as<void>;
};

/// Name and address of a group member.
struct replica_member {
  std::string name;  ///< VM name, as in its certificate.
  endpoint address;  ///< Where its `raft.*` methods are served.
};

struct replica_settings {
  /// Whether the replica recovers by itself after a failed write. Otherwise it stays failed until
  /// the process is restarted.
  bool recovers_in_process = false;
  std::string group;  ///< Used in log events, for example "control" or "coordinator/tbilisi".
  std::string name;   ///< This member's VM name.
  std::string role;   ///< Certificate role that may call `raft.*`.
  std::filesystem::path folder;                 ///< Data folder; created if missing.
  std::vector<replica_member> initial_members;  ///< Initial members; later changes are in the log.
  std::chrono::milliseconds heartbeat{100};     ///< Interval between heartbeats of the leader.
  /// Minimum; each timeout is randomized up to twice this value.
  std::chrono::milliseconds election_timeout{700};
};

/// State of a replica for diagnostics.
struct replica_status {
  /// "leader", "follower", "candidate", "learner", "joining" (no group yet) or "failed".
  std::string role;
  std::string failure;  ///< Storage failure that stopped the replica; empty if none.
  std::string leader;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t last_index = 0;
  std::uint64_t snapshot_index = 0;
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  std::uint64_t replica_id = 0;
  std::vector<group_member> members;  ///< Voters and learners, from the log.
  /// Leader only: replication progress of each other member.
  std::vector<consensus_core::member_progress> progress;
};

/// Type-erased application.
struct erased_application {
  std::function<std::string(std::uint64_t, std::string_view)> apply;
  std::function<std::string()> snapshot;
  std::function<void(std::string_view)> restore;
};

/// Runs the consensus core on the network, the disk and the clock. Thread-safe. Callbacks run on
/// the replica's thread and must not block.
class replica {
 public:
  using proposal_callback = std::function<void(rpc_result<std::string>)>;

  /// Opens the data folder and registers the `raft.*` methods with `server`, which must not listen
  /// yet. `application` must outlive the replica.
  template <replicated_application Application>
  static result<std::unique_ptr<replica>> Open(replica_settings settings,
                                               Application& application,
                                               rpc_server& server,
                                               std::shared_ptr<tls_identity> identity,
                                               const clock_source& clock) {
    return OpenTypeErased(std::move(settings),
                          {[&](std::uint64_t index, std::string_view command) {
                             return application.Apply(index, command);
                           },
                           [&] { return application.Snapshot(); },
                           [&](std::string_view bytes) { application.Restore(bytes); }},
                          server, std::move(identity), clock);
  }
  ~replica();

  /// Starts elections and replication. Must be called after the server has started to listen.
  void Start();

  /// Commits `command` and passes the result of `Apply` to `done`. Fails with `kNotLeader` (nothing
  /// was appended) or `kNotAccepted` (the outcome is unknown).
  void Propose(std::string command, proposal_callback done);

  /// Calls `done` with an empty string once a majority has confirmed this leader and everything
  /// committed before the call is applied. Fails with `kNotLeader` or `kTimeout`.
  void ReadBarrier(proposal_callback done);

  /// True while no other member can have become leader and every entry of earlier terms has been
  /// applied. A majority must have answered a message that was sent within the minimum election
  /// timeout, reduced by 10 % for clock drift.
  bool HasLease() const;

  /// The latest time T such that the applied state includes everything committed in the group by T:
  /// the current time for a leader with a lease, and a few heartbeats earlier for a member that
  /// follows such a leader. Does not advance otherwise; the epoch when no such time is known.
  steady_time FreshAt() const;

  /// The current term if this member is the leader, else 0.
  std::uint64_t LeadingTerm() const;

  /// Calls `observer(is_leader)` on the replica's thread whenever leadership is gained or lost.
  void OnLeadership(std::function<void(bool is_leader)> observer);

  /// Adds a learner. `Promote` makes it a voter once it has caught up with the log. Only one
  /// membership change may be in progress at a time. The three functions fail as `Propose`
  /// does, and with `kNotFound` or `kVersionConflict` if the change is not possible; `AddLearner`
  /// also fails if the learner cannot be reached.
  void AddLearner(replica_member member, proposal_callback done);
  void Promote(std::string name, proposal_callback done);
  void Remove(std::string name, proposal_callback done);

  replica_status Status() const;
  std::string LeaderName() const;

  /// Runs `task` on the replica's thread, on which the application is called.
  void Post(std::function<void()> task);

 private:
  struct driver;
  explicit replica(std::shared_ptr<driver> driver);
  static result<std::unique_ptr<replica>> OpenTypeErased(replica_settings settings,
                                                         erased_application application,
                                                         rpc_server& server,
                                                         std::shared_ptr<tls_identity> identity,
                                                         const clock_source& clock);

  std::shared_ptr<driver> driver_;
};

}  // namespace corianderhoist
