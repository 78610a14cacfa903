/// Compression of large message bodies, so that a complete configuration fits into one message and
/// uses little bandwidth between regions.
#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>

namespace corianderhoist {

/// Bodies up to this size are sent uncompressed, because compressing them costs more than sending
/// them.
inline constexpr std::size_t kMaxUncompressedBodyBytes = 4U << 20U;
/// Maximum size of a body after decompression.
inline constexpr std::size_t kMaxDecompressedBodyBytes = 512U << 20U;

/// Returns the wire form of an encoded CBOR body: compressed if it is larger than
/// `kMaxUncompressedBodyBytes` and at most `kMaxDecompressedBodyBytes`, unchanged otherwise.
std::string CompressBody(std::string body);

/// Reverses `CompressBody`. Fails with `kMalformedMessage` if the body is damaged or too large.
result<std::string> DecompressBody(std::string packed);

}  // namespace corianderhoist
