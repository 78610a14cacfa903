// Control as real processes: concurrent changes, lost answers, leader changes, restarts, suspended
// and isolated members, full disks and the loss of the majority.
#include "support/control_group.h"
#include "support/test_table.h"

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "service orders floor=50 # Nino";
const std::string kShop = "workspace shop places=centre rate=5/s burst=9 # Nino";
const std::string kShopMoved = "workspace shop places=west rate=5/s burst=9 # Nino";

change_reply Answered(const send_outcome& outcome) {
  CPPUNIT_ASSERT_MESSAGE(outcome.detail, outcome.status == send_status::kAnswered);
  return outcome.reply;
}

std::uint64_t Committed(const send_outcome& outcome) {
  const change_reply reply = Answered(outcome);
  CPPUNIT_ASSERT_MESSAGE(reply.result.detail, reply.result.status == change_status::kCommitted);
  return reply.result.version;
}

show_reply Shown(control_group& group) {
  const auto shown = group.NewOperatorClient()->Show();
  if (const auto* failure = std::get_if<rpc_failure>(&shown)) {
    CPPUNIT_FAIL(failure->detail);
  }
  return std::get<show_reply>(shown);
}

// Guards against a change that silently overwrites a concurrent one.
const test_table kConcurrent("control process", "accepts one of two concurrent changes", [] {
  control_group group;
  group.StartAll();
  std::uint64_t base = 0;
  for (int round = 0; round < 5; ++round) {
    std::vector<send_outcome> outcomes(2);
    std::vector<std::thread> operators;
    operators.reserve(outcomes.size());
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      operators.emplace_back([&, i] {
        const std::string name = "service s" + std::to_string(round) + "-" + std::to_string(i);
        outcomes[i] =
            group.NewOperatorClient()->Send(RulesChange(base, {}, {name + " floor=1 # Nino"}));
      });
    }
    for (std::thread& each : operators) {
      each.join();
    }
    const bool is_first = Answered(outcomes[0]).result.status == change_status::kCommitted;
    const change_result accepted = outcomes[is_first ? 0 : 1].reply.result;
    const change_result rejected = Answered(outcomes[is_first ? 1 : 0]).result;
    CPPUNIT_ASSERT(accepted.status == change_status::kCommitted);
    CPPUNIT_ASSERT(rejected.status == change_status::kVersionConflict);
    CPPUNIT_ASSERT_EQUAL(accepted.version, rejected.version);
    CPPUNIT_ASSERT_EQUAL(std::string("operator-1"), rejected.changed_by);
    CPPUNIT_ASSERT(rejected.changed_at == accepted.changed_at);
    base = accepted.version;
  }
});

// Guards against a change that takes effect twice when it is resent after a lost answer.
const test_table
    kLostAnswer("control process", "a change resent after a lost answer takes effect once", [] {
      control_group group;
      group.StartAll();
      const std::string leader = group.WaitForLeader();
      io_loop loop("proxy");
      fault_proxy proxy(loop, group.AddressOf(leader));
      const std::uint16_t port = proxy.Listen({"127.0.0.1", 0});
      operator_client client(group.Identity(), {{leader, {"127.0.0.1", port}}}, seconds(2));
      CPPUNIT_ASSERT(std::holds_alternative<show_reply>(client.Show()));

      const change_request change = RulesChange(0, {}, {kService, kShop});
      rpc_channel channel(loop, group.Identity(), {"127.0.0.1", port}, leader);
      std::promise<rpc_result<show_reply>> connected;
      channel.Call<show_reply>("control.show", show_request{}, seconds(20),
                               [&](auto reply) { connected.set_value(std::move(reply)); });
      CPPUNIT_ASSERT(std::holds_alternative<show_reply>(connected.get_future().get()));
      proxy.SetBackward({milliseconds(0), true, 0});
      std::promise<rpc_result<change_reply>> lost;
      channel.Call<change_reply>("control.change", change, seconds(2),
                                 [&](auto reply) { lost.set_value(std::move(reply)); });
      CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(lost.get_future().get()));
      proxy.SetBackward({});

      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Committed(group.NewOperatorClient()->Send(change)));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Shown(group).version);
    });

