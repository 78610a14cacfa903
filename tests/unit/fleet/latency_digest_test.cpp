// Quantiles of pooled response times, and what slow attempts that were cancelled say.
#include "fleet/latency_digest.h"

#include "fleet/upstream_health_table.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<latency_counts> Counts(const std::string& service,
                                   std::uint64_t fast,
                                   std::uint64_t slow) {
  return {
      {service,
       {{LatencyBucketOf(milliseconds(100)), fast}, {LatencyBucketOf(milliseconds(2000)), slow}}}};
}

// Guards against response times that are attributed to a bucket below them.
const test_table kBuckets("latency digest", "a bucket ends at or after the times in it", [] {
  for (const int time_ms : {0, 1, 2, 3, 99, 100, 1000, 59'999, 60'000, 1'000'000}) {
    const std::uint32_t bucket = LatencyBucketOf(milliseconds(time_ms));
    const service_digest digest{"s", std::vector<std::uint32_t>(8, bucket)};
    const auto end = TimeExceededBy(0.05, digest);
    CPPUNIT_ASSERT(bucket < kLatencyBuckets);
    CPPUNIT_ASSERT(time_ms > 65'536 || end + std::chrono::microseconds(1) >= milliseconds(time_ms));
    CPPUNIT_ASSERT(time_ms <= 1 || end < milliseconds(time_ms) * 1.2);
  }
});

struct quantile_case {
  std::string name;
  std::uint64_t fast;
  std::uint64_t slow;
  double share;
  int min_ms;
  int max_ms;
};

// Guards against a delay within the times of most responses, or after the slow ones.
const test_table kQuantiles("latency digest",
                            std::vector<quantile_case>{
                                {"few slow responses", 990, 10, 0.05, 90, 120},
                                {"a share of slow responses above the limit", 900, 100, 0.05, 1700,
                                 2200},
                                {"too few responses", 99, 0, 0.05, 0, 0},
                            },
                            std::function([](const quantile_case& row) {
                              manual_clock clock;
                              latency_pool pool(clock.Now());
                              pool.Add(Counts("s", row.fast, row.slow), clock.Now());
                              const auto published = pool.Publish(clock.Now());
                              CPPUNIT_ASSERT_EQUAL(row.max_ms == 0, published.empty());
                              if (!published.empty()) {
                                const auto time = TimeExceededBy(row.share, published.front());
                                CPPUNIT_ASSERT(time >= milliseconds(row.min_ms));
                                CPPUNIT_ASSERT(time <= milliseconds(row.max_ms));
                              }
                            }));

// Guards against news for every VM with each response, and against a digest that keeps old times.
const test_table kPublication("latency digest", "a digest changes slowly and is forgotten", [] {
  manual_clock clock;
  latency_pool pool(clock.Now());
  pool.Add(Counts("s", 1000, 0), clock.Now());
  const auto first = pool.Publish(clock.Now());
  pool.Add(Counts("s", 0, 1000), clock.Now());
  clock.Advance(milliseconds(999));
  CPPUNIT_ASSERT(pool.Publish(clock.Now()) == first);
  clock.Advance(milliseconds(1));
  CPPUNIT_ASSERT(pool.Publish(clock.Now()) != first);
  for (int i = 0; i < 80; ++i) {
    clock.Advance(seconds(1));
    pool.Add(Counts("s", 1000, 0), clock.Now());
    pool.Publish(clock.Now());
  }
  CPPUNIT_ASSERT(TimeExceededBy(0.01, pool.Publish(clock.Now()).at(0)) < milliseconds(120));
  clock.Advance(seconds(31));
  CPPUNIT_ASSERT(pool.Publish(clock.Now()).empty());
});

// Guards against state that grows with the number of services.
const test_table kBound("latency digest", "the least used services are dropped", [] {
  manual_clock clock;
  latency_pool pool(clock.Now());
  for (std::size_t i = 0; i < 3 * kMaxDigestServices; ++i) {
    pool.Add(Counts("s" + std::to_string(i), 100 + i, 0), clock.Now());
  }
  const auto published = pool.Publish(clock.Now());
  CPPUNIT_ASSERT_EQUAL(kMaxDigestServices, published.size());
  CPPUNIT_ASSERT(std::none_of(published.begin(), published.end(),
                              [](const service_digest& each) { return each.service == "s0"; }));
});

// Guards against an upstream that loses all races and still looks as fast as the others, or that
// counts as failing because it was cancelled.
const test_table kLostRaces("upstream health", "an upstream that loses races looks slower", [] {
  manual_clock clock;
  upstream_health_table table(milliseconds(1500), clock.Now());
  const auto latency_of = [&](upstream_handle upstream) {
    table.Refresh(clock.Now());
    for (const upstream_condition& each : table.ChangedSince(0)) {
      if (each.upstream == upstream) {
        CPPUNIT_ASSERT(each.failing < 64);
        return each.relative_latency;
      }
    }
    return 0U;
  };
  for (int i = 0; i < 20; ++i) {
    table.Observe({1, attempt_evidence::kGood, 30}, clock.Now());
    table.Observe({2, attempt_evidence::kGood, 30}, clock.Now());
  }
  table.ObserveLostRace({1, 10}, clock.Now());  // It would have been slower, by an unknown time.
  CPPUNIT_ASSERT(latency_of(1) >= latency_of(2));
  for (int i = 0; i < 10; ++i) {
    table.ObserveLostRace({1, 45}, clock.Now());
  }
  CPPUNIT_ASSERT(latency_of(1) > 3 * latency_of(2));
  for (int i = 0; i < 40; ++i) {
    table.Observe({1, attempt_evidence::kGood, 30}, clock.Now());
  }
  CPPUNIT_ASSERT(latency_of(1) < 40);
});

}  // namespace
}  // namespace corianderhoist
