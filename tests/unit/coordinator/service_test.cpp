// A group of coordinator services on loopback: decisions, configuration from control, and orders
// across the loss of the leader.
#include "control/configuration.h"
#include "coordinator/coordinator_service.h"
#include "coordinator/messages.h"
#include "support/child_process.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"
#include "wire/rpc.h"

#include <atomic>
#include <future>
#include <mutex>
#include <optional>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallTimeout(5'000);

// Stub control server. Serves the configuration changes passed to `Add` and records the last
// acknowledged version.
class control_stub {
 public:
  explicit control_stub(test_certificate_authority& keys)
      : server_(keys.Identity("control", "control-1"), 1) {
    server_.Handle<config_fetch_request, config_fetch_reply>(
        "config.fetch", {"coordinator"},
        [this](const rpc_context&, const config_fetch_request& request,
               const rpc_callback<config_fetch_reply>& reply) {
          config_fetch_reply news;
          const std::lock_guard guard(lock_);
          for (const config_change& each : changes_) {
            if (each.version > request.after_version) {
              news.changes.push_back(each);
            }
          }
          reply(news);
        });
    server_.Handle<config_ack_request, empty_message>(
        "config.ack", {"coordinator"},
        [this](const rpc_context&, const config_ack_request& request,
               const rpc_callback<empty_message>& reply) {
          acknowledged_ = request.version;
          reply(empty_message{});
        });
    port_ = Expect([&] { return server_.Listen({"127.0.0.1", 0}); });
  }

  void Add(config_change change) {
    const std::lock_guard guard(lock_);
    change.version = changes_.size() + 1;
    changes_.push_back(std::move(change));
  }
  endpoint Address() const { return {"127.0.0.1", port_}; }
  std::uint64_t Acknowledged() const { return acknowledged_; }

 private:
  std::mutex lock_;
  std::vector<config_change> changes_;
  std::atomic<std::uint64_t> acknowledged_ = 0;
  std::uint16_t port_ = 0;
  rpc_server server_;
};

class group_fixture {
 public:
  group_fixture() : control_(keys_), loop_("entry") {
    config_change first;
    first.added_rules = {"service orders floor=50 # test",
                         "workspace acme places=north rate=1000/s burst=100 # test"};
    first.keys = {{"k", Sha256("key"), "acme", false}};
    control_.Add(first);
    for (int i = 0; i < 3; ++i) {
      ports_.emplace_back();
    }
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      services_.push_back(nullptr);
      StartMember(i);
      channels_.push_back(std::make_unique<rpc_channel>(loop_, keys_.Identity("entry", "entry-1"),
                                                        ports_[i].Address(), Name(i)));
    }
  }
  ~group_fixture() {
    channels_.clear();
    services_.clear();
  }
  group_fixture(const group_fixture&) = delete;
  group_fixture& operator=(const group_fixture&) = delete;

  static std::string Name(std::size_t index) { return "coordinator-" + std::to_string(index); }

  void StartMember(std::size_t index) {
    coordinator_settings settings;
    settings.process.name = Name(index);
    settings.process.listen = ports_[index].Address();
    settings.process.status_listen = {"127.0.0.1", 0};
    settings.process.tls = keys_.Issue("coordinator", Name(index));
    settings.region = "north";
    settings.data_centre = "a";
    settings.data_folder = keys_.Folder() / ("data-" + std::to_string(index));
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      settings.members.push_back({Name(i), ports_[i].Address()});
    }
    settings.control = {{"control-1", control_.Address()}};
    settings.regions = {"north"};
    services_[index] = std::make_unique<coordinator_service>(settings, clock_);
    Expect([&] { return services_[index]->Start(); });
  }
  void StopMember(std::size_t index) { services_[index].reset(); }

  template <class Reply, class Request>
  rpc_result<Reply> CallMember(std::size_t index,
                               const std::string& method,
                               const Request& request) {
    std::promise<rpc_result<Reply>> promise;
    channels_[index]->Call<Reply>(method, request, kCallTimeout, [&](rpc_result<Reply> reply) {
      promise.set_value(std::move(reply));
    });
    return promise.get_future().get();
  }

  // Calls the members in turn until one returns something other than `kNotLeader`, `kUnreachable`
  // or `kTimeout`.
  template <class Reply, class Request>
  rpc_result<Reply> CallLeader(const std::string& method, const Request& request) {
    rpc_result<Reply> last;
    WaitUntil([&] {
      for (std::size_t i = 0; i < services_.size(); ++i) {
        if (!services_[i]) {
          continue;
        }
        last = CallMember<Reply>(i, method, request);
        const auto* failure = std::get_if<rpc_failure>(&last);
        if (failure == nullptr ||
            (failure->kind != error_kind::kNotLeader && failure->kind != error_kind::kUnreachable &&
             failure->kind != error_kind::kTimeout)) {
          leader_ = i;
          return true;
        }
      }
      return false;
    });
    return last;
  }

  void Announce() {
    announcement message;
    message.upstream = "orders-1";
    message.incarnation = "i1";
    message.started_at_ms = 1;
    message.service = "orders";
    message.region = "north";
    message.data_centre = "a";
    message.address = "127.0.0.1:9";
    message.slots = 4;
    WaitUntilOrThrow("the announcement is accepted", [&] {
      return std::holds_alternative<empty_message>(
          CallLeader<empty_message>("coordinator.announce", message));
    });
  }

  static acquire_request Order(const std::string& id, const std::string& key) {
    acquire_request order;
    order.request_id = id;
    order.session = "s1";
    order.workspace = "acme";
    order.key_hash = Sha256("key");
    order.service = "orders";
    order.config_version = 1;
    order.fingerprint = Sha256(id);
    order.idempotency_key = key;
    order.remaining = seconds(4);
    return order;
  }

  control_stub& Control() { return control_; }
  std::size_t Leader() const { return leader_; }

 private:
  test_certificate_authority keys_;
  process_clock clock_;
  control_stub control_;
  std::vector<port_reservation> ports_;
  std::vector<std::unique_ptr<coordinator_service>> services_;
  io_loop loop_;
  std::vector<std::unique_ptr<rpc_channel>> channels_;
  std::size_t leader_ = 0;
};

