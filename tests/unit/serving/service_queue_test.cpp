// The decisions about requests that wait for capacity, without a network.
#include "serving/service_queue.h"

#include "serving/return_time.h"
#include "support/test_table.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const steady_time kStart(std::chrono::hours(1));
constexpr milliseconds kResponse(200);
constexpr std::uint32_t kVms = 1;

// ---- Room ----

struct room_case {
  std::string name;
  std::vector<room_candidate> candidates;
  room_sharers sharers;
  std::uint32_t free;
  std::uint32_t share;
};

constexpr std::nullopt_t kLeaves = std::nullopt;
constexpr double kNormal = 0.3;
constexpr double kSlow = 0.75;
const room_candidate kIdle{4, 0, 0, kNormal};
const room_candidate kBusy{4, 3, 2, kNormal};
const room_candidate kFull{4, 6, 3, kNormal};
const room_candidate kIdleAndSlow{4, 0, 0, kSlow};
const room_candidate kFailing{4, 0, 0, kNormal, true};
const room_candidate kOnTrial{4, 0, 0, kNormal, true, true};
const room_candidate kClosed{4, 0, 0, kNormal, false, false, milliseconds(300)};
const queue_rank kFirst{0, 0};
const queue_rank kSecond{1, 0};

// Guards against room at upstreams that cannot take requests, and VMs that take more than theirs.
const test_table kRoom(
    "service room",
    std::vector<room_case>{
        {"no upstream", {}, {110}, 0, 0},
        {"slots and pipeline", {kIdle, kBusy, kFull}, {110}, 9, 9},
        {"no pipeline at a slow upstream", {kIdleAndSlow}, {110}, 4, 4},
        {"all full", {kFull}, {110, {}, kFirst, false, 0.99}, 0, 0},
        {"a failing upstream", {kFailing, kBusy}, {110}, 3, 3},
        {"a trial of a failing upstream", {kOnTrial, kFull}, {110}, 1, 1},
        {"a closed upstream", {kClosed, kBusy}, {110}, 3, 3},
        {"a part among its rank", {kIdle, kBusy}, {110, {{kFirst, 4}, {kSecond, 9}}, kFirst}, 9, 2},
        {"a part rounded down", {kBusy}, {110, {{kFirst, 4}}, kFirst, false, 0.24}, 3, 0},
        {"a part rounded up", {kBusy}, {110, {{kFirst, 4}}, kFirst, false, 0.26}, 3, 1},
        {"outranked", {kIdle}, {110, {{kFirst, 4}, {kSecond, 1}}, kSecond, false, 0.39}, 6, 0},
        {"outranked, its turn", {kIdle}, {110, {{kFirst, 4}}, kSecond, false, 0.41}, 6, 1},
        {"stale, own part is used", {kIdle, kBusy}, {4, {}, kFirst, true}, 1, 1},
        {"stale, at least one", {kIdle}, {110, {}, kFirst, true}, 1, 1},
        {"stale, beyond the own part", {kBusy}, {4, {}, kFirst, true}, 0, 0},
    },
    std::function([](const room_case& row) {
      const service_room room = ComputeRoom(row.candidates, row.sharers);
      CPPUNIT_ASSERT_EQUAL(row.free, room.free);
      CPPUNIT_ASSERT_EQUAL(row.share, room.share);
    }));

// ---- Order ----

waiting_request Request(std::uint64_t id,
                        queue_rank rank = {},
                        const std::string& workspace = "w") {
  return {id,        rank,     workspace, false, kStart + seconds(10), kStart + seconds(8),
          kResponse, kResponse};
}

std::vector<std::uint64_t> PopAll(service_queue& queue) {
  std::vector<std::uint64_t> ids;
  while (const auto next = queue.Pop(kStart, kResponse)) {
    ids.push_back(next->id);
  }
  return ids;
}

waiting_request Late(std::uint64_t id) {
  waiting_request late = Request(id);
  late.objective_at = kStart;
  return late;
}
waiting_request Returning(std::uint64_t id, queue_rank rank = {}) {
  waiting_request returning = Request(id, rank, "other");
  returning.is_returning = true;
  return returning;
}
waiting_request Urgent(std::uint64_t id) {
  waiting_request urgent = Request(id);
  urgent.deadline = kStart + seconds(5);
  return urgent;
}

struct order_case {
  std::string name;
  std::vector<waiting_request> pushed;
  std::vector<std::uint64_t> sent;
};

