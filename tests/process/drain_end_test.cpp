// The end of a graceful shutdown of an entry VM, with callers that go on until its process is gone.
#include "support/entry_fixture.h"
#include "support/test_table.h"

#include <QJsonDocument>
#include <QTcpSocket>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

entry_options Options(const char* delay, const char* deadline, int service_ms) {
  entry_options options;
  options.service_ms = service_ms;
  options.settings = {{"drain_delay", delay}, {"drain_deadline", deadline}};
  return options;
}

/// Serves one order per caller thread of the entry VM, so that it knows how long orders take.
void WarmUp(entry_fixture& fixture) {
  constexpr int kOrders = 6;
  std::vector<std::thread> callers;
  callers.reserve(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    callers.emplace_back([&] { fixture.Post("/orders", "x"); });
  }
  for (std::thread& each : callers) {
    each.join();
  }
}

/// Callers that send one order after the other until no connection is accepted any more.
class endless_callers {
 public:
  endless_callers(entry_fixture& fixture, int callers, bool is_connection_kept) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, address = fixture.CallerAddress(), is_connection_kept] {
        Run(address, is_connection_kept);
      });
    }
  }
  ~endless_callers() { Join(); }

  /// Returns the number of replies by outcome: "served", "unknown", "not_run: ERROR", or the
  /// failure of a request without an answer.
  std::map<std::string, int> Join() {
    for (std::thread& each : threads_) {
      each.join();
    }
    threads_.clear();
    return outcomes_;
  }

 private:
  static std::string OutcomeOf(const http_reply& reply) {
    if (reply.status == 0) {
      return reply.failure;
    }
    if (reply.status == 200) {
      return "served";
    }
    const std::string outcome = reply.Header("corianderhoist-outcome");
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
    return outcome == "not_run" ? "not_run: " + body["error"].toString().toStdString() : outcome;
  }

  void Run(const endpoint& address, bool is_connection_kept) {
    const http_call call{"POST", "/orders", {{"Corianderhoist-Key", entry_fixture::kKey}}, "x"};
    http_client client(address);
    while (true) {
      const http_reply reply = client.Call(call, seconds(20));
      if (reply.status == 0 && reply.failure.find("refused") != std::string::npos) {
        return;  // The port is closed.
      }
      {
        const std::lock_guard guard(lock_);
        ++outcomes_[OutcomeOf(reply)];
      }
      if (!is_connection_kept || reply.Header("connection") == "close") {
        client.Close();
      }
      constexpr milliseconds kPause(5);
      std::this_thread::sleep_for(kPause);
    }
  }

  std::mutex lock_;
  std::map<std::string, int> outcomes_;
  std::vector<std::thread> threads_;
};

std::string Describe(const std::map<std::string, int>& outcomes) {
  std::string text;
  for (const auto& [outcome, count] : outcomes) {
    text += outcome + " " + std::to_string(count) + "; ";
  }
  return text;
}

struct load_case {
  std::string name;
  const char* delay;
  int service_ms;
  bool is_connection_kept;
};

// Guards against requests that are taken late in a drain and cut at its end.
const test_table kLoad("drain whose callers go on cuts no request",
                       std::vector<load_case>{
                           {"on new connections, short work", "300ms", 20, false},
                           {"on new connections, long work", "300ms", 600, false},
                           {"on new connections, accepted until shortly before the end", "1900ms",
                            20, false},
                           {"on new connections, long work, accepted until shortly before the end",
                            "1900ms", 600, false},
                           {"on kept connections, short work", "1900ms", 20, true},
                           {"on kept connections, long work", "1900ms", 600, true},
                       },
                       std::function([](const load_case& row) {
                         entry_fixture fixture(Options(row.delay, "2s", row.service_ms));
                         WarmUp(fixture);
                         const int before = fixture.TotalExecutions();
                         endless_callers callers(fixture, 12, row.is_connection_kept);
                         std::this_thread::sleep_for(seconds(1));
                         fixture.Entry().SendSignal(SIGTERM);
                         const int code = fixture.Entry().WaitForEnd();
                         std::map<std::string, int> outcomes = callers.Join();
                         const std::string seen = Describe(outcomes);
                         const int served = outcomes["served"];
                         CPPUNIT_ASSERT_MESSAGE(seen, served > 10);
                         CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, served,
                                                      fixture.TotalExecutions() - before);
                         outcomes.erase("served");
                         outcomes.erase("not_run: shutting_down");
                         CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::string(), Describe(outcomes));
                         CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 0, code);
                       }));

// Guards against requests that are taken after the sessions have been closed.
const test_table kSecondSignal("drain", "a second signal leaves no request without an answer", [] {
  entry_fixture fixture(Options("5s", "20s", 100));
  endless_callers callers(fixture, 12, false);
  std::this_thread::sleep_for(milliseconds(500));
  fixture.Entry().SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  fixture.Entry().SendSignal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(3, fixture.Entry().WaitForEnd());
  std::map<std::string, int> outcomes = callers.Join();
  const std::string seen = Describe(outcomes);
  for (const char* allowed : {"served", "unknown", "not_run: shutting_down"}) {
    outcomes.erase(allowed);
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::string(), Describe(outcomes));
});

struct upload_case {
  std::string name;
  std::string first_part;
  milliseconds rest_at;  ///< Of the upload, after the signal.
  std::string rest;
  int service_ms;
  std::string status_line;
  std::string member;  ///< Part of the answer.
  int executions;
};

std::string OrderHead(int length) {
  return std::string("POST /orders HTTP/1.1\r\nHost: h\r\nCorianderhoist-Key: ") +
         entry_fixture::kKey + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Guards against uploads that are cut at the end, or whose requests are.
const test_table kUpload(
    "upload during a drain of 2 s",
    std::vector<upload_case>{
        {"that ends early is served", OrderHead(2) + "x", milliseconds(500), "y", 100,
         "HTTP/1.1 200", "/orders", 1},
        {"that ends too late for its work is refused", OrderHead(2) + "x", milliseconds(1600), "y",
         1000, "HTTP/1.1 503", "\"outcome\":\"not_run\"", 0},
        {"that does not end is refused", OrderHead(9) + "x", milliseconds(1600), "y", 100,
         "HTTP/1.1 503", "\"error\":\"shutting_down\",\"outcome\":\"not_run\"", 0},
        {"whose header does not end is refused", "POST /orders HTTP/1.1\r\nHost: h\r\n",
         milliseconds(1600), "A: b\r\n", 100, "HTTP/1.1 503",
         "\"error\":\"shutting_down\",\"outcome\":\"not_run\"", 0},
    },
    std::function([](const upload_case& row) {
      entry_fixture fixture(Options("300ms", "2s", row.service_ms));
      WarmUp(fixture);
      const int before = fixture.TotalExecutions();
      QTcpSocket socket;
      socket.connectToHost("127.0.0.1", fixture.CallerAddress().port);
      CPPUNIT_ASSERT(socket.waitForConnected(5000));
      socket.write(row.first_part.data());
      socket.waitForBytesWritten(1000);
      std::this_thread::sleep_for(milliseconds(100));
      fixture.Entry().SendSignal(SIGTERM);
      std::this_thread::sleep_for(row.rest_at);
      socket.write(row.rest.data());
      socket.waitForBytesWritten(1000);
      std::string answer;
      while (socket.waitForReadyRead(5000)) {
        answer += socket.readAll().toStdString();
      }
      fixture.Entry().WaitForEnd();
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(row.status_line));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find(row.member) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(before + row.executions, fixture.TotalExecutions());
    }));

}  // namespace
}  // namespace corianderhoist
