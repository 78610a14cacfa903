#include "rules/rules_file.h"

#include "rules/rule_line.h"

#include <algorithm>
#include <unordered_map>

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxListedNames = 8;

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

// Returns "a, b, c" with at most `kMaxListedNames` names.
std::string ListNames(const std::set<std::string>& names) {
  std::string list;
  std::size_t count = 0;
  for (const std::string& name : names) {
    if (count++ == kMaxListedNames) {
      return list + ", ...";
    }
    list += (list.empty() ? "" : ", ") + name;
  }
  return list;
}

// A reference to a service that is checked after the last line.
struct pending_reference {
  std::size_t line;
  name_reference name;
};

// Collects the rules of a file. References to services are checked in `Finish`, because a service
// may be declared after the rules that refer to it.
class file_parser {
 public:
  explicit file_parser(const std::set<std::string>* known_regions)
      : known_regions_(known_regions) {}

  void Add(std::string_view line, std::size_t number) {
    std::optional<parsed_rule> parsed = ParseRuleLine(line, number, faults_);
    if (!parsed) {
      return;
    }
    for (const name_reference& service : parsed->services) {
      services_.push_back({number, service});
    }
    for (const name_reference& region : parsed->regions) {
      CheckRegion(region, number);
    }
    std::visit([&](auto& value) { Insert(std::move(value), number, parsed->name_column); },
               parsed->value);
  }

  std::variant<rule_set, std::vector<rules_fault>> Finish() {
    for (const pending_reference& reference : services_) {
      CheckService(reference);
    }
    if (faults_.empty()) {
      return std::move(rules_);
    }
    std::stable_sort(faults_.begin(), faults_.end(), [](const auto& left, const auto& right) {
      return std::pair(left.line, left.column) < std::pair(right.line, right.column);
    });
    return std::move(faults_);
  }

 private:
  void Insert(service_rule value, std::size_t line, std::size_t column) {
    std::string key = value.name;
    InsertInto(rules_.services, std::move(key), std::move(value), line, column);
  }
  void Insert(workspace_rule value, std::size_t line, std::size_t column) {
    std::string key = value.name;
    InsertInto(rules_.workspaces, std::move(key), std::move(value), line, column);
  }
  void Insert(route_rule value, std::size_t line, std::size_t column) {
    const method_mask mask = MaskOf(value.methods);
    method_mask& claimed = methods_by_path_[value.path_prefix];
    if ((claimed & mask) != 0) {
      const std::string method = MethodsOf(claimed & mask).front();
      faults_.push_back({line, column,
                         "another route has " + method + " " + value.path_prefix + " already",
                         "remove " + method + " from one of the two routes"});
      return;
    }
    claimed |= mask;
    std::string key = value.Id();
    InsertInto(rules_.routes, std::move(key), std::move(value), line, column);
  }

  template <class Rule>
  void InsertInto(chunked_map<std::string, Rule>& rules,
                  std::string key,
                  Rule value,
                  std::size_t line,
                  std::size_t column) {
    const auto [entry, is_new] = rules.emplace(std::move(key), std::move(value));
    if (!is_new) {
      faults_.push_back({line, column, Quoted(entry->first) + " is declared twice",
                         "remove one of the two lines"});
    }
  }

  void CheckRegion(const name_reference& region, std::size_t line) {
    const std::string name(region.name);
    if (known_regions_ != nullptr && !known_regions_->contains(name)) {
      faults_.push_back({line, region.column, "unknown region " + Quoted(name),
                         "use one of " + ListNames(*known_regions_)});
    }
  }

  void CheckService(const pending_reference& reference) {
    const std::string name(reference.name.name);
    if (rules_.services.contains(name)) {
      return;
    }
    std::set<std::string> declared;
    for (const auto& [each, value] : rules_.services) {
      if (declared.size() > kMaxListedNames) {
        break;
      }
      declared.insert(each);
    }
    faults_.push_back({reference.line, reference.name.column, "unknown service " + Quoted(name),
                       declared.empty()
                           ? "declare it by a line 'service " + name + " floor=PERCENT # WHO'"
                           : "use one of " + ListNames(declared) +
                                 " or declare it by a line 'service " + name +
                                 " floor=PERCENT # WHO'"});
  }

  const std::set<std::string>* known_regions_;
  rule_set rules_;
  std::vector<rules_fault> faults_;
  std::vector<pending_reference> services_;
  std::unordered_map<std::string, method_mask> methods_by_path_;
};

template <class Rule>
void AppendLines(const chunked_map<std::string, Rule>& rules, std::vector<std::string>& lines) {
  for (const auto& [name, rule] : rules) {
    lines.push_back(FormatRule(rule));
  }
}

template <class Rule>
void AppendDifference(const chunked_map<std::string, Rule>& from,
                      const chunked_map<std::string, Rule>& to,
                      rules_difference& difference) {
  auto left = from.begin();
  auto right = to.begin();
  while (left != from.end() || right != to.end()) {
    const bool is_only_left =
        right == to.end() || (left != from.end() && left->first < right->first);
    const bool is_only_right =
        left == from.end() || (right != to.end() && right->first < left->first);
    const bool is_changed = is_only_left || is_only_right || left->second != right->second;
    if (is_changed && !is_only_right) {
      difference.removed.push_back(FormatRule(left->second));
    }
    if (is_changed && !is_only_left) {
      difference.added.push_back(FormatRule(right->second));
    }
    if (!is_only_right) {
      ++left;
    }
    if (!is_only_left) {
      ++right;
    }
  }
}

}  // namespace

std::string FormatFault(std::string_view file, const rules_fault& fault) {
  return std::string(file) + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column) +
         ": " + fault.text + "; " + fault.remedy;
}

std::variant<rule_set, std::vector<rules_fault>> ParseRules(
    std::string_view text,
    const std::set<std::string>* known_regions) {
  file_parser parser(known_regions);
  std::size_t number = 0;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    parser.Add(text.substr(begin, end - begin), ++number);
    begin = end + 1;
  }
  return parser.Finish();
}

// The output is sorted: the first words "route", "service" and "workspace" are in byte order, and
// each map iterates in the order of its lines.
std::vector<std::string> CanonicalLines(const rule_set& rules) {
  std::vector<std::string> lines;
  lines.reserve(rules.routes.size() + rules.services.size() + rules.workspaces.size());
  AppendLines(rules.routes, lines);
  AppendLines(rules.services, lines);
  AppendLines(rules.workspaces, lines);
  return lines;
}

std::string CanonicalText(const rule_set& rules) {
  std::string text;
  for (const std::string& line : CanonicalLines(rules)) {
    text += line;
    text += '\n';
  }
  return text;
}

rules_difference Difference(const rule_set& from, const rule_set& to) {
  rules_difference difference;
  AppendDifference(from.routes, to.routes, difference);
  AppendDifference(from.services, to.services, difference);
  AppendDifference(from.workspaces, to.workspaces, difference);
  return difference;
}

}  // namespace corianderhoist
