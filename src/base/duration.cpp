#include "base/duration.h"

#include <array>
#include <charconv>
#include <limits>

namespace corianderhoist {
namespace {

using std::chrono::microseconds;

struct unit {
  std::string_view suffix;
  microseconds length;
};

constexpr std::array kUnits = {
    unit{"h", std::chrono::hours(1)},         unit{"m", std::chrono::minutes(1)},
    unit{"s", std::chrono::seconds(1)},       unit{"ms", std::chrono::milliseconds(1)},
    unit{"us", std::chrono::microseconds(1)},
};

}  // namespace

result<microseconds> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, count);
  if (status != std::errc() || count < 0 || text.front() == '-') {
    return Fail(error_kind::kBadRequest,
                "duration '" + std::string(text) + "' is not a number with a unit, as in 250ms");
  }
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  for (const unit& candidate : kUnits) {
    if (candidate.suffix != suffix) {
      continue;
    }
    if (count > std::numeric_limits<std::int64_t>::max() / candidate.length.count()) {
      return Fail(error_kind::kBadRequest, "duration '" + std::string(text) + "' is too long");
    }
    return count * candidate.length;
  }
  return Fail(error_kind::kBadRequest,
              "duration '" + std::string(text) + "' needs one of the units us, ms, s, m, h");
}

std::string FormatDuration(microseconds value) {
  for (const unit& candidate : kUnits) {
    if (value.count() != 0 && value % candidate.length == microseconds(0)) {
      return std::to_string(value / candidate.length) + std::string(candidate.suffix);
    }
  }
  return "0s";
}

}  // namespace corianderhoist
