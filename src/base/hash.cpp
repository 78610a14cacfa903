#include "base/hash.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cassert>

namespace corianderhoist {

digest Sha256(std::string_view data) {
  digest value{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), value.data());
  return value;
}

std::string ToHex(std::string_view data) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(data.size() * 2);
  for (const char c : data) {
    const auto byte = static_cast<std::uint8_t>(c);
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  }
  return text;
}

std::string ToHex(const digest& value) {
  return ToHex(std::string_view(reinterpret_cast<const char*>(value.data()), value.size()));
}

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  const int status =
      RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size));
  assert(status == 1 && "the random number generator of OpenSSL failed");
  (void)status;
  return bytes;
}

std::uint64_t FastHash(std::string_view data) {
  return XXH3_64bits(data.data(), data.size());
}

}  // namespace corianderhoist
