// Invalid input to a running entry VM: each case is refused and the connection closed, within the
// configured limits, and no upstream executes anything.
#include "support/entry_fixture.h"
#include "support/test_table.h"

#include <QTcpSocket>

#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One entry VM for all rows; each row checks that the process still serves.
entry_fixture& SharedFixture() {
  static auto* const kFixture =
      new entry_fixture({.settings = {{"limits", QJsonObject{{"header_bytes", 4096},
                                                             {"body_bytes", 10'000},
                                                             {"header_timeout", "500ms"},
                                                             {"body_timeout", "500ms"}}}}});
  return *kFixture;
}

std::string Keyed(const std::string& line, const std::string& headers) {
  return line + " HTTP/1.1\r\nHost: a\r\nCorianderhoist-Key: " + entry_fixture::kKey + "\r\n" +
         headers + "\r\n";
}

struct raw_case {
  std::string name;
  std::string bytes;
  int status;
  std::string error;
};

const test_table kRefused(
    "bad input",
    std::vector<raw_case>{
        {"length and coding",
         Keyed("POST /orders", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") +
             "0\r\n\r\n" + Keyed("POST /orders", "Content-Length: 0\r\n"),
         400, "bad_request"},
        {"repeated length", Keyed("POST /orders", "Content-Length: 0\r\nContent-Length: 90\r\n"),
         400, "bad_request"},
        {"bare line feeds", "GET /open/a HTTP/1.1\nHost: a\n\n", 400, "bad_request"},
        {"upgrade", Keyed("GET /orders", "Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400,
         "bad_request"},
        {"absolute target", Keyed("GET http://a/open/a", ""), 400, "bad_request"},
        {"authority target", Keyed("CONNECT a:80", ""), 400, "bad_request"},
        {"dot segments behind an open route", "GET /open/../orders HTTP/1.1\r\nHost: a\r\n\r\n",
         400, "bad_request"},
        {"encoded dot segments behind an open route",
         "GET /open/%2e%2e/orders HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad_request"},
        {"encoded slash behind an open route", "GET /open/..%2forders HTTP/1.1\r\nHost: a\r\n\r\n",
         400, "bad_request"},
        {"prefix that is no whole segment", "GET /openorders HTTP/1.1\r\nHost: a\r\n\r\n", 404,
         "no_route"},
        {"method that the open route does not list",
         "POST /open/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404, "no_route"},
        {"two keys", Keyed("GET /orders", "Corianderhoist-Key: b\r\n"), 400, "bad_request"},
        {"key and bearer", Keyed("GET /orders", "Authorization: Bearer b\r\n"), 400, "bad_request"},
        {"no key", "GET /orders HTTP/1.1\r\nHost: a\r\n\r\n", 401, "key_missing"},
        {"unknown key", "GET /orders HTTP/1.1\r\nHost: a\r\nCorianderhoist-Key: b\r\n\r\n", 401,
         "key_unknown"},
        {"key in the target", Keyed(std::string("GET /orders?k=") + entry_fixture::kKey, ""), 400,
         "bad_request"},
        {"key in the connection options",
         "GET /orders HTTP/1.1\r\nHost: a\r\nConnection: Corianderhoist-Key\r\n\r\n", 401,
         "key_missing"},
        {"long idempotency key",
         Keyed("POST /orders",
               "Idempotency-Key: " + std::string(201, 'x') + "\r\nContent-Length: 0\r\n"),
         400, "idempotency_key_invalid"},
        {"empty idempotency key",
         Keyed("POST /orders", "Idempotency-Key:\r\nContent-Length: 0\r\n"), 400,
         "idempotency_key_invalid"},
        {"oversized header", Keyed("GET /orders", "X: " + std::string(5000, 'x') + "\r\n"), 431,
         "header_too_large"},
        {"endless header", "GET /orders HTTP/1.1\r\nX: " + std::string(1'000'000, 'x'), 431,
         "header_too_large"},
        {"oversized body",
         Keyed("POST /orders", "Content-Length: 10001\r\n") + std::string(10'001, 'x'), 413,
         "body_too_large"},
        {"endless body",
         Keyed("POST /orders", "Transfer-Encoding: chunked\r\n") + "ffffff\r\n" +
             std::string(1'000'000, 'x'),
         413, "body_too_large"},
        {"slow header", "GET /orders HTTP/1.1\r\nHost: a\r\n", 408, "request_timeout"},
        {"slow body", Keyed("POST /orders", "Content-Length: 10\r\n") + "abc", 408,
         "request_timeout"},
        {"body for a request without key",
         "POST /orders HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
         401, "key_missing"},
        {"invalid deadline", Keyed("GET /orders", "Corianderhoist-Deadline-Ms: -1\r\n"), 400,
         "bad_request"},
    },
    std::function([](const raw_case& row) {
      entry_fixture& fixture = SharedFixture();
      const int executions_before = fixture.TotalExecutions();
      const std::string answer = fixture.SendRaw(row.bytes, seconds(5));
      const std::string start = "HTTP/1.1 " + std::to_string(row.status) + " ";
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(start));
      CPPUNIT_ASSERT_MESSAGE(answer,
                             answer.find("\"error\":\"" + row.error + "\"") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\"outcome\":\"not_run\"") != std::string::npos);
      // Exactly one answer: what follows a refused request is not read as a request.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, answer.rfind("HTTP/1.1 "), std::size_t(0));
      CPPUNIT_ASSERT_EQUAL(executions_before, fixture.TotalExecutions());
      CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/orders/1").status);
    }));

const test_table kPipeline("pipelined requests", "are answered in order, one at a time", [] {
  entry_fixture& fixture = SharedFixture();
  std::string bytes;
  for (int i = 0; i < 50; ++i) {
    bytes += Keyed("GET /orders/p" + std::to_string(i), i == 49 ? "Connection: close\r\n" : "");
  }
  const std::string answers = fixture.SendRaw(bytes);
  std::size_t at = 0;
  for (int i = 0; i < 50; ++i) {
    at = answers.find("\"target\":\"/orders/p" + std::to_string(i) + "\"", at);
    CPPUNIT_ASSERT_MESSAGE("answer " + std::to_string(i), at != std::string::npos);
  }
});

const test_table kContinue("expectation", "of 100-continue is answered before the body", [] {
  entry_fixture& fixture = SharedFixture();
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", fixture.CallerAddress().port);
  CPPUNIT_ASSERT(socket.waitForConnected());
  socket.write(Keyed("POST /orders",
                     "Expect: 100-continue\r\nContent-Length: 2\r\n"
                     "Connection: close\r\n")
                   .c_str());
  CPPUNIT_ASSERT(socket.waitForReadyRead());
  CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                       socket.readAll().toStdString());
  socket.write("hi");
  CPPUNIT_ASSERT(socket.waitForReadyRead());
  CPPUNIT_ASSERT(socket.readAll().startsWith("HTTP/1.1 200"));
});

const test_table kSlowSender("slow sender", "of one byte at a time gets 408 at the time limit", [] {
  entry_fixture& fixture = SharedFixture();
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", fixture.CallerAddress().port);
  CPPUNIT_ASSERT(socket.waitForConnected());
  const std::string bytes = Keyed("GET /orders", std::string("X: ") + std::string(2000, 'x'));
  std::string answer;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < bytes.size() && answer.empty(); ++i) {
    socket.write(&bytes[i], 1);
    socket.waitForReadyRead(20);
    answer = socket.readAll().toStdString();
  }
  CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 408 "));
  CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < seconds(20));
});

