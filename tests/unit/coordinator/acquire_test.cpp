// Tests `coordinator.acquire`: the order of its checks, repeated calls, idempotency records and
// blocked requests.
#include "support/coordinator_fixture.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kRules = {
    "service orders floor=50",
    "service stock floor=50",
    "workspace acme places=north rate=100/s burst=100",
    "workspace small places=north rate=10/s burst=2 services=stock",
    "workspace away places=south rate=100/s burst=100",
    "route GET /open service=stock access=open places=north run=idempotent",
};

struct ready_fixture : coordinator_fixture {
  ready_fixture() : coordinator_fixture(kRules, {"acme", "small", "away"}) {
    AnnounceUpstreams("orders", 4, 4);
    AnnounceUpstreams("stock", 4, 4);
    // The buckets of a new leader start with the guaranteed tokens and fill within a second.
    AdvanceTime(milliseconds(3000));
  }
};

acquire_reply ExpectGrant(const rpc_result<acquire_reply>& reply) {
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    CPPUNIT_FAIL(std::string(AnswerFor(failure->kind).name) + ": " + failure->detail);
  }
  return std::get<acquire_reply>(reply);
}

// Guards against a second token and an unused slot for a request whose entry VM repeats the call
// while the request is queued.
const test_table
    kRepeatedCallInQueue("acquire", "a call that is repeated while queued keeps its position", [] {
      ready_fixture fixture;
      std::vector<std::pair<acquire_request, acquire_reply>> running;
      for (int i = 0; i < 16; ++i) {
        const acquire_request request = fixture.Request("acme", "stock");
        running.emplace_back(request, ExpectGrant(fixture.Acquire(request)));
      }
      const acquire_request waiting = fixture.Request("small", "stock");
      int tokens = 0;
      fixture.core->SetTokenObserver(
          [&](const std::string& id, steady_time) { tokens += id == waiting.request_id; });
      for (int i = 0; i < 3; ++i) {
        fixture.StartAcquire(waiting);
        fixture.AdvanceTime(seconds(1));
      }
      CPPUNIT_ASSERT_EQUAL(1, tokens);
      fixture.Complete(running[0].first, running[0].second, attempt_result::kSuccess);
      fixture.AdvanceTime(milliseconds(100));
      const auto reply = fixture.ReplyTo(waiting.request_id);
      CPPUNIT_ASSERT(reply.has_value());
      fixture.Complete(waiting, ExpectGrant(*reply), attempt_result::kSuccess);
      fixture.AdvanceTime(milliseconds(100));
      // The slot is free again; no duplicate queue entry has taken it.
      ExpectGrant(fixture.Acquire(fixture.Request("acme", "stock"), milliseconds(100)));
    });

// Guards against sending one request after another to an upstream that sheds load.
const test_table
    kShedUpstreamRanksLast("acquire", "an upstream that shed a request ranks after its peers", [] {
      coordinator_fixture fixture(kRules, {"acme"});
      fixture.AnnounceUpstreams("orders", 2, 4);
      fixture.AdvanceTime(seconds(3));
      const acquire_request first = fixture.Request("acme", "orders");
      const acquire_reply shed = ExpectGrant(fixture.Acquire(first));
      fixture.Complete(first, shed, attempt_result::kShed);
      for (int i = 0; i < 4; ++i) {
        const acquire_reply next = ExpectGrant(fixture.Acquire(fixture.Request("acme", "orders")));
        CPPUNIT_ASSERT(next.upstream != shed.upstream);
      }
      // The peer is full now.
      const acquire_reply last = ExpectGrant(fixture.Acquire(fixture.Request("acme", "orders")));
      CPPUNIT_ASSERT_EQUAL(shed.upstream, last.upstream);
    });

struct refusal_case {
  std::string name;
  std::function<void(ready_fixture&, acquire_request&)> prepare;
  std::optional<error_kind> expected;
};

