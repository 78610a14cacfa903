/// Long polls of entry VMs for the region's configuration.
#pragma once

#include "base/clock.h"
#include "coordinator/region_state.h"
#include "wire/rpc.h"

#include <mutex>
#include <vector>

namespace corianderhoist {

/// Answers `config.fetch` from the copy of this member, leader or not: an entry VM's copy is a
/// cache, which the coordinator checks at each decision. Thread safe.
class config_publisher {
 public:
  config_publisher(const region_state& state, const clock_source& clock)
      : state_(state), clock_(clock) {}

  void Fetch(const config_fetch_request& request, rpc_callback<config_fetch_reply> reply);
  /// Answers all waiting calls that now have something newer, and those whose time has passed.
  void Publish();
  /// Answers all waiting calls.
  void Close();

 private:
  struct waiter {
    std::uint64_t after_version;
    steady_time until;
    rpc_callback<config_fetch_reply> reply;
  };

  const region_state& state_;
  const clock_source& clock_;
  std::mutex lock_;
  std::vector<waiter> waiters_;
};

}  // namespace corianderhoist
