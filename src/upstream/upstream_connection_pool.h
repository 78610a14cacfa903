/// Pool of idle connections to upstreams, with limits that apply to the whole process.
#pragma once

#include "base/clock.h"
#include "base/endpoint.h"

#include <QTcpSocket>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace corianderhoist {

/// Address of one incarnation of an upstream. Incarnations never share connections.
struct upstream_address {
  std::string upstream;
  std::string incarnation;
  endpoint address;

  auto operator<=>(const upstream_address&) const = default;
};

/// Limits the idle connections per upstream over all threads. Thread safe.
class idle_connection_quota {
 public:
  /// Reserves an idle connection to `upstream` if fewer than `limit` are reserved.
  bool TryReserve(const upstream_address& upstream, std::uint32_t limit);
  void Release(const upstream_address& upstream);
  std::size_t Total() const;

 private:
  mutable std::mutex lock_;
  std::map<upstream_address, std::uint32_t> reserved_;
};

/// Idle connections of one thread. Must be used and destroyed on that thread.
class upstream_connection_pool {
 public:
  explicit upstream_connection_pool(idle_connection_quota& quota,
                                    const clock_source& clock = SystemClock())
      : quota_(quota), clock_(clock) {}
  ~upstream_connection_pool();
  upstream_connection_pool(const upstream_connection_pool&) = delete;
  upstream_connection_pool& operator=(const upstream_connection_pool&) = delete;

  /// Returns an open connection without unread bytes, or null.
  std::unique_ptr<QTcpSocket> Take(const upstream_address& upstream);
  /// Keeps a connection after a complete answer, or closes it when `limit` is reached.
  void Put(const upstream_address& upstream,
           std::unique_ptr<QTcpSocket> socket,
           std::uint32_t limit);
  /// Closes connections that have been idle for more than one second.
  void Sweep();

 private:
  struct idle_connection {
    std::unique_ptr<QTcpSocket> socket;
    steady_time since;
  };
  void Discard(const upstream_address& upstream, std::unique_ptr<QTcpSocket> socket);

  idle_connection_quota& quota_;
  const clock_source& clock_;
  std::map<upstream_address, std::vector<idle_connection>> idle_;
};

}  // namespace corianderhoist
