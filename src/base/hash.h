/// SHA-256 digests, hexadecimal encoding, random bytes and a fast non-cryptographic hash.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace corianderhoist {

/// A SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of `data`.
digest Sha256(std::string_view data);

/// Returns `data` in lower-case hexadecimal.
std::string ToHex(std::string_view data);
std::string ToHex(const digest& value);

/// Returns `size` cryptographically secure random bytes (OpenSSL).
std::string RandomBytes(std::size_t size);

/// Returns a 64-bit hash (XXH3) for placement and sharding. Not cryptographically secure.
std::uint64_t FastHash(std::string_view data);

}  // namespace corianderhoist
