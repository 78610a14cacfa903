// corianderhoist-load: generates load against entry VMs and, for comparison, directly against
// upstreams.
//
//   corianderhoist-load --fleet 127.0.0.1:8080 --direct 127.0.0.1:9090 --workspaces shop=KEY
//       --path /catalogue/1 --rate 500 --connections 32 --duration 20s
//
// Prints one JSON object to standard output. With both --fleet and --direct, rounds alternate
// between the two so that noise on the machine affects both.
#include "base/duration.h"
#include "experiment/load_run.h"

#include <gflags/gflags.h>
#include <QJsonDocument>
#include <QString>
#include <QStringList>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(fleet, "", "addresses of entry VMs, separated by commas");
DEFINE_string(direct, "", "addresses of upstreams, separated by commas");
DEFINE_string(workspaces, "", "NAME=KEY, separated by commas; empty: no key");
DEFINE_string(method, "GET", "method of the requests");
DEFINE_string(path, "/", "target of the requests");
DEFINE_int32(body_bytes, 0, "size of the body");
DEFINE_double(rate, 0, "requests per second, open loop; 0: closed loop");
DEFINE_int32(connections, 16, "connections per target");
DEFINE_string(duration, "10s", "time per target");
DEFINE_string(timeout, "10s", "longest wait for one answer");
DEFINE_int32(rounds, 4, "turns into which the time per target is divided");
DEFINE_bool(idempotency_keys, false, "send a new Idempotency-Key with each request");

namespace corianderhoist {
namespace {

constexpr int kInvalidCommandLineExitCode = 2;

[[noreturn]] void Refuse(const std::string& cause) {
  std::cerr << cause << '\n';
  std::exit(kInvalidCommandLineExitCode);
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  for (const QString& part : QString::fromStdString(text).split(',', Qt::SkipEmptyParts)) {
    parts.push_back(part.toStdString());
  }
  return parts;
}

std::vector<endpoint> ReadAddresses(const std::string& text) {
  std::vector<endpoint> addresses;
  for (const std::string& part : Split(text)) {
    addresses.push_back(Recover([&] { return ParseEndpoint(part); },
                                [](const error& failure) -> endpoint { Refuse(failure.detail); }));
  }
  return addresses;
}

std::chrono::milliseconds ReadDuration(const std::string& text) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Recover([&] { return ParseDuration(text); },
              [](const error& failure) -> std::chrono::microseconds { Refuse(failure.detail); }));
}

load_plan ReadPlan() {
  if (FLAGS_connections < 1 || FLAGS_rounds < 1 || FLAGS_rate < 0 || FLAGS_body_bytes < 0) {
    Refuse("connections and rounds must be positive, rate and body_bytes not negative");
  }
  load_plan plan;
  for (const std::string& part : Split(FLAGS_workspaces)) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      Refuse("'" + part + "' is not NAME=KEY");
    }
    plan.workspaces.push_back({part.substr(0, equals), part.substr(equals + 1)});
  }
  if (plan.workspaces.empty()) {
    plan.workspaces.push_back({"open", ""});
  }
  plan.call.method = FLAGS_method;
  plan.call.target = FLAGS_path;
  plan.call.body = std::string(static_cast<std::size_t>(FLAGS_body_bytes), 'x');
  plan.rate = FLAGS_rate;
  plan.connections = FLAGS_connections;
  plan.duration = ReadDuration(FLAGS_duration) / FLAGS_rounds;
  plan.timeout = ReadDuration(FLAGS_timeout);
  plan.has_idempotency_keys = FLAGS_idempotency_keys;
  return plan;
}

struct target {
  QString name;
  std::vector<endpoint> addresses;
  load_results results;
  load_result total;
};

void RunRounds(load_plan plan, std::vector<target>& targets) {
  for (int round = 0; round < FLAGS_rounds; ++round) {
    for (target& each : targets) {
      plan.addresses = each.addresses;
      for (const auto& [workspace, result] : RunLoad(plan)) {
        each.results[workspace].Merge(result);
        each.total.Merge(result);
      }
    }
  }
}

QJsonObject Report(const target& each, std::chrono::milliseconds duration) {
  QJsonObject report = ToJson(each.total, duration);
  QJsonObject workspaces;
  for (const auto& [workspace, result] : each.results) {
    workspaces[QString::fromStdString(workspace)] = ToJson(result, duration);
  }
  report["workspaces"] = workspaces;
  return report;
}

QJsonObject AddedLatency(const QJsonObject& fleet, const QJsonObject& direct) {
  QJsonObject added;
  for (const char* name : {"p50_us", "p99_us", "p999_us"}) {
    added[name] = fleet[name].toInteger() - direct[name].toInteger();
  }
  return added;
}

int Run() {
  const load_plan plan = ReadPlan();
  std::vector<target> targets;
  if (!FLAGS_direct.empty()) {
    targets.push_back({"direct", ReadAddresses(FLAGS_direct), {}, {}});
  }
  if (!FLAGS_fleet.empty()) {
    targets.push_back({"fleet", ReadAddresses(FLAGS_fleet), {}, {}});
  }
  if (targets.empty()) {
    Refuse("--fleet or --direct is missing");
  }
  RunRounds(plan, targets);
  QJsonObject report{{"rate", plan.rate}, {"connections", plan.connections}};
  for (const target& each : targets) {
    report[each.name] = Report(each, plan.duration * FLAGS_rounds);
  }
  if (targets.size() == 2) {
    report["added"] = AddedLatency(report["fleet"].toObject(), report["direct"].toObject());
  }
  std::cout << QJsonDocument(report).toJson().toStdString();
  return 0;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return corianderhoist::Run();
}
