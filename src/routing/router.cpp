#include "routing/router.h"

#include <mutex>

namespace corianderhoist {
namespace {

std::vector<std::string> FormatPlaces(const std::vector<place>& places) {
  std::vector<std::string> formatted;
  formatted.reserve(places.size());
  for (const place& each : places) {
    formatted.push_back(each.data_centre.empty() ? each.region
                                                 : each.region + "/" + each.data_centre);
  }
  return formatted;
}

bool ContainsRouteLine(const std::vector<std::string>& lines) {
  for (const std::string& line : lines) {
    if (line.starts_with("route ")) {
      return true;
    }
  }
  return false;
}

}  // namespace

result<routed_request> router::Route(std::string_view method,
                                     std::string_view path,
                                     const std::optional<digest>& key_hash) const {
  const std::shared_lock guard(lock_);
  routed_request routed;
  routed.config_version = configuration_.Version();
  routed.route = table_.Find(method, path);
  if (!routed.route) {
    return Fail(error_kind::kNoRoute, "no route serves this method and path");
  }
  const auto* places = &routed.route->places;
  if (routed.route->access == route_access::kKeyed) {
    if (!key_hash) {
      return Fail(error_kind::kKeyMissing, "the request carries no workspace key");
    }
    const key_record* key = configuration_.FindKey(*key_hash);
    if (!key) {
      return Fail(error_kind::kKeyUnknown, "the workspace key is unknown or withdrawn");
    }
    const auto& workspaces = configuration_.Rules().workspaces;
    const auto found = workspaces.find(key->workspace);
    if (found == workspaces.end()) {
      return Fail(error_kind::kKeyUnknown, "the workspace of the key has no rule");
    }
    const workspace_rule& workspace = found->second;
    if (!workspace.services.empty() && !workspace.services.contains(routed.route->service)) {
      return Fail(error_kind::kServiceForbidden,
                  "workspace " + workspace.name + " may not use this service");
    }
    routed.workspace = workspace.name;
    places = &workspace.places;
  }
  if (places->empty()) {
    return Fail(error_kind::kNoPlace, "no place may serve the request");
  }
  routed.home_region = places->front().region;
  routed.places = FormatPlaces(*places);
  return routed;
}

result<void> router::Apply(const config_change& change) {
  const std::unique_lock guard(lock_);
  BOOST_LEAF_CHECK(configuration_.Apply(change));
  if (ContainsRouteLine(change.removed_rules) || ContainsRouteLine(change.added_rules)) {
    table_ = route_table(configuration_.Rules());
  }
  return {};
}

result<void> router::Restore(const config_snapshot& snapshot) {
  const std::unique_lock guard(lock_);
  BOOST_LEAF_CHECK(configuration_.Restore(snapshot));
  table_ = route_table(configuration_.Rules());
  return {};
}

std::uint64_t router::Version() const {
  const std::shared_lock guard(lock_);
  return configuration_.Version();
}

std::uint64_t router::RoutingVersion() const {
  const std::shared_lock guard(lock_);
  return configuration_.RoutingVersion();
}

std::size_t router::RouteCount() const {
  const std::shared_lock guard(lock_);
  return table_.Size();
}

}  // namespace corianderhoist
