// When the first attempt of a request may be risked at an upstream that is likely to fail.
#include "serving/upstream_selection.h"

#include "support/test_table.h"

namespace corianderhoist {
namespace {

struct prospect_case {
  std::string name;
  repeat_prospect prospect;
  bool may_fail;
};

// Guards against attempts at failing upstreams without a repeat to follow. Seen while the repeat
// budget of a service was low: 267 of 2,876 requests ended with the failure of their only attempt.
const test_table kProspect(
    "a failure that a repeat can repair",
    std::vector<prospect_case>{
        {"idempotent", {.is_idempotent = true, .allowed_runs = 2}, true},
        {"not idempotent", {.is_idempotent = false, .allowed_runs = 2}, false},
        {"a repeat", {.is_idempotent = true, .is_repeat = true, .allowed_runs = 3}, false},
        {"the last run", {.is_idempotent = true, .possible_runs = 1, .allowed_runs = 2}, false},
        {"one of three runs used",
         {.is_idempotent = true, .possible_runs = 1, .allowed_runs = 3},
         true},
        {"the repeat budget is low",
         {.is_idempotent = true, .allowed_runs = 2, .is_budget_low = true},
         false},
    },
    std::function([](const prospect_case& row) {
      CPPUNIT_ASSERT_EQUAL(row.may_fail, MayFail(row.prospect));
    }));

}  // namespace
}  // namespace corianderhoist
