#include "storage/format.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <optional>

namespace corianderhoist {
namespace {

constexpr std::string_view kSegmentMagic = "CHLG";
constexpr std::string_view kStateMagic = "CHST";
constexpr std::string_view kSnapshotMagic = "CHSN";
constexpr std::size_t kMagicSize = 4;
constexpr std::size_t kSegmentHeaderSize = kMagicSize + 4 + 8 + 4;
constexpr std::size_t kRecordHeaderSize = 4 + 4 + 8 + 8 + 4;
constexpr std::size_t kBodyPrefixSize = 8 + 1;
// Disks write whole sectors; a sector of a new block that was not written reads as zeros.
constexpr std::size_t kSectorSize = 512;

template <std::unsigned_integral Integer>
void PutInteger(std::string& out, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

void PutText(std::string& out, std::string_view text) {
  PutInteger<std::uint64_t>(out, text.size());
  out.append(text);
}

// Reads integers and texts; `is_valid` becomes false when the bytes end too early.
struct byte_reader {
  std::string_view rest;
  bool is_valid = true;

  std::string_view Take(std::uint64_t size) {
    if (size > rest.size()) {
      is_valid = false;
      return {};
    }
    const std::string_view taken = rest.substr(0, size);
    rest.remove_prefix(size);
    return taken;
  }
  template <std::unsigned_integral Integer>
  Integer Get() {
    Integer value = 0;
    const std::string_view bytes = Take(sizeof(Integer));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      value |= static_cast<Integer>(static_cast<Integer>(static_cast<unsigned char>(bytes[i]))
                                    << (8 * i));
    }
    return value;
  }
  std::string GetText() { return std::string(Take(Get<std::uint64_t>())); }
};

auto Damaged(const std::string& name, const std::string& cause) {
  return Fail(error_kind::kStorageDamaged,
              name + ": " + cause +
                  "; empty the data folder, replace the member and let it rejoin as a learner");
}

// Wraps `body` with magic, version and checksum.
std::string EncodeFile(std::string_view magic, std::string_view body) {
  std::string out(magic);
  PutInteger(out, kFormatVersion);
  PutInteger(out, Crc32c(body));
  out.append(body);
  return out;
}

result<std::string_view> DecodeFile(const std::string& name,
                                    std::string_view magic,
                                    std::string_view bytes) {
  byte_reader in{bytes};
  if (in.Take(kMagicSize) != magic) {
    return Damaged(name, "unknown kind of file");
  }
  const auto version = in.Get<std::uint32_t>();
  if (version != kFormatVersion) {
    return Fail(error_kind::kStorageDamaged, name + ": format version " + std::to_string(version) +
                                                 " is not supported, expected " +
                                                 std::to_string(kFormatVersion));
  }
  const auto checksum = in.Get<std::uint32_t>();
  if (!in.is_valid || checksum != Crc32c(in.rest)) {
    return Damaged(name, "checksum mismatch");
  }
  return in.rest;
}

struct record_header {
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;
  std::uint64_t index = 0;
  std::uint64_t batch_first = 0;
};

std::optional<record_header> DecodeRecordHeader(std::string_view bytes) {
  byte_reader in{bytes};
  record_header header;
  header.length = in.Get<std::uint32_t>();
  header.checksum = in.Get<std::uint32_t>();
  header.index = in.Get<std::uint64_t>();
  header.batch_first = in.Get<std::uint64_t>();
  const auto header_checksum = in.Get<std::uint32_t>();
  if (!in.is_valid || header.length < kBodyPrefixSize ||
      header_checksum != Crc32c(bytes.substr(0, kRecordHeaderSize - sizeof(header_checksum)))) {
    return std::nullopt;
  }
  return header;
}

log_entry DecodeBody(std::uint64_t index, std::string_view body) {
  byte_reader in{body};
  log_entry entry{
      index, in.Get<std::uint64_t>(), static_cast<entry_kind>(in.Get<std::uint8_t>()), {}};
  entry.data = std::string(in.rest);
  return entry;
}

// True when the part of some sector that lies in [begin, end) holds only zeros.
bool HasEmptySector(std::string_view bytes, std::size_t begin, std::size_t end) {
  while (begin < end) {
    const std::size_t stop = std::min(end, (begin / kSectorSize + 1) * kSectorSize);
    const std::string_view part = bytes.substr(begin, stop - begin);
    if (std::all_of(part.begin(), part.end(), [](char c) { return c == 0; })) {
      return true;
    }
    begin = stop;
  }
  return false;
}

// True when a whole record behind `offset` proves that the record `index` was synced.
bool IsSyncedBefore(std::string_view bytes, std::size_t offset, std::uint64_t index) {
  for (std::size_t at = offset + 1; at + kRecordHeaderSize <= bytes.size(); ++at) {
    const auto header = DecodeRecordHeader(bytes.substr(at, kRecordHeaderSize));
    if (header && header->batch_first > index) {
      return true;
    }
  }
  return false;
}

// Whether the bad record at `offset` can come from a write that was never synced.
bool IsTorn(std::string_view bytes, std::size_t offset, std::uint64_t index) {
  const std::size_t header_end = offset + kRecordHeaderSize;
  if (IsSyncedBefore(bytes, offset, index)) {
    return false;
  }
  if (header_end > bytes.size()) {
    return true;
  }
  const auto header = DecodeRecordHeader(bytes.substr(offset, kRecordHeaderSize));
  if (!header) {
    return HasEmptySector(bytes, offset, header_end);
  }
  const std::size_t end = header_end + header->length;
  return end > bytes.size() || HasEmptySector(bytes, header_end, end);
}

}  // namespace

std::uint32_t Crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> sum;
  sum.process_bytes(bytes.data(), bytes.size());
  return sum.checksum();
}

