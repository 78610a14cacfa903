/// Parsing, canonical form and differences of rules files.
#pragma once

#include "base/error.h"
#include "rules/rule_set.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace corianderhoist {

/// A fault of a rules file.
struct rules_fault {
  std::size_t line = 0;    ///< From 1.
  std::size_t column = 0;  ///< From 1, in bytes.
  std::string text;        ///< What is wrong.
  std::string remedy;      ///< What would be right.
};

/// Formats as "FILE:LINE:COLUMN: text; remedy".
std::string FormatFault(std::string_view file, const rules_fault& fault);

/// Parses a whole file and returns its rules, or all its faults in the order of lines. Regions that
/// are not in `known_regions` are faults, unless it is null.
std::variant<rule_set, std::vector<rules_fault>> ParseRules(
    std::string_view text,
    const std::set<std::string>* known_regions = nullptr);

/// One normalised line per rule with its comment, sorted. Parsing it gives an equal rule set.
std::vector<std::string> CanonicalLines(const rule_set& rules);
/// The canonical lines, each ended by a newline.
std::string CanonicalText(const rule_set& rules);

/// Lines that lead from one rule set to another; removals are applied first.
struct rules_difference {
  std::vector<std::string> removed;
  std::vector<std::string> added;
};
rules_difference Difference(const rule_set& from, const rule_set& to);

/// Applies canonical lines to `rules`. Fails with `kInvalidRules` and changes nothing when a
/// removed line is absent, an added line does not parse, or the result would not be a valid rules
/// file. Costs in proportion to the difference, except that the removal of a service looks at all
/// rules for one that still names it.
result<void> ApplyDifference(rule_set& rules,
                             const rules_difference& difference,
                             const std::set<std::string>* known_regions = nullptr);

}  // namespace corianderhoist
