#include "entry/request_headers.h"

#include <algorithm>
#include <charconv>
#include <initializer_list>

namespace corianderhoist {
namespace {

constexpr std::string_view kKeyHeader = "Corianderhoist-Key";
constexpr std::string_view kAuthorizationHeader = "Authorization";
constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "Corianderhoist-Deadline-Ms";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMinSearchedKeyBytes = 16;
constexpr int kMaxDeadlineMs = 24 * 3600 * 1000;

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

const std::string* BearerValue(const header_fields& headers) {
  const std::string* value = FindHeader(headers, kAuthorizationHeader);
  const bool is_bearer = value && value->size() >= kBearer.size() &&
                         IsSameName(std::string_view(*value).substr(0, kBearer.size()), kBearer);
  return is_bearer ? value : nullptr;
}

// Length prefixes make the digests of ("ab", "c") and ("a", "bc") differ.
digest DigestOf(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  return Sha256(text);
}

}  // namespace

result<std::optional<std::string>> ParseWorkspaceKey(const header_fields& headers) {
  const std::string* header_key = FindHeader(headers, kKeyHeader);
  const std::string* bearer = BearerValue(headers);
  if (!header_key && !bearer) {
    return std::optional<std::string>();
  }
  if (header_key && bearer) {
    return Fail(error_kind::kBadRequest, "the request carries two keys");
  }
  std::string key = header_key ? *header_key : bearer->substr(kBearer.size());
  if (key.empty() || key.size() > kMaxKeyBytes || !IsVisibleAscii(key)) {
    return Fail(error_kind::kBadRequest, "the key is not valid");
  }
  return std::optional(std::move(key));
}

result<std::string> ParseIdempotencyKey(const header_fields& headers) {
  const std::string* value = FindHeader(headers, kIdempotencyHeader);
  if (!value) {
    return std::string();
  }
  if (value->empty() || value->size() > kMaxIdempotencyKeyBytes || !IsVisibleAscii(*value)) {
    return Fail(error_kind::kIdempotencyKeyInvalid,
                "Idempotency-Key must have 1 to 200 visible ASCII characters");
  }
  return *value;
}

result<std::optional<std::chrono::milliseconds>> ParseCallerTimeout(const header_fields& headers) {
  const std::string* value = FindHeader(headers, kDeadlineHeader);
  if (!value) {
    return std::optional<std::chrono::milliseconds>();
  }
  int number = 0;
  const char* end = value->data() + value->size();
  const auto [stop, status] = std::from_chars(value->data(), end, number);
  if (status != std::errc() || stop != end || number < 1 || number > kMaxDeadlineMs) {
    return Fail(error_kind::kBadRequest,
                "Corianderhoist-Deadline-Ms must be a number of milliseconds");
  }
  return std::optional(std::chrono::milliseconds(number));
}

result<header_fields> HeadersForUpstream(const http_request& request,
                                         const std::optional<std::string>& key) {
  // Very short keys would match by chance; generated keys have at least 43 characters.
  const bool is_searched = key && key->size() >= kMinSearchedKeyBytes;
  if (is_searched && request.target.find(*key) != std::string::npos) {
    return Fail(error_kind::kBadRequest, "the target contains the key");
  }
  const bool is_bearer = BearerValue(request.headers) != nullptr;
  header_fields kept = WithoutHopByHop(request.headers);
  std::erase_if(kept, [&](const header_field& field) {
    return IsProjectHeader(field.name) ||
           (is_bearer && IsSameName(field.name, kAuthorizationHeader)) ||
           (is_searched && (field.value.find(*key) != std::string::npos ||
                            field.name.find(*key) != std::string::npos));
  });
  return kept;
}

header_fields HeadersForCaller(const header_fields& headers) {
  header_fields kept = WithoutHopByHop(headers);
  std::erase_if(kept, [](const header_field& field) { return IsProjectHeader(field.name); });
  return kept;
}

digest FingerprintOf(std::string_view workspace, const http_request& request) {
  return DigestOf({workspace, request.method, request.target, request.body});
}

digest BodyDigestOf(const http_request& request) {
  return DigestOf({request.method, request.target, request.body});
}

stored_answer ToStored(const answer_head& head, std::string body) {
  stored_answer stored;
  stored.status = head.status;
  for (const header_field& field : head.headers) {
    stored.headers.push_back(field.name + ": " + field.value);
  }
  stored.body = std::move(body);
  return stored;
}

answer_head FromStored(const stored_answer& stored) {
  answer_head head;
  head.status = stored.status;
  for (const std::string& line : stored.headers) {
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      head.headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
    }
  }
  return head;
}

}  // namespace corianderhoist
