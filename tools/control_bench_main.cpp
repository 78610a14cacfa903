// Measures control: cost per change as a function of the number of workspaces, and restart time as
// a function of the number of changes.
//   corianderhoist-control_bench --mode changes
//   corianderhoist-control_bench --mode restart
#include "base/log.h"
#include "consensus/replica.h"
#include "control/control_service.h"
#include "wire/certificates.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <ctime>
#include <filesystem>
#include <future>
#include <iostream>

DEFINE_string(mode, "changes", "changes or restart");
DEFINE_string(folder, "", "data folder; a temporary one if empty");
DEFINE_uint32(repeat, 500, "mode changes: changes per workspace count");

namespace corianderhoist {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kWorkspaceCounts[] = {100, 1'000, 10'000, 100'000};
constexpr std::size_t kChangeCounts[] = {10, 100, 1'000, 10'000};

double MillisecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
}

double ProcessorMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

std::string WorkspaceLine(std::size_t index, std::size_t burst) {
  return "workspace ws-" + std::to_string(index) +
         " places=tbilisi/a,kutaisi rate=20/s burst=" + std::to_string(burst) +
         " services=orders # order office";
}

control_command NewCommand(change_kind kind) {
  static std::uint64_t number = 0;
  control_command command;
  command.change.change_id = "bench-change-" + std::to_string(++number);
  command.change.kind = kind;
  command.changed_by = "operator-1";
  command.changed_at = std::chrono::milliseconds(1'796'000'000'000);
  command.regions = {"tbilisi", "kutaisi", "batumi", "poti", "gori"};
  return command;
}

control_command InitialRulesCommand(std::size_t workspaces) {
  control_command command = NewCommand(change_kind::kApplyRules);
  command.change.added_rules.emplace_back("service orders floor=60 # order office");
  for (std::size_t i = 0; i < workspaces; ++i) {
    command.change.added_rules.push_back(WorkspaceLine(i, 40));
  }
  return command;
}

control_command GiveKeyCommand(std::size_t workspaces) {
  control_command command = NewCommand(change_kind::kGiveKey);
  command.change.workspace =
      "ws-" + std::to_string(FastHash(command.change.change_id) % workspaces);
  command.change.key_hash = Sha256(command.change.change_id);
  return command;
}

control_command ReplaceRuleCommand(std::size_t index, std::uint64_t base) {
  control_command command = NewCommand(change_kind::kApplyRules);
  command.change.base_version = base;
  command.change.removed_rules = {WorkspaceLine(index, 40)};
  command.change.added_rules = {WorkspaceLine(index, 50)};
  return command;
}

// Prints the mean size of a log entry and the mean processor time to apply it.
void MeasureChangeKind(control_state& state,
                       const std::string& name,
                       const std::function<control_command(std::size_t)>& make) {
  double microseconds = 0;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < FLAGS_repeat; ++i) {
    const std::string encoded = Encode(make(i));
    bytes += encoded.size();
    const double start = ProcessorMicroseconds();
    state.Apply(i, encoded);
    microseconds += ProcessorMicroseconds() - start;
  }
  std::cout << " " << name << "_bytes=" << bytes / FLAGS_repeat << " " << name
            << "_cpu_us=" << microseconds / FLAGS_repeat;
}

void MeasureChanges() {
  for (const std::size_t workspaces : kWorkspaceCounts) {
    control_state state;
    state.Apply(0, Encode(InitialRulesCommand(workspaces)));
    std::cout << "workspaces=" << workspaces;
    MeasureChangeKind(state, "key", [&](std::size_t) { return GiveKeyCommand(workspaces); });
    MeasureChangeKind(state, "rule", [&](std::size_t i) {
      return ReplaceRuleCommand(i % workspaces, state.Config().Version());
    });
    const double start = ProcessorMicroseconds();
    const std::string snapshot = state.Snapshot();
    std::cout << " snapshot_cpu_ms=" << (ProcessorMicroseconds() - start) / 1e3
              << " snapshot_bytes=" << snapshot.size() << std::endl;
  }
}

std::shared_ptr<tls_identity> MakeIdentity(const std::filesystem::path& folder) {
  return Recover(
      [&]() -> result<std::shared_ptr<tls_identity>> {
        BOOST_LEAF_AUTO(authority, CreateAuthority("bench", {}));
        BOOST_LEAF_AUTO(pair, IssueCertificate(authority, {"control", "c1"}, {}));
        BOOST_LEAF_CHECK(WriteSecretFile(folder / "authority.pem", authority.certificate));
        BOOST_LEAF_CHECK(WriteSecretFile(folder / "c1.pem", pair.certificate));
        BOOST_LEAF_CHECK(WriteSecretFile(folder / "c1.key", pair.private_key));
        return tls_identity::Load({folder / "c1.pem", folder / "c1.key", folder / "authority.pem"});
      },
      [](const error& failure) -> std::shared_ptr<tls_identity> {
        std::cerr << failure.detail << "\n";
        std::exit(1);
      });
}

// A group with one member. Every member of a larger group does the same work at a restart.
struct single_member_group {
  single_member_group(const std::filesystem::path& folder,
                      const std::shared_ptr<tls_identity>& identity)
      : server(identity, 1) {
    replica_settings settings;
    settings.group = "control";
    settings.name = "c1";
    settings.role = "control";
    settings.folder = folder / "data";
    settings.initial_members = {{"c1", {"127.0.0.1", 1}}};
    group = Recover([&] { return replica::Open(settings, application, server, identity, clock); },
                    [](const error& failure) -> std::unique_ptr<replica> {
                      std::cerr << failure.detail << "\n";
                      std::exit(1);
                    });
  }

  // Waits until the member serves all previously committed state.
  void WaitUntilCurrent() {
    while (true) {
      std::promise<bool> done;
      group->ReadBarrier([&](const rpc_result<std::string>& outcome) {
        done.set_value(std::holds_alternative<std::string>(outcome));
      });
      if (done.get_future().get()) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void Propose(const control_command& command) {
    std::promise<void> done;
    group->Propose(Encode(command), [&](const rpc_result<std::string>&) { done.set_value(); });
    done.get_future().wait();
  }

  process_clock clock;
  control_application application;
  rpc_server server;
  std::unique_ptr<replica> group;
};

void MeasureRestart() {
  const std::filesystem::path folder =
      FLAGS_folder.empty() ? std::filesystem::temp_directory_path() / ToHex(RandomBytes(8))
                           : std::filesystem::path(FLAGS_folder);
  constexpr std::size_t kWorkspaces = 1'000;
  for (const std::size_t changes : kChangeCounts) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto identity = MakeIdentity(folder);
    {
      single_member_group first(folder, identity);
      first.group->Start();
      first.WaitUntilCurrent();
      first.Propose(InitialRulesCommand(kWorkspaces));
      const auto start = steady_clock::now();
      for (std::size_t i = 0; i < changes; ++i) {
        first.Propose(GiveKeyCommand(kWorkspaces));
      }
      std::cout << "changes=" << changes
                << " committed_ms_per_change=" << MillisecondsSince(start) / double(changes);
    }
    std::uintmax_t bytes = 0;
    for (const auto& each : std::filesystem::recursive_directory_iterator(folder / "data")) {
      bytes += each.is_regular_file() ? each.file_size() : 0;
    }
    const auto start = steady_clock::now();
    single_member_group restarted(folder, identity);
    std::cout << " folder_bytes=" << bytes << " open_ms=" << MillisecondsSince(start);
    restarted.group->Start();
    restarted.WaitUntilCurrent();
    std::cout << " current_ms=" << MillisecondsSince(start)
              << " version=" << restarted.application.State().Config().Version() << std::endl;
    restarted.group.reset();
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures changes of the configuration and restarts of control");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("control_bench", corianderhoist::log_level::kError);
  if (FLAGS_mode == "restart") {
    corianderhoist::MeasureRestart();
  } else {
    corianderhoist::MeasureChanges();
  }
  return 0;
}
