/// Accepts TCP connections on a thread of its own and hands out their descriptors.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "wire/io_loop.h"

#include <QtGlobal>

#include <cstdint>
#include <functional>
#include <memory>

namespace corianderhoist {

/// The receiver of a descriptor owns it and can create the socket on whatever thread serves it.
class tcp_acceptor {
 public:
  /// `on_descriptor` runs on the acceptor's thread.
  explicit tcp_acceptor(std::function<void(qintptr)> on_descriptor);
  ~tcp_acceptor();

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  /// Closes the port. Connections that were handed out stay open.
  void Close();
  bool IsListening() const { return listener_ != nullptr; }

 private:
  class listener;

  std::function<void(qintptr)> on_descriptor_;
  std::unique_ptr<listener> listener_;
  io_loop loop_;
};

}  // namespace corianderhoist
