/// Policy set by the operator: routes, services, workspaces and the limits for callers.
///
/// A policy is one document with a version. The highest accepted version is in force. The text of
/// the document is stored as submitted, and each process decodes it once.
#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corianderhoist {

/// A service that gets a share of a route's requests.
struct route_part {
  std::string service;
  std::uint32_t weight = 1;  ///< Relative to the other parts of the route.
};

/// Route for the requests to one host under one path prefix.
struct policy_route {
  std::string name;
  std::string host;
  std::string path_prefix;     ///< Begins with a slash.
  bool is_idempotent = false;  ///< May run more than once; otherwise at most once per attempt id.
  std::chrono::milliseconds timeout{};    ///< Longest time until a caller gets a response.
  std::chrono::milliseconds objective{};  ///< Target for the response time.
  std::uint32_t priority = 0;             ///< 0 is served first.
  std::uint32_t attempts = 1;             ///< Maximum number of upstreams that may run one request.
  bool is_public = false;                 ///< Requires no key.
  std::vector<route_part> parts;          ///< At least one.
};

struct policy_service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Per upstream, over all VMs.
};

struct policy_workspace {
  std::string name;
  std::vector<std::string> keys;
  std::uint32_t priority = 0;         ///< Compared before the priority of the route.
  std::uint64_t rate_per_second = 0;  ///< 0: no limit.
  std::uint64_t burst = 0;            ///< Requests that may exceed the rate at once.
};

/// Bounds on what a caller may send.
struct caller_bounds {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 1UL << 20U;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

struct serving_policy {
  std::uint64_t version = 0;
  std::vector<policy_route> routes;
  std::vector<policy_service> services;
  std::vector<policy_workspace> workspaces;
  bool has_workspaces = false;  ///< If false, every route is public.
  caller_bounds bounds;
};

/// Checks the consistency of a policy. Fails with `kInvalidRules` and the first error found: a
/// route without a known service, without a timeout or with a part of weight 0, two routes with the
/// same host and prefix, a prefix that does not begin with a slash, or a key shared by two
/// workspaces.
result<void> CheckPolicy(const serving_policy& policy);

/// Parses the text of a policy document. Fails with `kInvalidRules`.
using policy_decoder = std::function<result<serving_policy>(std::string_view text)>;

/// A policy with indexes for the lookups of the request path. Immutable.
class policy_index {
 public:
  explicit policy_index(serving_policy policy);

  std::uint64_t Version() const { return policy_.version; }
  const serving_policy& Policy() const { return policy_; }

  /// The route of `host` with the longest prefix of `path`, or null. Hosts are compared without the
  /// port and case-insensitively.
  const policy_route* FindRoute(std::string_view host, std::string_view path) const;
  /// The workspace that owns `key`, or null.
  const policy_workspace* FindWorkspace(std::string_view key) const;
  const policy_service* FindService(std::string_view name) const;

 private:
  serving_policy policy_;
  std::unordered_map<std::string, std::vector<const policy_route*>> routes_by_host_;
  std::unordered_map<std::string, const policy_workspace*> workspaces_by_key_;
  std::map<std::string, const policy_service*, std::less<>> services_by_name_;
};
using policy_ptr = std::shared_ptr<const policy_index>;

}  // namespace corianderhoist
