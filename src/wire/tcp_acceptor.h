/// Accepts TCP connections on a dedicated thread and passes on their descriptors.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "wire/io_loop.h"

#include <QtGlobal>

#include <cstdint>
#include <functional>
#include <memory>

namespace corianderhoist {

/// Passes each accepted descriptor to a callback, which takes ownership and can create the socket
/// on any thread.
class tcp_acceptor {
 public:
  /// `on_descriptor` runs on the acceptor's thread.
  explicit tcp_acceptor(std::function<void(qintptr)> on_descriptor);
  ~tcp_acceptor();

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  /// Closes the port. Established connections, also those not accepted yet, are passed on first.
  void Close();
  bool IsListening() const { return listener_ != nullptr; }

 private:
  class listener;

  std::function<void(qintptr)> on_descriptor_;
  std::unique_ptr<listener> listener_;
  io_loop loop_;
};

}  // namespace corianderhoist
