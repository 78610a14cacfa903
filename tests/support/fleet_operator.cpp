// Operators' commands of the fleet harness.
#include "support/fleet.h"

#include <stdexcept>

namespace corianderhoist {

std::vector<std::string> fleet::CtlFlags() {
  return {};
}

program_output fleet::Ctl(const std::vector<std::string>& arguments) {
  std::vector<std::string> all = CtlFlags();
  all.insert(all.end(), arguments.begin(), arguments.end());
  return RunProgram(ProgramPath("corianderhoist-ctl"), all);
}

}  // namespace corianderhoist
