// Counts of entry VMs with waiting requests on a core VM.
#include "fleet/waiting_table.h"

#include "support/core_group.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const steady_time kStart(std::chrono::hours(1));

// Guards against VMs that are counted after they have stopped, frozen or lost contact: they would
// keep a part of the capacity unused.
const test_table kSilence("waiting table", "silent reporters are not counted", [] {
  waiting_table table;
  table.Update("vm1", {{"orders", 1}}, kStart);
  table.Update("core2", {{"orders", 3}, {"reads", 2}}, kStart);
  table.Update("core2", {{"orders", 4}}, kStart + seconds(2));
  CPPUNIT_ASSERT((table.Sums() == std::vector<service_waiting>{{"orders", 5}}));
  table.Expire(seconds(3), kStart + seconds(4));
  CPPUNIT_ASSERT((table.Sums() == std::vector<service_waiting>{{"orders", 4}}));
  table.Update("vm2", {{"orders", 1, 2, 0}}, kStart + seconds(4));  // Of a lower rank.
  CPPUNIT_ASSERT(
      (table.Sums() == std::vector<service_waiting>{{"orders", 4}, {"orders", 1, 2, 0}}));
  table.Update("vm2", {}, kStart + seconds(4));
  table.Update("core2", {}, kStart + seconds(4));
  CPPUNIT_ASSERT(table.Sums().empty());
});

// Guards against an answer to every VM for each VM that begins or ends to wait.
const test_table kSteps("waiting table", "published in coarse steps", [] {
  waiting_table table;
  table.Update("core2", {{"orders", 5}}, kStart);
  CPPUNIT_ASSERT_EQUAL(8U, table.CoarseSums(kStart).at(0).vms);
  table.Update("core2", {{"orders", 9}}, kStart + milliseconds(249));
  CPPUNIT_ASSERT_EQUAL(8U, table.CoarseSums(kStart + milliseconds(249)).at(0).vms);
  CPPUNIT_ASSERT_EQUAL(16U, table.CoarseSums(kStart + milliseconds(250)).at(0).vms);
});

// Guards against counts that do not reach the entry VMs of another core VM, or stay there after the
// VM has stopped reporting.
const test_table kPublished("waiting table", "counts reach other core VMs and expire there", [] {
  core_group group;
  for (int number = 1; number <= 3; ++number) {
    group.Start(number, true);
  }
  group.WaitUntilOrThrow("a leader", [&] { return group.Leader() != 0; });
  watch_request watch;
  watch.vm = "entry-2";
  const auto waiting_at_2 = [&] {
    const watch_reply reply = group.WatchAt(2, watch);
    return reply.limits.empty() ? std::vector<service_waiting>() : reply.limits.front().waiting;
  };
  report_request report;
  report.vm = "entry-1";
  report.waiting = {{"orders", 1, 2, 3}};
  group.WaitUntilOrThrow("the count at core VM 2", [&] {
    group.ReportAt(1, report);
    return waiting_at_2() == report.waiting;
  });
  group.WaitUntilOrThrow("its expiry", [&] { return waiting_at_2().empty(); });
});

}  // namespace
}  // namespace corianderhoist
