#include "rules/rule_line.h"
#include "rules/rules_file.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace corianderhoist {
namespace {

template <class... Parts>
auto InvalidRules(const Parts&... parts) {
  std::string detail;
  (detail.append(parts), ...);
  return Fail(error_kind::kInvalidRules, std::move(detail));
}

template <class Rule>
using rules_by_key = chunked_map<std::string, Rule>;

template <class Rule>
rules_by_key<Rule>& RulesOfType(rule_set& rules) {
  if constexpr (std::is_same_v<Rule, service_rule>) {
    return rules.services;
  } else if constexpr (std::is_same_v<Rule, workspace_rule>) {
    return rules.workspaces;
  } else {
    return rules.routes;
  }
}

std::string KeyOf(const service_rule& value) {
  return value.name;
}
std::string KeyOf(const workspace_rule& value) {
  return value.name;
}
std::string KeyOf(const route_rule& value) {
  return value.Id();
}

// Parses canonical lines into a rule set. Fails if a line is not exactly one rule or if a key
// occurs twice.
result<rule_set> ParseLines(const std::vector<std::string>& lines,
                            const std::set<std::string>* known_regions) {
  rule_set parsed;
  for (const std::string& line : lines) {
    std::vector<rules_fault> faults;
    std::optional<parsed_rule> each = ParseRuleLine(line, 1, faults);
    if (!each) {
      return faults.empty() ? InvalidRules("'", line, "' is not a rule")
                            : InvalidRules(FormatFault("'" + line + "'", faults.front()));
    }
    for (const name_reference& region : each->regions) {
      if (known_regions != nullptr && !known_regions->contains(std::string(region.name))) {
        return InvalidRules("'", line, "' names the unknown region '", region.name, "'");
      }
    }
    const bool is_new = std::visit(
        [&]<class Rule>(Rule& value) {
          std::string key = KeyOf(value);
          return RulesOfType<Rule>(parsed).emplace(std::move(key), std::move(value)).second;
        },
        each->value);
    if (!is_new) {
      return InvalidRules("'", line, "' is listed twice");
    }
  }
  return parsed;
}

// A set of methods and its text, which is the prefix of a route id.
struct method_set {
  method_mask mask = 0;
  std::string text;
};

const std::vector<method_set>& MethodSets() {
  static const std::vector<method_set> kSets = [] {
    std::vector<method_set> all;
    for (method_mask mask = 1; mask < (1U << RouteMethods().size()); ++mask) {
      method_set each{mask, {}};
      for (const std::string& method : MethodsOf(mask)) {
        each.text += (each.text.empty() ? "" : ",") + method;
      }
      all.push_back(std::move(each));
    }
    return all;
  }();
  return kSets;
}

// Validates a difference against the rule set that it applies to, before anything is changed.
class difference_validator {
 public:
  difference_validator(const rule_set& rules, const rule_set& removed, const rule_set& added)
      : rules_(rules), removed_(removed), added_(added) {}

  result<void> Check() const {
    BOOST_LEAF_CHECK(CheckKeys(rules_.services, removed_.services, added_.services));
    BOOST_LEAF_CHECK(CheckKeys(rules_.workspaces, removed_.workspaces, added_.workspaces));
    BOOST_LEAF_CHECK(CheckKeys(rules_.routes, removed_.routes, added_.routes));
    BOOST_LEAF_CHECK(CheckAddedReferences());
    BOOST_LEAF_CHECK(CheckAddedRoutes());
    return CheckRemovedServices();
  }

 private:
  template <class Rule>
  static result<void> CheckKeys(const rules_by_key<Rule>& rules,
                                const rules_by_key<Rule>& removed,
                                const rules_by_key<Rule>& added) {
    for (const auto& [key, value] : removed) {
      const auto found = rules.find(key);
      if (found == rules.end() || found->second != value) {
        return InvalidRules("rule '", FormatRule(value), "' is to be removed but is not in force");
      }
    }
    for (const auto& [key, value] : added) {
      if (rules.contains(key) && !removed.contains(key)) {
        return InvalidRules("'", key, "' is declared already");
      }
    }
    return {};
  }

  bool HasService(const std::string& name) const {
    return added_.services.contains(name) ||
           (rules_.services.contains(name) && !removed_.services.contains(name));
  }

  result<void> CheckReference(const std::string& service, const std::string& referrer) const {
    if (!HasService(service)) {
      return InvalidRules("'", referrer, "' names the unknown service '", service, "'");
    }
    return {};
  }

  result<void> CheckAddedReferences() const {
    for (const auto& [key, value] : added_.routes) {
      BOOST_LEAF_CHECK(CheckReference(value.service, key));
    }
    for (const auto& [key, value] : added_.workspaces) {
      for (const std::string& service : value.services) {
        BOOST_LEAF_CHECK(CheckReference(service, key));
      }
    }
    return {};
  }

  // Looks up the id for every method set that overlaps the route's methods. This avoids an index by
  // path.
  result<void> CheckAddedRoutes() const {
    std::unordered_map<std::string_view, method_mask> added_masks;
    for (const auto& [key, value] : added_.routes) {
      const method_mask mask = MaskOf(value.methods);
      method_mask& claimed = added_masks[value.path_prefix];
      if ((claimed & mask) != 0) {
        return InvalidRules("route '", key, "' shares a method and path with another added route");
      }
      claimed |= mask;
      for (const method_set& other : MethodSets()) {
        if (rules_.routes.empty() || (other.mask & mask) == 0) {
          continue;
        }
        const std::string id = other.text + ' ' + value.path_prefix;
        if (rules_.routes.contains(id) && !removed_.routes.contains(id)) {
          return InvalidRules("routes '", key, "' and '", id, "' share a method and path");
        }
      }
    }
    return {};
  }

  result<void> CheckRemovedServices() const {
    std::set<std::string> dropped;
    for (const auto& [name, value] : removed_.services) {
      if (!added_.services.contains(name)) {
        dropped.insert(name);
      }
    }
    if (dropped.empty()) {
      return {};
    }
    for (const auto& [key, value] : rules_.routes) {
      if (dropped.contains(value.service) && !removed_.routes.contains(key)) {
        return InvalidRules("route '", key, "' still names the service '", value.service, "'");
      }
    }
    for (const auto& [key, value] : rules_.workspaces) {
      for (const std::string& service : value.services) {
        if (dropped.contains(service) && !removed_.workspaces.contains(key)) {
          return InvalidRules("workspace '", key, "' still names the service '", service, "'");
        }
      }
    }
    return {};
  }

  const rule_set& rules_;
  const rule_set& removed_;
  const rule_set& added_;
};

template <class Rule>
void ReplaceRules(rules_by_key<Rule>& rules,
                  const rules_by_key<Rule>& removed,
                  const rules_by_key<Rule>& added) {
  for (const auto& [key, value] : removed) {
    rules.erase(key);
  }
  for (const auto& [key, value] : added) {
    rules.emplace(key, value);
  }
}

}  // namespace

result<void> ApplyDifference(rule_set& rules,
                             const rules_difference& difference,
                             const std::set<std::string>* known_regions) {
  BOOST_LEAF_AUTO(removed, ParseLines(difference.removed, nullptr));
  BOOST_LEAF_AUTO(added, ParseLines(difference.added, known_regions));
  BOOST_LEAF_CHECK(difference_validator(rules, removed, added).Check());
  ReplaceRules(rules.services, removed.services, added.services);
  ReplaceRules(rules.workspaces, removed.workspaces, added.workspaces);
  ReplaceRules(rules.routes, removed.routes, added.routes);
  return {};
}

}  // namespace corianderhoist
