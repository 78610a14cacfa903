// Demonstration: starts a fleet of three regions on loopback, sends requests through it and checks
// its guarantees. `--once` runs one round and exits with 0 only if all checks passed.
#include "support/fleet.h"
#include "support/fleet_caller.h"
#include "support/fleet_rules.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

DEFINE_bool(once, false, "print a summary and exit");
DEFINE_int32(requests, 12, "requests of each kind per workspace and round");

namespace corianderhoist {
namespace {

std::atomic<bool> is_stopping = false;

extern "C" void OnSignal(int) {
  is_stopping = true;
}

// Regions in which the rules allow each workspace to be served.
const std::map<std::string, std::set<std::string>> kAllowedRegions = {
    {"aprons", {"centre"}},
    {"shelving", {"west", "east"}},
    {"twine", {"east"}},
    {"kiln", {}}};

class demonstration {
 public:
  demonstration() : fleet_(fleet_plan{}) {}

  void Start() {
    std::cout << "starting " << fleet_.Names().size() << " processes on loopback ..." << std::endl;
    fleet_.StartAll();
    fleet_.ApplyRules(DemonstrationRules());
    for (const auto& [workspace, regions] : kAllowedRegions) {
      keys_[workspace] = fleet_.GiveKey(workspace);
    }
    for (const std::string& entry : fleet_.Names("entry-")) {
      callers_.emplace_back(fleet_, entry);
    }
    for (fleet_caller& caller : callers_) {
      for (const char* workspace : {"aprons", "shelving", "twine"}) {
        caller.AwaitServed(keys_[workspace].text, "/catalogue/ready");
      }
    }
    std::cout << "fleet is ready: 3 control VMs, 3 coordinators and 2 entry VMs per region, "
              << fleet_.Names("upstream-").size() << " upstreams" << std::endl;
  }

  // Sends reads, orders and deposits of all workspaces through all entry VMs.
  void SendRound() {
    for (const char* workspace : {"aprons", "shelving", "twine"}) {
      for (int i = 0; i < FLAGS_requests && !is_stopping; ++i) {
        fleet_caller& caller = callers_[next_caller_++ % callers_.size()];
        const std::string& key = keys_[workspace].text;
        Count(workspace, "catalogue", caller.Read(key, "/catalogue/" + std::to_string(i)));
        Count(workspace, "orders", SendOnce(caller, key, "/orders"));
        Count(workspace, "deposits", SendOnce(caller, key, "/deposits"));
      }
    }
  }

  void ShowTable() const {
    std::printf("\n%-10s %-10s %-20s %s\n", "workspace", "service", "served in", "requests");
    for (const auto& [row, count] : served_) {
      std::printf("%-10s %-10s %-20s %d\n", row[0].c_str(), row[1].c_str(), row[2].c_str(), count);
    }
    std::fflush(stdout);
  }

  void CheckServed() {
    Check("every request of aprons, shelving and twine was served", failed_requests_ == 0);
    Check("each was served only in the places of its workspace", served_outside_places_ == 0);
    int not_run_once = 0;
    for (const std::string& order : orders_) {
      not_run_once += fleet_.Executions(order) == 1 ? 0 : 1;
    }
    Check("each of " + std::to_string(orders_.size()) + " orders and deposits ran exactly once",
          not_run_once == 0 && !orders_.empty());
  }

  void ResendOrder() {
    const std::string order = NewOrder();
    const std::string& key = keys_["aprons"].text;
    const http_reply first = callers_.front().Order(key, "/orders", order, "{}");
    const http_reply second = callers_.back().Order(key, "/orders", order, "{}");
    Show("order sent twice, second answer", second);
    Check("a resent order gets the first answer and runs once",
          first.status == 200 && second.status == 200 && first.body == second.body &&
              second.Header("corianderhoist-replayed") == "true" && fleet_.Executions(order) == 1);
  }

  void CheckRefusalWithoutUpstream() {
    const std::string order = NewOrder();
    bool is_refused = true;
    for (fleet_caller& caller : callers_) {
      const http_reply reply = caller.Order(keys_["kiln"].text, "/orders", order, "{}");
      is_refused &= reply.status == 503 && reply.Header("corianderhoist-outcome") == "not_run";
      if (&caller == &callers_.front()) {
        Show("kiln (no upstream in its place)", reply);
      }
    }
    Check("a workspace whose place has no upstream is refused as not run, and not run elsewhere",
          is_refused && fleet_.Executions(order) == 0);
  }

