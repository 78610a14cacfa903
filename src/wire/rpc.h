/// Remote procedure calls between the processes of the fleet: one HTTP/2 stream (nghttp2) per call
/// over a connection with mutual TLS. The path is `/v1/<method>`, bodies are CBOR messages.
///
/// Without a `tls_identity`, connections are plain TCP, peers are not authenticated and roles are
/// not checked. This mode is for networks that only the fleet's own machines can reach.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "wire/body_compression.h"
#include "wire/codec.h"
#include "wire/io_loop.h"
#include "wire/tls_identity.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace corianderhoist {

/// A failed call. If the kind is `kNotLeader`, `leader` names the member to call instead. After
/// `kUnreachable` and `kTimeout`, the call may or may not have been executed.
struct rpc_failure {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::string leader;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.kind);
    visit(2, self.detail);
    visit(3, self.leader);
  }
};

/// The value of a call or its failure.
template <class Message>
using rpc_result = std::variant<Message, rpc_failure>;

/// Receives the result of one call. Must be called exactly once, from any thread.
template <class Message>
using rpc_callback = std::function<void(rpc_result<Message>)>;

/// Information about the caller of a handler.
struct rpc_context {
  peer_identity peer;  ///< Empty on plain connections.
};

/// Accepts calls. Handlers run concurrently on the server's threads.
class rpc_server {
 public:
  using raw_handler =
      std::function<void(const rpc_context&, std::string_view body, rpc_callback<std::string>)>;

  /// Connections are distributed over `thread_count` threads.
  rpc_server(std::shared_ptr<tls_identity> identity, int thread_count);
  ~rpc_server();

  /// Registers a handler for callers with one of `roles`; others receive `kForbidden`. Must be
  /// called before `Listen`.
  void Register(std::string method, std::set<std::string> roles, raw_handler handler);

  /// Like `Register`, with typed messages. The handler is called as `handler(const rpc_context&,
  /// Request, rpc_callback<Reply>)`.
  template <wire_message Request, wire_message Reply, class Handler>
  void Handle(std::string method, std::set<std::string> roles, Handler handler) {
    Register(std::move(method), std::move(roles),
             [handler = std::move(handler)](const rpc_context& context, std::string_view body,
                                            rpc_callback<std::string> respond) {
               Recover(
                   [&]() -> result<void> {
                     BOOST_LEAF_AUTO(request, Decode<Request>(body));
                     handler(context, std::move(request), EncodeReply<Reply>(respond));
                     return {};
                   },
                   [&](const error& failure) {
                     respond(rpc_failure{failure.kind, failure.detail, {}});
                   });
             });
  }

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  /// Closes the port, sends the answers that have been given, for at most one second, and closes
  /// all connections. Calls that arrive meanwhile are not handled.
  void Close();

 private:
  template <class Reply>
  static rpc_callback<Reply> EncodeReply(rpc_callback<std::string> respond) {
    return [respond = std::move(respond)](rpc_result<Reply> reply) {
      if (auto* failure = std::get_if<rpc_failure>(&reply)) {
        respond(std::move(*failure));
      } else {
        respond(CompressBody(Encode(std::get<Reply>(reply))));
      }
    };
  }

  struct state;
  std::unique_ptr<state> state_;
};

/// Client connection to one process. Connects on the first call and reconnects after a connection
/// loss, with an exponential backoff from 50 ms to `max_backoff`. Calls made without a connection
/// wait for it until their timeout. If a call times out and no byte was received on the connection
/// since it was sent, the connection is closed, because the peer may be unreachable. Thread safe;
/// callbacks run on the thread of `loop`, which must outlive the channel.
class rpc_channel {
 public:
  /// `peer_name` is the VM name that the peer's certificate must contain.
  rpc_channel(io_loop& loop,
              std::shared_ptr<tls_identity> identity,
              endpoint address,
              std::string peer_name,
              std::chrono::milliseconds max_backoff = std::chrono::seconds(1));
  ~rpc_channel();

  /// Calls `method` with an encoded message and passes on the encoded reply.
  void CallRaw(std::string method,
               std::string body,
               std::chrono::milliseconds timeout,
               rpc_callback<std::string> callback);

  template <wire_message Reply, wire_message Request>
  void Call(std::string method,
            const Request& request,
            std::chrono::milliseconds timeout,
            rpc_callback<Reply> callback) {
    CallRaw(std::move(method), Encode(request), timeout,
            [callback = std::move(callback)](rpc_result<std::string> reply) {
              if (auto* failure = std::get_if<rpc_failure>(&reply)) {
                callback(std::move(*failure));
                return;
              }
              callback(Recover(
                  [&]() -> result<rpc_result<Reply>> {
                    BOOST_LEAF_AUTO(body, DecompressBody(std::move(std::get<std::string>(reply))));
                    BOOST_LEAF_AUTO(message, Decode<Reply>(body));
                    return rpc_result<Reply>(std::move(message));
                  },
                  [](const error& failure) {
                    return rpc_result<Reply>(rpc_failure{failure.kind, failure.detail, {}});
                  }));
            });
  }

  const std::string& PeerName() const { return peer_name_; }

 private:
  struct state;
  io_loop& loop_;
  std::string peer_name_;
  std::shared_ptr<state> state_;
};

}  // namespace corianderhoist