// Guards against results that are stored on the leader only, or are lost when a snapshot replaces
// the log.
const test_table kStoredResult(
    "control process",
    "the result of a change survives a leader change, restarts and a snapshot",
    [] {
      control_group group;
      group.StartAll();
      const change_request accepted = RulesChange(0, {}, {kService, kShop});
      const change_request rejected = RulesChange(0, {}, {"service late floor=1 # Nino"});
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Committed(group.NewOperatorClient()->Send(accepted)));
      const change_request issued = KeyChange("shop", "key text");
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Committed(group.NewOperatorClient()->Send(issued)));
      Answered(group.NewOperatorClient()->Send(rejected));
      const auto check = [&](const std::string& after, std::uint64_t version) {
        const auto again = [&](const change_request& change) {
          return Answered(group.NewOperatorClient()->Send(change)).result;
        };
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after, std::uint64_t(1), again(accepted).version);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after, std::uint64_t(2), again(issued).version);
        CPPUNIT_ASSERT_MESSAGE(after, again(rejected).status == change_status::kVersionConflict);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after, version, Shown(group).version);
      };
      const std::string first_leader = group.WaitForLeader();
      group.Processes().Process(first_leader).Kill();
      check("a leader change", 2);
      group.Processes().Start(first_leader);
      for (const std::string& name : group.Processes().Names("control-")) {
        group.Processes().Process(name).Kill();
      }
      group.StartAll();
      check("a restart", 2);

      const auto client = group.NewOperatorClient();
      std::uint64_t version = 2;
      while (version < 1'100) {  // A snapshot is taken every 1,000 entries.
        version = Committed(client->Send(ReleaseChange()));
      }
      WaitUntilOrThrow("every member has a snapshot", [&] {
        for (const std::string& name : group.Processes().Names("control-")) {
          const QJsonObject state = fleet::Get(group.Processes().Status(name), "/state/control");
          if (state["replica"].toObject()["snapshot_index"].toInt() < 1'000) {
            return false;
          }
        }
        return true;
      });
      for (const std::string& name : group.Processes().Names("control-")) {
        group.Processes().Process(name).Kill();
      }
      group.StartAll();
      check("a snapshot", version);
    });

// Guards against a leader that is suspended while the others commit a change, and then answers from
// its outdated state.
const test_table
    kSuspended("control process", "a resumed leader never answers with an old version", [] {
      control_group group;
      group.StartAll();
      CPPUNIT_ASSERT_EQUAL(
          std::uint64_t(1),
          Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService}))));
      for (std::uint64_t version = 1; version <= 3; ++version) {
        const std::string suspended = group.WaitForLeader();
        group.Processes().Process(suspended).SendSignal(SIGSTOP);
        WaitUntilOrThrow("the others accept a change", [&] {
          const auto outcome = group.NewOperatorClient(milliseconds(500))->Send(ReleaseChange());
          return outcome.status == send_status::kAnswered;
        });
        const std::uint64_t now = Shown(group).version;
        std::vector<std::thread> callers;
        callers.reserve(20);
        std::atomic<int> outdated = 0;
        for (int i = 0; i < 20; ++i) {  // Sent while it is suspended, answered when it resumes.
          callers.emplace_back([&, i] {
            if (i % 2 == 0) {
              const auto shown =
                  group.CallMember<show_reply>(suspended, "control.show", show_request{});
              const auto* reply = std::get_if<show_reply>(&shown);
              outdated += reply != nullptr && reply->version < now;
            } else {
              const auto fetched = group.CallMember<config_fetch_reply>(
                  suspended, "config.fetch", config_fetch_request{now - 1, milliseconds(0)});
              const auto* reply = std::get_if<config_fetch_reply>(&fetched);
              outdated += reply != nullptr && reply->changes.empty();
            }
          });
        }
        std::this_thread::sleep_for(milliseconds(200));
        group.Processes().Process(suspended).SendSignal(SIGCONT);
        for (std::thread& each : callers) {
          each.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, outdated.load());
      }
    });

