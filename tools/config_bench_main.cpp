// Measures the configuration: parse time, memory, and processor time per change.
//   corianderhoist-config_bench --routes 380000 --workspaces 460000 --keys 460000
#include "control/configuration.h"
#include "rules/rules_file.h"
#include "wire/body_compression.h"

#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <iostream>

DEFINE_uint32(routes, 380'000, "number of routes");
DEFINE_uint32(workspaces, 460'000, "number of workspaces");
DEFINE_uint32(services, 6'400, "number of services");
DEFINE_uint32(keys, 460'000, "number of keys");
DEFINE_uint32(changes, 1'000, "number of changes of one line each");

namespace corianderhoist {
namespace {

using std::chrono::steady_clock;

double SecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

double AllocatedMegabytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

std::string ServiceName(std::size_t index) {
  return "service-" + std::to_string(index % FLAGS_services);
}

std::string WorkspaceLine(std::size_t index, std::size_t burst) {
  return "workspace ws-" + std::to_string(index) +
         " places=tbilisi/a,kutaisi rate=20/s burst=" + std::to_string(burst) +
         " services=" + ServiceName(index) + " # order office";
}

std::string MakeRules() {
  std::string text;
  for (std::size_t i = 0; i < FLAGS_services; ++i) {
    text += "service " + ServiceName(i) + " floor=60 # order office\n";
  }
  for (std::size_t i = 0; i < FLAGS_workspaces; ++i) {
    text += WorkspaceLine(i, 40) + "\n";
  }
  for (std::size_t i = 0; i < FLAGS_routes; ++i) {
    text += "route " + std::string(i % 2 == 0 ? "GET,HEAD" : "POST") + " /shop-" +
            std::to_string(i / 10) + "/items/" + std::to_string(i) + " service=" + ServiceName(i) +
            " # order office\n";
  }
  return text;
}

config_snapshot MakeSnapshot(const rule_set& rules) {
  config_snapshot snapshot{1, 1, CanonicalLines(rules), {}};
  for (std::size_t i = 0; i < FLAGS_keys; ++i) {
    const digest hash = Sha256("key" + std::to_string(i));
    const std::size_t workspace = FLAGS_workspaces == 0 ? 0 : i % FLAGS_workspaces;
    snapshot.keys.push_back({KeyIdOf(hash), hash, "ws-" + std::to_string(workspace), false});
  }
  return snapshot;
}

void ApplyChanges(configuration& config) {
  const auto start = steady_clock::now();
  for (std::uint32_t i = 0; i < FLAGS_changes; ++i) {
    // A prime stride spreads the changes over the workspaces.
    const std::size_t index = std::size_t(i) * 7919 % FLAGS_workspaces;
    const configuration shared = config;
    config_change change;
    change.version = config.Version() + 1;
    change.removed_rules = {WorkspaceLine(index, 40)};
    change.added_rules = {WorkspaceLine(index, 50)};
    Recover([&] { return config.Apply(change); },
            [](const error& failure) { std::cerr << failure.detail << "\n"; });
  }
  std::cout << "cpu_us_per_change_and_copy " << SecondsSince(start) * 1e6 / FLAGS_changes << "\n";
}

int Run() {
  const std::string text = MakeRules();
  std::cout << "rules_bytes " << text.size() << "\n";
  auto start = steady_clock::now();
  std::variant<rule_set, std::vector<rules_fault>> parsed = ParseRules(text);
  std::cout << "parse_s " << SecondsSince(start) << "\n";
  if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed)) {
    std::cerr << FormatFault("rules", faults->front()) << "\n";
    return 1;
  }
  start = steady_clock::now();
  config_snapshot snapshot = MakeSnapshot(std::get<rule_set>(parsed));
  std::cout << "make_lines_and_keys_s " << SecondsSince(start) << "\n";
  parsed = rule_set();
  const double before = AllocatedMegabytes();
  configuration config;
  start = steady_clock::now();
  Recover([&] { return config.Restore(snapshot); },
          [](const error& failure) { std::cerr << failure.detail << "\n"; });
  std::cout << "restore_s " << SecondsSince(start) << "\n";
  std::cout << "configuration_MB " << AllocatedMegabytes() - before << "\n";
  start = steady_clock::now();
  snapshot = config.Snapshot();
  std::cout << "take_snapshot_s " << SecondsSince(start) << "\n";
  start = steady_clock::now();
  std::string encoded = Encode(snapshot);
  std::cout << "encode_s " << SecondsSince(start) << "\nencoded_bytes " << encoded.size() << "\n";
  start = steady_clock::now();
  const std::size_t packed = CompressBody(std::move(encoded)).size();
  std::cout << "pack_s " << SecondsSince(start) << "\npacked_bytes " << packed << "\n";
  if (FLAGS_workspaces > 0 && FLAGS_changes > 0) {
    ApplyChanges(config);
  }
  return 0;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return corianderhoist::Run();
}
