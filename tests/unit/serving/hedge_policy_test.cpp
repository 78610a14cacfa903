// When a second attempt is sent, how many are sent, and what becomes of the attempt that loses.
#include "serving/hedge_policy.h"

#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <memory>
#include <random>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr repeat_bound kBound{0.2, milliseconds(10'000), 56};
constexpr milliseconds kObjective(600);

slow_request Slow(const std::function<void(slow_request&)>& change = {}) {
  slow_request request{"s", "r", repeat_cause::kSlowness, true};
  if (change) {
    change(request);
  }
  return request;
}

// Guards against a limit that the VMs exceed together: each has few requests, all of them slow.
const test_table kShare("hedge policy", "the hedges of all VMs stay within the share", [] {
  manual_clock clock;
  std::mt19937_64 random(1);
  for (const double share : {0.001, 0.02, 0.05, 0.2}) {
    std::vector<hedge_policy> vms(40, hedge_policy({share, {}, {}}, kBound, clock));
    int hedges = 0;
    for (int requests = 1; requests <= 20'000; ++requests) {
      hedge_policy& vm = vms[random() % vms.size()];
      vm.CountRequest("s", "r");
      hedges += vm.TryTake(Slow()) ? 0 : 1;
      CPPUNIT_ASSERT(hedges <= share * requests + 1e-6);
    }
    CPPUNIT_ASSERT(hedges >= share * 20'000 - 40);
  }
});

// Guards against a change of the rule that applies without a share: one hedge at once, then a
// quarter of the budget ratio per request, two stored.
const test_table kOff("hedge policy",
                      "without a share hedges are limited as a part of the budget",
                      [] {
                        manual_clock clock;
                        hedge_policy policy({}, kBound, clock);
                        policy.CountRequest("s", "r");
                        CPPUNIT_ASSERT(!policy.TryTake(Slow()));
                        CPPUNIT_ASSERT(policy.TryTake(Slow()) == hedge_skip::kLimitReached);
                        for (int i = 0; i < 1000; ++i) {
                          policy.CountRequest("s", "r");
                        }
                        CPPUNIT_ASSERT(!policy.TryTake(Slow()) && !policy.TryTake(Slow()));
                        CPPUNIT_ASSERT(policy.TryTake(Slow()) == hedge_skip::kLimitReached);
                        const hedge_delay delay = policy.DelayFor("s", "r", kObjective, {});
                        CPPUNIT_ASSERT(FirstSlowStep(delay, kObjective) == milliseconds(360));
                      });

struct skip_case {
  std::string name;
  std::function<void(slow_request&)> change;
  std::optional<hedge_skip> with_share;
  std::optional<hedge_skip> without_share;
};

// Guards against a hedge for a request for which the second attempt is useless or harmful.
const test_table kSkips(
    "hedge policy skips",
    std::vector<skip_case>{
        {"nothing", [](auto&) {}, {}, {}},
        {"a request that cannot run twice", [](auto& r) { r.may_repeat = false; },
         hedge_skip::kNotRepeatable, hedge_skip::kNotRepeatable},
        {"a streamed body", [](auto& r) { r.is_body_replayable = false; },
         hedge_skip::kBodyNotReplayed, hedge_skip::kBodyNotReplayed},
        {"two attempts", [](auto& r) { r.running_attempts = 2; }, hedge_skip::kOtherAttempt,
         hedge_skip::kOtherAttempt},
        {"an attempt that is not sent", [](auto& r) { r.is_whole_request_sent = false; },
         hedge_skip::kNotSent, hedge_skip::kNotSent},
        {"a response that has begun", [](auto& r) { r.has_answer_begun = true; },
         hedge_skip::kAnswerBegun, hedge_skip::kAnswerBegun},
        {"a low budget", [](auto& r) { r.is_budget_low = true; }, hedge_skip::kBudgetLow,
         hedge_skip::kBudgetLow},
        {"a drain", [](auto& r) { r.can_end_before_drain = false; }, hedge_skip::kDraining, {}},
        {"a workspace near its rate",
         [](auto& r) { r.admitted_share = 0.99; },
         hedge_skip::kNearRate,
         {}},
        {"full upstreams", [](auto& r) { r.has_free_slot = false; }, hedge_skip::kNoFreeSlot, {}},
        {"a retry, which needs no token",
         [](auto& r) {
           r.cause = repeat_cause::kFailure;
           r.is_budget_low = true;
           r.has_free_slot = false;
         },
         {},
         {}},
    },
    std::function([](const skip_case& row) {
      manual_clock clock;
      for (const double share : {0.05, 0.0}) {
        hedge_policy policy({share, {}, {}}, kBound, clock);
        for (int i = 0; i < 100; ++i) {
          policy.CountRequest("s", "r");
        }
        CPPUNIT_ASSERT(policy.TryTake(Slow(row.change)) ==
                       (share > 0 ? row.with_share : row.without_share));
      }
    }));

struct delay_case {
  std::string name;
  hedge_settings settings;
  milliseconds digest_age;
  int delay_ms;
  hedge_delay_source source;
};

const service_digest kDigest{"s", {26, 28, 30, 32, 34, 36, 38, 40}};  // 2^(30/4) ms = 181 ms.

// Guards against a delay from a digest that is too old, or from the share of another route.
const test_table kDelays(
    "hedge delay",
    std::vector<delay_case>{
        {"off", {}, milliseconds(0), 360, hedge_delay_source::kObjective},
        {"95th percentile", {0.05, {}, {}}, milliseconds(0), 182, hedge_delay_source::kDigest},
        {"between two quantiles",
         {0.07, {}, {}},
         milliseconds(0),
         153,
         hedge_delay_source::kDigest},
        {"an old digest", {0.05, {}, {}}, milliseconds(30'000), 182, hedge_delay_source::kDigest},
        {"a digest that is too old",
         {0.05, {}, {}},
         milliseconds(30'001),
         360,
         hedge_delay_source::kObjective},
        {"the share of the service",
         {0.05, {{"s", 0.1}}, {}},
         milliseconds(0),
         128,
         hedge_delay_source::kDigest},
        {"the share of the route",
         {0.05, {{"s", 0.1}}, {{"r", 0.02}}},
         milliseconds(0),
         256,
         hedge_delay_source::kDigest},
        {"a route that is off",
         {0.05, {}, {{"r", 0}}},
         milliseconds(0),
         360,
         hedge_delay_source::kObjective},
    },
    std::function([](const delay_case& row) {
      manual_clock clock;
      latency_digests digests;
      digests.Confirm({kDigest}, clock.Now());
      clock.Advance(row.digest_age);
      const hedge_policy policy(row.settings, kBound, clock);
      const hedge_delay delay = policy.DelayFor("s", "r", kObjective, digests);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(row.delay_ms), std::int64_t(delay.delay.count()));
      CPPUNIT_ASSERT(delay.source == row.source);
    }));

struct step_case {
  std::string name;
  hedge_delay delay;
  milliseconds taken;
  bool has_no_response;
  bool is_repeat_due;
  repeat_cause cause;
  std::optional<milliseconds> next;
};

constexpr auto kSlowness = repeat_cause::kSlowness;
constexpr auto kFailure = repeat_cause::kFailure;
constexpr auto kByDigest = hedge_delay_source::kDigest;

// Guards against extra sends beyond the share where late responses are usual, and against missing
// retries where they are not.
const test_table kSteps(
    "slow steps",
    std::vector<step_case>{
        {"fixed delay",
         {milliseconds(360)},
         milliseconds(360),
         false,
         true,
         kSlowness,
         milliseconds(181)},
        {"no response", {milliseconds(360)}, milliseconds(541), true, true, kFailure, {}},
        {"no response, fast service",
         {milliseconds(180), kByDigest},
         milliseconds(541),
         true,
         true,
         kFailure,
         {}},
        {"no response, slow service",
         {milliseconds(700), kByDigest},
         milliseconds(541),
         true,
         false,
         kSlowness,
         milliseconds(160)},
        {"late, slow service",
         {milliseconds(700), kByDigest},
         milliseconds(701),
         true,
         true,
         kSlowness,
         {}},
    },
    std::function([](const step_case& row) {
      const slow_step step = SlowStepAt(row.taken, row.delay, kObjective);
      CPPUNIT_ASSERT(step.has_no_response == row.has_no_response);
      CPPUNIT_ASSERT(step.is_repeat_due == row.is_repeat_due);
      CPPUNIT_ASSERT(step.cause == row.cause && step.next == row.next);
    }));

// Guards against connections that are closed although the answer is nearly complete, and against
// lost evidence whether a silent upstream is slow or fails.
const test_table kLosers("hedge policy",
                         "an attempt that loses is cancelled unless it ends soon",
                         [] {
                           CPPUNIT_ASSERT(IsCancelled({false, false, {}, 0}));
                           CPPUNIT_ASSERT(IsCancelled({false, true, {}, 100}));
                           CPPUNIT_ASSERT(IsCancelled({false, true, 100'000, 100}));
                           CPPUNIT_ASSERT(!IsCancelled({false, true, 10'000, 100}));
                           CPPUNIT_ASSERT(!IsCancelled({true, false, {}, 0}));
                         });

std::uint64_t CountedTimes(const observations& seen) {
  std::uint64_t counted = 0;
  for (const latency_counts& service : seen.latencies) {
    for (const bucket_count& each : service.buckets) {
      counted += each.count;
    }
  }
  return counted;
}

// Waits until `condition` holds; at most 5 s.
bool WaitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 500 && !condition(); ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

// Guards against an upstream that runs a request on after another one has answered it, and against
// a cancelled attempt that is reported as a success or a failure.
const test_table
    kWiring("hedging", "a slow attempt is hedged, cancelled and counts as no outcome", [] {
      serving_fixture fixture;
      fixture.SetHedging({0.2, {}, {}});
      std::atomic<bool> has_hung = false;
      const auto script = [&has_hung](const scripted_request& request) {
        return request.Header("X-Attempt-Id") == "last" && !has_hung.exchange(true)
                   ? scripted_answer{"", after_answer::kHang}
                   : scripted_answer{SignedAnswer(request, 200, "ok")};
      };
      const scripted_upstream& first = fixture.Add("u1", "reads", script);
      const scripted_upstream& second = fixture.Add("u2", "reads", script);
      shared_limits limits;
      // 256 ms: a busy machine rarely takes that long, and the tokens allow for one request that
      // does.
      limits.latency_digests.push_back({"reads", std::vector<std::uint32_t>(8, 32)});
      fixture.Core().SetLimits(limits);
      fixture.Start();
      constexpr std::uint64_t kRequests = 12;
      for (std::uint64_t i = 0; i < kRequests; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "id" + std::to_string(i)}).status);
      }
      const auto seen = [&] { return fixture.Core().ReportedObservations(); };
      CPPUNIT_ASSERT(WaitFor([&] { return CountedTimes(seen()) == kRequests; }));
      CPPUNIT_ASSERT(WaitFor([&] { return seen().outcomes.size() >= kRequests; }));
      const observations before = seen();
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "last"}).status);
      CPPUNIT_ASSERT(WaitFor(
          [&] { return first.AbandonedConnections() + second.AbandonedConnections() == 1; }));
      CPPUNIT_ASSERT(WaitFor([&] { return CountedTimes(seen()) == kRequests + 1; }));
      CPPUNIT_ASSERT(WaitFor([&] { return seen().outcomes.size() > before.outcomes.size(); }));
      const observations after = seen();
      CPPUNIT_ASSERT_EQUAL(before.lost_races.size() + 1, after.lost_races.size());
      for (std::size_t i = before.outcomes.size(); i < after.outcomes.size(); ++i) {
        CPPUNIT_ASSERT(after.outcomes[i].upstream != after.lost_races.back().upstream);
      }
    });

}  // namespace
}  // namespace corianderhoist