// Guards against an isolated former leader that still answers from its outdated state, or ends a
// long poll without changes. Suspending the others isolates it from them.
const test_table
    kIsolated("control process", "an isolated former leader answers no read and no change", [] {
      control_group group;
      group.StartAll();
      CPPUNIT_ASSERT_EQUAL(
          std::uint64_t(1),
          Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService}))));
      const std::string isolated = group.WaitForLeader();
      const std::vector<std::string> others = group.Followers();
      const auto signal_others = [&](int signal) {
        for (const std::string& name : others) {
          group.Processes().Process(name).SendSignal(signal);
        }
      };
      group.Processes().Process(isolated).SendSignal(SIGSTOP);
      const std::uint64_t version = Committed(group.NewOperatorClient()->Send(ReleaseChange()));
      signal_others(SIGSTOP);
      group.Processes().Process(isolated).SendSignal(SIGCONT);
      const change_request uncommitted = ReleaseChange();
      auto poll = std::async(std::launch::async, [&] {
        return group.CallMember<config_fetch_reply>(isolated, "config.fetch",
                                                    config_fetch_request{1, milliseconds(3'000)});
      });
      const auto direct = group.CallMember<change_reply>(isolated, "control.change", uncommitted);
      CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(direct));
      CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(poll.get()));
      CPPUNIT_ASSERT(std::holds_alternative<rpc_failure>(
          group.CallMember<show_reply>(isolated, "control.show", show_request{})));
      signal_others(SIGCONT);
      WaitUntilOrThrow("the isolated member catches up", [&] {
        const QJsonObject state = fleet::Get(group.Processes().Status(isolated), "/state/control");
        return static_cast<std::uint64_t>(state["version"].toInteger()) >= version;
      });
      // The change was sent to the isolated member only. Resent, it takes effect once, whether or
      // not the first attempt was committed.
      const std::uint64_t again = Committed(group.NewOperatorClient()->Send(uncommitted));
      CPPUNIT_ASSERT_EQUAL(again, Committed(group.NewOperatorClient()->Send(uncommitted)));
      CPPUNIT_ASSERT_EQUAL(std::max(again, version), Shown(group).version);
    });

// The limit applies to the log file of the process too, so only the exit code can be checked.
void LimitFiles(child_process& process, rlim_t bytes) {
  const rlimit limit{bytes, RLIM_INFINITY};
  CPPUNIT_ASSERT_EQUAL(
      0, ::prlimit(static_cast<pid_t>(process.ProcessId()), RLIMIT_FSIZE, &limit, nullptr));
}

// Guards against a change that is accepted although it could not be written to disk.
const test_table kFullDisk("control process", "members with a full disk accept no change", [] {
  control_group group;
  group.StartAll();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                       Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService}))));
  const std::string leader = group.WaitForLeader();
  LimitFiles(group.Processes().Process(leader), 1);
  const change_request change = ReleaseChange();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Committed(group.NewOperatorClient()->Send(change)));
  CPPUNIT_ASSERT_EQUAL(1, group.Processes().Process(leader).WaitForEnd());

  const std::string second = group.WaitForLeader();
  LimitFiles(group.Processes().Process(second), 1);
  const change_request open = ReleaseChange();
  const send_outcome refused = group.NewOperatorClient(seconds(3))->Send(open);
  CPPUNIT_ASSERT(refused.status != send_status::kAnswered);
  group.Processes().Process(second).WaitForEnd();
  group.Processes().Start(leader);
  group.Processes().Start(second);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Committed(group.NewOperatorClient()->Send(open)));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Shown(group).version);
});

const test_table kReadOnly("control process", "an unwritable data folder makes the start fail", [] {
  control_group group;
  const auto file = group.Processes().Folder() / "control-centre.json";
  std::ifstream stream(file);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  const std::string folder = group.Processes().DataFolder("control-centre").string();
  text.replace(text.find(folder), folder.size(), "/proc/corianderhoist");
  std::ofstream(file) << text;
  const program_output output =
      RunProgram(ProgramPath("corianderhoist-control"), {"--settings", file.string()});
  CPPUNIT_ASSERT_EQUAL(1, output.exit_code);
  CPPUNIT_ASSERT_MESSAGE(output.errors,
                         output.errors.find("/proc/corianderhoist") != std::string::npos);
});

