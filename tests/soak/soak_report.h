/// Draws the time line of a soak run.
#pragma once

#include "soak/judge.h"

#include <string>
#include <vector>

namespace corianderhoist::soak {

/// An SVG picture with one row for each kind of fault, in which a bar is a fault and its name the
/// target, and one row for each rule, in which a mark is a finding.
std::string TimeLineSvg(const std::string& title,
                        const std::vector<fault_record>& faults,
                        const std::vector<finding>& findings,
                        run_time length);

}  // namespace corianderhoist::soak
