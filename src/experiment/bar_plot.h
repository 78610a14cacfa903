/// Renders grouped bar charts as SVG.
#pragma once

#include <string>
#include <vector>

namespace corianderhoist {

struct bar_series {
  std::string name;
  std::vector<double> values;  ///< One per group.
};

struct bar_plot {
  std::string title;
  std::string unit;  ///< Of the values.
  std::vector<std::string> groups;
  std::vector<bar_series> series;
  /// Uses a base-10 logarithmic scale; values below 1 are drawn as 1.
  bool is_logarithmic = false;
};

std::string ToSvg(const bar_plot& plot);

}  // namespace corianderhoist