std::string EncodeSegmentHeader(std::uint64_t first_index) {
  std::string out(kSegmentMagic);
  PutInteger(out, kFormatVersion);
  PutInteger(out, first_index);
  PutInteger(out, Crc32c(out));
  return out;
}

std::size_t SegmentHeaderSize() {
  return kSegmentHeaderSize;
}

void AppendRecord(std::string& out, const log_entry& entry, std::uint64_t batch_first) {
  std::string body;
  body.reserve(kBodyPrefixSize + entry.data.size());
  PutInteger(body, entry.term);
  PutInteger(body, static_cast<std::uint8_t>(entry.kind));
  body.append(entry.data);
  std::string header;
  PutInteger(header, static_cast<std::uint32_t>(body.size()));
  PutInteger(header, Crc32c(body));
  PutInteger(header, entry.index);
  PutInteger(header, batch_first);
  PutInteger(header, Crc32c(header));
  out.append(header).append(body);
}

result<segment_content> DecodeSegment(const std::string& name,
                                      std::string_view bytes,
                                      std::uint64_t first_index) {
  segment_content content;
  if (bytes.size() < kSegmentHeaderSize || HasEmptySector(bytes, 0, kSegmentHeaderSize)) {
    content.is_torn = true;
    return content;
  }
  byte_reader version_reader{bytes.substr(kMagicSize)};
  const auto version = version_reader.Get<std::uint32_t>();
  if (bytes.starts_with(kSegmentMagic) && version != kFormatVersion) {
    return Fail(error_kind::kStorageDamaged,
                name + ": format version " + std::to_string(version) + " is not supported");
  }
  if (!bytes.starts_with(EncodeSegmentHeader(first_index))) {
    return Damaged(name, "bad segment header");
  }
  std::size_t offset = kSegmentHeaderSize;
  std::uint64_t index = first_index;
  while (offset < bytes.size()) {
    const auto header = offset + kRecordHeaderSize <= bytes.size()
                            ? DecodeRecordHeader(bytes.substr(offset, kRecordHeaderSize))
                            : std::nullopt;
    const std::string_view body =
        header ? bytes.substr(offset + kRecordHeaderSize, header->length) : std::string_view();
    if (!header || body.size() < header->length || Crc32c(body) != header->checksum) {
      if (!IsTorn(bytes, offset, index)) {
        return Damaged(name, "bad record for entry " + std::to_string(index));
      }
      content.is_torn = true;
      break;
    }
    if (header->index != index) {
      return Damaged(name, "entry " + std::to_string(header->index) + " where " +
                               std::to_string(index) + " is expected");
    }
    content.entries.push_back(DecodeBody(index++, body));
    content.offsets.push_back(offset);
    offset += kRecordHeaderSize + header->length;
  }
  content.size = offset;
  return content;
}

std::string EncodeState(const hard_state& state) {
  std::string body;
  PutInteger(body, state.replica_id);
  PutInteger(body, state.group);
  PutInteger(body, state.term);
  PutInteger(body, state.voted_for);
  PutInteger(body, static_cast<std::uint8_t>(state.has_log ? 1 : 0));
  PutInteger(body, static_cast<std::uint8_t>(state.is_barred ? 1 : 0));
  return EncodeFile(kStateMagic, body);
}

result<hard_state> DecodeState(std::string_view bytes) {
  BOOST_LEAF_AUTO(body, DecodeFile("state", kStateMagic, bytes));
  byte_reader in{body};
  hard_state state;
  state.replica_id = in.Get<std::uint64_t>();
  state.group = in.Get<std::uint64_t>();
  state.term = in.Get<std::uint64_t>();
  state.voted_for = in.Get<std::uint64_t>();
  state.has_log = in.Get<std::uint8_t>() != 0;
  state.is_barred = in.Get<std::uint8_t>() != 0;
  if (!in.is_valid || !in.rest.empty()) {
    return Damaged("state", "wrong length");
  }
  return state;
}

std::string EncodeSnapshot(const snapshot& content) {
  std::string body;
  PutInteger(body, content.index);
  PutInteger(body, content.term);
  PutInteger(body, content.membership_index);
  PutText(body, content.membership);
  PutText(body, content.data);
  return EncodeFile(kSnapshotMagic, body);
}

result<snapshot> DecodeSnapshot(const std::string& name, std::string_view bytes) {
  BOOST_LEAF_AUTO(body, DecodeFile(name, kSnapshotMagic, bytes));
  byte_reader in{body};
  snapshot content;
  content.index = in.Get<std::uint64_t>();
  content.term = in.Get<std::uint64_t>();
  content.membership_index = in.Get<std::uint64_t>();
  content.membership = in.GetText();
  content.data = in.GetText();
  if (!in.is_valid || !in.rest.empty()) {
    return Damaged(name, "wrong length");
  }
  return content;
}

}  // namespace corianderhoist
