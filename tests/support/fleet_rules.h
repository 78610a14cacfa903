/// The rules that the demonstration and the process tests apply.
#pragma once

#include <string>

namespace corianderhoist {

/// Workspaces: aprons (centre), shelving (west, then east), twine (east) and kiln, whose only
/// place, east/east-3, has no upstream.
std::string DemonstrationRules();

}  // namespace corianderhoist
