// Priority of the causes of repeats when the budget is low.
#include "serving/repeat_budget.h"
#include "serving/hedge_policy.h"

#include "support/test_table.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr repeat_bound kBound{0.2, milliseconds(10'000), 56};
constexpr std::uint32_t kVms = 32;

struct cause_case {
  std::string name;
  repeat_cause cause;
  bool is_budget_low;
  bool expected;
};

const test_table kCauses("repeat budget by cause",
                         std::vector<cause_case>{
                             {"a failure", repeat_cause::kFailure, false, true},
                             {"a late response", repeat_cause::kSlowness, false, true},
                             {"a failure, low budget", repeat_cause::kFailure, true, true},
                             {"a late response, low budget", repeat_cause::kSlowness, true, false},
                         },
                         std::function([](const cause_case& row) {
                           manual_clock clock;
                           repeat_budget budget(kBound, clock);
                           for (int i = 0; i < 20; ++i) {
                             budget.CountRequest("s");
                           }
                           CPPUNIT_ASSERT_EQUAL(
                               row.expected,
                               budget.TryTake("s", row.cause, row.is_budget_low, kVms));
                         }));

// Hedged requests must not use up the budget that retries need. At first 14 % of the requests fail
// and 20 % are late, like reads of the ledger on gamg-hoist with upstreams that fail most requests.
const test_table kPriority(
    "repeat budget by cause",
    "failures are repeated in spite of many late responses",
    [] {
      manual_clock clock;
      std::vector<repeat_budget> budgets(kVms, repeat_budget(kBound, clock));
      std::vector<hedge_policy> hedges(kVms, hedge_policy({}, kBound, clock));
      usage_ledger ledger;
      std::mt19937_64 random(1);  // Distributes connections unevenly over the VMs.
      int failures = 0;
      int repeated = 0;
      constexpr int kRequests = 30 * 20;  // 20 per second for 30 s.
      for (int i = 0; i < kRequests; ++i) {
        clock.Advance(milliseconds(50));
        const steady_time now = clock.Now();
        const bool is_budget_low = IsRepeatBudgetLow(ledger.UsageOf("s", kBound, now), kBound);
        const std::size_t vm = random() % budgets.size();
        repeat_budget& own = budgets[vm];
        own.CountRequest("s");
        hedges[vm].CountRequest("s", "r");
        std::uint64_t taken = 0;
        if (i % 5 == 0) {
          slow_request slow{"s", "r", repeat_cause::kSlowness, true};
          slow.is_budget_low = is_budget_low;
          const bool is_taken = !hedges[vm].TryTake(slow) &&
                                own.TryTake("s", repeat_cause::kSlowness, is_budget_low, kVms);
          taken += is_taken ? 1 : 0;
        }
        if (i % 7 == 0) {
          ++failures;
          const bool is_taken = own.TryTake("s", repeat_cause::kFailure, is_budget_low, kVms);
          repeated += is_taken ? 1 : 0;
          taken += is_taken ? 1 : 0;
        }
        ledger.CountService("s", 1, taken, 0, now);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(repeated) + " of " + std::to_string(failures),
                             repeated >= 0.95 * failures);
    });

}  // namespace
}  // namespace corianderhoist
