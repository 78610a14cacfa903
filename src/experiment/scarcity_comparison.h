/// Compares what entry VMs do with requests for which there is no capacity.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class scarcity_policy {
  kSendAtOnce,            ///< To the least loaded upstream, as without a queue.
  kFirstComeFirstServed,  ///< Requests wait on the VM in order of arrival.
  kServiceQueue,          ///< Requests wait in the VM's `service_queues`.
};

std::string PolicyName(scarcity_policy policy);

/// Shares are of all callers' requests of the burst, with their repeated attempts.
struct scarcity_measure {
  scarcity_policy policy = scarcity_policy::kSendAtOnce;
  std::array<double, 2> in_time_by_route{};      ///< Served within the objective, by priority.
  std::array<double, 3> in_time_by_workspace{};  ///< The same, by priority of the workspace.
  double served = 0;                             ///< In time or late.
  double worst_served = 1;  ///< Lowest such share of a workspace with at least 20 requests.
  double refused_once = 0;  ///< Refused at least once.
  double refused_twice = 0;
  double sheds_per_request = 0;  ///< Attempts that an upstream refused for load.
};

/// Simulates 110 VMs before 16 upstreams of 4 slots with a mean response time of 250 ms; 5 of the
/// upstreams take three times as long. 79 workspaces of three priorities send requests of two
/// routes, 50/s of priority 0 and 100/s of priority 1, the latter 200/s for 10 s. An upstream
/// queues 8 requests and sheds others. VMs know the running requests as of 60 to 160 ms before. A
/// refused caller returns up to twice, when it is told to.
scarcity_measure MeasureScarcity(scarcity_policy policy, std::uint32_t seed);

/// Measures all policies, each as the mean over `runs` seeds from `seed` on.
std::vector<scarcity_measure> CompareScarcity(std::uint32_t seed, int runs);

}  // namespace corianderhoist
