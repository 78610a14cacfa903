/// One line of a rules file: parsing and canonical text.
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

/// A service or region that a line names, with its column, for checks against the whole file.
struct name_reference {
  std::string_view name;  ///< Part of the parsed line.
  std::size_t column = 0;
};

struct parsed_rule {
  rule value;
  std::size_t name_column = 0;  ///< Of the name, or of a route's methods.
  std::vector<name_reference> services;
  std::vector<name_reference> regions;
};

/// Parses a line without its line end. Returns nothing for a blank line, a line that is a comment
/// only, and a line with faults, which are appended to `faults` with the given line number.
std::optional<parsed_rule> ParseRuleLine(std::string_view line,
                                         std::size_t number,
                                         std::vector<rules_fault>& faults);

/// The canonical lines. Attributes that have their default value are left out.
std::string FormatRule(const service_rule& value);
std::string FormatRule(const workspace_rule& value);
std::string FormatRule(const route_rule& value);

/// Methods that a route may name, in alphabetical order.
const std::vector<std::string_view>& RouteMethods();

/// A set of methods with one bit per method, in the order of `RouteMethods`.
using method_mask = std::uint32_t;
method_mask MaskOf(const std::set<std::string>& methods);
std::vector<std::string> MethodsOf(method_mask mask);

}  // namespace corianderhoist
