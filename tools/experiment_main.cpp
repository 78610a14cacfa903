// corianderhoist-experiment: runs the coordinators' decision modules and two baseline policies
// through fault scenarios in simulated time.
//
//   corianderhoist-experiment --all --out DIR          every figure of docs/MEASURES.md
//   corianderhoist-experiment --scenario FILE --out DIR
//   corianderhoist-experiment --hedges                 only the comparison of hedge limits
//
// Writes results.json, measures.md and plots (SVG) to DIR and the tables to standard output.
// The exit code is 0 even if a target is missed; the tables report it.
#include "experiment/bar_plot.h"
#include "experiment/report.h"
#include "experiment/scenario.h"

#include <gflags/gflags.h>
#include <QJsonDocument>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <thread>

DEFINE_bool(all, false, "run all built-in scenarios and comparisons");
DEFINE_bool(hedges, false, "print only the comparison of hedge limits");
DEFINE_bool(comparisons, false, "run only the comparisons");
DEFINE_string(scenario, "", "run the scenario of this JSON file");
DEFINE_string(out, "", "folder for the results");
DEFINE_int32(runs, 5, "runs per scenario and policy, with seeds from the scenario's seed on");
DEFINE_int32(threads, 4, "runs at a time");

namespace corianderhoist {
namespace {

constexpr int kInvalidCommandLineExitCode = 2;
constexpr std::uint32_t kComparisonSeed = 1;
constexpr int kScarcityRuns = 10;
constexpr policy_kind kPolicies[] = {policy_kind::kFleet, policy_kind::kRoundRobin,
                                     policy_kind::kConsecutiveErrors};

[[noreturn]] void Refuse(const std::string& cause) {
  std::cerr << cause << '\n';
  std::exit(kInvalidCommandLineExitCode);
}

scenario ReadScenario(const std::string& text) {
  return Recover([&] { return ParseScenario(text); },
                 [](const error& failure) -> scenario { Refuse(failure.detail); });
}

std::vector<scenario> ChooseScenarios() {
  std::vector<scenario> chosen;
  if (FLAGS_all) {
    for (const std::string& text : BuiltInScenarios()) {
      chosen.push_back(ReadScenario(text));
    }
  } else if (!FLAGS_scenario.empty()) {
    std::ifstream file(FLAGS_scenario);
    if (!file) {
      Refuse("cannot read the scenario '" + FLAGS_scenario + "'");
    }
    chosen.push_back(ReadScenario(std::string(std::istreambuf_iterator<char>(file), {})));
  }
  return chosen;
}

// All runs of one scenario under one policy.
struct scenario_runs {
  scenario plan;
  policy_kind policy = policy_kind::kFleet;
  std::vector<run_measure> runs;
};

std::vector<scenario_runs> MakeScenarioRuns(const std::vector<scenario>& scenarios) {
  std::vector<scenario_runs> all_runs;
  for (const scenario& each : scenarios) {
    for (const policy_kind policy : kPolicies) {
      all_runs.push_back(
          {each, policy, std::vector<run_measure>(static_cast<std::size_t>(FLAGS_runs))});
    }
  }
  return all_runs;
}

// Executes all runs on `--threads` threads. A run's seed follows from its index, so the results do
// not depend on the order in which threads take runs.
void ExecuteRuns(std::vector<scenario_runs>& all_runs) {
  const auto runs = static_cast<std::size_t>(FLAGS_runs);
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int i = 0; i < FLAGS_threads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t job = next++; job < all_runs.size() * runs; job = next++) {
        scenario_runs& current = all_runs[job / runs];
        scenario plan = current.plan;
        plan.seed += static_cast<std::uint32_t>(job % runs);
        current.runs[job % runs] = RunScenario(plan, current.policy);
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
}

template <class Value>
bar_plot MakePlot(const experiment_report& report,
                  const std::string& title,
                  const std::string& unit,
                  bool is_faulty_only,
                  Value&& value) {
  bar_plot plot{title, unit, {}, {}, is_faulty_only};
  for (const policy_kind policy : kPolicies) {
    bar_series series{PolicyName(policy), {}};
    for (const scenario_summary& each : report.scenarios) {
      if (each.policy != policy || (is_faulty_only && !each.has_faulty_upstream)) {
        continue;
      }
      series.values.push_back(value(each));
      if (policy == kPolicies[0]) {
        plot.groups.push_back(each.scenario);
      }
    }
    plot.series.push_back(std::move(series));
  }
  return plot;
}

void WriteFile(const std::string& name, const std::string& text) {
  const std::filesystem::path path = std::filesystem::path(FLAGS_out) / name;
  std::ofstream file(path);
  file << text;
  if (!file.flush()) {
    Refuse("cannot write " + path.string());
  }
}

void WriteResults(const experiment_report& report) {
  std::filesystem::create_directories(FLAGS_out);
  WriteFile("results.json", QJsonDocument(ToJson(report)).toJson().toStdString());
  WriteFile("measures.md", ToMarkdown(report));
  WriteFile("detection.svg",
            ToSvg(MakePlot(report, "Time to detect a sick upstream", "ms, logarithmic", true,
                           [](const auto& each) { return each.median_detection_ms; })));
  WriteFile("worst-served.svg",
            ToSvg(MakePlot(report, "Worst-served workspace within its rate", "% served in time",
                           false, [](const auto& each) { return each.worst_served * 100; })));
  WriteFile("refusals.svg",
            ToSvg(MakePlot(report, "Wrongful refusals", "% of requests within rate", false,
                           [](const auto& each) { return each.wrongful_refusals * 100; })));
  WriteFile("wrong-ejections.svg",
            ToSvg(MakePlot(report, "Healthy upstreams ejected", "count over all runs", false,
                           [](const auto& each) { return double(each.wrong_ejections); })));
}

int Run() {
  if (FLAGS_hedges) {
    std::cout << HedgeTable(CompareHedges(kComparisonSeed));
    return 0;
  }
  const int modes = int(FLAGS_all) + int(FLAGS_comparisons) + int(!FLAGS_scenario.empty());
  if (modes != 1 || FLAGS_runs < 1 || FLAGS_threads < 1) {
    Refuse(
        "give one of --all, --comparisons and --scenario FILE, and positive --runs and --threads");
  }
  std::vector<scenario_runs> all_runs = MakeScenarioRuns(ChooseScenarios());
  ExecuteRuns(all_runs);
  experiment_report report;
  for (const scenario_runs& each : all_runs) {
    report.scenarios.push_back(Summarize(each.plan.name, each.policy, each.runs));
  }
  if (FLAGS_all || FLAGS_comparisons) {
    report.rates = CompareRates(kComparisonSeed);
    report.queues = CompareQueues(kComparisonSeed);
    report.hedges = CompareHedges(kComparisonSeed);
    report.scarcity = CompareScarcity(kComparisonSeed, kScarcityRuns);
  }
  std::cout << ToMarkdown(report);
  if (!FLAGS_out.empty()) {
    WriteResults(report);
  }
  return 0;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return corianderhoist::Run();
}
