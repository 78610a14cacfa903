// Guards against coordinated omission: a stall must show in the latency of every request that it
// delays.
#include "experiment/load_run.h"
#include "support/fault_proxy.h"
#include "support/test_table.h"
#include "support/upstream.h"
#include "wire/io_loop.h"

#include <memory>

namespace corianderhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct quantile_row {
  std::string name;
  double share;
  int expected;
};

const test_table kQuantiles("load_quantile",
                            std::vector<quantile_row>{{"lowest", 0, 1},
                                                      {"median", 0.5, 50},
                                                      {"p99", 0.99, 99},
                                                      {"p999_of_100", 0.999, 100},
                                                      {"highest", 1, 100}},
                            std::function([](const quantile_row& row) {
                              std::vector<microseconds> values;
                              for (int i = 100; i > 0; --i) {
                                values.emplace_back(i);
                              }
                              CPPUNIT_ASSERT_EQUAL(
                                  std::int64_t(row.expected),
                                  std::int64_t(Quantile(values, row.share).count()));
                            }));

class upstream_thread {
 public:
  explicit upstream_thread(milliseconds service_time) {
    loop_.RunAndWait([&] {
      upstream_settings settings;
      settings.announced.slots = 100;
      settings.service_time = service_time;
      upstream_ = std::make_unique<simulated_upstream>(settings, [](int) {});
      address_ = {"127.0.0.1", upstream_->Listen({"127.0.0.1", 0})};
    });
  }
  ~upstream_thread() {
    loop_.RunAndWait([&] { upstream_.reset(); });
  }
  upstream_thread(const upstream_thread&) = delete;
  upstream_thread& operator=(const upstream_thread&) = delete;
  const endpoint& Address() const { return address_; }

 private:
  io_loop loop_{"upstream"};
  std::unique_ptr<simulated_upstream> upstream_;
  endpoint address_;
};

const test_table kOpenLoop("load_run", "open_loop_counts_waiting_before_the_send", [] {
  const upstream_thread upstream(milliseconds(50));
  load_plan plan;
  plan.addresses = {upstream.Address()};
  plan.workspaces = {{"shop", ""}};
  plan.rate = 100;  // Five times the capacity of one connection.
  plan.connections = 1;
  plan.duration = milliseconds(500);
  const load_result result = RunLoad(plan)["shop"];
  CPPUNIT_ASSERT(result.Served() > 0);
  // Measured from the send, the maximum latency would be about 50 ms.
  CPPUNIT_ASSERT(Quantile(result.latencies, 1) > milliseconds(200));
});

const test_table kClosedLoop("load_run", "closed_loop_shares_requests_among_workspaces", [] {
  const upstream_thread upstream(milliseconds(1));
  load_plan plan;
  plan.addresses = {upstream.Address()};
  plan.workspaces = {{"a", "key-a"}, {"b", "key-b"}};
  plan.connections = 2;
  plan.duration = milliseconds(300);
  load_results results = RunLoad(plan);
  CPPUNIT_ASSERT(results["a"].Served() > 0);
  CPPUNIT_ASSERT(results["b"].Served() > 0);
  CPPUNIT_ASSERT_EQUAL(results["a"].sent, results["a"].ends["200"]);
});

}  // namespace
}  // namespace corianderhoist
