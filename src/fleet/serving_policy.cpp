#include "fleet/serving_policy.h"

#include <algorithm>
#include <set>

namespace corianderhoist {
namespace {

auto Invalid(std::string text) {
  return Fail(error_kind::kInvalidRules, std::move(text));
}

// Returns `host` in lower case and without its port.
std::string NormalizeHost(std::string_view host) {
  if (const std::size_t colon = host.rfind(':');
      colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return normalized;
}

result<void> CheckParts(const policy_route& route, const std::set<std::string>& services) {
  if (route.parts.empty()) {
    return Invalid("route '" + route.name + "' names no service");
  }
  for (const route_part& part : route.parts) {
    if (!services.contains(part.service)) {
      return Invalid("route '" + route.name + "' names the unknown service '" + part.service + "'");
    }
    if (part.weight == 0) {
      return Invalid("a part of route '" + route.name + "' has no weight");
    }
  }
  return {};
}

result<void> CheckKeys(const serving_policy& policy) {
  std::map<std::string, std::string> owners;
  for (const policy_workspace& workspace : policy.workspaces) {
    for (const std::string& key : workspace.keys) {
      const auto [owner, is_new] = owners.emplace(key, workspace.name);
      if (!is_new && owner->second != workspace.name) {
        return Invalid("workspaces '" + owner->second + "' and '" + workspace.name +
                       "' share a key");
      }
    }
  }
  return {};
}

}  // namespace

result<void> CheckPolicy(const serving_policy& policy) {
  std::set<std::string> services;
  for (const policy_service& service : policy.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> matches;
  for (const policy_route& route : policy.routes) {
    if (!route.path_prefix.starts_with('/')) {
      return Invalid("prefix of route '" + route.name + "' does not begin with a slash");
    }
    if (!matches.emplace(NormalizeHost(route.host), route.path_prefix).second) {
      return Invalid("another route has the host and the prefix of route '" + route.name + "'");
    }
    if (route.timeout.count() <= 0) {
      return Invalid("route '" + route.name + "' leaves no time for an answer");
    }
    BOOST_LEAF_CHECK(CheckParts(route, services));
  }
  return CheckKeys(policy);
}

policy_index::policy_index(serving_policy policy) : policy_(std::move(policy)) {
  for (const policy_route& route : policy_.routes) {
    routes_by_host_[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::sort(routes.begin(), routes.end(), [](const policy_route* a, const policy_route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const policy_workspace& workspace : policy_.workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_by_key_[key] = &workspace;
    }
  }
  for (const policy_service& service : policy_.services) {
    services_by_name_[service.name] = &service;
  }
}

const policy_route* policy_index::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(NormalizeHost(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  const auto& routes = found->second;
  const auto route = std::find_if(routes.begin(), routes.end(), [&](const policy_route* each) {
    return path.starts_with(each->path_prefix);
  });
  return route == routes.end() ? nullptr : *route;
}

const policy_workspace* policy_index::FindWorkspace(std::string_view key) const {
  const auto found = workspaces_by_key_.find(std::string(key));
  return found == workspaces_by_key_.end() ? nullptr : found->second;
}

const policy_service* policy_index::FindService(std::string_view name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : found->second;
}

}  // namespace corianderhoist
