#include "wire/body_packing.h"

#include <QByteArray>

#include <algorithm>

namespace corianderhoist {
namespace {

// A CBOR map never begins with this byte.
constexpr char kPackedMark = '\0';
constexpr int kFastest = 1;
constexpr std::size_t kLengthBytes = 4;  // qCompress puts the unpacked size first, big endian.

std::size_t UnpackedSize(const std::string& packed) {
  std::size_t size = 0;
  for (std::size_t i = 1; i <= kLengthBytes; ++i) {
    size = size << 8U | static_cast<unsigned char>(packed[i]);
  }
  return size;
}

}  // namespace

std::string PackBody(std::string body) {
  if (body.size() <= kPlainBodyBytes || body.size() > kMaxUnpackedBytes) {
    return body;
  }
  const QByteArray packed = qCompress(reinterpret_cast<const uchar*>(body.data()),
                                      static_cast<qsizetype>(body.size()), kFastest);
  std::string marked(1, kPackedMark);
  marked.append(packed.data(), static_cast<std::size_t>(packed.size()));
  return marked;
}

result<std::string> UnpackBody(std::string packed) {
  if (packed.empty() || packed.front() != kPackedMark) {
    return packed;
  }
  if (packed.size() <= 1 + kLengthBytes || UnpackedSize(packed) > kMaxUnpackedBytes) {
    return Fail(error_kind::kMalformedMessage, "packed body has an invalid size");
  }
  const QByteArray body = qUncompress(reinterpret_cast<const uchar*>(packed.data()) + 1,
                                      static_cast<qsizetype>(packed.size()) - 1);
  if (static_cast<std::size_t>(body.size()) != UnpackedSize(packed)) {
    return Fail(error_kind::kMalformedMessage, "packed body cannot be unpacked");
  }
  return body.toStdString();
}

}  // namespace corianderhoist
