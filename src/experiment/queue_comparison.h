/// Two orders in which waiting requests receive slots.
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
  std::string load;         ///< What the large workspace does.
  double worst_served = 1;  ///< Lowest share of a quiet workspace served within 1 s.
  double noisy_served = 1;  ///< Share of the large workspace served within 1 s.
  double quiet_p99_ms = 0;  ///< Longest wait for a slot but for 1 %, of quiet workspaces.
};

/// 16 slots of 25 ms, one large and seven small workspaces at 10 requests/s each. The large one
/// sends all the time either half of the capacity, or 110 % of it, or a burst of 400 requests every
/// 5 s, all within its rate. The queue holds 1024 requests.
std::vector<queue_measure> CompareQueues(std::uint32_t seed);

}  // namespace corianderhoist
