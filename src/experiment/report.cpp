#include "experiment/report.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <set>

namespace corianderhoist {
namespace {

constexpr double kUndetectedRunMs = 30'000;
constexpr double kMinDetectionSpeedup = 3;
constexpr double kMaxWrongfulRefusalShare = 0.001;
constexpr double kMinWorstServedShare = 0.99;

std::string Format(const char* pattern, double value) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), pattern, value);
  return text.data();
}

std::string FormatPercent(double share) {
  return Format("%.2f %%", share * 100);
}

std::string FormatDetection(const scenario_summary& each) {
  if (!each.has_faulty_upstream) {
    return "-";
  }
  if (each.detected_runs * 2 <= each.runs) {
    return "> 30000 ms (" + std::to_string(each.detected_runs) + "/" + std::to_string(each.runs) +
           ")";
  }
  return Format("%.0f ms", each.median_detection_ms);
}

const scenario_summary* FindSummary(const experiment_report& report,
                                    const std::string& scenario,
                                    policy_kind policy) {
  for (const scenario_summary& each : report.scenarios) {
    if (each.scenario == scenario && each.policy == policy) {
      return &each;
    }
  }
  return nullptr;
}

std::string ScenarioTable(const experiment_report& report) {
  std::string text =
      "| scenario | policy | detection | wrong ejections | worst-served workspace | wrongful "
      "refusals "
      "| p99 | floor violations | doubles | untrue refusals | crashed upstreams |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const scenario_summary& each : report.scenarios) {
    text += "| " + each.scenario + " | " + PolicyName(each.policy) + " | " + FormatDetection(each) +
            " | " + std::to_string(each.wrong_ejections) + " | " +
            FormatPercent(each.worst_served) + " (" + each.worst_workspace + ") | " +
            FormatPercent(each.wrongful_refusals) + " | " + Format("%.0f ms", each.p99_ms) + " | " +
            std::to_string(each.floor_violations) + " | " + std::to_string(each.doubles) + " | " +
            std::to_string(each.untrue_refusals) + " | " + std::to_string(each.crashed_upstreams) +
            " |\n";
  }
  return text;
}

std::string RateTable(const experiment_report& report) {
  std::string text =
      "| entry VMs | scheme | refused within rate | of the worst workspace | windows over the "
      "bound | "
      "messages per request |\n|---|---|---|---|---|---|\n";
  for (const rate_measure& each : report.rates) {
    text += "| " + std::to_string(each.entry_vms) + " | " + SchemeName(each.scheme) + " | " +
            FormatPercent(each.refused) + " | " + FormatPercent(each.worst_refused) + " | " +
            std::to_string(each.violations) + " | " + Format("%.2f", each.messages_per_request) +
            " |\n";
  }
  return text;
}

std::string QueueTable(const experiment_report& report) {
  std::string text =
      "| load of the large workspace | order | worst quiet workspace served in 1 s | large "
      "workspace "
      "served in 1 s | p99 wait of quiet ones |\n|---|---|---|---|---|\n";
  for (const queue_measure& each : report.queues) {
    text += "| " + each.load + " | " + OrderName(each.order) + " | " +
            FormatPercent(each.worst_served) + " | " + FormatPercent(each.noisy_served) + " | " +
            Format("%.0f ms", each.quiet_p99_ms) + " |\n";
  }
  return text;
}

std::string ScarcityTable(const experiment_report& report) {
  std::string text =
      "| policy | route 0 in time | route 1 in time | workspaces 0, 1, 2 in time | served | worst "
      "workspace served | refused once | refused twice | sheds per request "
      "|\n|---|---|---|---|---|---|---|---|---|\n";
  for (const scarcity_measure& each : report.scarcity) {
    text += "| " + PolicyName(each.policy) + " | " + FormatPercent(each.in_time_by_route[0]) +
            " | " + FormatPercent(each.in_time_by_route[1]) + " | " +
            FormatPercent(each.in_time_by_workspace[0]) + ", " +
            FormatPercent(each.in_time_by_workspace[1]) + ", " +
            FormatPercent(each.in_time_by_workspace[2]) + " | " + FormatPercent(each.served) +
            " | " + FormatPercent(each.worst_served) + " | " + FormatPercent(each.refused_once) +
            " | " + FormatPercent(each.refused_twice) + " | " +
            Format("%.3f", each.sheds_per_request) + " |\n";
  }
  return text;
}

