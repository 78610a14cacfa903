// When watch calls are answered. Guards against answers to all VMs at every change of a load: on a
// fleet of 48 entry VMs each got 35 answers a second, and a core VM with 60 of them was full.
#include "fleet/answer_pacing.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

core_versions Current() {
  core_versions current;
  current.incarnation = 7;
  current.policy_version = 3;
  current.roster_index = 20;
  current.limits_revision = 2;
  current.conditions_revision = 90;
  current.has_recent_state = true;
  current.urgent_revisions = {{"dc1", 80}, {"dc2", 90}};
  return current;
}

watch_request Known(const std::string& data_centre) {
  watch_request known;
  known.data_centre = data_centre;
  known.core_incarnation = 7;
  known.policy_version = 3;
  known.roster_index = 20;
  known.limits_revision = 2;
  known.conditions_revision = 90;
  return known;
}

struct news_case {
  std::string name;
  std::string data_centre;
  std::function<void(watch_request&)> change;
  pending_news expected;
};

const test_table kNews(
    "answer pacing",
    std::vector<news_case>{
        {"nothing new", "dc1", [](auto&) {}, pending_news::kNone},
        {"a policy", "dc1", [](auto& known) { known.policy_version = 2; }, pending_news::kUrgent},
        {"a change of the roster", "dc1", [](auto& known) { known.roster_index = 19; },
         pending_news::kUrgent},
        {"limits", "dc1", [](auto& known) { known.limits_revision = 1; }, pending_news::kUrgent},
        {"another incarnation of the core VM", "dc1",
         [](auto& known) { known.core_incarnation = 6; }, pending_news::kUrgent},
        {"a failure in the own data centre", "dc1",
         [](auto& known) { known.conditions_revision = 79; }, pending_news::kUrgent},
        {"a failure in another data centre", "dc1",
         [](auto& known) { known.conditions_revision = 85; }, pending_news::kHints},
        {"a recent state that is awaited", "dc1", [](auto& known) { known.awaits_state = true; },
         pending_news::kUrgent},
        {"an awaited state that is older than the known one", "dc1",
         [](auto& known) {
           known.awaits_state = true;
           known.roster_index = 21;
         },
         pending_news::kNone},
        {"limits that are awaited and not reliable yet", "dc1",
         [](auto& known) { known.awaits_limits = true; }, pending_news::kNone},
        {"loads", "dc3", [](auto& known) { known.conditions_revision = 10; }, pending_news::kHints},
    },
    std::function([](const news_case& row) {
      watch_request known = Known(row.data_centre);
      row.change(known);
      CPPUNIT_ASSERT(NewsFor(known, Current()) == row.expected);
    }));

struct due_case {
  std::string name;
  pending_news news;
  milliseconds waited;
  bool is_due;
};

const test_table kDue(
    "answer pacing",
    std::vector<due_case>{
        {"no news before the hold ends", pending_news::kNone, milliseconds(399), false},
        {"no news at the end of the hold", pending_news::kNone, milliseconds(400), true},
        {"hints before the interval", pending_news::kHints, milliseconds(99), false},
        {"hints after the interval", pending_news::kHints, milliseconds(100), true},
        {"urgent news at once", pending_news::kUrgent, milliseconds(0), true},
    },
    std::function([](const due_case& row) {
      CPPUNIT_ASSERT_EQUAL(row.is_due,
                           IsAnswerDue(row.news, row.waited, milliseconds(100), milliseconds(400)));
    }));

// Each fleet has five core VMs that share its entry VMs.
const test_table kBounds("answer pacing",
                         "answers with hints of a core VM do not grow with the fleet",
                         [] {
                           for (const std::size_t vms : {30U, 100U, 300U, 1000U, 2400U}) {
                             const std::size_t watchers = vms / 5;
                             const auto interval = HintInterval(true, watchers);
                             const double answers_per_second =
                                 static_cast<double>(watchers) /
                                 std::chrono::duration<double>(interval).count();
                             CPPUNIT_ASSERT(answers_per_second <= 301);
                             CPPUNIT_ASSERT_MESSAGE(
                                 "hints of another data centre are at most as frequent",
                                 HintInterval(false, watchers) >= interval);
                           }
                         });

}  // namespace
}  // namespace corianderhoist
