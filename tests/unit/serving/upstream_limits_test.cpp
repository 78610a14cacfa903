// Limits that upstreams state: the VMs together stay within them without asking each other, use
// most of them, and return to full use when an upstream states none any more.
#include "serving/upstream_limits.h"

#include "fleet/upstream_health_table.h"
#include "support/test_table.h"

#include <deque>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr upstream_handle kUpstream = 7;
constexpr milliseconds kJudgedWindow(4000);

watch_reply ReplyWithLimit(std::uint64_t per_kilosecond, std::uint32_t active_vms) {
  watch_reply reply;
  reply.core_incarnation = 1;
  reply.changes.index = 1;
  upstream_entry entry;
  entry.handle = kUpstream;
  entry.id = "u";
  entry.address = "10.0.0.1:80";
  entry.service = "s";
  entry.state = upstream_state::kReady;
  reply.changes.upstreams = {entry};
  upstream_condition condition;
  condition.upstream = kUpstream;
  condition.limit_per_kilosecond = per_kilosecond;
  reply.conditions = {condition};
  shared_limits limits;
  limits.active_vms = active_vms;
  reply.limits = {limits};
  return reply;
}

result<serving_policy> DecodeNothing(std::string_view) {
  return Fail(error_kind::kInvalidRules, "no policy in this test");
}

struct fleet_case {
  std::string name;
  std::uint64_t per_kilosecond;
  std::uint32_t vms;
  milliseconds interval;  ///< Between two requests of a VM.
  double min_used;        ///< Part of the limit that is used.
};

const test_table kFleet(
    "upstream limit",
    std::vector<fleet_case>{
        {"half a request a second, 44 VMs", 500, 44, milliseconds(50), 0.4},
        {"one request a second, 44 VMs", 1000, 44, milliseconds(50), 0.45},
        {"one request a second, 98 VMs", 1000, 98, milliseconds(50), 0.45},
        {"two requests a second, 32 VMs", 2000, 32, milliseconds(50), 0.45},
        {"7.4 requests a second, 44 VMs", 7400, 44, milliseconds(50), 0.45},
        {"50 requests a second, 44 VMs", 50'000, 44, milliseconds(50), 0.45},
        {"50 requests a second, 3 VMs", 50'000, 3, milliseconds(5), 0.4},
        {"two requests a second, 44 VMs with few requests", 2000, 44, milliseconds(700), 0.3},
        {"a limit of nothing still lets the end of the limit be heard", 0, 44, milliseconds(50), 0},
    },
    std::function([](const fleet_case& row) {
      constexpr milliseconds kStep(5);
      constexpr milliseconds kDuration(120'000);
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        manual_clock clock;
        fleet_view view(DecodeNothing);
        view.Apply(ReplyWithLimit(std::max<std::uint64_t>(row.per_kilosecond, 1), row.vms),
                   clock.Now(), clock.Now());
        std::vector<upstream_limits> vms;
        for (std::uint32_t i = 0; i < row.vms; ++i) {
          vms.emplace_back(view, clock, seed * 1000 + i);
        }
        const double per_second = static_cast<double>(row.per_kilosecond) / 1000;
        const double bound =
            1.5 * per_second * std::chrono::duration<double>(kJudgedWindow).count() + 5;
        std::deque<steady_time> sent;
        std::size_t total = 0;
        const steady_time begin = clock.Now();
        std::int64_t step = 0;
        while (clock.Now() - begin < kDuration) {
          clock.Advance(kStep);
          ++step;
          const std::int64_t steps_per_request = row.interval / kStep;
          for (std::size_t i = 0; i < vms.size(); ++i) {
            const bool has_request =
                (step + static_cast<std::int64_t>(i * 37)) % steps_per_request == 0;
            if (has_request && vms[i].MaySend(kUpstream)) {
              CPPUNIT_ASSERT(vms[i].TakeSlot(kUpstream));
              CPPUNIT_ASSERT(!vms[i].TakeSlot(kUpstream));
              CPPUNIT_ASSERT(vms[i].TimeUntilOpen(kUpstream) > milliseconds(0));
              sent.push_back(clock.Now());
              ++total;
            }
          }
          while (!sent.empty() && clock.Now() - sent.front() >= kJudgedWindow) {
            sent.pop_front();
          }
          CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                     std::to_string(sent.size()) + " in a window, allowed " +
                                     std::to_string(bound),
                                 static_cast<double>(sent.size()) <= bound);
        }
        const double allowed = per_second * std::chrono::duration<double>(kDuration).count();
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(total) +
                                   " of " + std::to_string(allowed),
                               static_cast<double>(total) >= row.min_used * allowed && total > 0);
      }
    }));

