/// Cost of the traffic of a placement when the prices of traffic are known only within a range.
#pragma once

namespace corianderhoist {

/// The range of the cost of a kilobyte, as fractions of the value of a request.
struct cost_range {
  double least = 0;
  double most = 0;
};

/// Returns the cost per kilobyte to assume for placements.
///
/// An upstream nearby is preferred to a distant one while its excess loss is below the assumed cost
/// of the bytes. If the true cost is lower, this gives up at most `assumed - least` per kilobyte;
/// if it is higher, the distant upstream costs at most `most - assumed` too much. The middle of the
/// range minimises the larger of the two.
constexpr double AssumedCostPerKilobyte(cost_range range) {
  return (range.least + range.most) / 2;
}

}  // namespace corianderhoist
