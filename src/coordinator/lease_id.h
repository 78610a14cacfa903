/// Text encoding of slot lease ids.
#pragma once

#include "coordinator/upstream_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Decoded lease id. It holds all that a new leader needs to account for a slot that a previous
/// leader leased.
struct lease_parts {
  std::uint64_t term = 0;
  std::uint64_t number = 0;  ///< Unique within the term.
  std::string service;
  std::string admission;  ///< Of the home coordinator, if that is in another region.
  upstream_id upstream;
};

std::string FormatLease(const lease_parts& parts);
/// Returns nothing if `text` is not a lease id.
std::optional<lease_parts> ParseLease(std::string_view text);

}  // namespace corianderhoist
