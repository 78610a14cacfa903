/// Request validation that is stricter than Beast's parser, which accepts forms that upstreams may
/// interpret differently. All checks fail with the error kind of the refusal.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <string_view>

namespace corianderhoist {

/// Checks the raw request line and header lines up to and including the empty line: CRLF line
/// ends, no folded lines, no control characters, valid names, HTTP/1.1. Fails with `kBadRequest`,
/// or with `kHeaderTooLarge` if there are too many fields.
result<void> CheckRawHead(std::string_view head);

/// Checks an incomplete head, so that malformed input is refused before the rest arrives.
result<void> CheckPartialHead(std::string_view bytes);

/// Checks that the target has origin form and that its path is unambiguous, so that the route
/// lookup and an upstream interpret it alike: no dot or empty segments, no encoded separators or
/// letters, no path parameters.
result<void> CheckTarget(std::string_view target);

/// Checks the header fields as a set: Host is present, the framing is unambiguous, no upgrade is
/// requested, and fields that must be unique are not repeated.
result<void> CheckHeaders(const header_fields& headers);

}  // namespace corianderhoist
