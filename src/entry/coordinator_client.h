/// RPC client for the coordinator group of one region, which follows the group's leader.
#pragma once

#include "base/clock.h"
#include "entry/entry_settings.h"
#include "wire/rpc.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace corianderhoist {

/// Must be used and destroyed on the thread of its loop.
class coordinator_client {
 public:
  /// Parameters of a call, which may take several tries at several members.
  struct call {
    std::string method;
    std::function<std::string()> encode;    ///< Encodes the body; called for each try.
    std::chrono::milliseconds try_timeout;  ///< Maximum time to wait for one member.
    steady_time deadline;                   ///< Deadline of the call, over all tries.
  };
  /// Receives the result and the time at which the answered try was sent.
  template <class Reply>
  using callback = std::function<void(rpc_result<Reply>, steady_time sent_at)>;

  coordinator_client(io_loop& loop,
                     std::shared_ptr<tls_identity> identity,
                     const coordinator_group& group,
                     const clock_source& clock = SystemClock());
  ~coordinator_client();

  /// Follows `kNotLeader` and tries the next member when one cannot be reached. Calls must be
  /// idempotent. Fails with `kCoordinatorUnavailable` at the deadline.
  template <wire_message Reply>
  void Call(call spec, callback<Reply> done) {
    CallRaw(std::move(spec),
            [done = std::move(done)](rpc_result<std::string> reply, steady_time sent_at) {
              if (auto* failure = std::get_if<rpc_failure>(&reply)) {
                done(std::move(*failure), sent_at);
                return;
              }
              done(Recover(
                       [&]() -> result<rpc_result<Reply>> {
                         BOOST_LEAF_AUTO(message, Decode<Reply>(std::get<std::string>(reply)));
                         return rpc_result<Reply>(std::move(message));
                       },
                       [](const error& failure) {
                         return rpc_result<Reply>(rpc_failure{failure.kind, failure.detail, {}});
                       }),
                   sent_at);
            });
  }

  /// Like `Call`, but passes on the encoded reply.
  void CallRaw(call spec, callback<std::string> done);

  /// The last known leader, or the member to try next when the leader is unknown.
  const std::string& LikelyLeader() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderhoist
