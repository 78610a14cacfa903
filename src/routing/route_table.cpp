#include "routing/route_table.h"

namespace corianderhoist {
namespace {

// "/stock/" and "/stock" are the same prefix; "/" becomes the empty string.
std::string_view TrimTrailingSlash(std::string_view prefix) {
  if (!prefix.empty() && prefix.back() == '/') {
    prefix.remove_suffix(1);
  }
  return prefix;
}

}  // namespace

route_table::route_table(const rule_set& rules) : size_(rules.routes.size()) {
  by_prefix_.reserve(rules.routes.size());
  for (const auto& [id, rule] : rules.routes) {
    by_prefix_[std::string(TrimTrailingSlash(rule.path_prefix))].push_back(
        std::make_shared<const route_rule>(rule));
  }
}

std::shared_ptr<const route_rule> route_table::Find(std::string_view method,
                                                    std::string_view path) const {
  std::string_view prefix = TrimTrailingSlash(path);
  while (true) {
    const auto found = by_prefix_.find(std::string(prefix));
    if (found != by_prefix_.end()) {
      for (const auto& route : found->second) {
        if (route->methods.contains(std::string(method))) {
          return route;
        }
      }
      return nullptr;
    }
    if (prefix.empty()) {
      return nullptr;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

}  // namespace corianderhoist
