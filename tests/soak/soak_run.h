/// A randomized soak: real processes of the users' platform under faults, with judged promises.
#pragma once

#include "soak/fault_schedule.h"
#include "soak/judge.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace corianderhoist::soak {

struct soak_plan {
  std::uint64_t seed = 1;
  run_time length{30'000};  ///< Of the time with faults.
  std::vector<fault_kind> kinds;
  std::size_t entries = 3;
  std::size_t upstreams_per_service = 3;
  std::size_t callers = 16;
};

struct soak_result {
  std::vector<finding> findings;
  std::vector<fault_record> faults;
  std::string summary;
  run_time length{};
  std::filesystem::path folder;  ///< Logs and data of the VMs; kept only after findings.
};

/// Runs on the thread of a QCoreApplication. `print` receives one line per fault and finding, from
/// any thread. Throws `std::runtime_error` if the fleet does not serve within a minute.
soak_result RunSoak(const soak_plan& plan, const std::function<void(const std::string&)>& print);

}  // namespace corianderhoist::soak
