/// Parsing and canonical formatting of single lines of a rules file.
#pragma once

#include "rules/rule_set.h"
#include "rules/rules_file.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace corianderhoist {

using rule = std::variant<service_rule, workspace_rule, route_rule>;

/// A reference to a service or region, with its column, to be checked against the whole file.
struct name_reference {
  std::string_view name;  ///< Points into the parsed line.
  std::size_t column = 0;
};

/// A parsed line with the source columns that file-level checks report.
struct parsed_rule {
  rule value;
  std::size_t name_column = 0;  ///< Column of the rule's name, or of a route's methods.
  std::vector<name_reference> services;
  std::vector<name_reference> regions;
};

/// Parses a line without its line terminator. Returns nothing for a blank line, a line with only a
/// comment, and a line with faults, which are appended to `faults` with the line number `number`.
std::optional<parsed_rule> ParseRuleLine(std::string_view line,
                                         std::size_t number,
                                         std::vector<rules_fault>& faults);

/// Formats a rule as its canonical line. Attributes with their default value are omitted.
std::string FormatRule(const service_rule& value);
std::string FormatRule(const workspace_rule& value);
std::string FormatRule(const route_rule& value);

/// HTTP methods that a route may list, in alphabetical order.
const std::vector<std::string_view>& RouteMethods();

/// Set of methods as a bit mask; bit N stands for `RouteMethods()[N]`.
using method_mask = std::uint32_t;
method_mask MaskOf(const std::set<std::string>& methods);
std::vector<std::string> MethodsOf(method_mask mask);

}  // namespace corianderhoist
