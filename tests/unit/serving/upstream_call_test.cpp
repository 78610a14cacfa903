// One attempt at an upstream, without the flow of a request.
#include "serving/upstream_call.h"
#include "platform/header_names.h"
#include "support/scripted_upstream.h"
#include "support/test_table.h"
#include "wire/io_loop.h"

#include <future>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

/// Makes attempts on an event loop of its own.
class call_maker {
 public:
  explicit call_maker(std::uint16_t port, const clock_source& clock = SystemClock())
      : port_(port), clock_(clock) {}
  ~call_maker() {
    loop_.RunAndWait([this] {
      call_.reset();
      connections_.Sweep([](upstream_handle) { return false; });
    });
  }
  call_maker(const call_maker&) = delete;
  call_maker& operator=(const call_maker&) = delete;

  /// Returns the result, or nothing when there is none in time. With `is_paused` the owner pauses
  /// reading at each part of the body.
  std::optional<call_result> Call(const std::string& id,
                                  bool is_paused,
                                  std::function<void()> on_sent = {}) {
    auto ended = std::make_shared<std::promise<call_result>>();
    auto result = ended->get_future();
    loop_.RunAndWait([&] {
      upstream_call::events events;
      events.on_sent = std::move(on_sent);
      events.on_body = [this, is_paused](std::string_view) { call_->Pause(is_paused); };
      events.on_end = [ended](call_result end, const std::string&) { ended->set_value(end); };
      call_ = std::make_shared<upstream_call>(connections_, names_, clock_, PlanOf(id, 0),
                                              std::move(events));
      call_->FinishBody();
      call_->Start();
    });
    if (result.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
      return std::nullopt;
    }
    return result.get();
  }

  /// Starts an upload whose response is not read yet. At its end `on_end` gets the result and the
  /// number of connections that are kept.
  void StartUpload(std::size_t bytes, std::function<void(call_result, std::size_t)> on_end) {
    loop_.RunAndWait([&] {
      upstream_call::events events;
      events.on_end = [this, on_end = std::move(on_end)](call_result end, const std::string&) {
        on_end(end, connections_.Size());
      };
      call_ = std::make_shared<upstream_call>(connections_, names_, clock_, PlanOf("upload", bytes),
                                              std::move(events));
      call_->SendBody(std::string(bytes, 'b'));
      call_->FinishBody();
      call_->Start();
    });
  }
  /// Waits until the rest of the upload is sent or dropped, and then reads the response.
  void ReadResponse() {
    std::size_t unsent = 1;
    while (unsent > 0) {
      loop_.RunAndWait([&] { unsent = call_->Unsent(); });
    }
    loop_.RunAndWait([this] { call_->Pause(false); });
  }
  void PauseReading() {
    loop_.RunAndWait([this] { call_->Pause(true); });
  }

 private:
  call_plan PlanOf(const std::string& id, std::size_t body_bytes) const {
    call_plan plan;
    plan.upstream = 1;
    plan.address = {"127.0.0.1", port_};
    plan.request_line = body_bytes == 0 ? "GET /safe/1" : "PUT /safe/1";
    plan.headers = {{names_.attempt_id, id}};
    plan.attempt_id = id;
    plan.has_body = body_bytes > 0;
    plan.body_length = body_bytes;
    plan.deadline = clock_.Now() + std::chrono::seconds(10);
    plan.connect_timeout = milliseconds(1000);
    plan.max_idle_time = milliseconds(1000);
    return plan;
  }

  const std::uint16_t port_;
  const clock_source& clock_;
  const upstream_header_names names_ = platform::UpstreamHeaderNames();
  connection_cache connections_{clock_};
  std::shared_ptr<upstream_call> call_;
  io_loop loop_{"calls"};
};

const test_table
    kPausedConnection("upstream call", "a connection is read again after a slow caller", [] {
      scripted_upstream upstream([](const scripted_request& request) {
        return scripted_answer{SignedAnswer(request, 200, "ok")};
      });
      call_maker calls(upstream.Port());
      CPPUNIT_ASSERT(calls.Call("id0", true) == call_result::kAnswered);
      CPPUNIT_ASSERT(calls.Call("id1", false) == call_result::kAnswered);
      CPPUNIT_ASSERT_EQUAL(upstream.Requests().at(0).connection,
                           upstream.Requests().at(1).connection);
    });

