#include "soak/fault_schedule.h"
#include "support/test_table.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace corianderhoist::soak {
namespace {

constexpr run_time kBegin{1000};
constexpr run_time kEnd{61'000};

const test_table kEqual("soak schedule", "is equal for equal seeds", [] {
  const auto kinds = ParseFaultKinds("all");
  CPPUNIT_ASSERT(DrawSchedule(7, kinds, kBegin, kEnd) == DrawSchedule(7, kinds, kBegin, kEnd));
  CPPUNIT_ASSERT(DrawSchedule(7, kinds, kBegin, kEnd) != DrawSchedule(8, kinds, kBegin, kEnd));
});

const test_table kCovered("soak schedule", "draws every kind, in order and within the time", [] {
  std::set<fault_kind> seen;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const auto schedule = DrawSchedule(seed, ParseFaultKinds("all"), kBegin, kEnd);
    CPPUNIT_ASSERT(std::is_sorted(schedule.begin(), schedule.end(),
                                  [](const scheduled_fault& left, const scheduled_fault& right) {
                                    return left.begin < right.begin;
                                  }));
    for (const scheduled_fault& each : schedule) {
      CPPUNIT_ASSERT(each.begin >= kBegin && each.begin < kEnd);
      CPPUNIT_ASSERT(each.duration >= TraitsOf(each.kind).shortest &&
                     each.duration <= TraitsOf(each.kind).longest);
      seen.insert(each.kind);
    }
  }
  CPPUNIT_ASSERT_EQUAL(AllFaults().size(), seen.size());
});

const test_table kOrdered("soak schedule", "traits are in the order of the enumeration", [] {
  for (const fault_traits& each : AllFaults()) {
    CPPUNIT_ASSERT(TraitsOf(each.kind).name == each.name);
  }
});

const test_table kUnknown("soak schedule", "unknown kind is refused", [] {
  CPPUNIT_ASSERT_THROW(ParseFaultKinds("stop-entry,nap"), std::invalid_argument);
});

}  // namespace
}  // namespace corianderhoist::soak
