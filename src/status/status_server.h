/// HTTP endpoint of a process for operators: state dump, metrics and readiness.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <QJsonObject>

#include <functional>
#include <memory>
#include <string>

namespace corianderhoist {

/// Serves `GET /state` (JSON, all sections), `GET /state/<section>`, `GET /metrics` (JSON) and
/// `GET /ready` (200 or 503) with QHttpServer on a dedicated thread. Must only listen on a
/// protected address, because QHttpServer does not limit the size of requests. Sections must not
/// contain secrets.
class status_server {
 public:
  status_server();
  ~status_server();

  /// Adds a section to the state dump. `read` is called on the server's thread for each dump. Must
  /// be called before `Listen`.
  void AddSection(std::string name, std::function<QJsonObject()> read);
  /// Sets the readiness check of `/ready`; without a check the process is always ready.
  void SetReadiness(std::function<bool()> is_ready);

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderhoist
