/// Compression of large message bodies, so that a whole configuration fits into one message and
/// costs little on links between regions.
#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>

namespace corianderhoist {

/// Bodies of at most this size are sent as they are: compression would cost more than the bytes.
inline constexpr std::size_t kPlainBodyBytes = 4U << 20U;
/// Largest body after decompression.
inline constexpr std::size_t kMaxUnpackedBytes = 512U << 20U;

/// Returns the form in which a CBOR body travels.
std::string PackBody(std::string body);

/// Reverses `PackBody`. Fails with `kMalformedMessage`.
result<std::string> UnpackBody(std::string packed);

}  // namespace corianderhoist
