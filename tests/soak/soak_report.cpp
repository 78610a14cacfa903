#include "soak/soak_report.h"

#include <algorithm>
#include <map>

namespace corianderhoist::soak {
namespace {

constexpr int kWidth = 1200;
constexpr int kLabelWidth = 130;
constexpr int kRowHeight = 22;
constexpr int kTop = 40;
constexpr int kMinBarWidth = 3;
constexpr std::chrono::seconds kTickInterval{5};

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    escaped += letter == '<' ? "&lt;" : letter == '&' ? "&amp;" : std::string(1, letter);
  }
  return escaped;
}

std::string Text(int x, int y, const std::string& text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) +
         "\" font-size=\"11\" font-family=\"sans-serif\">" + Escape(text) + "</text>\n";
}

std::string Bar(int x, int y, int width, const char* colour, const std::string& title) {
  return "<rect x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" width=\"" +
         std::to_string(width) + "\" height=\"" + std::to_string(kRowHeight - 6) + "\" fill=\"" +
         colour + "\"><title>" + Escape(title) + "</title></rect>\n";
}

}  // namespace

std::string TimeLineSvg(const std::string& title,
                        const std::vector<fault_record>& faults,
                        const std::vector<finding>& findings,
                        run_time length) {
  const auto to_x = [&](run_time at) {
    return kLabelWidth + static_cast<int>((kWidth - kLabelWidth) * at.count() /
                                          std::max<run_time::rep>(length.count(), 1));
  };
  std::map<std::string, int> rows;
  const auto add_row = [&](const std::string& name) {
    rows.emplace(name, kTop + static_cast<int>(rows.size()) * kRowHeight);
  };
  for (const fault_record& each : faults) {
    add_row(std::string(TraitsOf(each.kind).name));
  }
  for (const finding& each : findings) {
    add_row(each.rule);
  }
  std::string svg = Text(4, 16, title);
  for (std::chrono::seconds at{}; at <= length; at += kTickInterval) {
    svg += Text(to_x(at), kTop - 8, std::to_string(at.count()) + " s");
  }
  for (const auto& [name, y] : rows) {
    svg += Text(4, y + kRowHeight - 10, name);
  }
  for (const fault_record& each : faults) {
    const int x = to_x(each.begin);
    const int width = std::max(to_x(each.end.value_or(length)) - x, kMinBarWidth);
    const int y = rows[std::string(TraitsOf(each.kind).name)];
    svg += Bar(x, y, width, "#8fb8d8", each.name) + Text(x + 1, y + kRowHeight - 10, each.name);
  }
  for (const finding& each : findings) {
    svg += Bar(to_x(each.at), rows[each.rule], kMinBarWidth, "#c44e52", each.detail);
  }
  const int height = kTop + static_cast<int>(rows.size()) * kRowHeight + 10;
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(kWidth) +
         "\" height=\"" + std::to_string(height) +
         "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + svg + "</svg>\n";
}

}  // namespace corianderhoist::soak
