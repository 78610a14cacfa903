// Measures the refusals within the rate and the largest excess of a simulated fleet, by event.
// Prints one line for each event.
#include "base/log.h"
#include "experiment/fleet_rate_simulation.h"

#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>

DEFINE_uint64(seeds, 20, "number of seeds, from 1 on");
DEFINE_int32(event, -1, "number of the only event to simulate; -1: all");

namespace corianderhoist {
namespace {

double PerCent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void Print(rate_event event) {
  fleet_rate_measure sum;
  for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    sum.Add(SimulateFleetRates(event, seed));
  }
  const auto& refused = sum.usual_refused;
  std::cout << std::fixed << std::setprecision(3) << EventName(event) << ": " << sum.requests
            << " requests; refused within the rate " << PerCent(sum.Refused(), sum.within_rate)
            << " %; of workspaces at their usual "
            << PerCent(sum.UsualRefused(), sum.usual_within_rate) << " % (share " << refused[0]
            << ", out of contact " << refused[1] << ", growth " << refused[2] << ", no lease "
            << refused[3] << "); of the lowered one "
            << PerCent(sum.lowered_refused, sum.lowered_within_rate) << " %; hot ones admitted "
            << sum.hot_admitted << " of " << sum.hot_within_rate << "; largest excess "
            << sum.largest_excess << std::endl;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  using namespace corianderhoist;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  ConfigureLog("rate-bench", log_level::kError);
  for (const rate_event event :
       {rate_event::kNone, rate_event::kLoweredRate, rate_event::kHotWorkspaces,
        rate_event::kHotAndFrozenCore, rate_event::kRestartedCores}) {
    if (FLAGS_event < 0 || FLAGS_event == static_cast<int>(event)) {
      Print(event);
    }
  }
  return 0;
}