// Guards against an order that ignores priorities, fairness, repeated refusals or deadlines.
const test_table kOrder(
    "service queue order",
    std::vector<order_case>{
        {"workspace before route priority",
         {Request(1, {1, 0}), Request(2, {0, 1}), Request(3, {0, 0})},
         {3, 2, 1}},
        {"workspaces in turn",
         {Request(1), Request(2), Request(3), Request(4, {}, "v"), Request(5, {}, "v")},
         {1, 4, 2, 5, 3}},
        {"by deadline within a workspace", {Request(1), Urgent(2)}, {2, 1}},
        {"late ones behind their rank", {Late(1), Request(2), Request(3, {0, 1})}, {2, 1, 3}},
        {"a returning one ahead of its rank only",
         {Request(1), Request(2, {0, 1}), Returning(3, {0, 1})},
         {1, 3, 2}},
    },
    std::function([](const order_case& row) {
      service_queue queue;
      for (const waiting_request& request : row.pushed) {
        queue.Push(request, kStart);
      }
      const waiting_request& last = row.pushed.back();
      const auto place = std::find(row.sent.begin(), row.sent.end(), last.id) - row.sent.begin();
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(place), queue.AheadOf(last, kStart));
      CPPUNIT_ASSERT(row.sent == PopAll(queue));
    }));

// Guards against starvation of a lower rank by a lasting flood of higher ones.
const test_table kFloor("service queue order", "each lower rank gets a part of one in ten", [] {
  service_queue queue;
  std::map<std::uint32_t, int> sent;
  queue.Push(Request(1, {1, 0}), kStart);
  queue.Push(Request(2, {2, 0}), kStart);
  for (std::uint64_t id = 3; id < 403; ++id) {
    queue.Push(Request(id, {0, 0}), kStart);
    const auto next = queue.Pop(kStart, kResponse);
    ++sent[next->rank.workspace_priority];
    if (next->rank.workspace_priority > 0) {
      queue.Push(*next, kStart);
    }
  }
  CPPUNIT_ASSERT_EQUAL(360, sent[0]);
  CPPUNIT_ASSERT_EQUAL(20, sent[1]);
  CPPUNIT_ASSERT_EQUAL(20, sent[2]);
});

// Guards against a workspace that collects a claim while it is idle and then takes every turn.
const test_table kIdleness("service queue order", "a workspace has no claim from idle time", [] {
  service_queue queue;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    queue.Push(Request(id), kStart);
  }
  for (int i = 0; i < 20; ++i) {
    queue.Pop(kStart, kResponse);
  }
  for (std::uint64_t id = 101; id <= 110; ++id) {
    queue.Push(Request(id, {}, "idle before"), kStart);
  }
  int of_idle = 0;
  for (int i = 0; i < 10; ++i) {
    of_idle += queue.Pop(kStart, kResponse)->id > 100 ? 1 : 0;
  }
  CPPUNIT_ASSERT_EQUAL(5, of_idle);
});

// ---- Bound ----

struct entry_case {
  std::string name;
  std::vector<room_candidate> candidates;
  std::size_t waiting;  ///< Requests of rank 1.0 that wait already, at most 4 in all.
  queue_rank rank;
  milliseconds time_left;
  queue_verdict verdict;
  bool has_displaced = false;
};

// Guards against waits that cannot help, requests that are refused although they could be served,
// and a change of the path without scarcity. Of 4 slots one ends a request each 50 ms.
const test_table kEntry(
    "service queue entry",
    std::vector<entry_case>{
        {"room", {kIdle}, 0, {1, 0}, seconds(1), queue_verdict::kSend},
        {"room behind others", {kIdle}, 1, {1, 0}, seconds(1), queue_verdict::kWait},
        {"full upstreams", {kFull}, 0, {1, 0}, seconds(1), queue_verdict::kWait},
        {"no time for the answer", {kFull}, 0, {1, 0}, milliseconds(199), queue_verdict::kTooLate},
        {"no time for those ahead", {kFull}, 2, {1, 0}, milliseconds(299), queue_verdict::kTooLate},
        {"just in time", {kFull}, 2, {1, 0}, milliseconds(300), queue_verdict::kWait},
        {"higher rank, the same time", {kFull}, 2, {0, 0}, milliseconds(200), queue_verdict::kWait},
        {"queue full", {kFull}, 4, {1, 0}, seconds(1), queue_verdict::kFull},
        {"queue full of a lower rank", {kFull}, 4, {0, 0}, seconds(1), queue_verdict::kWait, true},
        {"only failing upstreams", {kFailing}, 0, {1, 0}, seconds(1), queue_verdict::kSend},
        {"failing and full upstreams",
         {kFailing, kFull},
         0,
         {1, 0},
         seconds(1),
         queue_verdict::kWait},
        {"no upstream", {}, 0, {1, 0}, seconds(1), queue_verdict::kSend},
        {"all leave",
         {{4, 0, 0, kNormal, false, false, kLeaves}},
         0,
         {1, 0},
         seconds(1),
         queue_verdict::kSend},
        {"one opens in time", {kClosed}, 0, {1, 0}, milliseconds(500), queue_verdict::kWait},
        {"one opens too late", {kClosed}, 0, {1, 0}, milliseconds(499), queue_verdict::kSend},
    },
    std::function([](const entry_case& row) {
      service_queues queues({4});
      const service_room full = ComputeRoom({kFull}, {kVms});
      for (std::uint64_t id = 1; id <= row.waiting; ++id) {
        // Due no later than the new one, so that they are ahead of it within their rank.
        waiting_request other = Request(id, {1, 0});
        other.deadline = kStart + std::max(row.time_left, milliseconds(250));
        CPPUNIT_ASSERT(queues.Enter("s", other, full, kVms, kStart).verdict ==
                       queue_verdict::kWait);
      }
      waiting_request request = Request(100, row.rank);
      request.deadline = kStart + row.time_left;
      const service_room room = ComputeRoom(row.candidates, {kVms});
      const queue_decision decision = queues.Enter("s", request, room, kVms, kStart);
      CPPUNIT_ASSERT(row.verdict == decision.verdict);
      CPPUNIT_ASSERT_EQUAL(row.has_displaced, decision.displaced.has_value());
      CPPUNIT_ASSERT(queues.Size() <= 4);
    }));

