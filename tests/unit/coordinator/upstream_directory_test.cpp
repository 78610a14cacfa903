// Tests the state that the upstream directory keeps of an incarnation.
#include "coordinator/upstream_directory.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

// Guards against a cold-start allowance that passes while the upstream is still starting: slow
// answers after the start then counted as failures and healthy upstreams were ejected.
const test_table kReadySince("upstream_directory", "warm_up_begins_when_the_upstream_is_ready", [] {
  upstream_directory directory;
  const steady_time start(std::chrono::hours(1));
  announcement update;
  update.upstream = "upstream-1";
  update.incarnation = "1";
  update.state = upstream_state::kStarting;
  directory.Announce(update, start);
  update.state = upstream_state::kReady;
  directory.Announce(update, start + std::chrono::seconds(5));
  directory.Announce(update, start + std::chrono::seconds(6));
  const upstream_entry* entry = directory.Find({"upstream-1", "1"});
  CPPUNIT_ASSERT(entry != nullptr);
  CPPUNIT_ASSERT(entry->first_seen == start);
  CPPUNIT_ASSERT(entry->ready_since == start + std::chrono::seconds(5));
});

}  // namespace
}  // namespace corianderhoist
