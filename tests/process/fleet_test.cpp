// End-to-end tests with real processes: callers, entry VMs, coordinators, control and upstreams.
#include "support/fleet.h"
#include "support/fleet_caller.h"
#include "support/fleet_rules.h"
#include "support/order_stream.h"
#include "support/test_table.h"

#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace corianderhoist {
namespace {

// A fleet with the demonstration rules and a key per workspace.
struct served_fleet {
  fleet processes;
  std::map<std::string, fleet::workspace_key> keys;

  explicit served_fleet(fleet_plan plan) : processes(std::move(plan)) {
    processes.StartAll();
    processes.ApplyRules(DemonstrationRules());
    for (const char* workspace : {"aprons", "shelving", "twine", "kiln"}) {
      keys[workspace] = processes.GiveKey(workspace);
    }
    for (const std::string& entry : processes.Names("entry-")) {
      AwaitServed(entry);
    }
  }

  void AwaitServed(const std::string& entry) {
    fleet_caller caller(processes, entry);
    for (const char* workspace : {"aprons", "shelving", "twine"}) {
      caller.AwaitServed(Key(workspace), "/catalogue/ready");
    }
  }
  const std::string& Key(const std::string& workspace) const { return keys.at(workspace).text; }
  int TotalExecutions(const std::string& upstream) {
    return fleet::Get(processes.Upstream(upstream), "/_test/executions")["total"].toInt();
  }
};

fleet_plan SmallPlan() {
  fleet_plan plan;
  plan.entries = 1;
  plan.services = {"catalogue", "orders"};
  plan.drain_delay = "100ms";
  return plan;
}

bool IsProxiedAcrossRegions(const std::string& from, const std::string& to) {
  return !from.starts_with("operator") && fleet::RegionOf(from) != fleet::RegionOf(to);
}

void AssertRefusedNotRun(const http_reply& reply, int status) {
  const std::string shown = std::to_string(reply.status) + ' ' + reply.failure + reply.body;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, status, reply.status);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("not_run"),
                               reply.Header("corianderhoist-outcome"));
}

// Guards against entry VMs that serve a workspace outside its places or forward its key.
const test_table
    kServedInPlaces("fleet", "either_entry_vm_serves_in_the_allowed_place_without_the_key", [] {
      fleet_plan plan = SmallPlan();
      plan.entries = 2;
      served_fleet served(plan);
      for (const std::string& entry : served.processes.Names("entry-centre-")) {
        fleet_caller caller(served.processes, entry);
        const http_reply aprons = caller.Read(served.Key("aprons"), "/catalogue/1");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(aprons.body, 200, aprons.status);
        CPPUNIT_ASSERT_EQUAL(std::string("centre"), fleet_caller::PlaceOf(aprons).substr(0, 6));
        const http_reply twine =
            caller.Order(served.Key("twine"), "/orders", "order-" + entry, "{\"item\":1}");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(twine.body, 200, twine.status);
        CPPUNIT_ASSERT_EQUAL(std::string("east"), fleet_caller::PlaceOf(twine).substr(0, 4));
        CPPUNIT_ASSERT_EQUAL(1, served.processes.Executions("order-" + entry));
      }
      for (const std::string& upstream : served.processes.Names("upstream-")) {
        const http_reply headers = CallOnce(served.processes.Upstream(upstream),
                                            {"GET", "/_test/headers", {}, {}}, kCallTimeout);
        CPPUNIT_ASSERT_EQUAL(200, headers.status);
        for (const auto& [workspace, key] : served.keys) {
          CPPUNIT_ASSERT(headers.body.find(key.text) == std::string::npos);
        }
      }
    });

