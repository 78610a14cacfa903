// Tests that the simulated upstream and the fault proxy inject the faults that other tests rely on.
// Without the fault, those tests would pass without testing anything.
#include "base/hash.h"
#include "experiment/http_client.h"
#include "support/child_process.h"
#include "support/fault_proxy.h"
#include "support/test_table.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <csignal>
#include <filesystem>
#include <future>
#include <memory>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
constexpr milliseconds kShortTimeout{300};
constexpr milliseconds kTimeout{20'000};

struct upstream_fixture {
  std::filesystem::path log =
      std::filesystem::temp_directory_path() / ("upstream-" + ToHex(RandomBytes(6)) + ".log");
  child_process process;
  endpoint address;

  explicit upstream_fixture(std::vector<std::string> flags = {})
      : process(ProgramPath("test-upstream"), std::move(flags), log) {
    process.Start();
    address = {"127.0.0.1", process.Port("upstream")};
  }
  ~upstream_fixture() {
    process.Kill();
    std::filesystem::remove(log);
    std::filesystem::remove(log.string() + ".errors");
  }
  upstream_fixture(const upstream_fixture&) = delete;
  upstream_fixture& operator=(const upstream_fixture&) = delete;

  void SetFaults(const std::string& faults) const {
    const auto reply = CallOnce(address, {"POST", "/_test/faults", {}, faults}, kTimeout);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
  }
  QJsonObject Executions() const {
    const auto reply = CallOnce(address, {"GET", "/_test/executions", {}, ""}, kTimeout);
    return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
  }
};

struct fault_row {
  std::string name;
  std::string faults;
  int status;           // 0: no complete answer
  std::string failure;  // reported by the client
  int executions;
};

const test_table kAnswerFaults(
    "upstream_faults",
    std::vector<fault_row>{
        {"none", R"({"answer":"none"})", 200, "", 1},
        {"close_after_headers", R"({"answer":"close_after_headers"})", 0, "connection closed", 0},
        {"close_after_body", R"({"answer":"close_after_body"})", 0, "connection closed", 1},
        {"close_mid_answer", R"({"answer":"close_mid_answer"})", 0, "connection closed", 1},
        {"short_body", R"({"answer":"short_body"})", 0, "connection closed", 1},
        {"reset", R"({"answer":"reset"})", 0, "connection reset", 1},
        {"late", R"({"answer":"late","late_ms":5000})", 0, "timeout", 1},
        {"twice", R"({"answer":"twice"})", 200, "", 1},
        {"early_bytes", R"({"answer":"early_bytes"})", 200, "", 1},
        {"failing", R"({"fail_share":1})", 500, "", 1},
        {"shedding", R"({"shedding":true})", 503, "", 0},
    },
    std::function([](const fault_row& row) {
      const upstream_fixture upstream;
      upstream.SetFaults(row.faults);
      const auto timeout = row.failure == "timeout" ? kShortTimeout : kTimeout;
      const auto reply =
          CallOnce(upstream.address, {"POST", "/orders", {{"X-Order", "o1"}}, "{}"}, timeout);
      CPPUNIT_ASSERT_EQUAL(row.status, reply.status);
      CPPUNIT_ASSERT_EQUAL(row.failure, reply.failure);
      const QJsonObject orders = upstream.Executions()["orders"].toObject();
      CPPUNIT_ASSERT_EQUAL(row.executions, orders["o1"].toInt());
    }));

const test_table kFormerAnswer("upstream", "sends_previous_answer_of_the_connection", [] {
  const upstream_fixture upstream;
  http_client client(upstream.address);
  client.Call({"GET", "/first", {}, ""}, kTimeout);
  upstream.SetFaults(R"({"answer":"former_answer"})");
  const auto reply = client.Call({"GET", "/second", {}, ""}, kTimeout);
  CPPUNIT_ASSERT(reply.body.find("/first") != std::string::npos);
});

const test_table kSlots("upstream", "sheds_work_beyond_its_slots_without_executing_it", [] {
  const upstream_fixture upstream({"--slots=1", "--service_ms=100000"});
  auto first = std::async(std::launch::async, [&] {
    return CallOnce(upstream.address, {"GET", "/a", {}, ""}, kTimeout);
  });
  CPPUNIT_ASSERT(WaitUntil([&] { return upstream.Executions()["running"].toInt() == 1; }));
  const auto second = CallOnce(upstream.address, {"GET", "/b", {}, ""}, kTimeout);
  CPPUNIT_ASSERT_EQUAL(503, second.status);
  CPPUNIT_ASSERT_EQUAL(std::string("1"), second.Header("corianderhoist-shed"));
  CPPUNIT_ASSERT_EQUAL(1, upstream.Executions()["total"].toInt());
  ::kill(static_cast<pid_t>(upstream.process.ProcessId()), SIGKILL);
  CPPUNIT_ASSERT_EQUAL(0, first.get().status);
});

const test_table kCrash("upstream", "exits_on_a_body_with_the_crash_text", [] {
  upstream_fixture upstream;
  upstream.SetFaults(R"({"crash_body":"poison"})");
  CPPUNIT_ASSERT_EQUAL(
      200, CallOnce(upstream.address, {"POST", "/orders", {}, "fine"}, kTimeout).status);
  CPPUNIT_ASSERT_EQUAL(
      0, CallOnce(upstream.address, {"POST", "/orders", {}, "a poison"}, kTimeout).status);
  CPPUNIT_ASSERT_EQUAL(70, upstream.process.WaitForEnd());
});

const test_table kConfiguredEndpoints("upstream", "reports_configured_health_and_load", [] {
  const upstream_fixture upstream;
  upstream.SetFaults(R"({"health_status":503,"load":0.25})");
  CPPUNIT_ASSERT_EQUAL(503,
                       CallOnce(upstream.address, {"GET", "/health", {}, ""}, kTimeout).status);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"load":0.25})"),
                       CallOnce(upstream.address, {"GET", "/load", {}, ""}, kTimeout).body);
});

