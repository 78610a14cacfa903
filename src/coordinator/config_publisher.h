/// Serves the region's configuration to long polls of entry VMs.
#pragma once

#include "base/clock.h"
#include "coordinator/region_state.h"
#include "wire/rpc.h"

#include <mutex>
#include <vector>

namespace corianderhoist {

/// Answers `config.fetch` from this member's copy, whether it is the leader or not. A stale copy is
/// safe, because the leader checks the entry VM's version at each decision. Thread safe.
class config_publisher {
 public:
  config_publisher(const region_state& state, const clock_source& clock)
      : state_(state), clock_(clock) {}

  void Fetch(const config_fetch_request& request, rpc_callback<config_fetch_reply> reply);
  /// Answers the waiting calls for which a newer version exists, and those whose wait has expired.
  void Publish();
  /// Answers all waiting calls.
  void Close();

 private:
  struct waiter {
    std::uint64_t after_version;
    steady_time deadline;
    rpc_callback<config_fetch_reply> reply;
  };

  const region_state& state_;
  const clock_source& clock_;
  std::mutex lock_;
  std::vector<waiter> waiters_;
};

}  // namespace corianderhoist
