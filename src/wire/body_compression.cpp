#include "wire/body_compression.h"

#include <QByteArray>

#include <algorithm>

namespace corianderhoist {
namespace {

// First byte of a compressed body. A CBOR map never starts with it.
constexpr char kCompressedMarker = '\0';
constexpr int kCompressionLevel = 1;  // Fastest level of zlib.
// qCompress prepends the uncompressed size, big endian.
constexpr std::size_t kSizePrefixBytes = 4;

std::size_t DecompressedSize(const std::string& packed) {
  std::size_t size = 0;
  for (std::size_t i = 1; i <= kSizePrefixBytes; ++i) {
    size = size << 8U | static_cast<unsigned char>(packed[i]);
  }
  return size;
}

}  // namespace

std::string CompressBody(std::string body) {
  if (body.size() <= kMaxUncompressedBodyBytes || body.size() > kMaxDecompressedBodyBytes) {
    return body;
  }
  const QByteArray packed = qCompress(reinterpret_cast<const uchar*>(body.data()),
                                      static_cast<qsizetype>(body.size()), kCompressionLevel);
  std::string message(1, kCompressedMarker);
  message.append(packed.data(), static_cast<std::size_t>(packed.size()));
  return message;
}

result<std::string> DecompressBody(std::string packed) {
  if (packed.empty() || packed.front() != kCompressedMarker) {
    return packed;
  }
  if (packed.size() <= 1 + kSizePrefixBytes ||
      DecompressedSize(packed) > kMaxDecompressedBodyBytes) {
    return Fail(error_kind::kMalformedMessage, "packed body has an invalid size");
  }
  const QByteArray body = qUncompress(reinterpret_cast<const uchar*>(packed.data()) + 1,
                                      static_cast<qsizetype>(packed.size()) - 1);
  if (static_cast<std::size_t>(body.size()) != DecompressedSize(packed)) {
    return Fail(error_kind::kMalformedMessage, "packed body cannot be unpacked");
  }
  return body.toStdString();
}

}  // namespace corianderhoist