// Guards against entry VMs that admit a key from their local copy of the configuration: the
// disconnected one has not received the withdrawal.
const test_table
    kWithdrawnKey("fleet", "withdrawn_key_is_refused_by_a_disconnected_entry_vm_too", [] {
      fleet_plan plan = SmallPlan();
      plan.entries = 2;
      plan.is_proxied = [](const std::string& from, const std::string&) {
        return from == "entry-centre-2";
      };
      served_fleet served(plan);
      fleet_caller near(served.processes, "entry-centre-1");
      fleet_caller cut(served.processes, "entry-centre-2");
      served.processes.ForLinksOf("entry-centre-2", [](fault_proxy& link) { link.Cut(); });
      const program_output output = served.processes.WithdrawKey(served.keys["aprons"].id);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output.output + output.errors, 0, output.exit_code);
      AssertRefusedNotRun(near.Read(served.Key("aprons"), "/catalogue/withdrawn"), 401);
      AssertRefusedNotRun(cut.Read(served.Key("aprons"), "/catalogue/withdrawn"), 503);
      served.processes.ForLinksOf("entry-centre-2", [](fault_proxy& link) { link.Heal(); });
      CPPUNIT_ASSERT(WaitUntil([&] {
        const http_reply reply = cut.Read(served.Key("aprons"), "/catalogue/withdrawn");
        CPPUNIT_ASSERT(reply.status != 200);
        return reply.status == 401;
      }));
      for (const std::string& upstream : served.processes.Names("upstream-")) {
        const QJsonObject seen =
            fleet::Get(served.processes.Upstream(upstream), "/_test/executions");
        CPPUNIT_ASSERT(!seen["paths"].toObject().contains("/catalogue/withdrawn"));
      }
    });

// Guards against a fallback to another region when the allowed places have no upstream.
const test_table
    kNoUpstream("fleet", "workspace_without_upstream_in_its_places_is_never_served", [] {
      served_fleet served(SmallPlan());
      for (const std::string& entry : served.processes.Names("entry-")) {
        fleet_caller caller(served.processes, entry);
        AssertRefusedNotRun(caller.Read(served.Key("kiln"), "/catalogue/kiln"), 503);
        AssertRefusedNotRun(caller.Order(served.Key("kiln"), "/orders", "kiln-order", "{}"), 503);
      }
      CPPUNIT_ASSERT_EQUAL(0, served.processes.Executions("kiln-order"));
    });

// Guards against entry VMs or coordinators that keep sending to an upstream that announced
// `leaving`.
const test_table kLeaving("fleet", "leaving_upstream_gets_no_new_request_after_3_s", [] {
  fleet_plan plan = SmallPlan();
  plan.entries = 2;
  plan.drain_grace_ms = 3'600'000;  // The leaving upstream keeps running and would serve.
  served_fleet served(plan);
  const std::string leaving = "upstream-catalogue-centre-1";
  served.processes.Process(leaving).SendSignal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  served.processes.Process("entry-centre-2").Kill();
  served.processes.Start("entry-centre-2");
  served.processes.Process("entry-centre-2").Port("callers");
  const int before = served.TotalExecutions(leaving);
  for (const std::string& entry : served.processes.Names("entry-centre-")) {
    served.AwaitServed(entry);
    fleet_caller caller(served.processes, entry);
    for (int i = 0; i < 100; ++i) {
      const http_reply reply = caller.Read(served.Key("aprons"), "/catalogue/after");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    }
  }
  CPPUNIT_ASSERT_EQUAL(before, served.TotalExecutions(leaving));
});

// Guards against a request that crashes every upstream because its caller resends it.
const test_table kCrashRequest("fleet", "crashing_request_stops_after_two_upstreams", [] {
  fleet_plan plan = SmallPlan();
  plan.upstreams = 4;
  served_fleet served(plan);
  const std::vector<std::string> upstreams = served.processes.Names("upstream-orders-centre-");
  for (const std::string& upstream : upstreams) {
    served.processes.SetUpstreamFaults(upstream, R"({"crash_body":"poison"})");
  }
  fleet_caller caller(served.processes, "entry-centre-1");
  http_reply reply;
  const bool is_blocked = WaitUntil([&] {
    // Without an idempotency key, each resend is a new request.
    reply = caller.Send(served.Key("aprons"), "/orders", "poison");
    CPPUNIT_ASSERT(reply.status != 200);
    return reply.body.find("request_blocked") != std::string::npos;
  });
  CPPUNIT_ASSERT_MESSAGE(reply.body, is_blocked);
  AssertRefusedNotRun(reply, 403);
  int running = 0;
  for (const std::string& upstream : upstreams) {
    running += served.processes.Process(upstream).IsRunning() ? 1 : 0;
  }
  CPPUNIT_ASSERT_EQUAL(2, running);
  // The last announcement of a crashed upstream is valid for 3 s; an order that is sent to it is
  // retried on another upstream.
  const http_reply fine = caller.Order(served.Key("aprons"), "/orders", "fine-order", "{}");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fine.body, 200, fine.status);
  CPPUNIT_ASSERT_EQUAL(1, served.processes.Executions("fine-order"));
});

