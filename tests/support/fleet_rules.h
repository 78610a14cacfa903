/// The rules that the demonstration and the process tests apply.
#pragma once

#include <string>

namespace corianderhoist {

/// Workspaces: aprons (centre), shelving (west, then east), twine (east) and kiln (east/east-3,
/// which has no upstream).
std::string DemonstrationRules();

}  // namespace corianderhoist
