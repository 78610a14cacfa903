/// One run of a scenario under one policy, and what it measured.
#pragma once

#include "experiment/scenario.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

enum class policy_kind { kFleet, kRoundRobin, kConsecutiveErrors };

/// Name for tables.
std::string PolicyName(policy_kind kind);

/// What one workspace saw of its requests within rate and burst.
struct workspace_measure {
  std::uint64_t in_rate = 0;
  std::uint64_t served_in_time = 0;  ///< Status below 500 within 1 s of the arrival.
  std::uint64_t refused = 0;
  std::uint64_t over_rate = 0;  ///< Requests beyond rate and burst; not part of the others.
  bool is_noisy = false;        ///< Sends a multiple of its rate in this scenario.
};

struct run_measure {
  /// From the start of the fault until half of the entry VMs of its region send the sick upstream
  /// no work.
  std::optional<std::chrono::milliseconds> detection;
  bool has_sick_upstream = false;
  std::uint64_t wrong_ejections =
      0;  ///< Begun by any VM against an upstream neither sick nor down.
  std::uint64_t floor_violations = 0;  ///< Ejections after which a place was below its floor.
  std::uint64_t doubles = 0;           ///< Orders that ran more than once.
  std::uint64_t untrue_refusals = 0;   ///< Refused as not run, but run.
  std::uint64_t crashed_upstreams = 0;
  std::map<std::string, workspace_measure> workspaces;
  std::map<std::string, std::uint64_t> refusals;  ///< Of requests within rate, by cause.
  std::vector<std::uint32_t> latencies_us;        ///< Of answers below 500.

  /// Share of the requests within rate served in time, of the workspace with the lowest share. A
  /// workspace that sends more than its rate does not count: which of its requests are within the
  /// rate depends on the order in which the excess is refused.
  double WorstServed() const;
  std::string WorstWorkspace() const;
  /// Share of the requests within rate that were refused; the same workspaces count.
  double WrongfulRefusals() const;
  double P99Milliseconds() const;
};

/// Runs the scenario. The result depends on its arguments only.
run_measure RunScenario(const scenario& plan, policy_kind policy);

}  // namespace corianderhoist
