// Graceful shutdown of an entry VM: it aborts no request, whether running, queued or arriving.
#include "support/entry_fixture.h"
#include "support/test_table.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

entry_options Options() {
  entry_options options;
  options.settings = {{"drain_delay", "1s"}};
  return options;
}

// Callers that reuse a connection until an answer has `Connection: close`, and stop at the first
// refused connection, as callers behind a load balancer do.
class load_generator {
 public:
  load_generator(entry_fixture& fixture, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, address = fixture.CallerAddress()] { Run(address); });
    }
  }
  ~load_generator() { Join(); }

  void Join() {
    for (std::thread& each : threads_) {
      if (each.joinable()) {
        each.join();
      }
    }
  }
  int Served() const { return served_; }
  std::string Failures() const {
    const std::lock_guard guard(lock_);
    return failures_;
  }

 private:
  void Run(const endpoint& address) {
    const http_call call{"GET", "/orders/1", {{"Corianderhoist-Key", entry_fixture::kKey}}, {}};
    http_client client(address);
    while (true) {
      const http_reply reply = client.Call(call, seconds(20));
      if (reply.status == 0 && reply.failure.find("connect") != std::string::npos) {
        return;  // The port is closed.
      }
      if (reply.status != 200) {
        const std::lock_guard guard(lock_);
        failures_ += std::to_string(reply.status) + " " + reply.failure + reply.body + "\n";
        return;
      }
      ++served_;
      if (reply.Header("connection") == "close") {
        client.Close();
      }
    }
  }

  std::atomic<int> served_ = 0;
  mutable std::mutex lock_;
  std::string failures_;
  std::vector<std::thread> threads_;
};

const test_table kLoad("drain", "under load aborts no request and exits with 0", [] {
  entry_fixture fixture(Options());
  load_generator callers(fixture, 8);
  WaitUntilOrThrow("200 requests are served", [&] { return callers.Served() > 200; });
  fixture.Entry().SendSignal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(0, fixture.Entry().WaitForEnd());
  callers.Join();
  CPPUNIT_ASSERT_EQUAL(std::string(), callers.Failures());
  CPPUNIT_ASSERT(fixture.Region().Sessions().back().is_leaving);
});

const test_table kReady("drain", "makes readiness answer 503 while requests are still served", [] {
  entry_fixture fixture(Options());
  const endpoint status{"127.0.0.1", fixture.Entry().Port("status")};
  CPPUNIT_ASSERT_EQUAL(200, CallOnce(status, {"GET", "/ready", {}, {}}, seconds(5)).status);
  fixture.Entry().SendSignal(SIGTERM);
  WaitUntilOrThrow("the readiness endpoint answers 503", [&] {
    return CallOnce(status, {"GET", "/ready", {}, {}}, seconds(5)).status == 503;
  });
  const http_reply reply = fixture.Get("/orders/1");
  CPPUNIT_ASSERT_EQUAL(200, reply.status);
  CPPUNIT_ASSERT_EQUAL(std::string("close"), reply.Header("connection"));
  CPPUNIT_ASSERT_EQUAL(0, fixture.Entry().WaitForEnd());
});

const test_table kLongRequest("drain", "waits for a long request", [] {
  entry_options options = Options();
  options.service_ms = 2500;
  entry_fixture fixture(options);
  http_reply reply;
  std::jthread caller([&] { reply = fixture.Post("/orders", "x", "order-1"); });
  WaitUntilOrThrow("the upstream runs the order", [&] { return fixture.TotalExecutions() == 1; });
  fixture.Entry().SendSignal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(0, fixture.Entry().WaitForEnd());
  caller.join();
  CPPUNIT_ASSERT_EQUAL(200, reply.status);
  CPPUNIT_ASSERT(fixture.WaitForCompletes(1).front().answer.has_value());
});

const test_table kQueued("drain", "waits for a request in the queue of the coordinator", [] {
  entry_fixture fixture(Options());
  std::atomic<bool> is_queueing = true;
  std::mutex lock;
  std::vector<std::function<void()>> queued_replies;
  std::atomic<int> asked = 0;
  const std::string address = FormatEndpoint({"127.0.0.1", fixture.Upstream().Port("upstream")});
  fixture.Region().SetDecision(
      [&](const acquire_request&, const rpc_callback<acquire_reply>& reply) {
        ++asked;
        if (!is_queueing) {
          return false;
        }
        const std::lock_guard guard(lock);
        queued_replies.emplace_back([reply, address] {
          reply(acquire_reply{"lease-q", "upstream-1", "i", address, "centre/centre-1"});
        });
        return true;
      });
  http_reply reply;
  std::jthread caller([&] { reply = fixture.Get("/orders/1"); });
  WaitUntilOrThrow("the request is queued", [&] { return asked > 0; });
  fixture.Entry().SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1300));  // Longer than the drain delay.
  CPPUNIT_ASSERT(fixture.Entry().IsRunning());
  {
    const std::lock_guard guard(lock);
    is_queueing = false;
    for (const auto& grant : queued_replies) {
      grant();
    }
  }
  CPPUNIT_ASSERT_EQUAL(0, fixture.Entry().WaitForEnd());
  caller.join();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.failure, 200, reply.status);
});

// Guards against a shutdown that hangs, and against the outcome `not_run` for a running request.
const test_table kDeadline("drain", "exits with 3 at its deadline, outcome unknown", [] {
  entry_options options = Options();
  options.service_ms = 2900;
  options.settings["drain_deadline"] = "1500ms";
  entry_fixture fixture(options);
  http_reply reply;
  std::jthread caller([&] { reply = fixture.Post("/orders", "x", "order-1"); });
  WaitUntilOrThrow("the upstream runs the order", [&] { return fixture.TotalExecutions() == 1; });
  fixture.Entry().SendSignal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(3, fixture.Entry().WaitForEnd());
  caller.join();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.failure, std::string("unknown"),
                               reply.Header("corianderhoist-outcome"));
});

const test_table kSecondSignal("drain", "exits at once on a second signal", [] {
  entry_options options = Options();
  options.service_ms = 2900;
  entry_fixture fixture(options);
  http_reply reply;
  std::jthread caller([&] { reply = fixture.Post("/orders", "x", "order-1"); });
  WaitUntilOrThrow("the upstream runs the order", [&] { return fixture.TotalExecutions() == 1; });
  fixture.Entry().SendSignal(SIGTERM);
  WaitUntilOrThrow("the drain has begun", [&] {
    return fixture.Entry().Output().find("drain_started") != std::string::npos;
  });
  fixture.Entry().SendSignal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(3, fixture.Entry().WaitForEnd());
  caller.join();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.failure, std::string("unknown"),
                               reply.Header("corianderhoist-outcome"));
});

}  // namespace
}  // namespace corianderhoist
