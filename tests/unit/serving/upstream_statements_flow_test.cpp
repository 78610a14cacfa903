// Upstreams that state in their answers that they leave or accept no requests for some time: counts
// the requests that reach them afterwards, by each way in which a VM sends requests.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

using script = std::function<scripted_answer(const scripted_request&)>;

const std::string kLeaving = "Server-Leaving: 1\r\n";
const std::string kClosedFor1s = "Retry-After: 1\r\n";
const std::string kNotExecuted = "X-Not-Executed: 1\r\n";
constexpr int kFurtherRequests = 6;

script Answers(int status, const std::string& more = {}) {
  return [status, more](const scripted_request& request) {
    return scripted_answer{SignedAnswer(request, status, "ok", more)};
  };
}

script Raw(const std::string& bytes, after_answer after = after_answer::kKeep) {
  return [bytes, after](const scripted_request&) { return scripted_answer{bytes, after}; };
}

// Starts the VM with one upstream, which states to be leaving in its answer to the first request,
// and then adds another one. The former counts as failing, so that first attempts go to the latter.
struct leaving_and_other {
  leaving_and_other(const std::string& service, script other_script)
      : leaving(fixture.Add("leaving", service, Answers(200, kLeaving))) {
    fixture.Start();
    path = service == "reads" ? "/safe/1" : "/once/1";
    CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.path = path, .id = "first"}).status);
    other = &fixture.Add("other", service, std::move(other_script));
    fixture.Core().SetCondition("leaving", {.failing = 200});
    std::this_thread::sleep_for(milliseconds(300));
  }

  serving_fixture fixture;
  scripted_upstream& leaving;
  scripted_upstream* other = nullptr;
  std::string path;
};

struct answer_case {
  std::string name;
  script first;
  bool is_obeyed;  ///< No request reaches the upstream after this answer.
  std::string method = "GET";
};

const test_table kAnswers(
    "upstream statement",
    std::vector<answer_case>{
        {"leaving in a success", Answers(200, kLeaving), true},
        {"leaving in a client error", Answers(404, kLeaving), true},
        {"leaving in a server error", Answers(500, kLeaving), true},
        {"leaving in a refusal", Answers(503, kNotExecuted + kLeaving), true},
        {"leaving in a response to HEAD",
         [](const scripted_request& request) {
           return scripted_answer{SignedAnswer(request, 200, "", kLeaving)};
         },
         true, "HEAD"},
        {"leaving in a truncated response",
         [](const scripted_request& request) {
           return scripted_answer{
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.Header("X-Attempt-Id") +
                   "\r\nX-Signature: s\r\n" + kLeaving + "Content-Length: 100\r\n\r\nhalf",
               after_answer::kClose};
         },
         true},
        {"leaving in a success without a signature",
         [](const scripted_request& request) {
           return scripted_answer{
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.Header("X-Attempt-Id") + "\r\n" +
               kLeaving + "Content-Length: 2\r\n\r\nok"};
         },
         true},
        {"leaving in a lower-case field",
         Answers(200, "server-leaving: 1\r\nConnection: server-leaving\r\n"), true},
        {"Retry-After in a refusal", Answers(503, kNotExecuted + "Retry-After: 30\r\n"), true},
        {"Retry-After in a 503 that may have run", Answers(503, "Retry-After: 30\r\n"), true},
        {"Retry-After and leaving in one refusal",
         Answers(503, kNotExecuted + kLeaving + "Retry-After: 0\r\n"), true},
        {"Retry-After in a success", Answers(200, "Retry-After: 30\r\n"), false},
        {"Retry-After of zero", Answers(503, kNotExecuted + "Retry-After: 0\r\n"), false},
        {"Server-Leaving: 0", Answers(200, "Server-Leaving: 0\r\n"), false},
        {"an invalid value",
         Answers(503, kNotExecuted + "Server-Leaving: soon\r\nRetry-After: later\r\n"), false},
        {"leaving in bytes that are no response",
         Raw("nonsense\r\n" + kLeaving + "\r\n", after_answer::kClose), false},
    },
    std::function([](const answer_case& row) {
      serving_fixture fixture;
      std::atomic<bool> is_first = true;
      scripted_upstream& upstream = fixture.Add(
          "u1", "reads", [&is_first, first = row.first](const scripted_request& request) {
            return is_first.exchange(false) ? first(request) : Answers(200)(request);
          });
      fixture.Start();
      fixture.Call({.method = row.method, .id = "first"});
      for (int i = 0; i < kFurtherRequests; ++i) {
        const caller_answer answer = fixture.Call({.id = "id" + std::to_string(i)});
        CPPUNIT_ASSERT_EQUAL(row.is_obeyed ? 503 : 200, answer.status);
        CPPUNIT_ASSERT_MESSAGE("answered at once", answer.duration < milliseconds(250));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(row.is_obeyed ? 1 : 1 + kFurtherRequests),
                           upstream.Requests().size());
    }));

const test_table kStatedLimit(
    "upstream statement",
    "a stated limit bounds the requests until an answer states none",
    [] {
      serving_fixture fixture;
      std::atomic<bool> is_limited = true;
      scripted_upstream& upstream =
          fixture.Add("u1", "reads", [&is_limited](const scripted_request& request) {
            return Answers(200, is_limited ? "Server-Limit: 0.5\r\n" : "")(request);
          });
      fixture.Start();
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "first"}).status);
      constexpr int kRequests = 30;
      for (int i = 0; i < kRequests; ++i) {
        const caller_answer answer = fixture.Call({.id = "limited" + std::to_string(i)});
        CPPUNIT_ASSERT(answer.status == 200 || !answer.Header("Retry-After").empty());
      }
      CPPUNIT_ASSERT(upstream.Requests().size() <= 3);
      is_limited = false;
      bool is_served = false;
      for (int i = 0; i < 200 && !is_served; ++i) {
        is_served = fixture.Call({.id = "ended" + std::to_string(i)}).status == 200;
        std::this_thread::sleep_for(milliseconds(50));
      }
      CPPUNIT_ASSERT(is_served);
      for (int i = 0; i < kRequests; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "free" + std::to_string(i)}).status);
      }
    });

const test_table kLateStatement(
    "upstream statement",
    "leaving in a late response to the previous request on the connection",
    [] {
      serving_fixture fixture;
      std::atomic<int> count = 0;
      scripted_upstream& upstream =
          fixture.Add("u1", "reads", [&count](const scripted_request& request) {
            std::string late;
            if (++count == 2) {
              late = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id0\r\nX-Signature: s\r\n" + kLeaving +
                     "Content-Length: 4\r\n\r\nlate";
            }
            return scripted_answer{late + SignedAnswer(request, 200, "ok")};
          });
      fixture.Start();
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "id0"}).status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), fixture.Call({.id = "id1"}).body);
      CPPUNIT_ASSERT_EQUAL(503, fixture.Call({.id = "id2"}).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), upstream.Requests().size());
    });

const test_table kForeignStatement(
    "upstream statement",
    "leaving in a response to a request that was never sent on the connection is ignored",
    [] {
      serving_fixture fixture;
      std::atomic<int> count = 0;
      fixture.Add("u1", "reads", [&count](const scripted_request& request) {
        std::string foreign;
        if (++count == 2) {
          foreign = "HTTP/1.1 200 OK\r\nX-Attempt-Id: foreign\r\nX-Signature: s\r\n" + kLeaving +
                    "Content-Length: 4\r\n\r\nlate";
        }
        return scripted_answer{foreign + SignedAnswer(request, 200, "ok")};
      });
      fixture.Start();
      for (int i = 0; i < 3; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "id" + std::to_string(i)}).status);
      }
    });

// ---- Ways in which a request reaches an upstream ----

const test_table kFirstAttempt(
    "upstream statement",
    "a leaving upstream gets no first attempt, also on a kept connection",
    [] {
      leaving_and_other setup("orders", Answers(200));
      setup.fixture.Core().SetCondition("leaving", {.failing = 0});
      std::this_thread::sleep_for(milliseconds(200));
      for (int i = 0; i < 20; ++i) {
        CPPUNIT_ASSERT_EQUAL(
            200, setup.fixture.Call({.path = setup.path, .id = "id" + std::to_string(i)}).status);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), setup.leaving.Requests().size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(20), setup.other->Requests().size());
    });

const test_table kSlowUpload(
    "upstream statement",
    "an upload that ends after the statement does not reach the upstream",
    [] {
      serving_fixture fixture;
      scripted_upstream& leaving = fixture.Add("u1", "orders", Answers(200, kLeaving));
      fixture.Start();
      caller_request upload{
          .method = "POST", .path = "/once/1", .id = "slow", .body = "0123456789"};
      const std::string bytes = upload.Bytes();
      test_caller slow(fixture.Port());
      slow.Send(bytes.substr(0, bytes.size() - 5));
      std::this_thread::sleep_for(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.path = "/once/1", .id = "id1"}).status);
      slow.Send(bytes.substr(bytes.size() - 5));
      const caller_answer answer = slow.Receive();
      CPPUNIT_ASSERT_EQUAL(503, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.Header("Corianderhoist-Outcome"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.Requests().size());
    });

struct repeat_case {
  std::string name;
  script other;         ///< Of the upstream that gets the first attempt.
  std::string service;  ///< Reads are repeated after a failure, orders after a refusal.
};

const test_table kRepeats(
    "upstream statement",
    std::vector<repeat_case>{
        {"a leaving upstream gets no retry of a failed read", Answers(500), "reads"},
        {"a leaving upstream gets no retry of a refused order", Answers(503, kNotExecuted),
         "orders"},
        {"a leaving upstream gets no hedge", Raw("", after_answer::kHang), "reads"},
    },
    std::function([](const repeat_case& row) {
      leaving_and_other setup(row.service, row.other);
      for (int i = 0; i < 3; ++i) {
        setup.fixture.Call({.path = setup.path, .id = "id" + std::to_string(i)});
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), setup.other->Requests().size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), setup.leaving.Requests().size());
    }));

const test_table kHedgeLoser(
    "upstream statement",
    "the statement of an attempt that lost against its hedge is obeyed",
    [] {
      serving_fixture fixture;
      std::atomic<bool> has_stated = false;
      const script slow = [&has_stated](const scripted_request& request) {
        if (has_stated.exchange(true)) {
          return scripted_answer{SignedAnswer(request, 200, "fast")};
        }
        return scripted_answer{SignedAnswer(request, 200, "slow", kLeaving), after_answer::kKeep,
                               milliseconds(700)};
      };
      scripted_upstream& first = fixture.Add("u1", "reads", slow);
      scripted_upstream& second = fixture.Add("u2", "reads", slow);
      fixture.Start();
      CPPUNIT_ASSERT_EQUAL(std::string("fast"), fixture.Call({.id = "id0"}).body);
      std::this_thread::sleep_for(milliseconds(800));
      const std::size_t before[] = {first.Requests().size(), second.Requests().size()};
      CPPUNIT_ASSERT(before[0] == 1 && before[1] == 1);
      for (int i = 0; i < 12; ++i) {
        // The healthy upstream gets all of them: the other one has stated that it leaves.
        CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "more" + std::to_string(i)}).status);
      }
      CPPUNIT_ASSERT(first.Requests().size() == 1 || second.Requests().size() == 1);
    });

const test_table kTrial("upstream statement", "a leaving upstream gets no trial", [] {
  leaving_and_other setup("reads", Answers(200));
  setup.fixture.Core().SetCondition("leaving",
                                    {.failing = 255, .trial = upstream_trial::kForAnyRegion});
  // A VM sends trials in three of ten seconds, which are drawn.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    CPPUNIT_ASSERT_EQUAL(200, setup.fixture.Call({.id = "id" + std::to_string(i)}).status);
    std::this_thread::sleep_for(milliseconds(50));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), setup.leaving.Requests().size());
});

// ---- Ends of statements ----

const test_table kRetryAfterEnds(
    "upstream statement",
    "callers are told when the first upstream accepts requests, and it gets requests then",
    [] {
      serving_fixture fixture;
      std::atomic<bool> is_first = true;
      scripted_upstream& upstream =
          fixture.Add("u1", "orders", [&is_first](const scripted_request& request) {
            return is_first.exchange(false)
                       ? Answers(503, kNotExecuted + "Retry-After: 1.5\r\n")(request)
                       : Answers(200)(request);
          });
      fixture.Start();
      const auto begin = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(503, fixture.Call({.path = "/once/1", .id = "id0"}).status);
      const caller_answer refused = fixture.Call({.path = "/once/1", .id = "id1"});
      CPPUNIT_ASSERT_EQUAL(503, refused.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.Header("Corianderhoist-Outcome"));
      const double retry_after = std::stod(refused.Header("Retry-After"));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(retry_after), retry_after > 1.2 && retry_after < 3.2);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), upstream.Requests().size());
      std::this_thread::sleep_until(begin + milliseconds(1400));
      CPPUNIT_ASSERT_EQUAL(503, fixture.Call({.path = "/once/1", .id = "id2"}).status);
      std::this_thread::sleep_until(begin + milliseconds(1500 + 375 + 100));
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.path = "/once/1", .id = "id3"}).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), upstream.Requests().size());
    });

const test_table kNewIncarnation(
    "upstream statement",
    "another upstream at the address of a leaving one gets requests at once",
    [] {
      serving_fixture fixture;
      std::atomic<bool> is_first = true;
      scripted_upstream& address =
          fixture.Add("old", "reads", [&is_first](const scripted_request& request) {
            return Answers(200, is_first.exchange(false) ? kLeaving : "")(request);
          });
      fixture.Start();
      fixture.Call({.id = "id0"});
      CPPUNIT_ASSERT_EQUAL(503, fixture.Call({.id = "id1"}).status);
      fixture.Core().Drain("old");
      fixture.Core().AddUpstream("new", "reads", address.Port());
      std::this_thread::sleep_for(milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.id = "id2"}).status);
      CPPUNIT_ASSERT_EQUAL(std::string("new"),
                           address.Requests().back().Header("X-Expect-Instance"));
    });

const test_table kSpreadOfCallers(
    "upstream statement",
    "callers that are refused together are not told to come back together",
    [] {
      serving_fixture fixture;
      fixture.Add("u1", "orders", Answers(503, kNotExecuted + "Retry-After: 30\r\n"));
      fixture.Add("u2", "orders", Answers(503, kNotExecuted + "Retry-After: 20\r\n"));
      fixture.Start();
      std::vector<double> told;
      for (int i = 0; i < 8; ++i) {
        const caller_answer answer =
            fixture.Call({.path = "/once/1", .id = "id" + std::to_string(i)});
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        told.push_back(std::stod(answer.Header("Retry-After")));
      }
      const auto [first, last] = std::minmax_element(told.begin(), told.end());
      CPPUNIT_ASSERT_MESSAGE("from when the first one returns", *first > 19 && *last < 29);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(*last - *first), *last - *first > 0.5);
    });

const test_table kHalfClosed(
    "upstream statement",
    "the others serve a burst while half of the upstreams accept no requests",
    [] {
      serving_fixture fixture;
      const script closed = Answers(503, kNotExecuted + "Retry-After: 30\r\n");
      scripted_upstream& first_closed = fixture.Add("u1", "reads", closed);
      scripted_upstream& second_closed = fixture.Add("u2", "reads", closed);
      fixture.Add("u3", "reads", Answers(200));
      fixture.Add("u4", "reads", Answers(200));
      fixture.Start();
      constexpr int kCallers = 8;
      constexpr int kRequestsPerCaller = 10;
      std::atomic<int> served = 0;
      const auto burst = [&] {
        std::vector<std::thread> callers;
        callers.reserve(kCallers);
        for (int i = 0; i < kCallers; ++i) {
          callers.emplace_back([&, i] {
            for (int j = 0; j < kRequestsPerCaller; ++j) {
              const std::string id = "id" + std::to_string(i) + "-" + std::to_string(j);
              served += fixture.Call({.id = id}).status == 200 ? 1 : 0;
            }
          });
        }
        for (std::thread& caller : callers) {
          caller.join();
        }
      };
      burst();
      const std::size_t before = first_closed.Requests().size() + second_closed.Requests().size();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(before), before <= std::size_t(2) * kCallers);
      burst();
      CPPUNIT_ASSERT_EQUAL(before,
                           first_closed.Requests().size() + second_closed.Requests().size());
      CPPUNIT_ASSERT_EQUAL(2 * kRequestsPerCaller * kCallers, served.load());
    });

}  // namespace
}  // namespace corianderhoist
