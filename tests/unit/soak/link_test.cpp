// The loopback proxy between entry VMs and upstreams hides no reset: without a length, an answer
// that is reset is not complete, while one that is closed is.
#include "soak/blocking_http.h"
#include "support/fault_proxy.h"
#include "support/scripted_upstream.h"
#include "support/test_table.h"

#include <string>
#include <vector>

namespace corianderhoist::soak {
namespace {

struct end_case {
  std::string name;
  after_answer after;
  bool is_complete;
};

const test_table kEnds("soak link",
                       std::vector<end_case>{
                           {"passes a reset on as a reset", after_answer::kReset, false},
                           {"passes a close on as a close", after_answer::kClose, true}},
                       std::function([](const end_case& row) {
                         const scripted_upstream upstream([&](const scripted_request&) {
                           return scripted_answer{"HTTP/1.1 200 OK\r\n\r\nbody", row.after};
                         });
                         io_loop loop("proxy");
                         fault_proxy proxy(loop, {"127.0.0.1", upstream.Port()});
                         proxy.Listen({"127.0.0.1", 0});
                         const received_answer answer =
                             CallOnNewConnection({"127.0.0.1", proxy.Port()}, "GET", "/", "",
                                                 std::chrono::milliseconds(5000));
                         CPPUNIT_ASSERT_EQUAL(200, answer.status);
                         CPPUNIT_ASSERT_EQUAL(row.is_complete, answer.is_complete);
                         CPPUNIT_ASSERT(!answer.has_timed_out);
                       }));

}  // namespace
}  // namespace corianderhoist::soak
