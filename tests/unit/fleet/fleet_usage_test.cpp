// The usage of a workspace as a core VM knows it, with counts of another region.
#include "fleet/fleet_usage.h"

#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr rate_tolerance kTolerance{milliseconds(5000), 0.1, 20};
constexpr workspace_rate kLimit{20, 20};
constexpr std::uint32_t kOwnVms = 10;
constexpr std::uint32_t kOtherVms = 20;
constexpr milliseconds kStep(100);
constexpr int kSteps = 150;

struct region_case {
  std::string name;
  int own_interval;    ///< Steps between two requests of the own region.
  int other_interval;  ///< The same of the other region.
  int missing_steps;   ///< The counts of the other region of so many last steps have not arrived.
  double min_spent;    ///< In the 4 s that count at the last horizon.
  double max_spent;
};

// A region that has a third of the VMs and half of a workspace's callers made the core VM reckon
// with half as many requests again as there were, so that requests within the rate were refused.
// Without any scaling, a demand that has risen would be seen only when the other counts arrive.
const test_table kRegions(
    "usage of a workspace",
    std::vector<region_case>{
        {"regions alike", 4, 2, 0, 29, 34},
        {"more callers in the own region", 1, 1, 0, 78, 100},
        {"fewer callers in the own region", 4, 1, 0, 49, 52},
        {"counts of the other region are late", 1, 1, 10, 78, 100},
    },
    std::function([](const region_case& row) {
      manual_clock clock;
      fleet_usage usage({"own", kTolerance, {}, milliseconds(5000)}, 1, clock);
      for (int step = 0; step < kSteps; ++step) {
        clock.Advance(kStep);
        for (std::uint32_t vm = 0; vm < kOwnVms; ++vm) {
          watch_request request;
          request.vm = "vm" + std::to_string(vm);
          request.core_incarnation = 1;
          request.policy_version = 1;
          request.hold = milliseconds(400);
          usage.OnWatch(request);
        }
        observations own;
        if (step % row.own_interval == 0) {
          own.workspaces = {{"a", 1, 0, 0}};
        }
        usage.Count(own, /*is_own_region=*/true);
        core_share share;
        share.core = "other";
        share.region = "other";
        share.incarnation = 2;
        share.active_vms = kOtherVms;
        if (step % row.other_interval == 0 && step < kSteps - row.missing_steps) {
          share.seen.workspaces = {{"a", 1, 0, 0}};
        }
        usage.OnShare(share);
        usage.Count(share.seen, /*is_own_region=*/false);
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, usage.FleetToRegionRatio(), 0.01);
      const double spent = usage.UsageOf("a", kLimit).spent.back();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(spent),
                             spent >= row.min_spent && spent <= row.max_spent);
    }));

struct turn_case {
  std::string name;
  bool is_turning;  ///< In the call after the VM has come back.
  bool is_debited;  ///< By the core VM between.
};

// Guards against a VM that counts as silent at a core VM that it has left. Seen when nine of ten
// VMs came back from a cut: 41 were silent for five seconds, and every workspace was refused.
const test_table kTurns(
    "a VM that tries another core VM and comes back",
    std::vector<turn_case>{
        {"the others hear of it", true, false},
        {"the others do not hear of it", false, true},
    },
    std::function([](const turn_case& row) {
      manual_clock clock;
      fleet_usage home({"own", kTolerance, {}, milliseconds(5000)}, 1, clock);
      fleet_usage between({"own", kTolerance, {}, milliseconds(5000)}, 2, clock);
      watch_request request;
      request.vm = "vm";
      request.core_incarnation = 1;
      request.policy_version = 1;
      request.hold = milliseconds(400);
      between.OnWatch(request);  // Its answer is lost.
      report_request report;
      report.vm = "vm";
      report.seen.workspaces = {{"a", 30, 0, 0}};
      between.OnReport(report);
      request.is_turning = row.is_turning;
      core_share share;
      share.core = "home";
      share.region = "own";
      share.incarnation = 1;
      share.arrivals = home.OnWatch(request);
      between.OnShare(share);
      clock.Advance(milliseconds(6000));
      between.Refresh(nullptr, {});
      CPPUNIT_ASSERT_EQUAL(row.is_debited, between.UnreportedBy("a") > 0);
    }));

}  // namespace
}  // namespace corianderhoist
