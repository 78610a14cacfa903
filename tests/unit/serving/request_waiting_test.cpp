// Requests that wait at one entry VM for capacity of their service.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <QJsonArray>
#include <QJsonObject>

#include <atomic>
#include <functional>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kManyRunning = 1000;
constexpr milliseconds kPollInterval(5);
constexpr std::chrono::seconds kPatience(5);

std::size_t WaitingAt(serving_fixture& fixture) {
  std::size_t waiting = 0;
  fixture.Vm().Loop().RunAndWait([&] {
    for (const auto& queue : fixture.Vm().Dump()["service_queues"].toArray()) {
      for (const auto& count : queue.toObject()["waiting"].toObject()) {
        waiting += static_cast<std::size_t>(count.toInteger());
      }
    }
  });
  return waiting;
}

bool Becomes(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

struct wait_case {
  std::string name;
  std::function<void(serving_fixture&)> meanwhile;
  int status;  ///< 0: the caller disconnects and gets no answer.
  std::size_t runs;
};

std::string PolicyWithoutKey() {
  std::string document = serving_fixture::PolicyDocument();
  document.replace(document.find("key-a"), 5, "key-b");
  document.replace(document.find("\"r1\""), 4, "\"r2\"");
  return document;
}

// Guards against requests that do not wait, are never sent, or are sent although their key was
// withdrawn, their caller has gone or the VM shuts down while they wait.
const test_table kWaits(
    "request waiting",
    std::vector<wait_case>{
        {"is served once there is room", [](serving_fixture&) {}, 200, 1},
        {"is not sent after its key was withdrawn",
         [](serving_fixture& fixture) { fixture.Core().SetPolicy(PolicyWithoutKey(), 2); }, 401, 0},
        {"is not sent after its caller has left", nullptr, 0, 0},
        {"is refused by a drain that ends before it could",
         [](serving_fixture& fixture) { fixture.Vm().Drain([] {}); }, 503, 0},
    },
    std::function([](const wait_case& row) {
      serving_fixture fixture;
      std::atomic<std::size_t> runs = 0;
      fixture.Add("u1", "orders", [&runs](const scripted_request& request) {
        ++runs;
        return scripted_answer{SignedAnswer(request, 200, "ok")};
      });
      fixture.Core().SetCondition("u1", {.running = kManyRunning});
      fixture.SetQueue(4);
      fixture.SetDrain(milliseconds(10), milliseconds(450));
      fixture.Start();
      auto caller = std::make_unique<test_caller>(fixture.Port());
      caller->Send(caller_request{.method = "POST", .path = "/once/1"}.Bytes());
      CPPUNIT_ASSERT(Becomes([&] { return WaitingAt(fixture) == 1; }));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), runs.load());
      if (row.status == 0) {
        caller.reset();
        CPPUNIT_ASSERT(Becomes([&] { return WaitingAt(fixture) == 0; }));
      } else {
        row.meanwhile(fixture);
      }
      fixture.Core().SetCondition("u1", {.running = 0});
      if (caller) {
        CPPUNIT_ASSERT_EQUAL(row.status, caller->Receive().status);
      }
      CPPUNIT_ASSERT_EQUAL(row.runs, runs.load());
    }));

// Guards against the refusal of a request that upstreams have shed although one has room again
// before its deadline, and against a request that returns to the queue endlessly.
const test_table kReturns("request waiting", "returns to the queue once after it was shed", [] {
  for (const std::size_t sheds : {1, 9}) {
    serving_fixture fixture;
    std::atomic<std::size_t> arrivals = 0;
    fixture.Add("u1", "orders", [&arrivals, sheds](const scripted_request& request) {
      return ++arrivals > sheds ? scripted_answer{SignedAnswer(request, 200, "ok")}
                                : scripted_answer{
                                      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                      "Content-Length: 0\r\n\r\n"};
    });
    fixture.SetQueue(4);
    fixture.Start();
    const caller_answer answer = fixture.Call({.method = "POST", .path = "/once/1"});
    CPPUNIT_ASSERT_EQUAL(sheds == 1 ? 200 : 503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), arrivals.load());
  }
});

}  // namespace
}  // namespace corianderhoist
