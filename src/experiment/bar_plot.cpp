#include "experiment/bar_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace corianderhoist {
namespace {

constexpr double kWidth = 1000;
constexpr double kHeight = 420;
constexpr double kLeft = 70;
constexpr double kTop = 60;
constexpr double kBottom = 110;
constexpr int kGridLines = 5;
constexpr std::array<const char*, 4> kColours = {"#1b6ca8", "#c44e52", "#8c8c8c", "#55a868"};

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  return text.data();
}

std::string Text(double x, double y, const std::string& text, const std::string& more = {}) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) + "\" font-size=\"12\" " + more + ">" +
         text + "</text>\n";
}

std::string Rectangle(double x, double y, double width, double height, const char* colour) {
  return "<rect x=\"" + Number(x) + "\" y=\"" + Number(y) + "\" width=\"" + Number(width) +
         "\" height=\"" + Number(height) + "\" fill=\"" + colour + "\"/>\n";
}

double Scaled(const bar_plot& plot, double value) {
  return plot.is_logarithmic ? std::log10(std::max(value, 1.0)) : value;
}

double HighestOf(const bar_plot& plot) {
  double highest = 1e-9;
  for (const bar_series& each : plot.series) {
    for (const double value : each.values) {
      highest = std::max(highest, Scaled(plot, value));
    }
  }
  return plot.is_logarithmic ? std::ceil(highest) : highest;
}

std::string Grid(const bar_plot& plot, double highest) {
  std::string svg;
  const double area = kHeight - kTop - kBottom;
  const int lines = plot.is_logarithmic ? static_cast<int>(highest) : kGridLines;
  for (int i = 0; i <= lines; ++i) {
    const double scaled = highest * i / lines;
    const double y = kTop + area * (1 - scaled / highest);
    svg += "<line x1=\"" + Number(kLeft) + "\" x2=\"" + Number(kWidth) + "\" y1=\"" + Number(y) +
           "\" y2=\"" + Number(y) + "\" stroke=\"#dddddd\"/>\n";
    svg += Text(kLeft - 8, y + 4, Number(plot.is_logarithmic ? std::pow(10, scaled) : scaled),
                "text-anchor=\"end\"");
  }
  return svg;
}

std::string Bars(const bar_plot& plot, double highest) {
  std::string svg;
  const double area = kHeight - kTop - kBottom;
  const double group_width =
      (kWidth - kLeft) / double(std::max<std::size_t>(1, plot.groups.size()));
  const double bar_width = group_width * 0.8 / double(std::max<std::size_t>(1, plot.series.size()));
  for (std::size_t g = 0; g < plot.groups.size(); ++g) {
    const double left = kLeft + group_width * (double(g) + 0.1);
    for (std::size_t s = 0; s < plot.series.size(); ++s) {
      const double height = area * Scaled(plot, plot.series[s].values[g]) / highest;
      svg += Rectangle(left + bar_width * double(s), kTop + area - height, bar_width * 0.9, height,
                       kColours.at(s % kColours.size()));
    }
    const double x = left + group_width * 0.4;
    const double y = kTop + area + 14;
    svg +=
        Text(x, y, plot.groups[g],
             "text-anchor=\"end\" transform=\"rotate(-35 " + Number(x) + ' ' + Number(y) + ")\"");
  }
  return svg;
}

}  // namespace

std::string ToSvg(const bar_plot& plot) {
  const double highest = HighestOf(plot);
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + Number(kWidth + 20) +
                    "\" height=\"" + Number(kHeight) + "\" font-family=\"sans-serif\">\n" +
                    Rectangle(0, 0, kWidth + 20, kHeight, "#ffffff");
  svg += Text(kLeft, 20, plot.title + " (" + plot.unit + ")", "font-weight=\"bold\"");
  for (std::size_t s = 0; s < plot.series.size(); ++s) {
    const double x = kLeft + 200 * double(s);
    svg += Rectangle(x, 32, 12, 12, kColours.at(s % kColours.size()));
    svg += Text(x + 18, 43, plot.series[s].name);
  }
  return svg + Grid(plot, highest) + Bars(plot, highest) + "</svg>\n";
}

}  // namespace corianderhoist
