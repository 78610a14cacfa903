/// The operators' HTTP endpoint of a process: state dump, metrics and readiness.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <QJsonObject>

#include <functional>
#include <memory>
#include <string>

namespace corianderhoist {

/// Serves `GET /state` (JSON, all sections), `GET /state/<section>`, `GET /metrics` (JSON) and
/// `GET /ready` (200 or 503) by QHttpServer, on a thread of its own. For a protected address only:
/// QHttpServer has no limits on what a client sends. Sections must not contain secrets.
class status_server {
 public:
  status_server();
  ~status_server();

  /// Adds a section of the dump. `read` is called on the server's thread for each dump. Must be
  /// called before `Listen`.
  void AddSection(std::string name, std::function<QJsonObject()> read);
  /// Sets the check behind `/ready`; without one the process is ready.
  void SetReadiness(std::function<bool()> is_ready);

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderhoist
