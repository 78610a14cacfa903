/// Client of control's operator methods: finds the leader and retries changes without applying them
/// twice.
#pragma once

#include "control/configuration.h"
#include "control/member_service.h"
#include "control/messages.h"
#include "settings/settings_reader.h"
#include "wire/daemon.h"
#include "wire/io_loop.h"
#include "wire/rpc.h"

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Credentials of an operator and the addresses of control and coordinators.
struct operator_settings {
  tls_files tls;
  std::vector<named_endpoint> control;
  std::map<std::string, std::vector<named_endpoint>> groups;  ///< Coordinators by group name.
};

/// Reads and validates the settings document. Fails with `kInvalidSettings` and a list of all
/// faults.
result<operator_settings> ReadOperatorSettings(settings_reader& reader);

/// The outcome of sending a change.
enum class send_status {
  kAnswered,        ///< `reply` holds the result.
  kRefused,         ///< The call was rejected; nothing changed.
  kNotAccepted,     ///< No leader with a majority took the change; nothing changed.
  kOutcomeUnknown,  ///< The change was sent, but no reply arrived.
};

struct send_outcome {
  send_status status = send_status::kNotAccepted;
  change_reply reply;
  std::string detail;
};

/// Calls the members of one group, one call at a time. Its methods block, so they must not be
/// called on the thread of an event loop.
class operator_client {
 public:
  /// `leader_timeout` limits the search for a leader.
  operator_client(std::shared_ptr<tls_identity> identity,
                  const std::vector<named_endpoint>& members,
                  std::chrono::milliseconds leader_timeout,
                  const clock_source& clock = SystemClock());

  /// Reads the state from the leader, which confirms its leadership with a majority. Fails with the
  /// last failure when no leader is found within `leader_timeout`.
  rpc_result<show_reply> Show();
  /// Reads the whole configuration, with the same guarantee as `Show`.
  rpc_result<configuration> FetchConfiguration();
  /// Sends a change to the leader. Retries with the same change id after a lost reply, so that the
  /// change is applied at most once.
  send_outcome Send(const change_request& request);

  /// Returns the state of the group as each member reports it, by member name. The role of an
  /// unreachable member is empty.
  std::map<std::string, member_reply> ListMembers();
  /// Sends a membership change to the leader without retries. After `kNotLeader` nothing has
  /// changed; after `kTimeout`, `kUnreachable` and `kNotAccepted` the outcome is unknown.
  rpc_result<member_reply> ChangeMembers(const member_request& request);

 private:
  template <class Reply, class Request>
  rpc_result<Reply> CallOnce(const std::string& method,
                             const Request& request,
                             std::chrono::milliseconds timeout) {
    std::promise<rpc_result<Reply>> promise;
    channels_[current_channel_]->Call<Reply>(
        method, request, timeout,
        [&promise](rpc_result<Reply> reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
  }
  /// Selects the member that reports itself as leader. Returns false when there is none within
  /// `leader_timeout_`.
  bool FindGroupLeader();
  /// Selects the member that `failure` names as leader, or waits and selects the next one in order.
  void SelectNextMember(const rpc_failure& failure);

  io_loop loop_;
  const clock_source& clock_;
  const std::chrono::milliseconds leader_timeout_;
  std::vector<std::unique_ptr<rpc_channel>> channels_;
  std::size_t current_channel_ = 0;
};

}  // namespace corianderhoist
