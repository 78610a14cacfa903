/// Summaries, tables and JSON results of the experiments.
#pragma once

#include "experiment/experiment_run.h"
#include "experiment/hedge_comparison.h"
#include "experiment/queue_comparison.h"
#include "experiment/rate_comparison.h"
#include "experiment/scarcity_comparison.h"

#include <QJsonObject>

#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Aggregate of the runs of one scenario under one policy with several seeds.
struct scenario_summary {
  std::string scenario;
  policy_kind policy = policy_kind::kFleet;
  int runs = 0;
  int detected_runs = 0;
  bool has_faulty_upstream = false;
  double median_detection_ms = 0;  ///< A run without detection counts as 30 s.
  std::uint64_t wrong_ejections = 0;
  std::uint64_t floor_violations = 0;
  std::uint64_t doubles = 0;
  std::uint64_t untrue_refusals = 0;
  std::uint64_t crashed_upstreams = 0;
  double worst_served = 1;  ///< Lowest of all runs.
  std::string worst_workspace;
  double wrongful_refusals = 0;  ///< Highest of all runs.
  double p99_ms = 0;             ///< Highest of all runs.
};

scenario_summary Summarize(const std::string& scenario,
                           policy_kind policy,
                           const std::vector<run_measure>& runs);

/// A target of section 1.2 of the design and the measured value.
struct target_check {
  std::string text;
  std::string measured;
  bool is_met = false;
};

struct experiment_report {
  std::vector<scenario_summary> scenarios;
  std::vector<rate_measure> rates;
  std::vector<queue_measure> queues;
  std::vector<hedge_measure> hedges;
  std::vector<scarcity_measure> scarcity;
};

std::vector<target_check> CheckTargets(const experiment_report& report);

/// Markdown: targets, scenarios, rate limits, queues, hedges, scarcity.
std::string ToMarkdown(const experiment_report& report);
std::string HedgeTable(const std::vector<hedge_measure>& hedges);
QJsonObject ToJson(const experiment_report& report);

}  // namespace corianderhoist