const test_table kGroup(
    "coordinator group",
    "an order that ran is not run again after the loss of the leader",
    [] {
      group_fixture fixture;
      fixture.Announce();
      const auto first =
          fixture.CallLeader<acquire_reply>("coordinator.acquire", fixture.Order("r1", "k1"));
      CPPUNIT_ASSERT(std::holds_alternative<acquire_reply>(first));
      const auto& granted = std::get<acquire_reply>(first);
      CPPUNIT_ASSERT_EQUAL(std::string("orders-1"), granted.upstream);
      complete_request report;
      report.request_id = "r1";
      report.session = "s1";
      report.lease = granted.lease;
      report.workspace = "acme";
      report.upstream = granted.upstream;
      report.incarnation = granted.incarnation;
      report.outcome = attempt_result::kSuccess;
      report.idempotency_key = "k1";
      report.answer = stored_answer{201, {}, "done", true};
      CPPUNIT_ASSERT(std::holds_alternative<empty_message>(
          fixture.CallLeader<empty_message>("coordinator.complete", report)));
      const auto unfinished =
          fixture.CallLeader<acquire_reply>("coordinator.acquire", fixture.Order("r2", "k2"));
      CPPUNIT_ASSERT(std::holds_alternative<acquire_reply>(unfinished));

      fixture.StopMember(fixture.Leader());
      fixture.Announce();
      const auto resent =
          fixture.CallLeader<acquire_reply>("coordinator.acquire", fixture.Order("r3", "k1"));
      CPPUNIT_ASSERT(std::holds_alternative<acquire_reply>(resent));
      CPPUNIT_ASSERT(std::get<acquire_reply>(resent).replay.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("done"), std::get<acquire_reply>(resent).replay->body);
      const auto running =
          fixture.CallLeader<acquire_reply>("coordinator.acquire", fixture.Order("r4", "k2"));
      CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(running));
      CPPUNIT_ASSERT(std::get<rpc_failure>(running).kind == error_kind::kStillRunning);
    });

const test_table kConfig("coordinator group",
                         "a withdrawn key is refused once control has the region's acknowledgement",
                         [] {
                           group_fixture fixture;
                           fixture.Announce();
                           WaitUntilOrThrow("version 1 is acknowledged",
                                            [&] { return fixture.Control().Acknowledged() == 1; });
                           const auto before = fixture.CallLeader<acquire_reply>(
                               "coordinator.acquire", fixture.Order("r1", ""));
                           CPPUNIT_ASSERT(std::holds_alternative<acquire_reply>(before));
                           config_change withdrawal;
                           withdrawal.keys = {{"k", Sha256("key"), "acme", true}};
                           fixture.Control().Add(withdrawal);
                           WaitUntilOrThrow("version 2 is acknowledged",
                                            [&] { return fixture.Control().Acknowledged() == 2; });
                           const auto after = fixture.CallLeader<acquire_reply>(
                               "coordinator.acquire", fixture.Order("r2", ""));
                           CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(after));
                           CPPUNIT_ASSERT(std::get<rpc_failure>(after).kind ==
                                          error_kind::kKeyUnknown);
                           for (std::size_t i = 0; i < 3; ++i) {
                             WaitUntilOrThrow("every member serves version 2", [&] {
                               const auto news = fixture.CallMember<config_fetch_reply>(
                                   i, "config.fetch", config_fetch_request{1, milliseconds(1000)});
                               const auto* reply = std::get_if<config_fetch_reply>(&news);
                               return reply != nullptr && reply->changes.size() == 1 &&
                                      reply->changes[0].version == 2;
                             });
                           }
                         });

}  // namespace
}  // namespace corianderhoist
