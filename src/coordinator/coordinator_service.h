/// A coordinator with its network, log and status endpoint.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coordinator/coordinator_settings.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <memory>

namespace corianderhoist {

/// Serves the coordinator's methods and takes part in the region's group.
class coordinator_service {
 public:
  coordinator_service(coordinator_settings settings, const clock_source& clock);
  ~coordinator_service();

  struct ports {
    std::uint16_t rpc = 0;
    std::uint16_t status = 0;
  };
  /// Reads the log, opens the ports and starts. Fails with `kInvalidSettings`, `kUnreachable`,
  /// `kStorageFailed` or `kStorageDamaged`.
  result<ports> Start();

  /// Stops deciding. The process may end after `kDrainTime`, when the answers on their way have
  /// been sent; callers' requests wait at the entry VMs for the next leader.
  void StartDrain();

  QJsonObject Dump() const;

  static constexpr std::chrono::milliseconds kDrainTime{300};

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderhoist
