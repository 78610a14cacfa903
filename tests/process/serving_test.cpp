// An entry VM between callers and upstreams with all faults of the simulated upstream. The upstream
// counts what it executes, so each outcome that a caller receives is compared with the executions.
#include "support/entry_fixture.h"
#include "support/test_table.h"

#include <QJsonDocument>
#include <QTcpSocket>

#include <atomic>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

std::string ErrorOf(const http_reply& reply) {
  const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
  return body["error"].toString().toStdString();
}

std::string OutcomeOf(const http_reply& reply) {
  return reply.Header("corianderhoist-outcome");
}

std::string TargetOf(const http_reply& reply) {
  const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
  return body["target"].toString().toStdString();
}

std::string Describe(const http_reply& reply) {
  return std::to_string(reply.status) + " " + reply.failure + " " + reply.body;
}

struct order_case {
  std::string name;
  std::string faults;
  int status;
  std::string error;
  std::string outcome;
  int executions;
  attempt_result reported;
  std::size_t attempts = 1;
};

// Guards against an order that runs twice, and against the outcome `not_run` for one that ran.
const test_table kOrders(
    "order",
    std::vector<order_case>{
        {"is served", R"({})", 200, "", "", 1, attempt_result::kSuccess},
        {"whose upstream closes after the header", R"({"answer":"close_after_headers"})", 502,
         "upstream_broken", "unknown", 0, attempt_result::kConnectionLost},
        {"whose upstream closes after the body", R"({"answer":"close_after_body"})", 502,
         "upstream_broken", "unknown", 1, attempt_result::kConnectionLost},
        {"whose upstream resets", R"({"answer":"reset"})", 502, "upstream_broken", "unknown", 1,
         attempt_result::kConnectionLost},
        {"whose answer ends in the middle", R"({"answer":"close_mid_answer"})", 0, "", "", 1,
         attempt_result::kBrokenAnswer},
        {"whose answer is shorter than announced", R"({"answer":"short_body"})", 0, "", "", 1,
         attempt_result::kBrokenAnswer},
        {"whose answer comes after the deadline", R"({"answer":"late","late_ms":8000})", 504,
         "upstream_timeout", "unknown", 1, attempt_result::kTimeout},
        {"whose answer comes twice", R"({"answer":"twice"})", 200, "", "", 1,
         attempt_result::kSuccess},
        {"whose upstream sends early bytes", R"({"answer":"early_bytes"})", 200, "", "", 1,
         attempt_result::kSuccess},
        {"whose upstream fails", R"({"fail_share":1})", 500, "", "", 1,
         attempt_result::kServerError},
        {"that the upstream sheds", R"({"shedding":true})", 503, "upstream_shedding", "not_run", 0,
         attempt_result::kShed, 3},
    },
    std::function([](const order_case& row) {
      entry_fixture fixture({.upstreams = 2});
      fixture.SetFaults(row.faults, 0);
      fixture.SetFaults(row.faults, 1);
      const http_reply reply = fixture.Post("/orders", "one apron", "order-1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), row.status, reply.status);
      CPPUNIT_ASSERT_EQUAL(row.error, ErrorOf(reply));
      CPPUNIT_ASSERT_EQUAL(row.outcome, OutcomeOf(reply));
      const auto completes = fixture.WaitForCompletes(row.attempts);
      CPPUNIT_ASSERT_EQUAL(row.attempts, completes.size());
      for (const complete_request& each : completes) {
        CPPUNIT_ASSERT(each.outcome == row.reported);
        CPPUNIT_ASSERT_EQUAL(std::string("order-1"), each.idempotency_key);
      }
      const bool is_whole =
          row.reported == attempt_result::kSuccess || row.reported == attempt_result::kServerError;
      CPPUNIT_ASSERT_EQUAL(is_whole, completes.front().answer.has_value());
      CPPUNIT_ASSERT_EQUAL(row.executions, fixture.TotalExecutions());
    }));

const test_table kUnreachable("order", "to a stopped upstream is refused as not run", [] {
  entry_fixture fixture;
  fixture.SetFaults(R"({"silent":true})");
  fixture.Upstream().Kill();
  const http_reply reply = fixture.Post("/orders", "one apron", "order-1");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), std::string("upstream_unreachable"),
                               ErrorOf(reply));
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeOf(reply));
  CPPUNIT_ASSERT(fixture.WaitForCompletes(1).front().outcome == attempt_result::kConnectFailed);
});

// Guards against a refusal when nothing was sent and another upstream could run the order.
const test_table kOtherUpstream("order", "goes to another upstream when one is stopped", [] {
  entry_fixture fixture({.upstreams = 2});
  fixture.Upstream(1).Kill();  // The fake region chooses it first.
  const http_reply reply = fixture.Post("/orders", "one apron", "order-1");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), 200, reply.status);
  const auto completes = fixture.WaitForCompletes(2);
  CPPUNIT_ASSERT(completes[0].outcome == attempt_result::kConnectFailed);
  CPPUNIT_ASSERT(completes[0].request_id != completes[1].request_id);
  CPPUNIT_ASSERT_EQUAL(1, fixture.Executions(0)["total"].toInt());
});

const test_table kReplay("order", "that is repeated gets the stored answer and does not run", [] {
  entry_fixture fixture;
  fixture.Region().SetDecision(
      [](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        acquire_reply replay;
        replay.replay = stored_answer{201, {"X-Upstream: u"}, "kept", true};
        reply(std::move(replay));
        return true;
      });
  const http_reply reply = fixture.Post("/orders", "one apron", "order-1");
  CPPUNIT_ASSERT_EQUAL(201, reply.status);
  CPPUNIT_ASSERT_EQUAL(std::string("kept"), reply.body);
  CPPUNIT_ASSERT_EQUAL(std::string("true"), reply.Header("corianderhoist-replayed"));
  CPPUNIT_ASSERT_EQUAL(std::string("u"), reply.Header("x-upstream"));
  CPPUNIT_ASSERT_EQUAL(0, fixture.TotalExecutions());
});

const test_table kLargeAnswer("order", "with an answer too large to store is refused", [] {
  entry_fixture fixture;
  fixture.Region().SetDecision(
      [](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        acquire_reply replay;
        replay.replay = stored_answer{200, {}, "", false};
        reply(std::move(replay));
        return true;
      });
  const http_reply reply = fixture.Post("/orders", "one apron", "order-1");
  CPPUNIT_ASSERT_EQUAL(std::string("answer_not_stored"), ErrorOf(reply));
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"), OutcomeOf(reply));
});

const test_table
    kOrderCallerGone("order", "whose caller disconnects continues and its answer is stored", [] {
      entry_fixture fixture({.service_ms = 300});
      QTcpSocket caller;
      caller.connectToHost("127.0.0.1", fixture.CallerAddress().port);
      CPPUNIT_ASSERT(caller.waitForConnected());
      caller.write(
          ("POST /orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\nContent-Length: 2\r\n"
           "Corianderhoist-Key: " +
           std::string(entry_fixture::kKey) + "\r\n\r\nhi")
              .c_str());
      caller.waitForBytesWritten();
      WaitUntilOrThrow("the upstream runs the order",
                       [&] { return fixture.TotalExecutions() == 1; });
      caller.abort();
      const complete_request report = fixture.WaitForCompletes(1).front();
      CPPUNIT_ASSERT(report.outcome == attempt_result::kSuccess);
      CPPUNIT_ASSERT(report.answer && report.answer->status == 200 && !report.answer->body.empty());
    });

const test_table kCancelled("request", "whose caller disconnects is cancelled at the upstream", [] {
  entry_fixture fixture({.service_ms = 2000});
  QTcpSocket caller;
  caller.connectToHost("127.0.0.1", fixture.CallerAddress().port);
  CPPUNIT_ASSERT(caller.waitForConnected());
  caller.write(("GET /orders/1 HTTP/1.1\r\nHost: a\r\nCorianderhoist-Key: " +
                std::string(entry_fixture::kKey) + "\r\n\r\n")
                   .c_str());
  caller.waitForBytesWritten();
  WaitUntilOrThrow("the upstream runs the request", [&] { return fixture.TotalExecutions() == 1; });
  caller.abort();
  const complete_request report = fixture.WaitForCompletes(1).front();
  CPPUNIT_ASSERT(report.outcome == attempt_result::kCancelled);
  CPPUNIT_ASSERT(report.is_upstream_busy);
});

struct retry_case {
  std::string name;
  std::string faults;
};

// Guards against a GET that fails although another upstream could serve it.
const test_table kRetries("get is served by another upstream when one",
                          std::vector<retry_case>{
                              {"closes after the header", R"({"answer":"close_after_headers"})"},
                              {"closes after the body", R"({"answer":"close_after_body"})"},
                              {"resets", R"({"answer":"reset"})"},
                              {"fails", R"({"fail_share":1})"},
                              {"sheds", R"({"shedding":true})"},
                              {"is too late", R"({"answer":"late","late_ms":9000})"},
                          },
                          std::function([](const retry_case& row) {
                            entry_fixture fixture({.upstreams = 2});
                            // The fake region chooses the last one by name first.
                            fixture.SetFaults(row.faults, 1);
                            const http_reply reply = fixture.Get("/orders/1");
                            CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), 200, reply.status);
                            CPPUNIT_ASSERT_EQUAL(std::string("upstream-1"),
                                                 reply.Header("x-upstream"));
                            const auto completes = fixture.WaitForCompletes(2);
                            CPPUNIT_ASSERT(completes[0].outcome != attempt_result::kSuccess);
                            CPPUNIT_ASSERT(completes[1].outcome == attempt_result::kSuccess);
                          }));

const test_table kBudget("get", "retries stay within the budget when every upstream fails", [] {
  entry_fixture fixture({.upstreams = 2});
  fixture.SetFaults(R"({"answer":"reset"})", 0);
  fixture.SetFaults(R"({"answer":"reset"})", 1);
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    const http_reply reply = fixture.Get("/orders/1");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), std::string("unknown"), OutcomeOf(reply));
  }
  // The budget is a reserve of 10 retries and a tenth of the requests.
  CPPUNIT_ASSERT(fixture.TotalExecutions() <= kCalls + 10 + kCalls / 10);
});

const test_table kUnknownAfterRetry(
    "get",
    "that may have run keeps the outcome unknown when its retry is refused",
    [] {
      entry_fixture fixture;
      fixture.SetFaults(R"({"answer":"close_after_body"})");
      fixture.Region().SetDecision(
          [](const acquire_request& request, const rpc_callback<acquire_reply>& reply) {
            if (request.avoid.empty()) {
              return false;
            }
            reply(rpc_failure{error_kind::kQueueFull, "the queue is full", {}});
            return true;
          });
      const http_reply reply = fixture.Get("/orders/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), std::string("unknown"), OutcomeOf(reply));
      CPPUNIT_ASSERT_EQUAL(1, fixture.TotalExecutions());
    });

// Guards against answers that reach another caller. Every answer contains its target.
const test_table kMisdelivered(
    "answers",
    "that are repeated, early or from a previous request reach only their own caller",
    [] {
      entry_fixture fixture({.upstreams = 2});
      std::atomic<bool> has_ended = false;
      std::thread fault_setter([&] {
        const std::vector<std::string> faults = {"twice", "early_bytes", "former_answer", "none",
                                                 "short_body"};
        for (std::size_t i = 0; !has_ended; ++i) {
          fixture.SetFaults(R"({"answer_share":0.3,"answer":")" + faults[i % faults.size()] + "\"}",
                            (i / faults.size()) % 2);
          std::this_thread::sleep_for(milliseconds(60));
        }
      });
      std::atomic<int> served = 0;
      std::atomic<int> misdelivered = 0;
      std::vector<std::thread> callers;
      callers.reserve(8);
      const endpoint address = fixture.CallerAddress();
      for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&, caller] {
          http_client client(address);
          for (int i = 0; i < 400; ++i) {
            const std::string target =
                "/orders/" + std::to_string(caller) + "-" + std::to_string(i);
            const http_reply reply =
                client.Call({"GET", target, {{"Corianderhoist-Key", entry_fixture::kKey}}, {}},
                            milliseconds(10'000));
            if (reply.status == 200) {
              ++served;
              misdelivered += TargetOf(reply) == target ? 0 : 1;
            }
          }
        });
      }
      for (std::thread& each : callers) {
        each.join();
      }
      has_ended = true;
      fault_setter.join();
      CPPUNIT_ASSERT_EQUAL(0, misdelivered.load());
      CPPUNIT_ASSERT(served > 1600);
    });

const test_table kHeaders("upstream", "gets the deadline and the request id but never the key", [] {
  entry_fixture fixture;
  const std::string key = entry_fixture::kKey;
  for (const http_call& call : std::vector<http_call>{
           {"GET", "/orders/1", {{"Corianderhoist-Key", key}, {"X-Copy", "a" + key}}, {}},
           {"GET", "/orders/1", {{"Authorization", "Bearer " + key}}, {}},
           {"GET", "/open/1", {{"Authorization", "bearer " + key}}, {}},
           {"GET", "/open/1", {{"Corianderhoist-Key", key}, {"Corianderhoist_Key", "x"}}, {}},
           {"GET", "/open/1", {{"Connection", "X-Secret"}, {"X-Secret", "1"}}, {}}}) {
    const http_reply reply = fixture.Call(call);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), 200, reply.status);
  }
  const http_reply seen = CallOnce({"127.0.0.1", fixture.Upstream().Port("upstream")},
                                   {"GET", "/_test/headers", {}, {}}, milliseconds(5000));
  CPPUNIT_ASSERT(seen.body.find(key) == std::string::npos);
  CPPUNIT_ASSERT(seen.body.find("orianderhoist_Key") == std::string::npos);
  CPPUNIT_ASSERT(seen.body.find("X-Secret") == std::string::npos);
  CPPUNIT_ASSERT(seen.body.find("Corianderhoist-Deadline-Ms") != std::string::npos);
  CPPUNIT_ASSERT(seen.body.find("Corianderhoist-Request-Id") != std::string::npos);
  CPPUNIT_ASSERT(fixture.Entry().Output().find(key) == std::string::npos);
});

// Guards against a withdrawn key that still works on open connections.
const test_table kWithdrawn("key", "that is withdrawn is refused on an open connection", [] {
  entry_fixture fixture;
  http_client client(fixture.CallerAddress());
  const http_call call{"GET", "/orders/1", {{"Corianderhoist-Key", entry_fixture::kKey}}, {}};
  CPPUNIT_ASSERT_EQUAL(200, client.Call(call, milliseconds(5000)).status);
  // The home coordinator has the withdrawal; the entry VM still has the former configuration.
  std::atomic<bool> is_refusing = true;
  fixture.Region().SetDecision(
      [&](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        if (is_refusing) {
          reply(rpc_failure{error_kind::kKeyUnknown, "the key is withdrawn", {}});
        }
        return is_refusing.load();
      });
  CPPUNIT_ASSERT_EQUAL(std::string("key_unknown"), ErrorOf(client.Call(call, milliseconds(5000))));
  const int version = fixture.State()["entry"].toObject()["config_version"].toInt();
  fixture.Region().SetKey(entry_fixture::kKey, "shop", true);
  WaitUntilOrThrow("the entry VM has the withdrawal", [&] {
    return fixture.State()["entry"].toObject()["config_version"].toInt() > version;
  });
  is_refusing = false;
  CPPUNIT_ASSERT_EQUAL(std::string("key_unknown"), ErrorOf(client.Call(call, milliseconds(5000))));
  CPPUNIT_ASSERT_EQUAL(1, fixture.TotalExecutions());
});

// Guards against the use of a decision from a leader that was suspended in between.
const test_table kLateDecision("decision", "that arrives after 2 s is not used", [] {
  entry_fixture fixture;
  std::atomic<int> calls = 0;
  std::thread late;
  fixture.Region().SetDecision(
      [&](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        if (++calls > 1) {
          return false;
        }
        late = std::thread([reply, port = fixture.Upstream().Port("upstream")] {
          std::this_thread::sleep_for(milliseconds(2200));
          reply(acquire_reply{"old-lease", "upstream-1", "old", FormatEndpoint({"127.0.0.1", port}),
                              "centre/centre-1"});
        });
        return true;
      });
  const http_reply reply = fixture.Post("/orders", "x", "order-1");
  late.join();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(reply), 200, reply.status);
  CPPUNIT_ASSERT_EQUAL(2, calls.load());
  CPPUNIT_ASSERT(fixture.WaitForCompletes(1).front().lease != "old-lease");
  CPPUNIT_ASSERT_EQUAL(1, fixture.TotalExecutions());
});

const test_table kNoCoordinator("coordinators", "without a leader leave a request not run", [] {
  entry_fixture fixture;
  fixture.Region().SetDecision(
      [](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        reply(rpc_failure{error_kind::kNotLeader, "no leader", {}});
        return true;
      });
  const http_reply reply = fixture.Post("/orders", "x", "order-1");
  CPPUNIT_ASSERT_EQUAL(503, reply.status);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeOf(reply));
  CPPUNIT_ASSERT_EQUAL(0, fixture.TotalExecutions());
});

}  // namespace
}  // namespace corianderhoist
