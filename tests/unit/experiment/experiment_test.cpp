// Tests that runs are reproducible from their seed, that the violation counters detect violations,
// and that the coordinators' decision modules cause no violation in the built-in scenarios.
#include "experiment/experiment_run.h"
#include "experiment/hedge_comparison.h"
#include "experiment/queue_comparison.h"
#include "experiment/rate_comparison.h"
#include "experiment/scarcity_comparison.h"
#include "experiment/sim_service.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::seconds;

scenario FindBuiltIn(const std::string& name) {
  for (const std::string& text : BuiltInScenarios()) {
    scenario read = Expect([&] { return ParseScenario(text); });
    if (read.name == name) {
      return read;
    }
  }
  throw std::runtime_error("no scenario " + name);
}

struct invariant_row {
  std::string name;
  bool has_faulty_upstream;
};

// Guards against decisions under a fault that eject healthy upstreams, go below the floor, run
// non-idempotent requests twice or refuse requests as not run that have run.
const test_table kInvariants("experiment",
                             std::vector<invariant_row>{{"none", false},
                                                        {"gray", true},
                                                        {"slow", true},
                                                        {"flapping", true},
                                                        {"lying load", false},
                                                        {"cold start wave", false},
                                                        {"shedding", false},
                                                        {"bad link", false},
                                                        {"region cut", false},
                                                        {"noisy workspace", false},
                                                        {"crashing request", false},
                                                        {"gray and noisy", true},
                                                        {"gray and bad link", true}},
                             std::function([](const invariant_row& row) {
                               const run_measure measure =
                                   RunScenario(FindBuiltIn(row.name), policy_kind::kFleet);
                               CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measure.wrong_ejections);
                               CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measure.floor_violations);
                               CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measure.doubles);
                               CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measure.untrue_refusals);
                               CPPUNIT_ASSERT_EQUAL(row.has_faulty_upstream,
                                                    measure.detection.has_value());
                             }));

const test_table kSeed("experiment_run", "equal_seeds_give_equal_results", [] {
  scenario plan = FindBuiltIn("gray");
  plan.duration = seconds(30);
  const run_measure first = RunScenario(plan, policy_kind::kFleet);
  const run_measure second = RunScenario(plan, policy_kind::kFleet);
  CPPUNIT_ASSERT(first.latencies_us == second.latencies_us);
  CPPUNIT_ASSERT(first.detection == second.detection);
});

// Guards against violation counters that stay at zero under every policy: the baseline must raise
// them.
const test_table kCounters("experiment_run", "baselines_raise_violation_counters", [] {
  const auto kind = policy_kind::kConsecutiveErrors;
  const run_measure crashes = RunScenario(FindBuiltIn("crashing request"), kind);
  CPPUNIT_ASSERT(crashes.floor_violations > 0);
  CPPUNIT_ASSERT(crashes.crashed_upstreams > 2);
  CPPUNIT_ASSERT(RunScenario(FindBuiltIn("bad link"), kind).wrong_ejections > 0);
  CPPUNIT_ASSERT(RunScenario(FindBuiltIn("none"), kind).WrongfulRefusals() > 0.001);
});

const test_table kDuplicateExecution("sim_service", "counts_an_order_that_runs_twice", [] {
  sim_world world(FindBuiltIn("none"));
  sim_service service(world);
  sim_request order;
  order.id = 7;
  order.deadline = world.events.Now() + seconds(1);
  const sim_decision decision{true, 0, "", world.upstreams[0].Id(), error_kind::kInternal};
  service.Run(order, decision, [](attempt_result) {});
  service.Run(order, decision, [](attempt_result) {});
  CPPUNIT_ASSERT(!service.HasRun(7));
  world.events.RunUntil(order.deadline);
  CPPUNIT_ASSERT(service.HasRun(7));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), service.DuplicateExecutions());
});

const test_table kRates("rate_comparison", "no_scheme_of_the_ledger_exceeds_rate_and_burst", [] {
  for (const rate_measure& each : CompareRates(3)) {
    if (each.scheme != rate_scheme::kFixedShares) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), each.violations);
    }
  }
});

// Guards against a queue in which a large workspace starves the small ones.
const test_table kQueues("queue_comparison", "deficit_round_robin_serves_quiet_workspaces", [] {
  for (const queue_measure& each : CompareQueues(3)) {
    if (each.order == queue_order::kDeficitRoundRobin) {
      CPPUNIT_ASSERT(each.worst_served >= 0.99);
    }
  }
});

// Guards against a queue that costs more requests than it helps: priorities are not kept, or
// callers are refused more often than without it.
const test_table kScarcity("scarcity_comparison", "the queue keeps ranks and refuses less", [] {
  const scarcity_measure former = MeasureScarcity(scarcity_policy::kSendAtOnce, 3);
  const scarcity_measure queue = MeasureScarcity(scarcity_policy::kServiceQueue, 3);
  CPPUNIT_ASSERT(queue.in_time_by_workspace[0] > former.in_time_by_workspace[0]);
  CPPUNIT_ASSERT(queue.in_time_by_workspace[0] > queue.in_time_by_workspace[2]);
  CPPUNIT_ASSERT(queue.served > former.served);
  CPPUNIT_ASSERT(queue.refused_twice < former.refused_twice);
  CPPUNIT_ASSERT(queue.sheds_per_request < former.sheds_per_request);
});

const test_table kFaults("scenario", "a_bad_scenario_is_reported_with_its_path", [] {
  const std::string report = Recover(
      []() -> result<std::string> {
        BOOST_LEAF_CHECK(ParseScenario(R"({"name":"x","faults":[{"kind":"grey"}]})"));
        return std::string();
      },
      [](const error& failure) { return failure.detail; });
  CPPUNIT_ASSERT_MESSAGE(report, report.find("'grey' is not one of") != std::string::npos);
});

// Guards against a limit that extra sends exceed, and against hedges that do not shorten the tail.
const test_table kHedges("experiment", "hedges stay within their limit and shorten the tail", [] {
  const std::vector<hedge_measure> measures = CompareHedges(1);
  const hedge_measure& none = measures.front();
  const hedge_measure& most = measures.back();
  CPPUNIT_ASSERT(none.hedges == 0 && none.retries == 0);
  CPPUNIT_ASSERT(most.hedges > 0.05 && most.hedges <= 0.1);
  CPPUNIT_ASSERT(most.p99_ms < 0.8 * none.p99_ms && most.work_ms <= none.work_ms);
});

}  // namespace
}  // namespace corianderhoist
