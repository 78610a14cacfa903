/// Resolves a request to its route, workspace and allowed places.
#pragma once

#include "base/error.h"
#include "base/hash.h"
#include "control/configuration.h"
#include "routing/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Result of routing a request.
struct routed_request {
  std::shared_ptr<const route_rule> route;
  std::string workspace;             ///< Empty if the route needs no key.
  std::string home_region;           ///< Region whose coordinator admits the request.
  std::vector<std::string> places;   ///< "region" or "region/data_centre", in order of preference.
  std::uint64_t config_version = 0;  ///< Version of the configuration that routed the request.
};

/// Local copy of the configuration, updated by `Apply` and `Restore`. Thread safe.
class router {
 public:
  /// `key_hash` is the SHA-256 of the key that came with the request. Fails with `kNoRoute`,
  /// `kKeyMissing`, `kKeyUnknown`, `kServiceForbidden` or `kNoPlace`.
  result<routed_request> Route(std::string_view method,
                               std::string_view path,
                               const std::optional<digest>& key_hash) const;

  /// Applies one change. Fails as `configuration::Apply`.
  result<void> Apply(const config_change& change);
  /// Replaces the whole configuration. Fails as `configuration::Restore`.
  result<void> Restore(const config_snapshot& snapshot);

  std::uint64_t Version() const;
  std::uint64_t RoutingVersion() const;
  std::size_t RouteCount() const;

 private:
  mutable std::shared_mutex lock_;
  configuration configuration_;
  route_table table_;
};

}  // namespace corianderhoist
