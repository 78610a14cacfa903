/// Parsing, canonical formatting and differences of rules files.
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

/// A syntax or reference error in a rules file.
struct rules_fault {
  std::size_t line = 0;    ///< Counted from 1.
  std::size_t column = 0;  ///< Counted from 1, in bytes.
  std::string text;        ///< Description of the error.
  std::string remedy;      ///< Suggested fix.
};

/// Formats `fault` as "FILE:LINE:COLUMN: text; remedy".
std::string FormatFault(std::string_view file, const rules_fault& fault);

/// Parses a whole file and returns its rules, or all faults in line order. Regions that are not in
/// `known_regions` are faults, unless it is null.
std::variant<rule_set, std::vector<rules_fault>> ParseRules(
    std::string_view text,
    const std::set<std::string>* known_regions = nullptr);

/// Returns the sorted canonical lines of all rules, with their comments. Parsing them yields an
/// equal rule set.
std::vector<std::string> CanonicalLines(const rule_set& rules);
/// Returns the canonical lines, each terminated by a newline.
std::string CanonicalText(const rule_set& rules);

/// Canonical lines that turn one rule set into another. Removals are applied before additions.
struct rules_difference {
  std::vector<std::string> removed;
  std::vector<std::string> added;
};
rules_difference Difference(const rule_set& from, const rule_set& to);

/// Applies `difference` to `rules`. Fails with `kInvalidRules` and changes nothing if a removed
/// line is absent, an added line does not parse, or the result would not be a valid rules file. The
/// cost is proportional to the difference, except that removing a service scans all rules for
/// references to it.
result<void> ApplyDifference(rule_set& rules,
                             const rules_difference& difference,
                             const std::set<std::string>* known_regions = nullptr);

}  // namespace corianderhoist
