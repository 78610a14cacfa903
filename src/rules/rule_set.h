/// In-memory form of a rules file. Values that many rules share are interned, because a set may
/// hold a million rules.
#pragma once

#include "base/chunked_map.h"
#include "base/interned.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// A region or one of its data centres. An empty `data_centre` means the whole region.
struct place {
  std::string region;
  std::string data_centre;

  auto operator<=>(const place&) const = default;
};

/// Hash function for the pool of interned values.
inline std::size_t InternHash(const std::vector<place>& places) {
  std::size_t hash = 0;
  for (const place& each : places) {
    hash = hash * 31 + InternHash(each.region) + 17 * InternHash(each.data_centre);
  }
  return hash;
}

/// `service NAME floor=PERCENT`. In all rules, `requested_by` is the text of the comment at the end
/// of the line, which names who asked for the rule.
struct service_rule {
  std::string name;
  std::uint32_t floor_percent = 0;  ///< Percentage of announced capacity that ejections must leave.
  std::string requested_by;

  auto operator<=>(const service_rule&) const = default;
};

/// `workspace NAME places=... rate=N/s burst=N [services=...]`
struct workspace_rule {
  std::string name;
  /// In order of preference. The region of the first place is the home region.
  interned<std::vector<place>> places;
  std::uint64_t rate_per_second = 0;         ///< Requests per second.
  std::uint64_t burst = 0;                   ///< Capacity of the token bucket, in requests.
  interned<std::set<std::string>> services;  ///< Empty means all services.
  interned_string requested_by;

  auto operator<=>(const workspace_rule&) const = default;
  const std::string& HomeRegion() const { return places.front().region; }
};

/// Whether requests need a workspace key (`kKeyed`) or are served without one (`kOpen`).
enum class route_access { kKeyed, kOpen };
/// Whether the upstream may run a request more than once.
enum class route_run { kIdempotent, kOnce };

inline constexpr std::chrono::milliseconds kDefaultRouteTimeout{10'000};

/// Returns `kIdempotent` if every method is GET, HEAD or OPTIONS, otherwise `kOnce`.
route_run DefaultRun(const std::set<std::string>& methods);

/// `route METHODS PATH_PREFIX service=NAME ...`
struct route_rule {
  interned<std::set<std::string>> methods;
  std::string path_prefix;  ///< Starts with "/"; matches whole path segments.
  interned_string service;
  route_access access = route_access::kKeyed;
  interned<std::vector<place>> places;  ///< For routes with `kOpen` only.
  route_run run = route_run::kOnce;
  /// Time limit of a request at the proxy; a caller may set a shorter one.
  std::chrono::milliseconds timeout = kDefaultRouteTimeout;
  interned_string requested_by;

  auto operator<=>(const route_rule&) const = default;
  /// Unique id within a rule set, such as "GET,HEAD /stock".
  std::string Id() const;
};

/// All rules of one configuration version, keyed by name, or by `Id()` for routes. Copies are
/// copy-on-write.
struct rule_set {
  chunked_map<std::string, service_rule> services;
  chunked_map<std::string, workspace_rule> workspaces;
  chunked_map<std::string, route_rule> routes;

  bool operator==(const rule_set&) const = default;
};

}  // namespace corianderhoist
