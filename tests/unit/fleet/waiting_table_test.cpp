// Counts of entry VMs with waiting requests on a core VM.
#include "fleet/waiting_table.h"

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

}  // namespace
}  // namespace corianderhoist
