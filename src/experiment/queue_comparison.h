/// Compares queueing disciplines for requests that wait for a slot.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class queue_order {
  kFirstComeFirstServed,
  kDeficitRoundRobin,  ///< The coordinator's `fair_queue`.
};

std::string OrderName(queue_order order);

struct queue_measure {
  queue_order order = queue_order::kFirstComeFirstServed;
  std::string load;         ///< Load of the large workspace.
  double worst_served = 1;  ///< Lowest share served within 1 s of any small workspace.
  double noisy_served = 1;  ///< Share served within 1 s of the large workspace.
  double quiet_p99_ms = 0;  ///< 99th percentile of the wait for a slot, small workspaces only.
};

/// Simulates 16 slots with a mean service time of 25 ms, one large workspace and seven small ones
/// at 10 requests/s each. The large one sends 50 % of the capacity, 110 % of it, or 30 % plus a
/// burst of 400 requests every 5 s, all within its rate. The queue holds 1024 requests.
std::vector<queue_measure> CompareQueues(std::uint32_t seed);

}  // namespace corianderhoist
