// Which upstreams a VM regards as due for a trial, from the pooled conditions.
#include "serving/upstream_tracker.h"

#include "base/clock.h"
#include "support/test_table.h"

#include <optional>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr upstream_handle kUpstream = 7;
constexpr int kVms = 200;

result<serving_policy> DecodeNothing(std::string_view) {
  return Fail(error_kind::kInvalidRules, "no policy in this test");
}

watch_reply ReplyWith(std::uint64_t index, const std::optional<upstream_condition>& condition) {
  watch_reply reply;
  reply.core_incarnation = 1;
  reply.changes.index = index;
  if (condition) {
    upstream_entry entry;
    entry.handle = kUpstream;
    entry.id = "u";
    entry.address = "10.0.0.1:80";
    entry.service = "s";
    entry.data_centre = "here";
    reply.changes.upstreams = {entry};
    reply.conditions = {*condition};
    reply.conditions.front().upstream = kUpstream;
  }
  return reply;
}

struct new_upstream_case {
  std::string name;
  upstream_condition condition;
  milliseconds known_for;
  bool is_due;  ///< At one VM or more.
};

// Guards against trials of a new upstream by every VM until one succeeds. Seen on a start with 216
// upstreams: 209 trials of the first two seconds failed at upstreams that were known to fail.
const test_table kNewUpstream(
    "trial of an upstream that was added after the start of the VM",
    std::vector<new_upstream_case>{
        {"it failed its first trial", {.failing = 220}, milliseconds(4000), false},
        {"a trial is due",
         {.failing = 64, .trial = upstream_trial::kForAny},
         milliseconds(4000),
         true},
        {"a trial is due, it is still cold",
         {.failing = 64, .trial = upstream_trial::kForAny},
         milliseconds(1000),
         false},
        {"another VM has just sent a trial", {.failing = 64}, milliseconds(4000), false},
    },
    std::function([](const new_upstream_case& row) {
      int due = 0;
      for (int i = 0; i < kVms; ++i) {
        manual_clock clock;
        fleet_view view(DecodeNothing);
        io_loop loop("test");
        fleet_link link(loop, {}, view, clock);
        const vm_place place{"here", "region", {{"here", "region"}}};
        upstream_tracker tracker(view, link, place, "vm" + std::to_string(i), clock);
        view.Apply(ReplyWith(1, std::nullopt), clock.Now(), clock.Now());
        view.Apply(ReplyWith(2, row.condition), clock.Now(), clock.Now());
        clock.Advance(row.known_for);
        due += tracker.CandidateOf(*view.Find(kUpstream), false).is_trial_due ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(row.is_due, due > 0);
    }));

}  // namespace
}  // namespace corianderhoist
