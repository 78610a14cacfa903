/// Accepts callers' connections and distributes them over event loops.
#pragma once

#include "base/endpoint.h"
#include "http/caller_connection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace corianderhoist {

/// Thread-safe. The loops must outlive the server.
class caller_server {
 public:
  /// Called on the thread of `loops[index]`, one request at a time per connection.
  using handler =
      std::function<void(std::size_t index, http_request, std::shared_ptr<answer_sink>)>;

  caller_server(std::vector<io_loop*> loops,
                caller_limits limits,
                std::optional<QSslConfiguration> tls,
                handler on_request);
  ~caller_server();

  /// Checks headers before bodies are read. Must be called before `Listen`.
  void SetHeadCheck(std::function<result<void>(const http_request&)> check);
  /// Starts listening and returns the port. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  /// Adds `Connection: close` to all further answers.
  void AnnounceClose();
  /// Closes the port and all idle connections. Call it again for connections that become idle.
  void StopAccepting();
  /// Refuses all requests that have not been read completely.
  void RefuseIncomplete(const error& failure);
  /// Resets all connections.
  void AbortAll();
  std::size_t ConnectionCount() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderhoist
