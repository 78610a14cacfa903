#include "http/message.h"

#include "base/hash.h"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <ostream>

namespace corianderhoist {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length",
                                                              "Expect"};
constexpr std::string_view kProjectHeaderPrefix = "corianderhoist-";

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsSameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* FindHeader(const header_fields& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const header_field& field) {
    return IsSameName(field.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

std::size_t CountHeaders(const header_fields& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [&](const header_field& field) { return IsSameName(field.name, name); }));
}

bool HasToken(const header_fields& headers, std::string_view name, std::string_view token) {
  return std::any_of(headers.begin(), headers.end(), [&](const header_field& field) {
    return IsSameName(field.name, name) &&
           boost::beast::http::token_list(field.value).exists(token);
  });
}

header_fields WithoutHopByHop(const header_fields& headers) {
  header_fields kept;
  kept.reserve(headers.size());
  for (const header_field& field : headers) {
    const bool is_hop_by_hop =
        std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                    [&](std::string_view name) { return IsSameName(name, field.name); });
    if (!is_hop_by_hop && !HasToken(headers, "Connection", field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

bool IsProjectHeader(std::string_view name) {
  if (name.size() < kProjectHeaderPrefix.size()) {
    return false;
  }
  return std::equal(kProjectHeaderPrefix.begin(), kProjectHeaderPrefix.end(), name.begin(),
                    [](char own, char c) { return own == (c == '_' ? '-' : ToLower(c)); });
}

std::string NewRequestId() {
  static const std::string kProcessPrefix = ToHex(RandomBytes(8));
  static std::atomic<std::uint64_t> next_number = 1;
  return kProcessPrefix + "-" + std::to_string(next_number.fetch_add(1, std::memory_order_relaxed));
}

std::string_view ReasonPhrase(int status) {
  const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
  if (known == boost::beast::http::status::unknown) {
    return "Unknown";
  }
  const auto phrase = boost::beast::http::obsolete_reason(known);
  return {phrase.data(), phrase.size()};
}

}  // namespace corianderhoist
