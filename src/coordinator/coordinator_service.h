/// A coordinator with its RPC server, replicated log and status endpoint.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coordinator/coordinator_settings.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <memory>

namespace corianderhoist {

/// Serves the coordinator's RPC methods as a member of the region's consensus group.
class coordinator_service {
 public:
  coordinator_service(coordinator_settings settings, const clock_source& clock);
  ~coordinator_service();

  struct ports {
    std::uint16_t rpc = 0;
    std::uint16_t status = 0;
  };
  /// Reads the log, opens the ports and starts serving. Fails with `kInvalidSettings`,
  /// `kUnreachable`, `kStorageFailed` or `kStorageDamaged`.
  result<ports> Start();

  /// Stops making decisions. The process may exit after `kDrainTime`, when pending replies have
  /// been sent. Requests wait at the entry VMs for the next leader.
  void StartDrain();

  QJsonObject Dump() const;

  static constexpr std::chrono::milliseconds kDrainTime{300};

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace corianderhoist