const test_table
    kRepeatedId("upstream call", "an id that a connection has carried gets another one", [] {
      scripted_upstream upstream([](const scripted_request& request) {
        return scripted_answer{SignedAnswer(request, 200, "ok")};
      });
      call_maker calls(upstream.Port());
      for (const char* id : {"id0", "id1", "id0", "id2"}) {
        CPPUNIT_ASSERT(calls.Call(id, false) == call_result::kAnswered);
      }
      const auto requests = upstream.Requests();
      CPPUNIT_ASSERT_EQUAL(requests.at(0).connection, requests.at(1).connection);
      CPPUNIT_ASSERT(requests.at(0).connection != requests.at(2).connection);
      CPPUNIT_ASSERT_EQUAL(requests.at(2).connection, requests.at(3).connection);
    });

/// The upstream ends the connection of a request without an answer.
struct loss_case {
  std::string name;
  bool is_reused;
  milliseconds after;  ///< Since the request was sent; the round trip takes no time.
  after_answer how;
  call_result result;
};

const test_table kLosses("upstream call",
                         std::vector<loss_case>{
                             {"a crash on a kept connection is no close of an idle one", true,
                              milliseconds(2), after_answer::kReset, call_result::kLost},
                             {"a crash with a regular close on a kept connection", true,
                              milliseconds(2), after_answer::kClose, call_result::kLost},
                             {"a close that crosses the request is no crash", true, milliseconds(0),
                              after_answer::kClose, call_result::kClosedIdle},
                             {"a reset that crosses the request is no crash", true, milliseconds(0),
                              after_answer::kReset, call_result::kClosedIdle},
                             {"a new connection has not been idle", false, milliseconds(0),
                              after_answer::kClose, call_result::kLost},
                         },
                         std::function([](const loss_case& row) {
                           manual_clock clock;
                           scripted_upstream upstream([&row](const scripted_request& request) {
                             return request.Header("X-Attempt-Id") == "kept"
                                        ? scripted_answer{SignedAnswer(request, 200, "ok")}
                                        : scripted_answer{"", row.how};
                           });
                           call_maker calls(upstream.Port(), clock);
                           if (row.is_reused) {
                             CPPUNIT_ASSERT(calls.Call("kept", false) == call_result::kAnswered);
                           }
                           const auto result =
                               calls.Call("lost", false, [&] { clock.Advance(row.after); });
                           CPPUNIT_ASSERT(result == row.result);
                           CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                                upstream.Requests().back().connection);
                         }));

const test_table kFailedSend(
    "upstream call",
    "a connection is not kept after a part of the body was dropped",
    [] {
      std::promise<void> has_arrived;
      std::promise<void> may_answer;
      scripted_upstream upstream([&](const scripted_request& request) {
        has_arrived.set_value();
        may_answer.get_future().wait();
        return scripted_answer{SignedAnswer(request, 200, "ok"), after_answer::kReset};
      });
      upstream.SetEarlyAnswers([](const scripted_request&) { return true; });
      upstream.UseSlowLink();
      call_maker calls(upstream.Port());
      std::promise<std::pair<call_result, std::size_t>> ended;
      calls.StartUpload(1'000'000, [&](call_result end, std::size_t kept) {
        ended.set_value({end, kept});
      });
      has_arrived.get_future().wait();
      calls.PauseReading();
      may_answer.set_value();
      calls.ReadResponse();
      const auto [end, kept] = ended.get_future().get();
      CPPUNIT_ASSERT(end == call_result::kAnswered);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), kept);
    });

const test_table
    kManyRequests("upstream call", "the ids that a connection remembers are bounded", [] {
      scripted_upstream upstream([](const scripted_request& request) {
        return scripted_answer{SignedAnswer(request, 200, "ok")};
      });
      call_maker calls(upstream.Port());
      constexpr std::size_t kRequestsPerConnection = 512;
      for (std::size_t i = 0; i <= kRequestsPerConnection; ++i) {
        CPPUNIT_ASSERT(calls.Call("id" + std::to_string(i), false) == call_result::kAnswered);
      }
      const auto requests = upstream.Requests();
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), requests.at(kRequestsPerConnection - 1).connection);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests.at(kRequestsPerConnection).connection);
    });

}  // namespace
}  // namespace corianderhoist
