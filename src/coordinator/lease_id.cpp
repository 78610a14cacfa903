#include "coordinator/lease_id.h"

#include <charconv>
#include <vector>

namespace corianderhoist {
namespace {

// Names cannot contain control characters, so fields need no escaping.
constexpr char kSeparator = '\x1f';
constexpr std::size_t kFieldCount = 6;

bool ParseNumber(std::string_view text, std::uint64_t& value) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return fault == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string FormatLease(const lease_parts& parts) {
  std::string text = std::to_string(parts.term);
  text += kSeparator;
  text += std::to_string(parts.number);
  for (const std::string* each :
       {&parts.service, &parts.admission, &parts.upstream.name, &parts.upstream.incarnation}) {
    text += kSeparator;
    text += *each;
  }
  return text;
}

std::optional<lease_parts> ParseLease(std::string_view text) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t end = text.find(kSeparator);
    fields.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    text.remove_prefix(end + 1);
  }
  lease_parts parts;
  if (fields.size() != kFieldCount || !ParseNumber(fields[0], parts.term) ||
      !ParseNumber(fields[1], parts.number)) {
    return std::nullopt;
  }
  parts.service = fields[2];
  parts.admission = fields[3];
  parts.upstream = {std::string(fields[4]), std::string(fields[5])};
  return parts;
}

}  // namespace corianderhoist