  void WithdrawKey() {
    const program_output output = fleet_.WithdrawKey(keys_["twine"].id);
    std::cout << "ctl key withdraw " << keys_["twine"].id << ": " << output.output << std::flush;
    bool is_rejected = output.exit_code == 0;
    for (fleet_caller& caller : callers_) {
      const http_reply reply = caller.Read(keys_["twine"].text, "/catalogue/1");
      is_rejected &= reply.status == 401 && reply.Header("corianderhoist-outcome") == "not_run";
      if (&caller == &callers_.front()) {
        Show("twine with its withdrawn key", reply);
      }
    }
    Check("every entry VM rejects a withdrawn key once the withdrawal is accepted", is_rejected);
    keys_["twine"] = fleet_.GiveKey("twine");
    callers_.front().AwaitServed(keys_["twine"].text, "/catalogue/new-key");
  }

  void CheckKeysNotForwarded() {
    bool is_forwarded = false;
    for (const std::string& upstream : fleet_.Names("upstream-")) {
      const http_reply headers =
          CallOnce(fleet_.Upstream(upstream), {"GET", "/_test/headers", {}, {}}, kCallTimeout);
      is_forwarded |= headers.status != 200;
      for (const auto& [workspace, key] : keys_) {
        is_forwarded |= headers.body.find(key.text) != std::string::npos;
      }
    }
    Check("no upstream received a key", !is_forwarded);
  }

  void Stop() {
    int failed = 0;
    for (const std::string& name : fleet_.Names("entry-")) {
      fleet_.Process(name).SendSignal(SIGTERM);
    }
    for (const std::string& name : fleet_.Names("entry-")) {
      failed += fleet_.Process(name).WaitForEnd() == 0 ? 0 : 1;
    }
    Check("every entry VM drained and stopped with exit code 0", failed == 0);
    for (const std::string& name : fleet_.Names()) {
      fleet_.Process(name).Kill();
    }
    std::cout << "all processes have exited" << std::endl;
  }

  bool HasPassed() const { return failed_checks_ == 0; }

 private:
  void Check(const std::string& property, bool has_passed) {
    failed_checks_ += has_passed ? 0 : 1;
    std::cout << (has_passed ? "ok      " : "FAILED  ") << property << std::endl;
  }

  static void Show(const std::string& what, const http_reply& reply) {
    std::cout << what << ": " << reply.status << ' ' << reply.failure << reply.body << std::endl;
  }

  std::string NewOrder() { return "demo-order-" + std::to_string(++last_order_number_); }

  http_reply SendOnce(fleet_caller& caller, const std::string& key, const std::string& target) {
    const std::string order = NewOrder();
    http_reply reply = caller.Order(key, target, order, "{\"item\":1}");
    if (reply.status == 200) {
      orders_.push_back(order);
    }
    return reply;
  }

  void Count(const std::string& workspace, const std::string& service, const http_reply& reply) {
    if (reply.status != 200) {
      ++failed_requests_;
      Show(workspace + ' ' + service + " was not served", reply);
      return;
    }
    const std::string place = fleet_caller::PlaceOf(reply);
    ++served_[{workspace, service, place}];
    const std::string region = place.substr(0, place.find('/'));
    served_outside_places_ += kAllowedRegions.at(workspace).contains(region) ? 0 : 1;
  }

  fleet fleet_;
  std::map<std::string, fleet::workspace_key> keys_;
  std::vector<fleet_caller> callers_;
  std::map<std::array<std::string, 3>, int> served_;
  std::vector<std::string> orders_;
  std::size_t next_caller_ = 0;
  int last_order_number_ = 0;
  int failed_requests_ = 0;
  int served_outside_places_ = 0;
  int failed_checks_ = 0;
};

int Run() {
  std::signal(SIGINT, OnSignal);
  std::signal(SIGTERM, OnSignal);
  demonstration demo;
  demo.Start();
  demo.SendRound();
  demo.ShowTable();
  demo.CheckServed();
  demo.ResendOrder();
  demo.CheckRefusalWithoutUpstream();
  demo.WithdrawKey();
  demo.CheckKeysNotForwarded();
  while (!FLAGS_once && !is_stopping) {
    demo.SendRound();
    demo.ShowTable();
    std::cout << "Ctrl-C stops the fleet" << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }
  demo.Stop();
  std::cout << (demo.HasPassed() ? "all checks passed" : "a check failed") << std::endl;
  return demo.HasPassed() ? 0 : 1;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  try {
    return corianderhoist::Run();
  } catch (const std::exception& failure) {
    std::cerr << "the demonstration failed: " << failure.what() << '\n';
    return 1;
  }
}
