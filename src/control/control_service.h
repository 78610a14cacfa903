/// RPC methods of control: configuration changes by operators, configuration for coordinators.
#pragma once

#include "base/clock.h"
#include "consensus/replica.h"
#include "control/control_state.h"
#include "control/messages.h"
#include "wire/io_loop.h"
#include "wire/rpc.h"

#include <QJsonObject>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// The replicated application of control: `control_state` with an observer.
class control_application {
 public:
  std::string Apply(std::uint64_t index, std::string_view command) {
    std::string result = state_.Apply(index, command);
    if (on_applied) {
      on_applied();
    }
    return result;
  }
  std::string Snapshot() const { return state_.Snapshot(); }
  void Restore(std::string_view bytes) { state_.Restore(bytes); }
  const control_state& State() const { return state_; }

  /// Called after each applied command.
  std::function<void()> on_applied;

 private:
  control_state state_;
};

/// Serves `control.change`, `control.show`, `config.fetch` and `config.ack`. Only the leader serves
/// these methods; other replicas reply with `kNotLeader`. The state of the service and of the
/// application is accessed on the replica's thread only.
class control_service {
 public:
  /// `regions` are all regions of the fleet. `application` and `clock` must outlive the service;
  /// `group` may be destroyed once `Close` has returned.
  control_service(replica& group,
                  control_application& application,
                  const clock_source& clock,
                  std::vector<std::string> regions);
  ~control_service();

  /// Registers the methods; call before the server listens.
  void Register(rpc_server& server);
  /// Starts the expiry timer of open calls; call after the replica has started.
  void Start();
  /// Completes all open calls with a failure; later ones fail with `kNotLeader`. Must not be called
  /// on the replica's thread.
  void Close();

  /// Returns the state for diagnostics, without secrets. Blocks; must not be called on the
  /// replica's thread.
  QJsonObject Dump();

 private:
  // A change whose call is not answered yet.
  struct open_change {
    rpc_callback<change_reply> reply;
    steady_time commit_deadline;
    steady_time deadline;
    change_result result;
    bool is_committed = false;
    bool is_answered = false;
  };
  // A `config.fetch` call that is not answered yet.
  struct open_fetch {
    config_fetch_request request;
    rpc_callback<config_fetch_reply> reply;
    steady_time deadline;
  };

  void Change(const std::string& caller,
              const change_request& request,
              rpc_callback<change_reply> reply);
  void OnProposed(const std::shared_ptr<open_change>& change, rpc_result<std::string> outcome);
  // Answers the call when all affected regions have committed the change, or when its wait is over.
  void AnswerIfInForce(open_change& change);
  void Fetch(open_fetch fetch);
  void AnswerFetch(const open_fetch& fetch);
  void Acknowledge(const config_ack_request& request, const rpc_callback<empty_message>& reply);
  void Show(rpc_callback<show_reply> reply);

  void OnApplied();
  void OnLeadership(bool is_leader);
  void Expire();
  void ScheduleExpiry();
  // Returns the regions that have not reported a version that includes the change. For a key change
  // these include former home regions that have not committed the move of the workspace.
  std::vector<std::string> PendingRegions(const change_result& result) const;
  std::vector<std::string> PendingRegions(const config_change& change) const;
  void AddPendingRegions(const std::vector<std::string>& regions,
                         std::uint64_t version,
                         const std::string& workspace,
                         std::vector<std::string>& pending) const;
  // Returns 0 when the region has not reported to this leader.
  std::uint64_t ReportedVersion(const std::string& region) const;
  bool IsKnownRegion(const std::string& region) const;
  std::vector<pending_change> PendingChanges() const;
  show_reply MakeShowReply() const;
  QJsonObject MakeDump() const;
  rpc_failure NotLeaderFailure() const;

  replica& group_;
  control_application& application_;
  const control_state& state_;
  const clock_source& clock_;
  const std::vector<std::string> regions_;

  std::map<std::string, region_report> reports_;
  std::vector<std::shared_ptr<open_change>> changes_;
  std::vector<open_fetch> fetches_;
  bool is_closed_ = false;

  /// Runs timers and encodes snapshots.
  std::unique_ptr<io_loop> loop_;
};

}  // namespace corianderhoist
