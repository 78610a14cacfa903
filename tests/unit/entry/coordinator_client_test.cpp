// Calls to a coordinator group while its leader changes or members are unreachable.
#include "entry/coordinator_client.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include "control/configuration.h"
#include "coordinator/messages.h"

#include <atomic>
#include <future>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three members; only the one with index `leader` answers calls.
struct group_fixture {
  explicit group_fixture(bool names_leader) {
    for (int i = 0; i < 3; ++i) {
      const std::string name = "coordinator-" + std::to_string(i);
      servers.push_back(std::make_unique<rpc_server>(keys.Identity("coordinator", name), 1));
      servers.back()->Handle<session_request, empty_message>(
          "coordinator.session", {"entry"},
          [this, i, names_leader](const rpc_context&, const session_request&,
                                  const rpc_callback<empty_message>& reply) {
            ++calls;
            if (leader == i) {
              reply(empty_message{});
              return;
            }
            reply(rpc_failure{error_kind::kNotLeader, "ask another",
                              names_leader ? "coordinator-" + std::to_string(leader) : ""});
          });
      const auto port = Expect([&] { return servers.back()->Listen({"127.0.0.1", 0}); });
      group.members.push_back({name, {"127.0.0.1", port}});
    }
    group.region = "centre";
    loop.RunAndWait([this] {
      client = std::make_unique<coordinator_client>(loop, keys.Identity("entry", "entry-1"), group);
    });
  }
  ~group_fixture() {
    loop.RunAndWait([this] { client.reset(); });
  }

  rpc_result<empty_message> Call(milliseconds timeout) {
    std::promise<rpc_result<empty_message>> promise;
    loop.Post([&] {
      client->Call<empty_message>({"coordinator.session", [] { return Encode(session_request{}); },
                                   milliseconds(1000), SystemClock().Now() + timeout},
                                  [&](rpc_result<empty_message> reply, steady_time) {
                                    promise.set_value(std::move(reply));
                                  });
    });
    return promise.get_future().get();
  }

  test_certificate_authority keys;
  std::atomic<int> leader = 2;
  std::atomic<int> calls = 0;
  std::vector<std::unique_ptr<rpc_server>> servers;
  coordinator_group group;
  io_loop loop{"client"};
  std::unique_ptr<coordinator_client> client;
};

bool IsSuccess(const rpc_result<empty_message>& reply) {
  return std::holds_alternative<empty_message>(reply);
}

const test_table kFollowsLeader("coordinator client", "follows and remembers the leader", [] {
  group_fixture fixture(true);
  CPPUNIT_ASSERT(IsSuccess(fixture.Call(seconds(20))));
  CPPUNIT_ASSERT_EQUAL(2, fixture.calls.load());
  CPPUNIT_ASSERT(IsSuccess(fixture.Call(seconds(20))));
  CPPUNIT_ASSERT_EQUAL(3, fixture.calls.load());
  fixture.leader = 0;
  CPPUNIT_ASSERT(IsSuccess(fixture.Call(seconds(20))));
});

const test_table kFindsLeader("coordinator client", "finds a leader that no member names", [] {
  group_fixture fixture(false);
  CPPUNIT_ASSERT(IsSuccess(fixture.Call(seconds(20))));
});

const test_table kSkipsUnreachableMember("coordinator client",
                                         "tries the next member when one is unreachable",
                                         [] {
                                           group_fixture fixture(true);
                                           fixture.servers[0]->Close();
                                           CPPUNIT_ASSERT(IsSuccess(fixture.Call(seconds(20))));
                                         });

const test_table kFailsWithoutLeader("coordinator client",
                                     "fails at the deadline without a leader",
                                     [] {
                                       group_fixture fixture(true);
                                       fixture.leader = 7;
                                       const auto reply = fixture.Call(milliseconds(300));
                                       CPPUNIT_ASSERT(std::get<rpc_failure>(reply).kind ==
                                                      error_kind::kCoordinatorUnavailable);
                                     });

}  // namespace
}  // namespace corianderhoist