// Guards against order records that are missing on a new leader.
const test_table kLeaderKilled("fleet", "kill_of_the_leader_runs_no_order_twice", [] {
  served_fleet served(SmallPlan());
  order_stream orders(served.processes, {"entry-centre-1"}, served.Key("aprons"), 4);
  orders.AwaitAnswered(40);
  const std::string leader = served.processes.LeaderOf("centre");
  served.processes.Process(leader).Kill();
  orders.AwaitAnswered(120);
  served.processes.Start(leader);
  orders.AwaitAnswered(160);
  orders.Stop();
  CPPUNIT_ASSERT_EQUAL(std::string(), orders.FindViolation());
});

// Guards against a suspended leader that resumes after a new leader was elected and still decides.
const test_table kLeaderSuspended("fleet", "suspension_of_the_leader_runs_no_order_twice", [] {
  served_fleet served(SmallPlan());
  order_stream orders(served.processes, {"entry-centre-1"}, served.Key("aprons"), 4);
  orders.AwaitAnswered(40);
  child_process& leader = served.processes.Process(served.processes.LeaderOf("centre"));
  leader.SendSignal(SIGSTOP);
  orders.AwaitAnswered(120);
  leader.SendSignal(SIGCONT);
  orders.AwaitAnswered(200);
  orders.Stop();
  CPPUNIT_ASSERT_EQUAL(std::string(), orders.FindViolation());
});

// Guards against an order that is lost or runs twice when its home region admits it and another
// allowed region serves it.
const test_table kSecondRegion("fleet", "second_region_serves_when_the_home_has_no_upstream", [] {
  served_fleet served(SmallPlan());
  for (const std::string& upstream : served.processes.Names("upstream-orders-west-")) {
    served.processes.Process(upstream).Kill();
  }
  fleet_caller near(served.processes, "entry-west-1");
  fleet_caller far(served.processes, "entry-centre-1");
  http_reply first;
  CPPUNIT_ASSERT(WaitUntil([&] {
    first = near.Order(served.Key("shelving"), "/orders", "walnut", "{}");
    return first.status == 200;
  }));
  CPPUNIT_ASSERT_EQUAL(std::string("east"), fleet_caller::PlaceOf(first).substr(0, 4));
  const http_reply again = far.Order(served.Key("shelving"), "/orders", "walnut", "{}");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, 200, again.status);
  CPPUNIT_ASSERT_EQUAL(first.body, again.body);
  CPPUNIT_ASSERT_EQUAL(std::string("true"), again.Header("corianderhoist-replayed"));
  CPPUNIT_ASSERT_EQUAL(1, served.processes.Executions("walnut"));
});

// Guards against a second execution when an order is resent through another entry VM.
const test_table kEntryKilled("fleet", "kill_of_an_entry_vm_runs_no_order_twice", [] {
  fleet_plan plan = SmallPlan();
  plan.entries = 2;
  served_fleet served(plan);
  order_stream orders(served.processes, served.processes.Names("entry-centre-"),
                      served.Key("aprons"), 4);
  orders.AwaitAnswered(40);
  served.processes.Process("entry-centre-1").Kill();
  orders.AwaitAnswered(120);
  served.processes.Start("entry-centre-1");
  orders.AwaitAnswered(160);
  orders.Stop();
  CPPUNIT_ASSERT_EQUAL(std::string(), orders.FindViolation());
});

