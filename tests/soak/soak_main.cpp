// corianderhoist-soak: runs the programs of the users' platform as separate processes, injects
// faults from outside them and checks the promises. Exits with 1 if one was broken.
#include "base/log.h"
#include "soak/soak_report.h"
#include "soak/soak_run.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <exception>
#include <fstream>
#include <iostream>
#include <mutex>

DEFINE_uint64(seed, 1, "seed of the schedule of faults and of the load");
DEFINE_double(minutes, 0.5, "time with faults");
DEFINE_string(faults,
              "all",
              "kinds of faults, separated by commas; \"planned\" and \"all\" are groups");
DEFINE_uint32(vms, 3, "entry VMs, beside three core VMs");
DEFINE_uint32(callers, 16, "callers, each with one connection");
DEFINE_string(report, "soak-report.svg", "file for the time line; empty: none");

namespace corianderhoist::soak {
namespace {

int Main() {
  soak_plan plan;
  plan.seed = FLAGS_seed;
  plan.length = std::chrono::duration_cast<run_time>(
      std::chrono::duration<double, std::ratio<60>>(FLAGS_minutes));
  plan.kinds = ParseFaultKinds(FLAGS_faults);
  plan.entries = FLAGS_vms;
  plan.callers = FLAGS_callers;
  std::mutex lock;
  const soak_result result = RunSoak(plan, [&](const std::string& line) {
    const std::lock_guard guard(lock);
    std::cout << line << std::endl;
  });
  const std::string title = "seed " + std::to_string(FLAGS_seed) + ", faults " + FLAGS_faults;
  std::cout << title << "\n" << result.summary;
  if (!result.findings.empty()) {
    std::cout << "logs of the VMs: " << result.folder.string() << "\n";
  }
  if (!FLAGS_report.empty()) {
    std::ofstream(FLAGS_report) << TimeLineSvg(title, result.faults, result.findings,
                                               result.length);
  }
  return result.findings.empty() ? 0 : 1;
}

std::string Usage() {
  std::string text = "randomized soak of corianderhoist-platform. Kinds of faults:";
  for (const fault_traits& each : AllFaults()) {
    text += " " + std::string(each.name);
  }
  return text;
}

}  // namespace
}  // namespace corianderhoist::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage(corianderhoist::soak::Usage());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("soak", corianderhoist::log_level::kError);
  try {
    return corianderhoist::soak::Main();
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << std::endl;
    return 2;
  }
}
