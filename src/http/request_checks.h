/// Checks of a request beyond those of Beast's parser, which accepts forms that upstreams may read
/// in another way. All fail with the error kind of the refusal.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <string_view>

namespace corianderhoist {

/// Checks the raw request line and header lines up to and including the empty line: line ends are
/// CRLF, no folded lines, no control characters, valid names, HTTP/1.1. Fails with `kBadRequest`.
result<void> CheckRawHead(std::string_view head);

/// Checks a part of a head that is not complete yet, so that nonsense is refused at once.
result<void> CheckPartialHead(std::string_view bytes);

/// Checks the target: origin form, and a path that a route prefix and an upstream cannot read in
/// two ways (no dot or empty segments, no encoded separators or letters, no path parameters).
result<void> CheckTarget(std::string_view target);

/// Checks what the header fields say together: one Host, unambiguous framing, no upgrade, no
/// repeated field that must be single.
result<void> CheckHeaders(const header_fields& headers);

}  // namespace corianderhoist
