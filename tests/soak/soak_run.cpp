#include "soak/soak_run.h"

#include "soak/fault_injector.h"
#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"
#include "soak/soak_operator.h"
#include "soak/soak_upstreams.h"

#include <array>
#include <cstdio>
#include <memory>
#include <thread>

namespace corianderhoist::soak {
namespace {

constexpr std::size_t kCores = 3;
constexpr run_time kTick{5};
constexpr run_time kCalmBefore{5000};
constexpr run_time kCalmAfter{6000};
constexpr run_time kReadTimeout{20'000};

std::string Stamp(run_time at) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "[%8.3f] ", static_cast<double>(at.count()) / 1000);
  return text.data();
}

std::vector<endpoint> ControlAddresses(soak_fleet& fleet) {
  std::vector<endpoint> addresses;
  for (const auto& core : fleet.Cores()) {
    addresses.push_back(core->Control());
  }
  return addresses;
}

std::vector<entry_addresses> EntryAddresses(soak_fleet& fleet) {
  std::vector<entry_addresses> addresses;
  for (const auto& entry : fleet.Entries()) {
    addresses.push_back({entry->Callers(), entry->Ready()});
  }
  return addresses;
}

}  // namespace

soak_result RunSoak(const soak_plan& plan, const std::function<void(const std::string&)>& print) {
  const promised_bounds bounds;
  const run_clock clock(SystemClock());
  judge verdicts(bounds, [&](const finding& found) {
    print(Stamp(found.at) + "FINDING " + found.rule + " " + found.detail);
  });
  soak_result result;
  // Destroyed in reverse: the processes end before the upstreams, which wait for their peers.
  std::unique_ptr<upstream_group> upstreams;
  soak_fleet fleet(kCores, plan.entries, bounds);
  fleet.StartAll();
  soak_operator keys(plan.seed, clock, verdicts, ControlAddresses(fleet));
  const load_balancer balancer(EntryAddresses(fleet));
  WaitUntilOrThrow("the core accepts a configuration", [&] { return keys.HasConfigured(); });
  upstreams = std::make_unique<upstream_group>(plan.upstreams_per_service, plan.seed, clock,
                                               verdicts, ControlAddresses(fleet));
  WaitUntilOrThrow("all entry VMs and upstreams are ready", [&] {
    return balancer.AreAllReady() && upstreams->AnnouncedCount() == 2 * plan.upstreams_per_service;
  });
  {
    const caller_group callers(plan.callers, plan.seed, clock, verdicts, balancer, keys);
    fault_injector injector(fleet, *upstreams, keys, clock, verdicts, bounds,
                            [&](run_time at, const std::string& text) { print(Stamp(at) + text); });
    const run_time begin = clock.Now() + kCalmBefore;
    const run_time end = begin + plan.length;
    const auto schedule = DrawSchedule(plan.seed, plan.kinds, begin, end);
    std::size_t next = 0;
    run_time calm_since = end;
    while (clock.Now() < calm_since + kCalmAfter) {
      while (next < schedule.size() && schedule[next].begin <= clock.Now()) {
        injector.Apply(schedule[next++]);
      }
      if (injector.Tick()) {
        calm_since = std::max(end, clock.Now());
      }
      std::this_thread::sleep_for(kTick);
    }
  }
  if (!keys.WaitUntilReadable(kReadTimeout)) {
    verdicts.LostConfiguration(clock.Now());
  }
  result.findings = verdicts.Findings();
  result.faults = verdicts.Faults();
  result.summary = verdicts.Summary();
  result.length = clock.Now();
  result.folder = fleet.Folder();
  if (!result.findings.empty()) {
    fleet.KeepFolder();
  }
  return result;
}

}  // namespace corianderhoist::soak
