/// An entry VM: threads, ports, connections to the coordinators, and shutdown.
#pragma once

#include "base/error.h"
#include "entry/entry_settings.h"
#include "wire/daemon.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace corianderhoist {

/// Used on the main thread, whose event loop must run.
class entry_vm {
 public:
  /// `on_stopped` is called once the shutdown has ended.
  entry_vm(entry_settings settings, std::function<void(exit_code)> on_stopped);
  ~entry_vm();
  entry_vm(const entry_vm&) = delete;
  entry_vm& operator=(const entry_vm&) = delete;

  /// Opens all ports and logs them. Fails with `kInvalidSettings` or `kUnreachable`.
  result<void> Start();
  /// Starts the graceful shutdown; a second call ends the remaining requests at once.
  void Shutdown();

  std::uint16_t CallersPort() const;
  std::uint16_t AnnouncementsPort() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderhoist
