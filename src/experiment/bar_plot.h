/// Grouped bar charts as plain SVG.
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
  std::string unit;
  std::vector<std::string> groups;
  std::vector<bar_series> series;
  bool is_logarithmic = false;  ///< Values below 1 are drawn as 1.
};

std::string ToSvg(const bar_plot& plot);

}  // namespace corianderhoist
