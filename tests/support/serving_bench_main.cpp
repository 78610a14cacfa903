// Measures what an entry VM adds: latency over a direct call to the same upstream in alternating
// rounds, requests per second of one core, memory when idle and per connection. A fleet of real
// processes on loopback: one region, three coordinators, one entry VM, one upstream per service.
// The result is one JSON object.
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

constexpr milliseconds kRound(3000);
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
  constexpr int kUserTime = 12;
  constexpr int kSystemTime = 13;
  for (int i = 1; fields >> field && i <= kSystemTime; ++i) {
    ticks += i >= kUserTime ? std::stod(field) : 0;
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
  bench() : all(Plan()) {
    all.StartAll();
    all.ApplyRules(kRules);
    key = all.GiveKey("shop").text;
    Require("the fleet serves", [&] {
      return CallOnce(all.Callers(kEntry), Call("GET", "/catalogue/1"), milliseconds(5000))
                     .status == 200 &&
             CallOnce(all.Callers(kEntry), Call("POST", "/orders"), milliseconds(5000)).status ==
                 200;
    });
    entry = all.Process(kEntry).ProcessId();
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
    plan.duration = kRound;
    plan.has_idempotency_keys = has_idempotency_keys;
    return RunLoad(plan)["shop"];
  }

  QJsonObject Latency(const std::string& method,
                      const std::string& target,
                      const std::string& upstream,
                      bool has_idempotency_keys) {
    load_result through;
    load_result direct;
    constexpr int kConnections = 16;
    for (int i = 0; i < FLAGS_rounds; ++i) {
      direct.Merge(Run(all.Upstream(upstream), Call(method, target), FLAGS_rate, kConnections,
                       has_idempotency_keys));
      through.Merge(Run(all.Callers(kEntry), Call(method, target), FLAGS_rate, kConnections,
                        has_idempotency_keys));
    }
    const auto added = [&](double share) {
      return static_cast<qint64>(
          (Quantile(through.latencies, share) - Quantile(direct.latencies, share)).count());
    };
    return {{"through", ToJson(through, kRound * FLAGS_rounds)},
            {"direct", ToJson(direct, kRound * FLAGS_rounds)},
            {"added_p50_us", added(0.5)},
            {"added_p99_us", added(0.99)}};
  }

  QJsonObject Throughput() {
    const double before = CpuSeconds(entry);
    const load_result result = Run(all.Callers(kEntry), Call("GET", "/catalogue/1"), 0, 64, false);
    const double used = CpuSeconds(entry) - before;
    return {{"per_second", result.Served() / (kRound.count() / 1000.0)},
            {"entry_cpu_s", used},
            {"per_second_and_core", result.Served() / used}};
  }

  QJsonObject Memory() {
    const std::int64_t idle = ResidentKilobytes(entry);
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    for (int i = 0; i < FLAGS_connections; ++i) {
      sockets.push_back(std::make_unique<QTcpSocket>());
      sockets.back()->connectToHost("127.0.0.1", all.Callers(kEntry).port);
      sockets.back()->waitForConnected();
    }
    Require("connections are open", [&] {
      return fleet::Get(all.Status(kEntry), "/state")["entry"]
                 .toObject()["caller_connections"]
                 .toInt() >= FLAGS_connections;
    });
    const std::int64_t open = ResidentKilobytes(entry);
    return {
        {"idle_kb", static_cast<qint64>(idle)},
        {"per_connection_bytes", static_cast<qint64>((open - idle) * 1024 / FLAGS_connections)}};
  }

  static constexpr const char* kEntry = "entry-centre-1";
  fleet all;
  std::string key;
  std::int64_t entry = 0;
};

int Run() {
  bench measured;
  QJsonObject report;
  report["memory"] = measured.Memory();
  report["get"] = measured.Latency("GET", "/catalogue/1", "upstream-catalogue-centre-1", false);
  report["order"] = measured.Latency("POST", "/orders", "upstream-orders-centre-1", true);
  report["throughput"] = measured.Throughput();
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
