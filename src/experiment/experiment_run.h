/// Runs a scenario under a policy and collects measurements.
#pragma once

#include "experiment/scenario.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// `kFleet` runs the decisions of the coordinators; the others are baselines in which each entry VM
/// decides alone, without ejections or with ejection after consecutive errors.
enum class policy_kind { kFleet, kRoundRobin, kConsecutiveErrors };

/// The name of the policy in reports.
std::string PolicyName(policy_kind kind);

/// Counts for the requests of one workspace that are within its rate and burst.
struct workspace_measure {
  std::uint64_t in_rate = 0;
  std::uint64_t served_in_time = 0;  ///< Status below 500 within 1 s of the arrival.
  std::uint64_t refused = 0;
  std::uint64_t over_rate = 0;  ///< Requests above rate and burst; excluded from the other counts.
  bool is_noisy = false;        ///< Exceeds its rate in this scenario.
};

struct run_measure {
  /// Time from the start of the fault until half of the entry VMs in the region of the faulty
  /// upstream have ejected it.
  std::optional<std::chrono::milliseconds> detection;
  bool has_faulty_upstream = false;
  /// Ejections, by any VM, of an upstream that was neither faulty nor down.
  std::uint64_t wrong_ejections = 0;
  std::uint64_t floor_violations = 0;  ///< Ejections after which a data centre was below its floor.
  std::uint64_t doubles = 0;           ///< Non-idempotent requests that ran more than once.
  std::uint64_t untrue_refusals = 0;   ///< Requests refused as not run that had run.
  std::uint64_t crashed_upstreams = 0;
  std::map<std::string, workspace_measure> workspaces;
  std::map<std::string, std::uint64_t> refusals;  ///< Of requests within rate, by cause.
  std::vector<std::uint32_t> latencies_us;        ///< Of responses with status below 500.

  /// The lowest share, over all workspaces, of requests within rate that were served in time.
  /// Excludes workspaces that exceed their rate: which of their requests are within the rate
  /// depends on the order in which the excess is refused.
  double WorstServed() const;
  std::string WorstWorkspace() const;
  /// Share of the requests within rate that were refused, over the same workspaces.
  double WrongfulRefusals() const;
  double P99Milliseconds() const;
};

/// Runs the scenario. Deterministic: the result depends on the arguments only.
run_measure RunScenario(const scenario& plan, policy_kind policy);

}  // namespace corianderhoist
