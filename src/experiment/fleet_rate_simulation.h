/// Measures how well a fleet keeps the rates of many workspaces of uneven size, in a simulation of
/// 110 entry VMs in 3 regions with 5 core VMs, and 79 workspaces whose demand follows a power law:
/// 600 requests a second in all, each at a VM drawn at random.
#pragma once

#include "experiment/sim_rate_fleet.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

/// Each begins 5 s after the first request. Rates are 1.6 times the mean demand, bursts equal the
/// rate.
enum class rate_event {
  kNone,
  /// A workspace gets 1.05 times its mean demand: one of four of different size, by the seed.
  kLoweredRate,
  kHotWorkspaces,     ///< Two workspaces send six times their demand.
  kHotAndFrozenCore,  ///< The same, and a core VM is frozen for 7 s from 6 s on.
  kRestartedCores     ///< All core VMs stop; their successors start after 1.5 s.
};

std::string EventName(rate_event event);

struct fleet_rate_measure {
  std::uint64_t requests = 0;
  /// Requests that an ideal limiter admits: it knows the requests of all VMs and admits at most
  /// rate x 5 + burst in any 5 s.
  std::uint64_t within_rate = 0;
  /// Of these, refused; by `rate_refusal`.
  std::array<std::uint64_t, 4> refused{};
  /// The same of the workspaces that send no more than their usual.
  std::uint64_t usual_within_rate = 0;
  std::array<std::uint64_t, 4> usual_refused{};
  /// The same of the workspace whose rate is lowered.
  std::uint64_t lowered_within_rate = 0;
  std::uint64_t lowered_refused = 0;
  /// Admitted requests of workspaces that send six times their demand, and what an ideal limiter
  /// admits of them.
  std::uint64_t hot_admitted = 0;
  std::uint64_t hot_within_rate = 0;
  /// The largest number of requests in 5 s beyond (rate x 5 + burst) x 1.1 + 20; negative while
  /// the bound holds.
  double largest_excess = -1e9;

  std::uint64_t Refused() const;
  std::uint64_t UsualRefused() const;
  /// Adds the counts of another run; keeps the larger excess.
  void Add(const fleet_rate_measure& other);
};

/// Simulates 25 s of demand, which begins 1.5 s after the core VMs have started.
fleet_rate_measure SimulateFleetRates(rate_event event, std::uint64_t seed);

}  // namespace corianderhoist
