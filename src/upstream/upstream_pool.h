/// Idle connections to upstreams, within quotas that hold for the whole process.
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

/// One start of an upstream at an address. Connections are never shared between incarnations.
struct upstream_address {
  std::string upstream;
  std::string incarnation;
  endpoint address;

  auto operator<=>(const upstream_address&) const = default;
};

/// Counts the idle connections of all threads. Thread safe.
class idle_quota {
 public:
  /// Takes a place if fewer than `limit` are taken.
  bool TryTake(const upstream_address& upstream, std::uint32_t limit);
  void GiveBack(const upstream_address& upstream);
  std::size_t Total() const;

 private:
  mutable std::mutex lock_;
  std::map<upstream_address, std::uint32_t> taken_;
};

/// The idle connections of one thread, on which it must be used and destroyed.
class upstream_pool {
 public:
  explicit upstream_pool(idle_quota& quota, const clock_source& clock = SystemClock())
      : quota_(quota), clock_(clock) {}
  ~upstream_pool();
  upstream_pool(const upstream_pool&) = delete;
  upstream_pool& operator=(const upstream_pool&) = delete;

  /// Returns a connection that is open and has no unread byte, or null.
  std::unique_ptr<QTcpSocket> Take(const upstream_address& upstream);
  /// Keeps a connection after a clean answer, or closes it when `limit` is reached.
  void Put(const upstream_address& upstream,
           std::unique_ptr<QTcpSocket> socket,
           std::uint32_t limit);
  /// Closes connections that have been idle for too long.
  void Sweep();

 private:
  struct idle_connection {
    std::unique_ptr<QTcpSocket> socket;
    steady_time since;
  };
  void Discard(const upstream_address& upstream, std::unique_ptr<QTcpSocket> socket);

  idle_quota& quota_;
  const clock_source& clock_;
  std::map<upstream_address, std::vector<idle_connection>> idle_;
};

}  // namespace corianderhoist