const test_table
    kConnectionLimit("connections", "over the limit are refused and the others still served", [] {
      entry_fixture fixture({.settings = {{"limits", QJsonObject{{"connections", 20}}}}});
      std::vector<std::unique_ptr<QTcpSocket>> idle;
      for (int i = 0; i < 20; ++i) {
        idle.push_back(std::make_unique<QTcpSocket>());
        idle.back()->connectToHost("127.0.0.1", fixture.CallerAddress().port);
        CPPUNIT_ASSERT(idle.back()->waitForConnected());
      }
      WaitUntilOrThrow("all connections are counted", [&] {
        return fixture.State()["entry"].toObject()["caller_connections"].toInt() == 20;
      });
      const http_reply refused = fixture.Get("/orders/1");
      CPPUNIT_ASSERT_EQUAL(503, refused.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.Header("corianderhoist-outcome"));
      idle.front()->write(Keyed("GET /orders/2", "").c_str());
      CPPUNIT_ASSERT(idle.front()->waitForReadyRead());
      CPPUNIT_ASSERT(idle.front()->readAll().startsWith("HTTP/1.1 200"));
    });

struct announcement_case {
  std::string name;
  std::string method;
  std::string target;
  std::string body;
  int status;
};

constexpr const char* kAnnounced =
    R"({"incarnation":"i","started_at_ms":1,"service":"orders","region":"centre",)"
    R"("data_centre":"centre-1","address":"127.0.0.1:9","slots":4,"state":"leaving"})";

const test_table kAnnouncements(
    "announcement",
    std::vector<announcement_case>{
        {"whole", "PUT", "/v1/upstreams/other", kAnnounced, 204},
        {"with another method", "POST", "/v1/upstreams/other", kAnnounced, 404},
        {"for another path", "PUT", "/v2/upstreams/other", kAnnounced, 404},
        {"with an invalid name", "PUT", "/v1/upstreams/a,b", kAnnounced, 404},
        {"without JSON", "PUT", "/v1/upstreams/other", "x", 400},
        {"without members", "PUT", "/v1/upstreams/other", "{}", 400},
        {"too large", "PUT", "/v1/upstreams/other", std::string(9000, ' ') + std::string(9000, ' '),
         413},
        {"of an unknown region", "PUT", "/v1/upstreams/other",
         R"({"incarnation":"i","started_at_ms":1,"service":"orders","region":"moon",)"
         R"("data_centre":"m-1","address":"127.0.0.1:9","slots":4,"state":"ready"})",
         400},
    },
    std::function([](const announcement_case& row) {
      entry_fixture& fixture = SharedFixture();
      const http_reply reply = CallOnce(fixture.AnnouncementAddress(),
                                        {row.method, row.target, {}, row.body}, seconds(5));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, row.status, reply.status);
    }));

}  // namespace
}  // namespace corianderhoist
