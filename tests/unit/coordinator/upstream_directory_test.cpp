// The directory of upstreams: what is known of each life of an upstream.
#include "coordinator/upstream_directory.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

// Guards against a warm-up time that is used up while the upstream is still starting: the cold
// start then counted as sickness and healthy upstreams were ejected.
const test_table kReadySince("upstream_directory", "warm_up_begins_when_the_upstream_is_ready", [] {
  upstream_directory directory;
  const steady_time start(std::chrono::hours(1));
  announcement news;
  news.upstream = "upstream-1";
  news.incarnation = "1";
  news.state = upstream_state::kStarting;
  directory.Announce(news, start);
  news.state = upstream_state::kReady;
  directory.Announce(news, start + std::chrono::seconds(5));
  directory.Announce(news, start + std::chrono::seconds(6));
  const upstream_entry* entry = directory.Find({"upstream-1", "1"});
  CPPUNIT_ASSERT(entry != nullptr);
  CPPUNIT_ASSERT(entry->first_seen == start);
  CPPUNIT_ASSERT(entry->ready_since == start + std::chrono::seconds(5));
});

}  // namespace
}  // namespace corianderhoist
