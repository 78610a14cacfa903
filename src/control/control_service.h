/// The methods that control serves: changes by operators, configuration for coordinators.
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

/// The application of control's replica: the state, and a call after each change of it.
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

  std::function<void()> on_applied;

 private:
  control_state state_;
};

/// Serves `control.change`, `control.show`, `config.fetch` and `config.ack`. Only the leader
/// answers. All state is used on the replica's thread, where the application lives too.
class control_service {
 public:
  /// `regions` are all regions of the fleet. The arguments must outlive the service, but for the
  /// replica, which may go once `Close` has returned.
  control_service(replica& group,
                  control_application& application,
                  const clock_source& clock,
                  std::vector<std::string> regions);
  ~control_service();

  /// Registers the methods; call before the server listens.
  void Register(rpc_server& server);
  /// Begins to expire calls; call after the replica has started.
  void Start();
  /// Answers all open calls; later ones fail with `kNotLeader`. Must not be called on the replica's
  /// thread.
  void Close();

  /// State without secrets; any thread but the replica's.
  QJsonObject Dump();

 private:
  // A change from its arrival to its answer.
  struct open_change {
    rpc_callback<change_reply> reply;
    steady_time commit_deadline;
    steady_time deadline;
    change_result result;
    bool is_committed = false;
    bool is_answered = false;
  };
  struct open_fetch {
    config_fetch_request request;
    rpc_callback<config_fetch_reply> reply;
    steady_time deadline;
  };

  void Change(const std::string& caller,
              const change_request& request,
              rpc_callback<change_reply> reply);
  void OnProposed(const std::shared_ptr<open_change>& change, rpc_result<std::string> outcome);
  void AnswerIfInForce(open_change& change);
  void Fetch(open_fetch fetch);
  void AnswerFetch(const open_fetch& fetch);
  void Acknowledge(const config_ack_request& request, const rpc_callback<empty_message>& reply);
  void Show(rpc_callback<show_reply> reply);

  void OnApplied();
  void OnLeadership(bool is_leader);
  void Expire();
  void ScheduleExpiry();
  std::vector<std::string> MissingRegions(const change_result& result) const;
  std::vector<std::string> MissingRegions(const config_change& change) const;
  void AddMissing(const std::vector<std::string>& regions,
                  std::uint64_t version,
                  const std::string& workspace,
                  std::vector<std::string>& missing) const;
  std::uint64_t ReportedVersion(const std::string& region) const;
  bool IsKnownRegion(const std::string& region) const;
  std::vector<pending_change> PendingChanges() const;
  show_reply MakeShowReply() const;
  QJsonObject MakeDump() const;
  rpc_failure NotLeader() const;

  replica& group_;
  control_application& application_;
  const control_state& state_;
  const clock_source& clock_;
  const std::vector<std::string> regions_;

  std::map<std::string, region_report> reports_;
  std::vector<std::shared_ptr<open_change>> changes_;
  std::vector<open_fetch> fetches_;
  bool is_closed_ = false;

  /// Timers, and the encoding of large answers.
  std::unique_ptr<io_loop> loop_;
};

}  // namespace corianderhoist
