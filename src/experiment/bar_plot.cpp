#include "experiment/bar_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace corianderhoist {
namespace {

constexpr double kPlotWidth = 1000;
constexpr double kPlotHeight = 420;
constexpr double kLeftMargin = 70;
constexpr double kTopMargin = 60;
constexpr double kBottomMargin = 110;
constexpr int kGridLines = 5;
constexpr std::array<const char*, 4> kColours = {"#1b6ca8", "#c44e52", "#8c8c8c", "#55a868"};

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  return text.data();
}

std::string TextElement(double x,
                        double y,
                        const std::string& text,
                        const std::string& attributes = {}) {
  return "<text x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(y) + "\" font-size=\"12\" " +
         attributes + ">" + text + "</text>\n";
}

std::string RectElement(double x, double y, double width, double height, const char* colour) {
  return "<rect x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(y) + "\" width=\"" +
         FormatNumber(width) + "\" height=\"" + FormatNumber(height) + "\" fill=\"" + colour +
         "\"/>\n";
}

double ScaleValue(const bar_plot& plot, double value) {
  return plot.is_logarithmic ? std::log10(std::max(value, 1.0)) : value;
}

double MaxScaledValue(const bar_plot& plot) {
  double highest = 1e-9;
  for (const bar_series& each : plot.series) {
    for (const double value : each.values) {
      highest = std::max(highest, ScaleValue(plot, value));
    }
  }
  return plot.is_logarithmic ? std::ceil(highest) : highest;
}

std::string GridElements(const bar_plot& plot, double highest) {
  std::string svg;
  const double area = kPlotHeight - kTopMargin - kBottomMargin;
  const int lines = plot.is_logarithmic ? static_cast<int>(highest) : kGridLines;
  for (int i = 0; i <= lines; ++i) {
    const double scaled = highest * i / lines;
    const double y = kTopMargin + area * (1 - scaled / highest);
    svg += "<line x1=\"" + FormatNumber(kLeftMargin) + "\" x2=\"" + FormatNumber(kPlotWidth) +
           "\" y1=\"" + FormatNumber(y) + "\" y2=\"" + FormatNumber(y) +
           "\" stroke=\"#dddddd\"/>\n";
    svg += TextElement(kLeftMargin - 8, y + 4,
                       FormatNumber(plot.is_logarithmic ? std::pow(10, scaled) : scaled),
                       "text-anchor=\"end\"");
  }
  return svg;
}

std::string BarElements(const bar_plot& plot, double highest) {
  std::string svg;
  const double area = kPlotHeight - kTopMargin - kBottomMargin;
  const double group_width =
      (kPlotWidth - kLeftMargin) / double(std::max<std::size_t>(1, plot.groups.size()));
  const double bar_width = group_width * 0.8 / double(std::max<std::size_t>(1, plot.series.size()));
  for (std::size_t g = 0; g < plot.groups.size(); ++g) {
    const double left = kLeftMargin + group_width * (double(g) + 0.1);
    for (std::size_t s = 0; s < plot.series.size(); ++s) {
      const double height = area * ScaleValue(plot, plot.series[s].values[g]) / highest;
      svg += RectElement(left + bar_width * double(s), kTopMargin + area - height, bar_width * 0.9,
                         height, kColours.at(s % kColours.size()));
    }
    const double x = left + group_width * 0.4;
    const double y = kTopMargin + area + 14;
    svg += TextElement(x, y, plot.groups[g],
                       "text-anchor=\"end\" transform=\"rotate(-35 " + FormatNumber(x) + ' ' +
                           FormatNumber(y) + ")\"");
  }
  return svg;
}

}  // namespace

std::string ToSvg(const bar_plot& plot) {
  const double highest = MaxScaledValue(plot);
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    FormatNumber(kPlotWidth + 20) + "\" height=\"" + FormatNumber(kPlotHeight) +
                    "\" font-family=\"sans-serif\">\n" +
                    RectElement(0, 0, kPlotWidth + 20, kPlotHeight, "#ffffff");
  svg += TextElement(kLeftMargin, 20, plot.title + " (" + plot.unit + ")", "font-weight=\"bold\"");
  for (std::size_t s = 0; s < plot.series.size(); ++s) {
    const double x = kLeftMargin + 200 * double(s);
    svg += RectElement(x, 32, 12, 12, kColours.at(s % kColours.size()));
    svg += TextElement(x + 18, 43, plot.series[s].name);
  }
  return svg + GridElements(plot, highest) + BarElements(plot, highest) + "</svg>\n";
}

}  // namespace corianderhoist
