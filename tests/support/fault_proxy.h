/// A TCP proxy that injects network faults into one link, per direction and at run time.
#pragma once

#include "base/endpoint.h"
#include "wire/io_loop.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace corianderhoist {

/// Faults of one direction of a link.
struct link_faults {
  std::chrono::milliseconds delay{0};
  bool is_cut = false;  ///< Bytes are buffered, as in a black hole, and forwarded when it ends.
  std::int64_t bytes_per_second = 0;  ///< 0: unlimited.
};

/// Forwards connections to one target. The member functions are thread safe; the sockets live on
/// the thread of `loop`, which must outlive the proxy.
class fault_proxy {
 public:
  fault_proxy(io_loop& loop, endpoint target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Opens a port and returns it, 0 on failure.
  std::uint16_t Listen(const endpoint& address);
  std::uint16_t Port() const { return port_; }

  /// Sets the faults of the direction from the connecting side to the target.
  void SetForward(link_faults faults);
  /// Sets the faults of the direction from the target to the connecting side.
  void SetBackward(link_faults faults);
  /// Cuts both directions.
  void Cut();
  /// Removes the faults of both directions.
  void Heal();
  /// While true, new connections are accepted and reset at once.
  void SetRefusing(bool is_refusing);
  /// Closes all connections, with FIN or with RST.
  void CloseConnections(bool by_reset);
  /// Bytes forwarded so far in both directions.
  std::uint64_t ForwardedBytes();

 private:
  class connection;
  void Accept();

  io_loop& loop_;
  const endpoint target_;
  std::uint16_t port_ = 0;
  // Accessed on the thread of the loop only.
  std::unique_ptr<QTcpServer> server_;
  std::map<connection*, std::unique_ptr<connection>> connections_;
  link_faults forward_;
  link_faults backward_;
  bool is_refusing_ = false;
  std::uint64_t bytes_ = 0;
};

}  // namespace corianderhoist
