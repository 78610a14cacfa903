/// SHA-256 digests, hexadecimal text, random values and a fast non-cryptographic hash.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace corianderhoist {

/// A SHA-256 value, 32 bytes.
using digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 value of `data`.
digest Sha256(std::string_view data);

/// Returns `data` in lower-case hexadecimal.
std::string ToHex(std::string_view data);
std::string ToHex(const digest& value);

/// Returns `size` bytes from the operating system's random generator.
std::string RandomBytes(std::size_t size);

/// Returns a 64-bit hash (XXH3) for placement and sharding. Not for secrets.
std::uint64_t FastHash(std::string_view data);

}  // namespace corianderhoist
