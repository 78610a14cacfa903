/// Lookup of the route of a request by method and path.
#pragma once

#include "rules/rule_set.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// Immutable. The longest prefix of whole segments wins. If no route with that prefix lists the
/// method, there is no match: otherwise a route that needs no key could serve, by a shorter prefix,
/// a path that a longer prefix protects.
class route_table {
 public:
  route_table() = default;
  explicit route_table(const rule_set& rules);

  /// Returns null when no route applies. `path` is without query and begins with '/'.
  std::shared_ptr<const route_rule> Find(std::string_view method, std::string_view path) const;
  std::size_t Size() const { return size_; }

 private:
  std::unordered_map<std::string, std::vector<std::shared_ptr<const route_rule>>> by_prefix_;
  std::size_t size_ = 0;
};

}  // namespace corianderhoist