const test_table kSettings("control process", "all invalid settings are reported", [] {
  control_group group;
  const auto file = group.Processes().Folder() / "invalid.json";
  std::ofstream(file) << R"({"name":"a","listen":"127.0.0.1:0","status_listen":"x","members":[],
                            "regions":["a","a"],"colour":"red"})";
  const program_output output =
      RunProgram(ProgramPath("corianderhoist-control"), {"--settings", file.string()});
  CPPUNIT_ASSERT_EQUAL(2, output.exit_code);
  for (const char* fault :
       {"status_listen", "tls", "data_folder", "members", "regions", "colour"}) {
    CPPUNIT_ASSERT_MESSAGE(output.errors, output.errors.find(fault) != std::string::npos);
  }
});

// Guards against reporting a change as accepted that may never take effect.
const test_table kNoMajority("control process", "no change is accepted without a majority", [] {
  control_group group;
  group.StartAll();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                       Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService}))));
  const std::vector<std::string> followers = group.Followers();
  for (const std::string& name : followers) {
    group.Processes().Process(name).Kill();
  }
  const program_output released =
      group.Processes().Ctl({"release", std::string(64, 'a'), "--timeout=3s"});
  CPPUNIT_ASSERT_EQUAL(5, released.exit_code);
  CPPUNIT_ASSERT(released.output.find("status: not_accepted") != std::string::npos);
  CPPUNIT_ASSERT(released.errors.find("nothing was sent") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(5, group.Processes().Ctl({"show", "--timeout=3s"}).exit_code);
  for (const std::string& name : followers) {
    group.Processes().Start(name);
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                       Committed(group.NewOperatorClient()->Send(ReleaseChange())));
});

// Guards against an acceptance before all regions have committed the change; the answer lists the
// missing regions.
const test_table kPending("control process", "a change is accepted once its regions have it", [] {
  control_group group;
  group.StartAll();
  auto centre = group.Follow("centre");
  change_request rules = RulesChange(0, {}, {kService, kShop});
  rules.wait = milliseconds(1'500);
  const change_reply first = Answered(group.NewOperatorClient()->Send(rules));
  CPPUNIT_ASSERT(first.result.status == change_status::kCommitted);
  const std::set<std::string> missing(first.pending.begin(), first.pending.end());
  CPPUNIT_ASSERT(missing == (std::set<std::string>{"west", "east"}));
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), Shown(group).pending.size());

  // The key concerns its home region only.
  change_request key = KeyChange("shop", "key text");
  key.wait = seconds(30);
  CPPUNIT_ASSERT(Answered(group.NewOperatorClient()->Send(key)).pending.empty());

  auto west = group.Follow("west");
  auto east = group.Follow("east");
  rules.wait = seconds(30);
  const change_reply again = Answered(group.NewOperatorClient()->Send(rules));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), again.result.version);
  CPPUNIT_ASSERT(again.pending.empty());

  // Neither a leader change nor a restarted member may send a region an older version.
  group.Processes().Process(group.WaitForLeader()).Kill();
  change_request release = ReleaseChange();
  release.wait = seconds(30);
  CPPUNIT_ASSERT(Answered(group.NewOperatorClient()->Send(release)).pending.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), centre->Version());
  CPPUNIT_ASSERT(!centre->HasUnorderedVersions() && !west->HasUnorderedVersions() &&
                 !east->HasUnorderedVersions());
  CPPUNIT_ASSERT(Shown(group).pending.empty());
});

