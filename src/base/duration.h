/// Parsing and formatting of durations with a unit suffix: "250ms", "3s", "5m", "24h", "100us".
#pragma once

#include "base/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Parses an unsigned integer followed by us, ms, s, m or h. Fails with `kBadRequest`.
result<std::chrono::microseconds> ParseDuration(std::string_view text);

/// Formats with the largest unit that divides the value exactly.
std::string FormatDuration(std::chrono::microseconds value);

}  // namespace corianderhoist
