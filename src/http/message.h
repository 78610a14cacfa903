/// HTTP messages as the proxy handles them, and helpers for their header fields.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// One header field; names keep the case in which they arrived.
struct header_field {
  std::string name;
  std::string value;
};
using header_fields = std::vector<header_field>;

/// A caller's request that has passed the checks of `request_reader`.
struct http_request {
  std::string id;  ///< Unique in the fleet; appears in logs, refusals and upstream headers.
  std::string method;
  std::string target;  ///< Path and query as received.
  std::string path;    ///< The target without its query; contains no encoded letters.
  header_fields headers;
  std::string body;
  bool is_keep_alive = true;
};

/// Status line and header fields of an answer, without those that frame the body.
struct answer_head {
  int status = 0;
  header_fields headers;
  std::optional<std::uint64_t> length;  ///< Empty for a chunked body.
};

/// Compares header names without regard to case.
bool IsSameName(std::string_view left, std::string_view right);

/// Returns the value of the first field with this name, or null.
const std::string* FindHeader(const header_fields& headers, std::string_view name);

/// Returns the number of fields with this name.
std::size_t CountHeaders(const header_fields& headers, std::string_view name);

/// Whether the list-valued fields `name` contain `token`, without regard to case.
bool HasToken(const header_fields& headers, std::string_view name, std::string_view token);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1), those that frame the
/// body, and the names that `Connection` lists.
header_fields WithoutHopByHop(const header_fields& headers);

/// Whether the name belongs to this project ("Corianderhoist-..."). An underscore counts as a
/// hyphen, because some servers treat both alike.
bool IsOwnHeader(std::string_view name);

/// Returns an identifier that is unique in the fleet and reveals nothing of its request.
std::string NewRequestId();

/// Beast 1.81 aborts the process (assertion `n >= 5` in `parse_chunk_header`) when a body begins
/// with its last chunk and arrives in pieces of which one ends within it. Every rest of a chunked
/// body has at least this many bytes, so a parser can wait for them.
inline constexpr std::size_t kShortestChunkedRest = 5;

/// Returns the standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

}  // namespace corianderhoist
