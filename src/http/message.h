/// Internal representation of HTTP messages, and helpers for their header fields.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// One header field. The name keeps the case in which it was received.
struct header_field {
  std::string name;
  std::string value;
};
using header_fields = std::vector<header_field>;

/// A caller's request that `request_reader` has validated.
struct http_request {
  std::string id;  ///< Unique in the fleet; appears in logs, refusals and upstream headers.
  std::string method;
  std::string target;  ///< Path and query as received.
  std::string path;    ///< The target without its query; contains no percent-encoded letters.
  header_fields headers;
  std::string body;
  bool is_keep_alive = true;
};

/// Status and header fields of an answer, without the fields that frame the body.
struct answer_head {
  int status = 0;
  header_fields headers;
  std::optional<std::uint64_t> length;  ///< Empty for a chunked body.
};

/// Compares header names case-insensitively.
bool IsSameName(std::string_view left, std::string_view right);

/// Returns the value of the first field with this name, or null.
const std::string* FindHeader(const header_fields& headers, std::string_view name);

/// Returns the number of fields with this name.
std::size_t CountHeaders(const header_fields& headers, std::string_view name);

/// Whether the list-valued fields `name` contain `token`, case-insensitively.
bool HasToken(const header_fields& headers, std::string_view name, std::string_view token);

/// Returns the fields without the hop-by-hop fields (RFC 9110, 7.6.1), the fields that frame the
/// body, and the fields that `Connection` lists.
header_fields WithoutHopByHop(const header_fields& headers);

/// Whether the name has this project's prefix ("Corianderhoist-"). An underscore matches a hyphen,
/// because some servers treat both alike.
bool IsProjectHeader(std::string_view name);

/// Returns an identifier that is unique in the fleet and not derived from the request.
std::string NewRequestId();

/// Minimum size of the unread part of an incomplete chunked body; readers wait for this many bytes
/// before they call Beast's parser. Beast 1.81 aborts the process (assertion `n >= 5` in
/// `parse_chunk_header`) when a body starts with its last chunk and that chunk arrives split.
inline constexpr std::size_t kMinChunkedRemainderBytes = 5;

/// Returns the standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

}  // namespace corianderhoist
