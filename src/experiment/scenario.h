/// Fault scenarios of the experiments, read from JSON documents.
#pragma once

#include "base/error.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class fault_kind {
  kGray,          ///< An upstream fails `percent` of its requests quickly but reports healthy.
  kSlow,          ///< An upstream takes `factor` times as long per request.
  kFlapping,      ///< An upstream fails all requests in alternate periods of 3 s.
  kLyingLoad,     ///< `percent` of the upstreams report full load regardless of their load.
  kColdWave,      ///< `percent` of the upstreams restart together and are slow while they warm up.
  kShedding,      ///< `percent` of the upstreams shed half of their requests despite free slots.
  kBadLink,       ///< An entry VM loses `percent` of its connections to upstreams.
  kRegionCut,     ///< A region is partitioned from the others.
  kNoisy,         ///< A workspace sends `factor` times its rate limit.
  kCrashRequest,  ///< A caller sends a request every second that crashes its upstream.
};

/// One fault and the period in which it is active, relative to the start of the run.
struct scenario_fault {
  fault_kind kind = fault_kind::kGray;
  std::chrono::milliseconds start{};
  std::chrono::milliseconds end{};
  int percent = 50;  ///< Of requests, upstreams or connections, depending on `kind`.
  int factor = 1;    ///< Of service time or rate, depending on `kind`.
  int target = 0;    ///< Index of the upstream, entry VM, region or workspace.
};

/// The size of a service (defaults from section 1.3 of the design), its load and its faults.
struct scenario {
  std::string name;
  std::uint32_t seed = 1;
  std::chrono::milliseconds duration{60'000};
  int entry_vms = 44;
  int upstreams = 12;
  int slots = 4;  ///< Per upstream.
  std::chrono::milliseconds service_time{25};
  int load_percent = 45;  ///< Mean utilisation of the slots, counting service time only.
  int floor_percent = 50;
  std::vector<scenario_fault> faults;
};

/// Parses a scenario. Fails with `kInvalidSettings` and a report of all errors in the document.
result<scenario> ParseScenario(const std::string& json);

/// The scenarios of the measures page in the same order, each as a JSON document.
const std::vector<std::string>& BuiltInScenarios();

/// Whether a fault of this kind makes its target upstream faulty, so that ejecting it is right.
bool MakesUpstreamFaulty(fault_kind kind);

}  // namespace corianderhoist
