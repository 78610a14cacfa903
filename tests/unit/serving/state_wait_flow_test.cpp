// Requests that reach an entry VM before its first state, with a core VM that has none yet.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

scripted_answer Echo(const scripted_request& request) {
  return scripted_answer{SignedAnswer(request, 200, std::to_string(request.body.size()))};
}

/// Returns whether this many requests wait, which they do after a few milliseconds.
bool WaitForWaiting(serving_fixture& fixture, std::size_t count) {
  constexpr int kAttempts = 2000;
  for (int i = 0; i < kAttempts && fixture.Waiting() != count; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return fixture.Waiting() == count;
}

/// The fixture's policy with long time limits and a rate of the workspace.
std::string PolicyWithRate() {
  std::string text = serving_fixture::PolicyDocument();
  const auto replace = [&](const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + 1)) {
      text.replace(at, from.size(), to);
    }
  };
  replace(R"("timeout_ms":1500)", R"("timeout_ms":60000)");
  replace(R"("rate_per_s":0,"burst":0)", R"("rate_per_s":50,"burst":50)");
  return text;
}

// Guards against requests that are lost or cut while they have no route: body in parts, a body
// larger than what is kept for repeats, a caller that leaves, a bound on the number, a policy that
// comes before the rates.
const test_table kServed("state wait", "requests before the first state are served by it", [] {
  serving_fixture fixture;
  fixture.SetMaxWaiting(4);
  scripted_upstream& upstream = fixture.Add("u1", "orders", Echo);
  fixture.Core().RemovePolicy();
  fixture.Core().SetCounting(false);
  fixture.StartUnready();
  const auto request = [](std::string id, std::string body) {
    return caller_request{.method = "POST",
                          .path = "/once/1",
                          .id = std::move(id),
                          .deadline_ms = 60'000,
                          .body = std::move(body)}
        .Bytes();
  };
  test_caller brief(fixture.Port());
  brief.Send(request("brief", "0123456789"));
  test_caller parts(fixture.Port());
  const std::string whole = request("parts", "0123456789");
  parts.Send(whole.substr(0, whole.size() - 5));
  test_caller large(fixture.Port());
  large.Send(request("large", std::string(200'000, 'x')));
  auto leaving = std::make_unique<test_caller>(fixture.Port());
  leaving->Send(request("leaving", ""));
  CPPUNIT_ASSERT(WaitForWaiting(fixture, 4));
  CPPUNIT_ASSERT_EQUAL(503, fixture.Call({.method = "POST", .path = "/once/1"}).status);
  leaving.reset();
  CPPUNIT_ASSERT(WaitForWaiting(fixture, 3));
  fixture.Core().SetPolicy(PolicyWithRate(), 1);
  fixture.WaitUntilReady();
  CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.Waiting());
  fixture.Core().SetCounting(true);
  parts.Send(whole.substr(whole.size() - 5));
  CPPUNIT_ASSERT_EQUAL(std::string("10"), brief.Receive().body);
  CPPUNIT_ASSERT_EQUAL(std::string("10"), parts.Receive().body);
  CPPUNIT_ASSERT_EQUAL(std::string("200000"), large.Receive().body);
  CPPUNIT_ASSERT_EQUAL(std::size_t(3), upstream.Requests().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.Waiting());
});

// Guards against a caller that learns nothing, or waits on, when the VM stops before its state.
const test_table kStopped("state wait", "a stop refuses the waiting requests as not run", [] {
  serving_fixture fixture;
  fixture.SetMaxWaiting(4);
  fixture.SetDrain(milliseconds(100), milliseconds(1000));
  fixture.Core().RemovePolicy();
  fixture.StartUnready();
  test_caller caller(fixture.Port());
  caller.Send(caller_request{.method = "POST", .path = "/once/1", .deadline_ms = 60'000}.Bytes());
  CPPUNIT_ASSERT(WaitForWaiting(fixture, 1));
  fixture.Stop();
  const caller_answer answer = caller.Receive();
  CPPUNIT_ASSERT_EQUAL(503, answer.status);
  CPPUNIT_ASSERT(answer.body.find("shutting_down") != std::string::npos);
});

}  // namespace
}  // namespace corianderhoist
