/// The operator's side of control's methods: finds the leader and sends a change safely.
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

/// Connection data of an operator.
struct operator_settings {
  tls_files tls;
  std::vector<named_endpoint> control;
  std::map<std::string, std::vector<named_endpoint>> groups;  ///< Coordinators, by group name.
};

/// Reads and checks the whole document. Fails with `kInvalidSettings` and all faults.
result<operator_settings> ReadOperatorSettings(settings_reader& reader);

/// How the sending of a change ended.
enum class send_status {
  kAnswered,        ///< `reply` holds the result.
  kRefused,         ///< The call was refused; nothing changed.
  kNotAccepted,     ///< No leader with a majority was found; nothing was sent.
  kOutcomeUnknown,  ///< Sent, and not answered.
};

struct send_outcome {
  send_status status = send_status::kNotAccepted;
  change_reply reply;
  std::string detail;
};

/// Calls the members of one group, one call at a time. Blocks; not for the thread of an event loop.
class operator_client {
 public:
  /// `patience` is the time to look for a leader.
  operator_client(std::shared_ptr<tls_identity> identity,
                  const std::vector<named_endpoint>& members,
                  std::chrono::milliseconds patience,
                  const clock_source& clock = SystemClock());

  /// Asks the leader for the state that a majority confirms. Fails with the last cause when no
  /// leader is found in time.
  rpc_result<show_reply> Show();
  /// The configuration that a majority confirms.
  rpc_result<configuration> FetchConfiguration();
  /// Sends a change to the leader, again with the same id after a lost answer.
  send_outcome Send(const change_request& request);

  /// The view of each member by name; an unreachable one has an empty role.
  std::map<std::string, member_reply> ListMembers();
  /// Sends a membership change to the leader, once. `kNotLeader`: nothing changed; `kTimeout`,
  /// `kUnreachable` and `kNotAccepted` leave the outcome open.
  rpc_result<member_reply> ChangeMembers(const member_request& request);

 private:
  template <class Reply, class Request>
  rpc_result<Reply> CallOnce(const std::string& method,
                             const Request& request,
                             std::chrono::milliseconds timeout) {
    std::promise<rpc_result<Reply>> promise;
    channels_[current_]->Call<Reply>(method, request, timeout, [&promise](rpc_result<Reply> reply) {
      promise.set_value(std::move(reply));
    });
    return promise.get_future().get();
  }
  bool FindGroupLeader();
  /// Goes to the member that `failure` names as leader, or to the next one after a pause.
  void Advance(const rpc_failure& failure);

  io_loop loop_;
  const clock_source& clock_;
  const std::chrono::milliseconds patience_;
  std::vector<std::unique_ptr<rpc_channel>> channels_;
  std::size_t current_ = 0;
};

}  // namespace corianderhoist