// Guards against state that is held in memory only and is lost when a whole region fails.
const test_table
    kRegionKilled("fleet", "region_killed_and_restarted_keeps_orders_and_withdrawals", [] {
      served_fleet served(SmallPlan());
      fleet_caller caller(served.processes, "entry-centre-1");
      const http_reply first = caller.Order(served.Key("aprons"), "/orders", "kept-order", "{}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200, first.status);
      const fleet::workspace_key second_key = served.processes.GiveKey("aprons");
      CPPUNIT_ASSERT_EQUAL(0, served.processes.WithdrawKey(second_key.id).exit_code);
      for (const std::string& name : served.processes.NamesOfRegion("centre")) {
        served.processes.Process(name).SendSignal(SIGKILL);
      }
      for (const std::string& name : served.processes.NamesOfRegion("centre")) {
        served.processes.Process(name).WaitForEnd();
        served.processes.Start(name);
      }
      served.AwaitServed("entry-centre-1");
      fleet_caller again(served.processes, "entry-centre-1");
      const http_reply resent = again.Order(served.Key("aprons"), "/orders", "kept-order", "{}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(resent.body, 200, resent.status);
      CPPUNIT_ASSERT_EQUAL(std::string("true"), resent.Header("corianderhoist-replayed"));
      CPPUNIT_ASSERT_EQUAL(first.body, resent.body);
      // The restarted upstreams count from 0.
      CPPUNIT_ASSERT_EQUAL(0, served.processes.Executions("kept-order"));
      AssertRefusedNotRun(again.Read(second_key.text, "/catalogue/1"), 401);
    });

// Guards against a partitioned region that stops serving, or that serves workspaces of other
// regions.
const test_table kRegionPartitioned(
    "fleet",
    "partitioned_region_serves_its_own_workspaces_and_refuses_others",
    [] {
      fleet_plan plan = SmallPlan();
      plan.is_proxied = IsProxiedAcrossRegions;
      served_fleet served(plan);
      served.processes.ForLinksOfRegion("east", [](fault_proxy& link) { link.Cut(); });
      fleet_caller east(served.processes, "entry-east-1");
      fleet_caller centre(served.processes, "entry-centre-1");
      const http_reply own = east.Order(served.Key("twine"), "/orders", "east-order", "{}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(own.body, 200, own.status);
      AssertRefusedNotRun(east.Order(served.Key("aprons"), "/orders", "cut-order", "{}"), 503);
      AssertRefusedNotRun(centre.Order(served.Key("twine"), "/orders", "cut-order-2", "{}"), 503);
      const http_reply other = centre.Order(served.Key("aprons"), "/orders", "centre-order", "{}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(other.body, 200, other.status);
      CPPUNIT_ASSERT_EQUAL(0, served.processes.Executions("cut-order"));
      CPPUNIT_ASSERT_EQUAL(0, served.processes.Executions("cut-order-2"));
      served.processes.ForLinksOfRegion("east", [](fault_proxy& link) { link.Heal(); });
      east.AwaitServed(served.Key("aprons"), "/catalogue/healed");
      centre.AwaitServed(served.Key("twine"), "/catalogue/healed");
    });

// Guards against a shutdown that aborts running requests.
const test_table kGracefulStop("fleet", "graceful_stop_of_an_entry_vm_aborts_no_request", [] {
  fleet_plan plan = SmallPlan();
  plan.service_ms = 300;
  served_fleet served(plan);
  http_reply reply;
  std::thread running([&] {
    fleet_caller caller(served.processes, "entry-centre-1");
    reply = caller.Order(served.Key("aprons"), "/orders", "last-order", "{}");
  });
  const bool has_begun = WaitUntil([&] { return served.processes.Executions("last-order") == 1; });
  const int exit_code = served.processes.Process("entry-centre-1").Stop();
  running.join();
  CPPUNIT_ASSERT(has_begun);
  CPPUNIT_ASSERT_EQUAL(0, exit_code);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.failure + reply.body, 200, reply.status);
});

}  // namespace
}  // namespace corianderhoist
