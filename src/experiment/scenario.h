/// Scenarios of the experiments, as JSON documents.
#pragma once

#include "base/error.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class fault_kind {
  kGray,          ///< An upstream fails a share of its work quickly; its health endpoint is fine.
  kSlow,          ///< An upstream takes `factor` times as long.
  kFlapping,      ///< An upstream fails all work in every second period of 3 s.
  kLyingLoad,     ///< A share of the upstreams report full load while they are idle.
  kColdWave,      ///< A share of the upstreams restart together and are slow at first.
  kShedding,      ///< A share of the upstreams decline half of their work although slots are free.
  kBadLink,       ///< An entry VM loses a share of its connections to upstreams.
  kRegionCut,     ///< A region cannot reach the others.
  kNoisy,         ///< A workspace sends `factor` times its rate.
  kCrashRequest,  ///< A caller sends a request every second that crashes its upstream.
};

/// One fault with its period, relative to the start of the run.
struct scenario_fault {
  fault_kind kind = fault_kind::kGray;
  std::chrono::milliseconds start{};
  std::chrono::milliseconds end{};
  int percent = 50;  ///< Of work, upstreams or connections, as the kind says.
  int factor = 1;    ///< Of time or rate, as the kind says.
  int target = 0;    ///< Index of the upstream, entry VM, region or workspace.
};

/// The size of a service as in section 1.3 of the design, and what happens to it.
struct scenario {
  std::string name;
  std::uint32_t seed = 1;
  std::chrono::milliseconds duration{60'000};
  int entry_vms = 44;
  int upstreams = 12;
  int slots = 4;
  std::chrono::milliseconds service_time{25};
  int load_percent = 45;  ///< Mean load of the slots by service time alone.
  int floor_percent = 50;
  std::vector<scenario_fault> faults;
};

/// Reads a scenario. Fails with `kInvalidSettings` and all faults of the document.
result<scenario> ParseScenario(const std::string& json);

/// The scenarios of the measures page, in its order; each is the content of a JSON file.
const std::vector<std::string>& BuiltInScenarios();

/// Whether the fault makes an upstream sick, so that ejecting it is right.
bool IsSickness(fault_kind kind);

}  // namespace corianderhoist