const test_table kRefusals(
    "acquire",
    std::vector<refusal_case>{
        {"a request that satisfies all rules is granted", [](auto&, auto&) {}, std::nullopt},
        {"a leader without a lease refuses",
         [](auto& fixture, auto&) { fixture.log.SetLease(false); }, error_kind::kNotLeader},
        {"an old configuration version is refused before the key is checked",
         [](auto&, auto& request) {
           request.config_version = 0;
           request.key_hash = {};
         },
         error_kind::kConfigBehind},
        {"an unknown key is refused", [](auto&, auto& request) { request.key_hash = Sha256("x"); },
         error_kind::kKeyUnknown},
        {"the key of another workspace is refused",
         [](auto&, auto& request) { request.key_hash = Sha256("key of small"); },
         error_kind::kKeyUnknown},
        {"a withdrawn key is refused",
         [](auto& fixture, auto& request) {
           config_change change;
           change.version = 2;
           change.keys.push_back({"key-acme", request.key_hash, "acme", true});
           fixture.ApplyConfig(change);
         },
         error_kind::kKeyUnknown},
        {"a service that the workspace may not use is refused",
         [](auto& fixture, auto& request) { request = fixture.Request("small", "orders"); },
         error_kind::kServiceForbidden},
        {"a workspace whose home is another region is refused",
         [](auto& fixture, auto& request) { request = fixture.Request("away", "orders"); },
         error_kind::kConfigBehind},
        {"an open route that does not exist is refused",
         [](auto&, auto& request) {
           request.workspace.clear();
           request.route_id = "GET /secret";
         },
         error_kind::kNoPlace},
        {"an open route needs no key",
         [](auto&, auto& request) {
           request.workspace.clear();
           request.service = "stock";
           request.route_id = "GET /open";
         },
         std::nullopt},
        {"a service without upstreams is refused after the warm-up",
         [](auto& fixture, auto&) {
           fixture.upstreams.clear();
           fixture.AdvanceTime(seconds(4));
         },
         error_kind::kNoUpstream},
    },
    std::function([](const refusal_case& row) {
      ready_fixture fixture;
      acquire_request request = fixture.Request("acme", "orders");
      row.prepare(fixture, request);
      CPPUNIT_ASSERT(KindOf(fixture.Acquire(request)) == row.expected);
    }));

const test_table kRateLimit("acquire", "only a workspace over its rate is refused", [] {
  ready_fixture fixture;
  int granted = 0;
  for (int i = 0; i < 4; ++i) {
    const acquire_request request = fixture.Request("small", "stock");
    const auto reply = fixture.Acquire(request, milliseconds(60));
    if (!KindOf(reply)) {
      ++granted;
      fixture.Complete(request, std::get<acquire_reply>(reply), attempt_result::kSuccess);
    } else {
      CPPUNIT_ASSERT(KindOf(reply) == error_kind::kOverRate);
    }
  }
  CPPUNIT_ASSERT_EQUAL(2, granted);
  fixture.AdvanceTime(milliseconds(250));
  CPPUNIT_ASSERT(!KindOf(fixture.Acquire(fixture.Request("small", "stock"))));
  CPPUNIT_ASSERT(!KindOf(fixture.Acquire(fixture.Request("acme", "stock"))));
});

const test_table kRepeatedCall("acquire",
                               "a repeated call gets the first lease and takes no token",
                               [] {
                                 ready_fixture fixture;
                                 const acquire_request request = fixture.Request("small", "stock");
                                 const acquire_reply first = ExpectGrant(fixture.Acquire(request));
                                 for (int i = 0; i < 10; ++i) {
                                   CPPUNIT_ASSERT_EQUAL(
                                       first.lease, ExpectGrant(fixture.Acquire(request)).lease);
                                 }
                                 CPPUNIT_ASSERT(
                                     !KindOf(fixture.Acquire(fixture.Request("small", "stock"))));
                               });

const test_table kRefundedToken("acquire",
                                "the token of a request that was not run is refunded",
                                [] {
                                  ready_fixture fixture;
                                  for (int i = 0; i < 20; ++i) {
                                    const acquire_request request =
                                        fixture.Request("small", "stock");
                                    fixture.Complete(request, ExpectGrant(fixture.Acquire(request)),
                                                     attempt_result::kNotSent);
                                  }
                                });

acquire_request RequestWithKey(ready_fixture& fixture, const std::string& key) {
  acquire_request order = fixture.Request("acme", "orders");
  order.is_idempotent = false;
  order.idempotency_key = key;
  return order;
}

struct resend_case {
  std::string name;
  attempt_result outcome;
  std::optional<error_kind> resend;
  bool is_replayed;
};

