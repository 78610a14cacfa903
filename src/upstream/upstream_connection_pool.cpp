#include "upstream/upstream_connection_pool.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace corianderhoist {
namespace {

// Upstreams close idle connections after a few seconds. A close that coincides with a request looks
// like a crash, so connections are reused only shortly after their last answer.
constexpr std::chrono::milliseconds kMaxIdleTime(1000);

bool IsUsable(const QTcpSocket& socket) {
  return socket.state() == QAbstractSocket::ConnectedState && socket.bytesAvailable() == 0;
}

}  // namespace

bool idle_connection_quota::TryReserve(const upstream_address& upstream, std::uint32_t limit) {
  const std::lock_guard guard(lock_);
  std::uint32_t& reserved = reserved_[upstream];
  if (reserved >= limit) {
    if (reserved == 0) {
      reserved_.erase(upstream);
    }
    return false;
  }
  ++reserved;
  return true;
}

void idle_connection_quota::Release(const upstream_address& upstream) {
  const std::lock_guard guard(lock_);
  const auto found = reserved_.find(upstream);
  if (found != reserved_.end() && --found->second == 0) {
    reserved_.erase(found);
  }
}

std::size_t idle_connection_quota::Total() const {
  const std::lock_guard guard(lock_);
  std::size_t total = 0;
  for (const auto& [upstream, count] : reserved_) {
    total += count;
  }
  return total;
}

upstream_connection_pool::~upstream_connection_pool() {
  for (auto& [upstream, connections] : idle_) {
    for (idle_connection& each : connections) {
      Discard(upstream, std::move(each.socket));
    }
  }
}

std::unique_ptr<QTcpSocket> upstream_connection_pool::Take(const upstream_address& upstream) {
  const auto found = idle_.find(upstream);
  if (found == idle_.end()) {
    return nullptr;
  }
  const auto oldest = clock_.Now() - kMaxIdleTime;
  std::vector<idle_connection>& connections = found->second;
  while (!connections.empty()) {
    idle_connection last = std::move(connections.back());
    connections.pop_back();
    if (last.since >= oldest && IsUsable(*last.socket)) {
      quota_.Release(upstream);
      return std::move(last.socket);
    }
    Discard(upstream, std::move(last.socket));
  }
  idle_.erase(found);
  return nullptr;
}

void upstream_connection_pool::Put(const upstream_address& upstream,
                                   std::unique_ptr<QTcpSocket> socket,
                                   std::uint32_t limit) {
  if (!IsUsable(*socket) || !quota_.TryReserve(upstream, limit)) {
    socket.release()->deleteLater();
    return;
  }
  idle_[upstream].push_back({std::move(socket), clock_.Now()});
}

void upstream_connection_pool::Sweep() {
  const auto oldest = clock_.Now() - kMaxIdleTime;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& [upstream, connections] = *entry;
    auto first_expired = std::stable_partition(
        connections.begin(), connections.end(), [oldest](const idle_connection& each) {
          return each.since >= oldest && IsUsable(*each.socket);
        });
    for (auto each = first_expired; each != connections.end(); ++each) {
      Discard(upstream, std::move(each->socket));
    }
    connections.erase(first_expired, connections.end());
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

void upstream_connection_pool::Discard(const upstream_address& upstream,
                                       std::unique_ptr<QTcpSocket> socket) {
  quota_.Release(upstream);
  socket->abort();
}

}  // namespace corianderhoist