QJsonArray ScarcityToJson(const experiment_report& report) {
  QJsonArray rows;
  for (const scarcity_measure& each : report.scarcity) {
    rows.append(QJsonObject{{"policy", QString::fromStdString(PolicyName(each.policy))},
                            {"route_0_in_time", each.in_time_by_route[0]},
                            {"route_1_in_time", each.in_time_by_route[1]},
                            {"workspace_0_in_time", each.in_time_by_workspace[0]},
                            {"workspace_1_in_time", each.in_time_by_workspace[1]},
                            {"workspace_2_in_time", each.in_time_by_workspace[2]},
                            {"worst_served", each.worst_served},
                            {"served", each.served},
                            {"refused_once", each.refused_once},
                            {"refused_twice", each.refused_twice},
                            {"sheds_per_request", each.sheds_per_request}});
  }
  return rows;
}

target_check CheckDetection(const experiment_report& report) {
  double min_speedup = std::numeric_limits<double>::infinity();
  std::string where = "no scenario with a sick upstream";
  for (const scenario_summary& each : report.scenarios) {
    if (each.policy != policy_kind::kFleet || !each.has_faulty_upstream) {
      continue;
    }
    const auto* baseline = FindSummary(report, each.scenario, policy_kind::kConsecutiveErrors);
    const double speedup = baseline == nullptr || each.detected_runs < each.runs
                               ? 0
                               : baseline->median_detection_ms / each.median_detection_ms;
    if (speedup < min_speedup) {
      min_speedup = speedup;
      where = each.scenario;
    }
  }
  return {"detection at least 3x faster than consecutive errors per VM",
          Format("%.1fx at least", min_speedup) + " (" + where + ")",
          min_speedup >= kMinDetectionSpeedup};
}

target_check CheckWrongEjections(const experiment_report& report) {
  std::uint64_t count = 0;
  std::string where;
  for (const scenario_summary& each : report.scenarios) {
    if (each.policy == policy_kind::kFleet && !each.has_faulty_upstream) {
      count += each.wrong_ejections;
      where += each.wrong_ejections > 0 ? " " + each.scenario : "";
    }
  }
  return {"no wrong ejection in scenarios without a sick upstream", std::to_string(count) + where,
          count == 0};
}

target_check CheckRefusals(const experiment_report& report) {
  const auto* fault_free = FindSummary(report, "none", policy_kind::kFleet);
  const double share = fault_free == nullptr ? 1 : fault_free->wrongful_refusals;
  return {"wrongful refusals below 0.1 % without faults", FormatPercent(share),
          share < kMaxWrongfulRefusalShare};
}

target_check CheckWorstServed(const experiment_report& report) {
  const auto* noisy = FindSummary(report, "noisy workspace", policy_kind::kFleet);
  const double share = noisy == nullptr ? 0 : noisy->worst_served;
  return {"worst-served workspace at least 99 % beside a noisy neighbour", FormatPercent(share),
          share >= kMinWorstServedShare};
}

target_check CheckInvariants(const experiment_report& report) {
  std::uint64_t count = 0;
  for (const scenario_summary& each : report.scenarios) {
    if (each.policy == policy_kind::kFleet) {
      count += each.floor_violations + each.doubles + each.untrue_refusals;
    }
  }
  for (const rate_measure& each : report.rates) {
    count += each.scheme == rate_scheme::kAskTheOwner ? each.violations : 0;
  }
  return {"floor violations, doubles, untrue refusals and rate violations are 0",
          std::to_string(count), count == 0};
}

QJsonObject SummaryToJson(const scenario_summary& each) {
  return {{"scenario", QString::fromStdString(each.scenario)},
          {"policy", QString::fromStdString(PolicyName(each.policy))},
          {"runs", each.runs},
          {"detected_runs", each.detected_runs},
          {"median_detection_ms", each.median_detection_ms},
          {"wrong_ejections", static_cast<qint64>(each.wrong_ejections)},
          {"floor_violations", static_cast<qint64>(each.floor_violations)},
          {"doubles", static_cast<qint64>(each.doubles)},
          {"untrue_refusals", static_cast<qint64>(each.untrue_refusals)},
          {"crashed_upstreams", static_cast<qint64>(each.crashed_upstreams)},
          {"worst_served", each.worst_served},
          {"worst_workspace", QString::fromStdString(each.worst_workspace)},
          {"wrongful_refusals", each.wrongful_refusals},
          {"p99_ms", each.p99_ms}};
}

}  // namespace

scenario_summary Summarize(const std::string& scenario,
                           policy_kind policy,
                           const std::vector<run_measure>& runs) {
  scenario_summary summary;
  summary.scenario = scenario;
  summary.policy = policy;
  summary.runs = static_cast<int>(runs.size());
  std::vector<double> detections;
  for (const run_measure& run : runs) {
    summary.has_faulty_upstream |= run.has_faulty_upstream;
    summary.detected_runs += run.detection ? 1 : 0;
    detections.push_back(run.detection ? double(run.detection->count()) : kUndetectedRunMs);
    summary.wrong_ejections += run.wrong_ejections;
    summary.floor_violations += run.floor_violations;
    summary.doubles += run.doubles;
    summary.untrue_refusals += run.untrue_refusals;
    summary.crashed_upstreams += run.crashed_upstreams;
    if (summary.worst_workspace.empty() || run.WorstServed() < summary.worst_served) {
      summary.worst_served = run.WorstServed();
      summary.worst_workspace = run.WorstWorkspace();
    }
    summary.wrongful_refusals = std::max(summary.wrongful_refusals, run.WrongfulRefusals());
    summary.p99_ms = std::max(summary.p99_ms, run.P99Milliseconds());
  }
  std::sort(detections.begin(), detections.end());
  summary.median_detection_ms = detections.empty() ? 0 : detections[detections.size() / 2];
  return summary;
}

std::vector<target_check> CheckTargets(const experiment_report& report) {
  return {CheckDetection(report), CheckWrongEjections(report), CheckRefusals(report),
          CheckWorstServed(report), CheckInvariants(report)};
}

std::string ToMarkdown(const experiment_report& report) {
  std::string text = "## Targets\n\n| target | measured | met |\n|---|---|---|\n";
  for (const target_check& each : CheckTargets(report)) {
    text += "| " + each.text + " | " + each.measured + " | " + (each.is_met ? "yes" : "**no**") +
            " |\n";
  }
  text += "\n## Scenarios\n\n" + ScenarioTable(report);
  text += "\n## Rate limits\n\n" + RateTable(report);
  text += "\n## Queues\n\n" + QueueTable(report);
  text += "\n## Hedges\n\n" + HedgeTable(report.hedges);
  text += "\n## Scarcity\n\n" + ScarcityTable(report);
  return text;
}

std::string HedgeTable(const std::vector<hedge_measure>& hedges) {
  std::string text =
      "| second attempts | p50 | p99 | p99.9 | hedges per request | retries per request | time of "
      "upstreams per request |\n|---|---|---|---|---|---|---|\n";
  for (const hedge_measure& each : hedges) {
    text += "| " + each.rule + " | " + Format("%.0f ms", each.p50_ms) + " | " +
            Format("%.0f ms", each.p99_ms) + " | " + Format("%.0f ms", each.p999_ms) + " | " +
            FormatPercent(each.hedges) + " | " + FormatPercent(each.retries) + " | " +
            Format("%.1f ms", each.work_ms) + " |\n";
  }
  return text;
}

QJsonObject ToJson(const experiment_report& report) {
  QJsonArray scenarios;
  for (const scenario_summary& each : report.scenarios) {
    scenarios.append(SummaryToJson(each));
  }
  QJsonArray rates;
  for (const rate_measure& each : report.rates) {
    rates.append(QJsonObject{{"scheme", QString::fromStdString(SchemeName(each.scheme))},
                             {"entry_vms", each.entry_vms},
                             {"refused", each.refused},
                             {"worst_refused", each.worst_refused},
                             {"violations", static_cast<qint64>(each.violations)},
                             {"messages_per_request", each.messages_per_request}});
  }
  QJsonArray queues;
  for (const queue_measure& each : report.queues) {
    queues.append(QJsonObject{{"order", QString::fromStdString(OrderName(each.order))},
                              {"load", QString::fromStdString(each.load)},
                              {"worst_served", each.worst_served},
                              {"noisy_served", each.noisy_served},
                              {"quiet_p99_ms", each.quiet_p99_ms}});
  }
  QJsonArray hedges;
  for (const hedge_measure& each : report.hedges) {
    hedges.append(QJsonObject{{"rule", QString::fromStdString(each.rule)},
                              {"p50_ms", each.p50_ms},
                              {"p99_ms", each.p99_ms},
                              {"p999_ms", each.p999_ms},
                              {"hedges", each.hedges},
                              {"retries", each.retries},
                              {"work_ms", each.work_ms}});
  }
  return {{"scenarios", scenarios},
          {"rates", rates},
          {"queues", queues},
          {"hedges", hedges},
          {"scarcity", ScarcityToJson(report)}};
}

}  // namespace corianderhoist
