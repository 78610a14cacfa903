// Measures the overhead of an entry VM: latency added to direct calls of the same upstream in
// alternating rounds, requests per second and core, and resident memory when idle and per
// connection. Uses a fleet of real processes on loopback: one region, three coordinators, one entry
// VM, one upstream per service. Prints one JSON object.
#include "base/log.h"
#include "experiment/load_run.h"
#include "support/fleet.h"

#include <gflags/gflags.h>
#include <unistd.h>
#include <QCoreApplication>
#include <QJsonDocument>
#include <QTcpSocket>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_double(rate, 300, "requests per second of the latency rounds");
DEFINE_int32(rounds, 4, "rounds of 3 s each for fleet and direct calls");
DEFINE_int32(connections, 500, "connections for the memory per connection");

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoundDuration(3000);
constexpr const char* kRules =
    "service catalogue floor=50 # bench\n"
    "service orders floor=50 # bench\n"
    "workspace shop places=centre rate=100000/s burst=100000 # bench\n"
    "route GET /catalogue service=catalogue # bench\n"
    "route POST /orders service=orders # bench\n";

// User and system time of a process in seconds.
double CpuSeconds(std::int64_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  // Fields of proc_pid_stat(5), counted from the state after the command name.
  constexpr int kUserTimeField = 12;
  constexpr int kSystemTimeField = 13;
  for (int i = 1; fields >> field && i <= kSystemTimeField; ++i) {
    ticks += i >= kUserTimeField ? std::stod(field) : 0;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::int64_t ResidentKilobytes(std::int64_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stoll(line.substr(6));
    }
  }
  return 0;
}

struct bench {
  bench() : processes(Plan()) {
    processes.StartAll();
    processes.ApplyRules(kRules);
    key = processes.GiveKey("shop").text;
    WaitUntilOrThrow("the fleet serves", [&] {
      return CallOnce(processes.Callers(kEntryName), Call("GET", "/catalogue/1"),
                      milliseconds(5000))
                     .status == 200 &&
             CallOnce(processes.Callers(kEntryName), Call("POST", "/orders"), milliseconds(5000))
                     .status == 200;
    });
    entry_pid = processes.Process(kEntryName).ProcessId();
  }

  static fleet_plan Plan() {
    fleet_plan plan;
    plan.regions = {"centre"};
    plan.entries = 1;
    plan.services = {"catalogue", "orders"};
    plan.upstreams = 1;
    plan.slots = 200;
    plan.service_ms = 5;
    return plan;
  }

  http_call Call(const std::string& method, const std::string& target) const {
    return {method, target, {{"Corianderhoist-Key", key}}, method == "POST" ? "one apron" : ""};
  }

  load_result Run(const endpoint& address,
                  const http_call& call,
                  double rate,
                  int connections,
                  bool has_idempotency_keys) const {
    load_plan plan;
    plan.addresses = {address};
    plan.workspaces = {{"shop", {}}};
    plan.call = call;
    plan.rate = rate;
    plan.connections = connections;
    plan.duration = kRoundDuration;
    plan.has_idempotency_keys = has_idempotency_keys;
    return RunLoad(plan)["shop"];
  }

  QJsonObject Latency(const std::string& method,
                      const std::string& target,
                      const std::string& upstream,
                      bool has_idempotency_keys) {
    load_result via_fleet;
    load_result direct;
    constexpr int kConnections = 16;
    for (int i = 0; i < FLAGS_rounds; ++i) {
      direct.Merge(Run(processes.Upstream(upstream), Call(method, target), FLAGS_rate, kConnections,
                       has_idempotency_keys));
      via_fleet.Merge(Run(processes.Callers(kEntryName), Call(method, target), FLAGS_rate,
                          kConnections, has_idempotency_keys));
    }
    const auto added = [&](double share) {
      return static_cast<qint64>(
          (Quantile(via_fleet.latencies, share) - Quantile(direct.latencies, share)).count());
    };
    return {{"through", ToJson(via_fleet, kRoundDuration * FLAGS_rounds)},
            {"direct", ToJson(direct, kRoundDuration * FLAGS_rounds)},
            {"added_p50_us", added(0.5)},
            {"added_p99_us", added(0.99)}};
  }

  QJsonObject Throughput() {
    const double before = CpuSeconds(entry_pid);
    const load_result result =
        Run(processes.Callers(kEntryName), Call("GET", "/catalogue/1"), 0, 64, false);
    const double cpu_seconds = CpuSeconds(entry_pid) - before;
    return {{"per_second", result.Served() / (kRoundDuration.count() / 1000.0)},
            {"entry_cpu_s", cpu_seconds},
            {"per_second_and_core", result.Served() / cpu_seconds}};
  }

  QJsonObject Memory() {
    const std::int64_t idle = ResidentKilobytes(entry_pid);
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    for (int i = 0; i < FLAGS_connections; ++i) {
      sockets.push_back(std::make_unique<QTcpSocket>());
      sockets.back()->connectToHost("127.0.0.1", processes.Callers(kEntryName).port);
      sockets.back()->waitForConnected();
    }
    WaitUntilOrThrow("connections are open", [&] {
      return fleet::Get(processes.Status(kEntryName), "/state")["entry"]
                 .toObject()["caller_connections"]
                 .toInt() >= FLAGS_connections;
    });
    const std::int64_t open = ResidentKilobytes(entry_pid);
    return {
        {"idle_kb", static_cast<qint64>(idle)},
        {"per_connection_bytes", static_cast<qint64>((open - idle) * 1024 / FLAGS_connections)}};
  }

  static constexpr const char* kEntryName = "entry-centre-1";
  fleet processes;
  std::string key;
  std::int64_t entry_pid = 0;
};

int Run() {
  bench measurement;
  QJsonObject report;
  report["memory"] = measurement.Memory();
  report["get"] = measurement.Latency("GET", "/catalogue/1", "upstream-catalogue-centre-1", false);
  report["order"] = measurement.Latency("POST", "/orders", "upstream-orders-centre-1", true);
  report["throughput"] = measurement.Throughput();
  std::cout << QJsonDocument(report).toJson().toStdString();
  return 0;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("serving-bench", corianderhoist::log_level::kError);
  return corianderhoist::Run();
}