struct proxy_fixture {
  upstream_fixture upstream;
  io_loop loop{"proxy"};
  fault_proxy proxy{loop, upstream.address};
  endpoint address{"127.0.0.1", proxy.Listen({"127.0.0.1", 0})};
  http_client client{address};
};

const test_table kForwarding("fault_proxy", "forwards_and_counts_bytes", [] {
  proxy_fixture fixture;
  CPPUNIT_ASSERT_EQUAL(200, fixture.client.Call({"GET", "/a", {}, ""}, kTimeout).status);
  CPPUNIT_ASSERT(fixture.proxy.ForwardedBytes() > 0);
});

const test_table kBackwardCut("fault_proxy", "backward_cut_delivers_requests_but_no_answers", [] {
  proxy_fixture fixture;
  fixture.proxy.SetBackward({.is_cut = true});
  const auto reply = fixture.client.Call({"GET", "/a", {}, ""}, kShortTimeout);
  CPPUNIT_ASSERT_EQUAL(std::string("timeout"), reply.failure);
  CPPUNIT_ASSERT(WaitUntil([&] { return fixture.upstream.Executions()["total"].toInt() == 1; }));
});

const test_table kForwardCut("fault_proxy", "forward_cut_delivers_no_request_to_the_target", [] {
  proxy_fixture fixture;
  fixture.proxy.SetForward({.is_cut = true});
  fixture.client.Call({"GET", "/a", {}, ""}, kShortTimeout);
  CPPUNIT_ASSERT_EQUAL(0, fixture.upstream.Executions()["total"].toInt());
  fixture.proxy.Heal();
  CPPUNIT_ASSERT_EQUAL(200, fixture.client.Call({"GET", "/b", {}, ""}, kTimeout).status);
});

const test_table kRefusal("fault_proxy", "refuses_resets_and_recovers", [] {
  proxy_fixture fixture;
  fixture.client.Call({"GET", "/a", {}, ""}, kTimeout);
  fixture.proxy.CloseConnections(true);
  fixture.proxy.SetRefusing(true);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fixture.client.Call({"GET", "/b", {}, ""}, kTimeout).status == 0;
  }));
  fixture.proxy.SetRefusing(false);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fixture.client.Call({"GET", "/c", {}, ""}, kTimeout).status == 200;
  }));
});

struct link_row {
  std::string name;
  link_faults faults;
};

// Checks lower bounds only, which hold on a machine of any speed.
const test_table kSlowLinks(
    "fault_proxy_links",
    std::vector<link_row>{{"delay", {.delay = milliseconds(150)}},
                          {"bandwidth", {.bytes_per_second = 1'000}}},
    std::function([](const link_row& row) {
      proxy_fixture fixture;
      fixture.proxy.SetBackward(row.faults);
      const auto start = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(200, fixture.client.Call({"GET", "/a", {}, ""}, kTimeout).status);
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= milliseconds(140));
    }));

}  // namespace
}  // namespace corianderhoist
