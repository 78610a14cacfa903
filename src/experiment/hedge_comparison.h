/// Compares limits of hedged requests at a service with a few slow upstreams.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

struct hedge_measure {
  std::string rule;
  double p50_ms = 0;  ///< Of the time from the request to its answer.
  double p99_ms = 0;
  double p999_ms = 0;
  double hedges = 0;   ///< Per request: second attempts for slowness.
  double retries = 0;  ///< Per request: second attempts for a missing response.
  double work_ms = 0;  ///< Time of the upstreams per request.
};

/// Simulates 100 upstreams with 4 slots each for 300 s, of which 10 take five times as long as the
/// others (lognormal, mean 100 ms, sigma 0.5), and 20 entry VMs with 400 requests/s together and an
/// objective of 600 ms. Upstreams are drawn at random, since the placement would learn in seconds
/// which ones are slow. Decisions are those of `hedge_policy`, `repeat_budget` and `latency_pool`.
std::vector<hedge_measure> CompareHedges(std::uint32_t seed);

}  // namespace corianderhoist
