/// The text form of slot leases.
#pragma once

#include "coordinator/upstream_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// A lease names all that a new leader needs to know of a slot in use under a former one.
struct lease_parts {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  std::string service;
  std::string admission;  ///< Set when the home coordinator is in another region.
  upstream_id upstream;
};

std::string FormatLease(const lease_parts& parts);
std::optional<lease_parts> ParseLease(std::string_view text);

}  // namespace corianderhoist