// Guards against an estimate that ignores a stall of the upstreams, or trusts an old measurement.
const test_table kDrain("service queue entry", "the drain interval follows what is sent", [] {
  drain_meter meter;
  meter.Begin(kStart);
  steady_time now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    meter.NoteSent(now, seconds(1));
  }
  CPPUNIT_ASSERT(meter.Interval(now, true, seconds(1)) < milliseconds(21));
  CPPUNIT_ASSERT(meter.Interval(now + milliseconds(900), true, seconds(1)) == milliseconds(900));
  CPPUNIT_ASSERT(meter.Interval(now + seconds(6), false, seconds(1)) == seconds(1));
});

// Guards against requests that keep their place when they cannot be answered any more.
const test_table kExpiry("service queue entry", "requests leave once they are too late", [] {
  service_queue queue;
  queue.Push(Request(1), kStart);
  queue.Push(Urgent(2), kStart);
  CPPUNIT_ASSERT(queue.TakeExpired(kStart + seconds(5) - kResponse).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                       queue.TakeExpired(kStart + seconds(5) - milliseconds(199)).size());
  CPPUNIT_ASSERT(queue.Remove(1) && !queue.Remove(2) && queue.Size() == 0);
});

// Guards against VMs that send their part of one view of the fleet again with each event.
const test_table kAllowance("service queue entry", "room is used once per view", [] {
  send_allowance allowance;
  const service_room room{5, 2, 8, 1, 1, {}};
  CPPUNIT_ASSERT_EQUAL(2U, allowance.Left(room, false, kStart));
  allowance.OnSent();
  allowance.OnSent();
  CPPUNIT_ASSERT_EQUAL(0U, allowance.Left(room, false, kStart + milliseconds(100)));
  allowance.OnAttemptEnd();
  CPPUNIT_ASSERT_EQUAL(1U, allowance.Left(room, false, kStart + milliseconds(100)));
  allowance.OnStateUpdate();
  CPPUNIT_ASSERT_EQUAL(2U, allowance.Left(room, false, kStart + milliseconds(200)));
  allowance.OnSent();
  allowance.OnSent();
  CPPUNIT_ASSERT_EQUAL(2U, allowance.Left(room, false, kStart + milliseconds(601)));
});

// ---- Return ----

struct return_case {
  std::string name;
  milliseconds returned;
  milliseconds expected;
};

// Guards against callers that return before there is capacity, all at once, or never.
const test_table kReturns(
    "return time",
    std::vector<return_case>{
        {"nobody ahead", BacklogReturnTime(0, milliseconds(50), 0), milliseconds(100)},
        {"behind 20", BacklogReturnTime(20, milliseconds(50), 0), milliseconds(1000)},
        {"spread", BacklogReturnTime(20, milliseconds(50), 1), milliseconds(1250)},
        {"stalled", BacklogReturnTime(64, seconds(5), 0), seconds(10)},
    },
    std::function([](const return_case& row) {
      CPPUNIT_ASSERT_EQUAL(row.expected.count(), row.returned.count());
    }));

}  // namespace
}  // namespace corianderhoist
