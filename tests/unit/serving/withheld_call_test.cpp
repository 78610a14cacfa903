// One attempt at a scripted upstream, without a VM.
#include "serving/upstream_call.h"

#include "platform/header_names.h"
#include "support/scripted_upstream.h"
#include "support/test_table.h"
#include "wire/io_loop.h"

#include <future>
#include <memory>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

struct withheld_case {
  std::string name;
  bool is_reused;
};

// The statement arrives after the attempt has been started, while its connection is being
// established or the kept one is about to be used.
const test_table kWithheld("upstream call",
                           std::vector<withheld_case>{
                               {"nothing is sent on a new connection after a statement", false},
                               {"nothing is sent on a kept connection after a statement", true},
                           },
                           std::function([](const withheld_case& row) {
                             scripted_upstream upstream([](const scripted_request& request) {
                               return scripted_answer{SignedAnswer(request, 200, "ok")};
                             });
                             const upstream_header_names names = platform::UpstreamHeaderNames();
                             connection_cache cache(SystemClock());
                             bool may_send = true;
                             std::shared_ptr<upstream_call> call;
                             io_loop loop("test");
                             const auto run = [&](const std::string& id,
                                                  bool is_closed_after_start) {
                               std::promise<call_result> ended;
                               loop.RunAndWait([&] {
                                 call_plan plan;
                                 plan.upstream = 1;
                                 plan.address = {"127.0.0.1", upstream.Port()};
                                 plan.request_line = "GET /";
                                 plan.deadline = SystemClock().Now() + std::chrono::seconds(10);
                                 plan.headers = {{names.attempt_id, id}};
                                 plan.attempt_id = id;
                                 plan.body_length = 0;
                                 plan.connect_timeout = milliseconds(1000);
                                 plan.max_idle_time = milliseconds(1000);
                                 upstream_call::events events;
                                 events.may_send = [&may_send] { return may_send; };
                                 events.on_end = [&ended](call_result result, const std::string&) {
                                   ended.set_value(result);
                                 };
                                 call = std::make_shared<upstream_call>(cache, names, SystemClock(),
                                                                        std::move(plan),
                                                                        std::move(events));
                                 call->FinishBody();
                                 call->Start();
                                 may_send = !is_closed_after_start;
                               });
                               return ended.get_future().get();
                             };
                             if (row.is_reused) {
                               CPPUNIT_ASSERT(run("first", false) == call_result::kAnswered);
                             }
                             const std::size_t before = upstream.Requests().size();
                             const call_result result = run("second", true);
                             CPPUNIT_ASSERT(result == call_result::kWithheld);
                             CPPUNIT_ASSERT(IsNotRun(result));
                             CPPUNIT_ASSERT(!call->IsSent());
                             CPPUNIT_ASSERT_EQUAL(row.is_reused, call->IsReused());
                             CPPUNIT_ASSERT_EQUAL(before, upstream.Requests().size());
                             loop.RunAndWait([&] {
                               call.reset();
                               cache.Sweep([](upstream_handle) { return false; });
                             });
                           }));

}  // namespace
}  // namespace corianderhoist
