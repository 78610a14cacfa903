#include "experiment/sim_world.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace corianderhoist {
namespace {

constexpr int kDataCentresPerRegion = 2;
constexpr double kRateLimitHeadroomFactor = 1.25;
constexpr double kMisreportedLoad = 1.0;
// Share of the callers that the load balancer sends to an entry VM of their own region.
constexpr double kHomeRegionCallerShare = 0.98;

struct workspace_spec {
  const char* name;
  int home_region;
  int second_region;     // Further allowed region, -1 for none.
  double traffic_share;  // Of the region's traffic.
  int connections;  // Few in small workspaces, so their requests are spread unevenly over the VMs.
};

constexpr std::array<workspace_spec, 8> kWorkspaces = {{{"large-1", 0, -1, 0.71, 120},
                                                        {"medium-1", 0, 1, 0.23, 40},
                                                        {"small-1", 0, -1, 0.06, 6},
                                                        {"large-2", 1, -1, 0.71, 120},
                                                        {"medium-2", 1, 2, 0.23, 40},
                                                        {"small-2", 1, -1, 0.06, 6},
                                                        {"large-3", 2, -1, 0.71, 120},
                                                        {"medium-3", 2, 0, 0.29, 30}}};

std::size_t ChooseEntryVm(const std::vector<int>& vm_regions, int home, std::mt19937_64& random) {
  std::uniform_int_distribution<std::size_t> any(0, vm_regions.size() - 1);
  const bool is_local = std::uniform_real_distribution<>(0, 1)(random) < kHomeRegionCallerShare;
  std::size_t vm = any(random);
  while (is_local && vm_regions[vm] != home) {
    vm = any(random);
  }
  return vm;
}

sim_workspace MakeWorkspace(const workspace_spec& spec, double region_rate) {
  sim_workspace workspace;
  workspace.name = spec.name;
  workspace.regions.push_back(spec.home_region);
  if (spec.second_region >= 0) {
    workspace.regions.push_back(spec.second_region);
  }
  for (const int region : workspace.regions) {
    workspace.places.push_back({SimRegionName(region), {}});
  }
  workspace.mean_rate = region_rate * spec.traffic_share;
  workspace.limit.rate_per_second =
      static_cast<std::uint64_t>(std::ceil(workspace.mean_rate * kRateLimitHeadroomFactor));
  workspace.limit.burst = workspace.limit.rate_per_second;
  return workspace;
}

}  // namespace

std::string SimRegionName(int region) {
  constexpr std::array<const char*, kSimRegions> kNames = {"centre", "west", "east"};
  return kNames.at(static_cast<std::size_t>(region));
}

announcement sim_upstream::MakeAnnouncement() const {
  announcement message;
  message.upstream = name;
  message.incarnation = std::to_string(incarnation);
  message.started_at_ms = incarnation;
  message.service = "orders";
  message.region = SimRegionName(region);
  message.data_centre = message.region + '-' + std::to_string(data_centre);
  message.address = "10.0.0." + name.substr(name.size() - 2) + ":80";
  message.slots = slots;
  message.state = state;
  return message;
}

sim_world::sim_world(const scenario& scenario_plan)
    : plan(scenario_plan), started(events.Now()), service_random(scenario_plan.seed * 2ULL + 1) {
  for (int i = 0; i < plan.upstreams; ++i) {
    sim_upstream upstream;
    upstream.name = "upstream-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    upstream.region = i % kSimRegions;
    upstream.data_centre = 1 + i / kSimRegions % kDataCentresPerRegion;
    upstream.slots = static_cast<std::uint32_t>(plan.slots);
    upstreams.push_back(upstream);
  }
  for (int i = 0; i < plan.entry_vms; ++i) {
    vm_regions.push_back(i % kSimRegions);
  }
  const double slots_of_region = double(plan.upstreams) * plan.slots / kSimRegions;
  const double service_s = std::chrono::duration<double>(plan.service_time).count();
  const double region_rate = slots_of_region / service_s * plan.load_percent / 100;
  std::mt19937_64 random(scenario_plan.seed);
  for (const workspace_spec& spec : kWorkspaces) {
    workspaces.push_back(MakeWorkspace(spec, region_rate));
    workspaces.back().local_share =
        kHomeRegionCallerShare + (1 - kHomeRegionCallerShare) / kSimRegions;
    for (int i = 0; i < spec.connections; ++i) {
      workspaces.back().connections.push_back(ChooseEntryVm(vm_regions, spec.home_region, random));
    }
  }
}

const scenario_fault* sim_world::ActiveFault(fault_kind kind, int target) const {
  const auto age = events.Now() - started;
  for (const scenario_fault& fault : plan.faults) {
    if (fault.kind == kind && age >= fault.start && age < fault.end &&
        (target < 0 || fault.target == target)) {
      return &fault;
    }
  }
  return nullptr;
}

bool sim_world::IsPartitioned(int from_region, int to_region) const {
  if (from_region == to_region) {
    return false;
  }
  return ActiveFault(fault_kind::kRegionCut, from_region) != nullptr ||
         ActiveFault(fault_kind::kRegionCut, to_region) != nullptr;
}

std::chrono::milliseconds sim_world::LinkLatency(int from_region, int to_region) const {
  return from_region == to_region ? kIntraRegionLatency : kInterRegionLatency;
}

bool sim_world::IsAffected(const scenario_fault& fault, std::size_t upstream) const {
  // Affects whole groups of one upstream per region, so that every region has the same share.
  const std::size_t group = upstream / kSimRegions;
  const std::size_t groups = upstreams.size() / kSimRegions;
  return group * 100 < groups * static_cast<std::size_t>(fault.percent);
}

bool sim_world::IsFaulty(std::size_t upstream) const {
  const int index = static_cast<int>(upstream);
  return ActiveFault(fault_kind::kGray, index) != nullptr ||
         ActiveFault(fault_kind::kSlow, index) != nullptr ||
         ActiveFault(fault_kind::kFlapping, index) != nullptr;
}

double sim_world::ReportedLoad(std::size_t upstream) const {
  const scenario_fault* fault = ActiveFault(fault_kind::kLyingLoad);
  if (fault != nullptr && IsAffected(*fault, upstream)) {
    return kMisreportedLoad;
  }
  return double(upstreams[upstream].running) / upstreams[upstream].slots;
}

bool sim_world::SampleBernoulli(double probability) {
  return std::uniform_real_distribution<>(0, 1)(service_random) < probability;
}

}  // namespace corianderhoist