// Guards against a withdrawal that is reported in force while the former home region, which has not
// received the new home region yet, still admits the key.
const test_table kFormerHome("control process", "a withdrawal waits for a former home region", [] {
  control_group group;
  group.StartAll();
  auto west = group.Follow("west");
  auto east = group.Follow("east");
  const auto client = group.NewOperatorClient();
  Committed(client->Send(RulesChange(0, {}, {kService, kShop})));
  const change_request key = KeyChange("shop", "key text");
  Committed(client->Send(key));
  Committed(client->Send(RulesChange(1, {kShop}, {kShopMoved})));
  change_request withdrawal;
  withdrawal.change_id = "withdrawal-1";
  withdrawal.kind = change_kind::kWithdrawKey;
  withdrawal.key_id = KeyIdOf(key.key_hash);
  withdrawal.wait = milliseconds(1'500);
  const change_reply reply = Answered(client->Send(withdrawal));
  CPPUNIT_ASSERT(reply.pending == std::vector<std::string>{"centre"});
  auto centre = group.Follow("centre");
  withdrawal.wait = seconds(30);
  CPPUNIT_ASSERT(Answered(client->Send(withdrawal)).pending.empty());
});

// Guards against a replaced member that gets a vote before it has the log, or never: losing another
// member right after the replacement must not stop control.
const test_table kReplaced("control process", "a member with an empty disk becomes a voter", [] {
  control_group group;
  group.StartAll();
  fleet& processes = group.Processes();
  Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService})));
  const std::vector<std::string> followers = group.Followers();
  const std::string& replaced = followers[0];
  processes.Process(replaced).Kill();
  processes.WipeData(replaced);
  CPPUNIT_ASSERT_EQUAL(0, processes.Ctl({"member", "remove", replaced}).exit_code);
  processes.Start(replaced);
  WaitUntilOrThrow("the member is added as a learner", [&] {
    const std::string address = FormatEndpoint(group.AddressOf(replaced));
    return processes.Ctl({"member", "add", replaced, address}).exit_code == 0;
  });
  WaitUntilOrThrow("the member has the log and gets a vote", [&] {
    return processes.Ctl({"member", "promote", replaced}).exit_code == 0;
  });
  processes.Process(followers[1]).Kill();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                       Committed(group.NewOperatorClient()->Send(ReleaseChange())));
  const program_output list = processes.Ctl({"member", "list"});
  CPPUNIT_ASSERT_EQUAL(0, list.exit_code);
  CPPUNIT_ASSERT_MESSAGE(list.output,
                         list.output.find(followers[1] + ": no answer") != std::string::npos);
});

// Guards against a key in a log, a state dump or a data folder.
const test_table kKeyNotStored("control process", "a key is printed once and stored nowhere", [] {
  control_group group;
  group.StartAll();
  fleet& processes = group.Processes();
  auto centre = group.Follow("centre");
  Committed(group.NewOperatorClient()->Send(RulesChange(0, {}, {kService, kShop})));
  const program_output issued = processes.Ctl({"key", "give", "shop"});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(issued.errors, 0, issued.exit_code);
  const std::size_t start = issued.output.find("\nkey: ") + 6;
  const std::string key = issued.output.substr(start, issued.output.find('\n', start) - start);
  CPPUNIT_ASSERT_EQUAL(std::size_t(64), key.size());
  for (const std::string& name : processes.Names("control-")) {
    const QJsonObject state = fleet::Get(processes.Status(name), "/state");
    CPPUNIT_ASSERT(!state.isEmpty());
    CPPUNIT_ASSERT_EQUAL(0, processes.Process(name).Stop());
  }
  std::size_t files = 0;
  for (const auto& each : std::filesystem::recursive_directory_iterator(processes.Folder())) {
    if (each.is_regular_file()) {
      std::ifstream file(each.path(), std::ios::binary);
      const std::string text(std::istreambuf_iterator<char>(file), {});
      CPPUNIT_ASSERT_MESSAGE(each.path().string(), text.find(key) == std::string::npos);
      ++files;
    }
  }
  CPPUNIT_ASSERT(files > 10);
  // A resent change prints neither the first key nor a new one.
  group.StartAll();
  const std::size_t id_start = issued.output.find("change_id: ") + 11;
  const std::string change_id = issued.output.substr(id_start, 32);
  const program_output again = processes.Ctl({"key", "give", "shop", "--change_id=" + change_id});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(again.errors, 0, again.exit_code);
  CPPUNIT_ASSERT(again.output.find("\nkey: ") == std::string::npos);
});

}  // namespace
}  // namespace corianderhoist
