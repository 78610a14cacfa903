#include "rules/rule_line.h"
#include "rules/rules_file.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace corianderhoist {
namespace {

template <class... Parts>
auto Refuse(const Parts&... parts) {
  std::string detail;
  (detail.append(parts), ...);
  return Fail(error_kind::kInvalidRules, std::move(detail));
}

template <class Rule>
using rules_by_key = chunked_map<std::string, Rule>;

template <class Rule>
rules_by_key<Rule>& Select(rule_set& rules) {
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

// Parses canonical lines into one set. A line that is not one rule, and a key that occurs twice,
// are refused.
result<rule_set> ParseLines(const std::vector<std::string>& lines,
                            const std::set<std::string>* known_regions) {
  rule_set parsed;
  for (const std::string& line : lines) {
    std::vector<rules_fault> faults;
    std::optional<parsed_rule> each = ParseRuleLine(line, 1, faults);
    if (!each) {
      return faults.empty() ? Refuse("'", line, "' is not a rule")
                            : Refuse(FormatFault("'" + line + "'", faults.front()));
    }
    for (const name_reference& region : each->regions) {
      if (known_regions != nullptr && !known_regions->contains(std::string(region.name))) {
        return Refuse("'", line, "' names the unknown region '", region.name, "'");
      }
    }
    const bool is_new = std::visit(
        [&]<class Rule>(Rule& value) {
          std::string key = KeyOf(value);
          return Select<Rule>(parsed).emplace(std::move(key), std::move(value)).second;
        },
        each->value);
    if (!is_new) {
      return Refuse("'", line, "' is listed twice");
    }
  }
  return parsed;
}

// A set of methods as it begins the id of a route.
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

// A difference against the set that it applies to. Nothing is changed before all checks pass.
class difference_check {
 public:
  difference_check(const rule_set& rules, const rule_set& removed, const rule_set& added)
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
        return Refuse("rule '", FormatRule(value), "' is to be removed but is not in force");
      }
    }
    for (const auto& [key, value] : added) {
      if (rules.contains(key) && !removed.contains(key)) {
        return Refuse("'", key, "' is declared already");
      }
    }
    return {};
  }

  bool HasService(const std::string& name) const {
    return added_.services.contains(name) ||
           (rules_.services.contains(name) && !removed_.services.contains(name));
  }

  result<void> CheckReference(const std::string& service, const std::string& user) const {
    if (!HasService(service)) {
      return Refuse("'", user, "' names the unknown service '", service, "'");
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

  // Looks up every set of methods that overlaps the route's, which needs no index by path.
  result<void> CheckAddedRoutes() const {
    std::unordered_map<std::string_view, method_mask> added_masks;
    for (const auto& [key, value] : added_.routes) {
      const method_mask mask = MaskOf(value.methods);
      method_mask& taken = added_masks[value.path_prefix];
      if ((taken & mask) != 0) {
        return Refuse("route '", key, "' shares a method and path with another added route");
      }
      taken |= mask;
      for (const method_set& other : MethodSets()) {
        if (rules_.routes.empty() || (other.mask & mask) == 0) {
          continue;
        }
        const std::string id = other.text + ' ' + value.path_prefix;
        if (rules_.routes.contains(id) && !removed_.routes.contains(id)) {
          return Refuse("routes '", key, "' and '", id, "' share a method and path");
        }
      }
    }
    return {};
  }

  result<void> CheckRemovedServices() const {
    std::set<std::string> gone;
    for (const auto& [name, value] : removed_.services) {
      if (!added_.services.contains(name)) {
        gone.insert(name);
      }
    }
    if (gone.empty()) {
      return {};
    }
    for (const auto& [key, value] : rules_.routes) {
      if (gone.contains(value.service) && !removed_.routes.contains(key)) {
        return Refuse("route '", key, "' still names the service '", value.service, "'");
      }
    }
    for (const auto& [key, value] : rules_.workspaces) {
      for (const std::string& service : value.services) {
        if (gone.contains(service) && !removed_.workspaces.contains(key)) {
          return Refuse("workspace '", key, "' still names the service '", service, "'");
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
void Move(rules_by_key<Rule>& rules,
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
  BOOST_LEAF_CHECK(difference_check(rules, removed, added).Check());
  Move(rules.services, removed.services, added.services);
  Move(rules.workspaces, removed.workspaces, added.workspaces);
  Move(rules.routes, removed.routes, added.routes);
  return {};
}

}  // namespace corianderhoist