const test_table kResends(
    "resend with idempotency key",
    std::vector<resend_case>{
        {"after an answer replays it", attempt_result::kSuccess, std::nullopt, true},
        {"after an error answer replays it", attempt_result::kServerError, std::nullopt, true},
        {"after an unsent attempt runs again", attempt_result::kNotSent, std::nullopt, false},
        {"after a failed connection runs again", attempt_result::kConnectFailed, std::nullopt,
         false},
        {"after shedding runs again", attempt_result::kShed, std::nullopt, false},
        {"after a lost connection does not run", attempt_result::kConnectionLost,
         error_kind::kOutcomeUnknown, false},
        {"after a timeout does not run", attempt_result::kTimeout, error_kind::kOutcomeUnknown,
         false},
        {"after cancellation does not run", attempt_result::kCancelled, error_kind::kOutcomeUnknown,
         false},
        {"after a broken answer does not run", attempt_result::kBrokenAnswer,
         error_kind::kOutcomeUnknown, false},
    },
    std::function([](const resend_case& row) {
      ready_fixture fixture;
      const acquire_request order = RequestWithKey(fixture, "k1");
      const acquire_reply granted = ExpectGrant(fixture.Acquire(order));
      CPPUNIT_ASSERT(KindOf(fixture.Acquire(RequestWithKey(fixture, "k1"))) ==
                     error_kind::kStillRunning);
      acquire_request other_body = RequestWithKey(fixture, "k1");
      other_body.body_digest = Sha256("another body");
      CPPUNIT_ASSERT(KindOf(fixture.Acquire(other_body)) == error_kind::kIdempotencyMismatch);
      stored_answer answer;
      answer.status = 201;
      answer.body = "order 7";
      const bool has_answer =
          row.outcome == attempt_result::kSuccess || row.outcome == attempt_result::kServerError;
      fixture.Complete(order, granted, row.outcome,
                       has_answer ? std::optional(answer) : std::nullopt);
      const auto resent = fixture.Acquire(RequestWithKey(fixture, "k1"));
      CPPUNIT_ASSERT(KindOf(resent) == row.resend);
      if (!row.resend) {
        CPPUNIT_ASSERT_EQUAL(row.is_replayed, ExpectGrant(resent).replay.has_value());
        CPPUNIT_ASSERT_EQUAL(row.is_replayed, ExpectGrant(resent).lease.empty());
      }
    }));

const test_table kLostEntryVm("resend with idempotency key",
                              "after the loss of the entry VM has an unknown outcome",
                              [] {
                                ready_fixture fixture;
                                acquire_request order = RequestWithKey(fixture, "k2");
                                order.session = "died";
                                ExpectGrant(fixture.Acquire(order));
                                fixture.AdvanceTime(seconds(5));
                                CPPUNIT_ASSERT(KindOf(fixture.Acquire(RequestWithKey(
                                                   fixture, "k2"))) == error_kind::kStillRunning);
                                fixture.AdvanceTime(seconds(9));
                                CPPUNIT_ASSERT(KindOf(fixture.Acquire(RequestWithKey(
                                                   fixture, "k2"))) == error_kind::kOutcomeUnknown);
                              });

const test_table kSlotLimit("acquire", "no upstream runs more requests than it has slots", [] {
  ready_fixture fixture;
  std::map<std::string, int> running;
  for (int i = 0; i < 40; ++i) {
    const acquire_request request = fixture.Request("acme", "orders");
    fixture.StartAcquire(request);
    if (const auto reply = fixture.ReplyTo(request.request_id); reply && !KindOf(*reply)) {
      ++running[std::get<acquire_reply>(*reply).upstream];
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t(4), running.size());
  for (const auto& [upstream, count] : running) {
    CPPUNIT_ASSERT_EQUAL(4, count);
  }
});

const test_table kBlockedRequest(
    "acquire",
    "a request that crashed two upstreams is blocked until released",
    [] {
      ready_fixture fixture;
      acquire_request first = fixture.Request("acme", "orders");
      const acquire_reply granted = ExpectGrant(fixture.Acquire(first));
      fixture.Complete(first, granted, attempt_result::kConnectionLost);
      acquire_request second = fixture.Request("acme", "orders");
      second.fingerprint = first.fingerprint;
      second.avoid = {granted.upstream};
      const acquire_reply again = ExpectGrant(fixture.Acquire(second));
      CPPUNIT_ASSERT(again.upstream != granted.upstream);
      acquire_request third = second;
      third.request_id = "third";
      third.remaining = milliseconds(100);
      CPPUNIT_ASSERT_MESSAGE("two suspected requests ran at the same time",
                             KindOf(fixture.Acquire(third)) == error_kind::kQueueTimeout);
      fixture.Complete(second, again, attempt_result::kConnectionLost);
      third.request_id = "fourth";
      third.remaining = seconds(10);
      CPPUNIT_ASSERT(KindOf(fixture.Acquire(third)) == error_kind::kRequestBlocked);
      CPPUNIT_ASSERT_MESSAGE("another request was blocked",
                             !KindOf(fixture.Acquire(fixture.Request("acme", "orders"))));
      config_change release;
      release.version = 2;
      release.released_requests = {first.fingerprint};
      fixture.ApplyConfig(release);
      third.request_id = "fifth";
      CPPUNIT_ASSERT(!KindOf(fixture.Acquire(third)));
    });

const test_table kLeavingUpstream("acquire", "an upstream that is leaving gets no new request", [] {
  ready_fixture fixture;
  for (announcement& each : fixture.upstreams) {
    if (each.upstream != "orders-2") {
      each.state = upstream_state::kLeaving;
      fixture.core->Announce(each, [](const rpc_result<empty_message>&) {});
    }
  }
  for (int i = 0; i < 4; ++i) {
    CPPUNIT_ASSERT_EQUAL(std::string("orders-2"),
                         ExpectGrant(fixture.Acquire(fixture.Request("acme", "orders"))).upstream);
  }
});

}  // namespace
}  // namespace corianderhoist