struct hearing_case {
  std::string name;
  std::uint64_t shared;                     ///< Limit that the core VMs state; 0 for none.
  std::optional<std::uint64_t> own;         ///< Limit that this VM has heard.
  milliseconds age;                         ///< Since it heard that.
  bool has_core;                            ///< A core VM replied just now.
  std::optional<std::uint64_t> then_heard;  ///< In a further answer, if `has_further_answer`.
  bool has_further_answer;
  std::optional<std::uint64_t> expected;
};

const test_table kHearing(
    "upstream limit",
    std::vector<hearing_case>{
        {"no limit", 0, std::nullopt, {}, true, std::nullopt, false, std::nullopt},
        {"a limit that others heard is obeyed",
         4000,
         std::nullopt,
         {},
         true,
         std::nullopt,
         false,
         4000},
        {"an own limit is obeyed before others know it", 0, 3000, milliseconds(100), true,
         std::nullopt, false, 3000},
        {"an own limit that others have seen end is dropped", 0, 3000, milliseconds(3000), true,
         std::nullopt, false, std::nullopt},
        {"an own limit is kept while no core VM replies", 0, 3000, milliseconds(60'000), false,
         std::nullopt, false, 3000},
        {"an answer without a limit ends the own one", 0, 3000, milliseconds(100), true,
         std::nullopt, true, std::nullopt},
        {"an answer with another limit replaces it", 0, 3000, milliseconds(100), true, 5000, true,
         5000},
    },
    std::function([](const hearing_case& row) {
      manual_clock clock;
      fleet_view view(DecodeNothing);
      view.Apply(ReplyWithLimit(row.shared, 44), clock.Now(), clock.Now());
      upstream_limits limits(view, clock, 1);
      if (row.own) {
        CPPUNIT_ASSERT(limits.Note(kUpstream, row.own));
      }
      clock.Advance(row.age);
      if (row.has_core) {
        view.Apply(ReplyWithLimit(row.shared, 44), clock.Now(), clock.Now());
      }
      if (row.has_further_answer) {
        CPPUNIT_ASSERT_MESSAGE("the core VMs are told", limits.Note(kUpstream, row.then_heard));
      }
      CPPUNIT_ASSERT(limits.LimitOf(kUpstream) == row.expected);
      if (!row.expected) {
        CPPUNIT_ASSERT(limits.TakeSlot(kUpstream) && limits.TakeSlot(kUpstream));
      }
    }));

const test_table kEnded("upstream limit", "an answer from before the limit does not end it", [] {
  manual_clock clock;
  upstream_health_table table(milliseconds(1500), clock.Now());
  const auto limit = [&] {
    table.RefreshObserved(clock.Now());
    return table.ChangedSince(0).front().limit_per_kilosecond;
  };
  table.SetLimit(kUpstream, 2000, clock.Now());
  clock.Advance(milliseconds(100));
  table.SetLimit(kUpstream, 0, clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2000), limit());
  clock.Advance(milliseconds(2000));
  table.SetLimit(kUpstream, 0, clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), limit());
});

}  // namespace
}  // namespace corianderhoist
