#include "experiment/sim_world.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace corianderhoist {
namespace {

constexpr int kDataCentres = 2;
constexpr double kRateHeadroom = 1.25;
constexpr double kLyingLoad = 1.0;
// The balancer sends nearly all callers to an entry VM of their own region.
constexpr double kLocalShare = 0.98;

struct workspace_shape {
  const char* name;
  int home;
  int second;       // Further allowed region, -1 for none.
  double share;     // Of the region's traffic.
  int connections;  // Small workspaces have few callers, so their requests are spread unevenly.
};

constexpr std::array<workspace_shape, 8> kWorkspaces = {{{"large-1", 0, -1, 0.71, 120},
                                                         {"medium-1", 0, 1, 0.23, 40},
                                                         {"small-1", 0, -1, 0.06, 6},
                                                         {"large-2", 1, -1, 0.71, 120},
                                                         {"medium-2", 1, 2, 0.23, 40},
                                                         {"small-2", 1, -1, 0.06, 6},
                                                         {"large-3", 2, -1, 0.71, 120},
                                                         {"medium-3", 2, 0, 0.29, 30}}};

std::size_t ChooseVm(const std::vector<int>& vm_regions, int home, std::mt19937_64& random) {
  std::uniform_int_distribution<std::size_t> any(0, vm_regions.size() - 1);
  const bool is_local = std::uniform_real_distribution<>(0, 1)(random) < kLocalShare;
  std::size_t vm = any(random);
  while (is_local && vm_regions[vm] != home) {
    vm = any(random);
  }
  return vm;
}

sim_workspace MakeWorkspace(const workspace_shape& shape, double region_rate) {
  sim_workspace made;
  made.name = shape.name;
  made.regions.push_back(shape.home);
  if (shape.second >= 0) {
    made.regions.push_back(shape.second);
  }
  for (const int region : made.regions) {
    made.places.push_back({SimRegionName(region), {}});
  }
  made.mean_rate = region_rate * shape.share;
  made.limit.rate_per_second =
      static_cast<std::uint64_t>(std::ceil(made.mean_rate * kRateHeadroom));
  made.limit.burst = made.limit.rate_per_second;
  return made;
}

}  // namespace

std::string SimRegionName(int region) {
  constexpr std::array<const char*, kSimRegions> kNames = {"centre", "west", "east"};
  return kNames.at(static_cast<std::size_t>(region));
}

announcement sim_upstream::Announce() const {
  announcement news;
  news.upstream = name;
  news.incarnation = std::to_string(incarnation);
  news.started_at_ms = incarnation;
  news.service = "orders";
  news.region = SimRegionName(region);
  news.data_centre = news.region + '-' + std::to_string(data_centre);
  news.address = "10.0.0." + name.substr(name.size() - 2) + ":80";
  news.slots = slots;
  news.state = state;
  return news;
}

sim_world::sim_world(const scenario& planned)
    : plan(planned), started(events.Now()), service_random(planned.seed * 2ULL + 1) {
  for (int i = 0; i < plan.upstreams; ++i) {
    sim_upstream made;
    made.name = "upstream-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    made.region = i % kSimRegions;
    made.data_centre = 1 + i / kSimRegions % kDataCentres;
    made.slots = static_cast<std::uint32_t>(plan.slots);
    upstreams.push_back(made);
  }
  for (int i = 0; i < plan.entry_vms; ++i) {
    vm_regions.push_back(i % kSimRegions);
  }
  const double slots_of_region = double(plan.upstreams) * plan.slots / kSimRegions;
  const double service_s = std::chrono::duration<double>(plan.service_time).count();
  const double region_rate = slots_of_region / service_s * plan.load_percent / 100;
  std::mt19937_64 random(planned.seed);
  for (const workspace_shape& shape : kWorkspaces) {
    workspaces.push_back(MakeWorkspace(shape, region_rate));
    workspaces.back().local_share = kLocalShare + (1 - kLocalShare) / kSimRegions;
    for (int i = 0; i < shape.connections; ++i) {
      workspaces.back().connections.push_back(ChooseVm(vm_regions, shape.home, random));
    }
  }
}

const scenario_fault* sim_world::Active(fault_kind kind, int target) const {
  const auto age = events.Now() - started;
  for (const scenario_fault& fault : plan.faults) {
    if (fault.kind == kind && age >= fault.start && age < fault.end &&
        (target < 0 || fault.target == target)) {
      return &fault;
    }
  }
  return nullptr;
}

bool sim_world::IsCut(int from_region, int to_region) const {
  if (from_region == to_region) {
    return false;
  }
  return Active(fault_kind::kRegionCut, from_region) != nullptr ||
         Active(fault_kind::kRegionCut, to_region) != nullptr;
}

std::chrono::milliseconds sim_world::Link(int from_region, int to_region) const {
  return from_region == to_region ? kLinkInRegion : kLinkBetweenRegions;
}

bool sim_world::IsHit(const scenario_fault& fault, std::size_t upstream) const {
  // Whole groups of one upstream per region are hit, so that every region has its share.
  const std::size_t group = upstream / kSimRegions;
  const std::size_t groups = upstreams.size() / kSimRegions;
  return group * 100 < groups * static_cast<std::size_t>(fault.percent);
}

bool sim_world::IsSick(std::size_t upstream) const {
  const int index = static_cast<int>(upstream);
  return Active(fault_kind::kGray, index) != nullptr ||
         Active(fault_kind::kSlow, index) != nullptr ||
         Active(fault_kind::kFlapping, index) != nullptr;
}

double sim_world::ReportedLoad(std::size_t upstream) const {
  const scenario_fault* fault = Active(fault_kind::kLyingLoad);
  if (fault != nullptr && IsHit(*fault, upstream)) {
    return kLyingLoad;
  }
  return double(upstreams[upstream].running) / upstreams[upstream].slots;
}

bool sim_world::Chance(double share) {
  return std::uniform_real_distribution<>(0, 1)(service_random) < share;
}

}  // namespace corianderhoist
