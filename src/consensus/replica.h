/// One member of a group that replicates a log, and the application that the log drives.
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
/// the replica's thread, and returns the result that the proposer receives. It must depend on
/// nothing but the state and the command; times travel inside commands.
template <class Application>
concept replicated_application = requires(Application& application,
                                          std::uint64_t index,
                                          std::string_view bytes) {
  { application.Apply(index, bytes) } -> std::same_as<std::string>;
  { application.Snapshot() } -> std::same_as<std::string>;
  { application.Restore(bytes) } -> std::same_as<void>;
};

/// A member of the group.
struct replica_member {
  std::string name;  ///< VM name, as in its certificate.
  endpoint address;  ///< Where its `raft.*` methods are served.
};

struct replica_settings {
  std::string group;             ///< For logs, for example "control" or "coordinator/tbilisi".
  std::string name;              ///< This member's VM name.
  std::string role;              ///< Certificate role that may call `raft.*`.
  std::filesystem::path folder;  ///< Data folder, created when missing.
  std::vector<replica_member> members;  ///< The first members; later ones are in the log.
  std::chrono::milliseconds heartbeat{100};
  std::chrono::milliseconds election_timeout{700};  ///< Shortest; drawn up to twice this.
};

/// State of a replica, for dumps.
struct replica_status {
  /// "leader", "follower", "candidate", "learner", "joining" (without a group yet) or "failed".
  std::string role;
  std::string failure;  ///< Why the replica has stopped; empty while it runs.
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
  /// Leader only: when each other member last answered, and whether it holds the log.
  std::vector<consensus_core::member_progress> progress;
};

/// Type-erased form of an application, as `replica` uses it.
struct application_calls {
  std::function<std::string(std::uint64_t, std::string_view)> apply;
  std::function<std::string()> snapshot;
  std::function<void(std::string_view)> restore;
};

/// Drives the consensus core with the network, the disk and the clock. Thread safe; callbacks run
/// on the replica's thread and must not block.
class replica {
 public:
  using proposal_callback = std::function<void(rpc_result<std::string>)>;

  /// Registers the `raft.*` methods at `server`, which must not listen yet. `application` must
  /// outlive the replica.
  template <replicated_application Application>
  static result<std::unique_ptr<replica>> Open(replica_settings settings,
                                               Application& application,
                                               rpc_server& server,
                                               std::shared_ptr<tls_identity> identity,
                                               const clock_source& clock) {
    return OpenErased(std::move(settings),
                      {[&](std::uint64_t index, std::string_view command) {
                         return application.Apply(index, command);
                       },
                       [&] { return application.Snapshot(); },
                       [&](std::string_view bytes) { application.Restore(bytes); }},
                      server, std::move(identity), clock);
  }
  ~replica();

  /// Starts elections and replication; call after the server listens.
  void Start();

  /// Commits `command` and passes on the result of `Apply`. Fails with `kNotLeader` (nothing was
  /// appended) or `kNotAccepted` (the outcome is open).
  void Propose(std::string command, proposal_callback done);

  /// Calls `done` with an empty text once this leader has confirmed with a majority that it still
  /// leads and has applied everything committed before the call. Fails with `kNotLeader` or
  /// `kTimeout`.
  void ReadBarrier(proposal_callback done);

  /// True while no other member can have become leader: a majority has answered a heartbeat that
  /// was sent less than the shortest election timeout (less 10 % for clock drift) ago, and every
  /// entry of former terms has been applied.
  bool HasLease() const;

  /// The newest moment as of which the applied state is known to include everything that was
  /// committed in the group by then: the present for a leader with a lease, a moment some
  /// heartbeats ago for a member that hears such a leader, else the past.
  steady_time FreshAt() const;

  /// The term in which this member leads, 0 when it does not.
  std::uint64_t LeadingTerm() const;

  /// Calls `observer(is_leader)` after each change, on the replica's thread.
  void OnLeadership(std::function<void(bool is_leader)> observer);

  /// Adds a learner, which gets a vote by `Promote` once it holds the log. One change at a time.
  void AddLearner(replica_member member, proposal_callback done);
  void Promote(std::string name, proposal_callback done);
  void Remove(std::string name, proposal_callback done);

  replica_status Status() const;
  std::string LeaderName() const;

  /// Runs `task` on the thread on which the application is called.
  void Post(std::function<void()> task);

 private:
  struct driver;
  explicit replica(std::shared_ptr<driver> driver);
  static result<std::unique_ptr<replica>> OpenErased(replica_settings settings,
                                                     application_calls application,
                                                     rpc_server& server,
                                                     std::shared_ptr<tls_identity> identity,
                                                     const clock_source& clock);

  std::shared_ptr<driver> driver_;
};

}  // namespace corianderhoist
