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
  explicit call_maker(std::uint16_t port) : port_(port) {}
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
  std::optional<call_result> Call(const std::string& id, bool is_paused) {
    auto ended = std::make_shared<std::promise<call_result>>();
    auto result = ended->get_future();
    loop_.RunAndWait([&] {
      call_plan plan;
      plan.upstream = 1;
      plan.address = {"127.0.0.1", port_};
      plan.request_line = "GET /safe/1";
      plan.headers = {{names_.attempt_id, id}};
      plan.attempt_id = id;
      plan.body_length = 0;
      plan.deadline = SystemClock().Now() + std::chrono::seconds(10);
      plan.connect_timeout = milliseconds(1000);
      plan.max_idle_time = milliseconds(1000);
      upstream_call::events events;
      events.on_body = [this, is_paused](std::string_view) { call_->Pause(is_paused); };
      events.on_end = [ended](call_result end, const std::string&) { ended->set_value(end); };
      call_ = std::make_shared<upstream_call>(connections_, names_, SystemClock(), plan,
                                              std::move(events));
      call_->FinishBody();
      call_->Start();
    });
    if (result.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
      return std::nullopt;
    }
    return result.get();
  }

 private:
  const std::uint16_t port_;
  const upstream_header_names names_ = platform::UpstreamHeaderNames();
  connection_cache connections_{SystemClock()};
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
