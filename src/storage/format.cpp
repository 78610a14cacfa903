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
constexpr std::size_t kMagicBytes = 4;
constexpr std::size_t kSegmentHeaderBytes = kMagicBytes + 4 + 8 + 4;
constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8 + 4;
constexpr std::size_t kBodyPrefixBytes = 8 + 1;
// Disks write whole sectors; an unwritten sector of a newly allocated block reads as zeros.
constexpr std::size_t kSectorBytes = 512;

template <std::unsigned_integral Integer>
void PutInteger(std::string& out, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

void PutString(std::string& out, std::string_view text) {
  PutInteger<std::uint64_t>(out, text.size());
  out.append(text);
}

// Reads integers and strings; `is_valid` becomes false if the input is too short.
struct byte_reader {
  std::string_view remaining;
  bool is_valid = true;

  std::string_view Take(std::uint64_t size) {
    if (size > remaining.size()) {
      is_valid = false;
      return {};
    }
    const std::string_view taken = remaining.substr(0, size);
    remaining.remove_prefix(size);
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
  std::string GetString() { return std::string(Take(Get<std::uint64_t>())); }
};

auto Damaged(const std::string& name, const std::string& cause) {
  return Fail(error_kind::kStorageDamaged,
              name + ": " + cause +
                  "; empty the data folder, replace the member and let it rejoin as a learner");
}

// The last byte of the state holds `is_bootstrap_blocked` in bit 0 and the leader record in the two
// bits above it. The former version reads each byte other than 0 as blocked, which has no effect on
// a replica that belongs to a group, and writes 0 or 1, which is read here as an unknown leader.
constexpr std::uint8_t kBlockedBit = 1;
constexpr unsigned kLeaderShift = 1;
constexpr std::uint8_t kLeaderMask = 3;

std::uint8_t EncodeFlags(const hard_state& state) {
  const unsigned leader = state.group == 0 ? 0U : static_cast<unsigned>(state.leader);
  return static_cast<std::uint8_t>((state.is_bootstrap_blocked ? kBlockedBit : 0U) |
                                   (leader << kLeaderShift));
}

leader_record DecodeLeader(std::uint8_t flags) {
  const auto leader = static_cast<leader_record>((flags >> kLeaderShift) & kLeaderMask);
  return leader <= leader_record::kVotedFor ? leader : leader_record::kUnknown;
}

// Prefixes `body` with the magic number, format version and checksum.
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
  if (in.Take(kMagicBytes) != magic) {
    return Damaged(name, "unknown file type");
  }
  const auto version = in.Get<std::uint32_t>();
  if (version != kFormatVersion) {
    return Fail(error_kind::kStorageDamaged, name + ": format version " + std::to_string(version) +
                                                 " is not supported, expected " +
                                                 std::to_string(kFormatVersion));
  }
  const auto checksum = in.Get<std::uint32_t>();
  if (!in.is_valid || checksum != Crc32c(in.remaining)) {
    return Damaged(name, "checksum mismatch");
  }
  return in.remaining;
}

struct record_header {
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;
  std::uint64_t index = 0;
  std::uint64_t batch_first_index = 0;
};

std::optional<record_header> DecodeRecordHeader(std::string_view bytes) {
  byte_reader in{bytes};
  record_header header;
  header.length = in.Get<std::uint32_t>();
  header.checksum = in.Get<std::uint32_t>();
  header.index = in.Get<std::uint64_t>();
  header.batch_first_index = in.Get<std::uint64_t>();
  const auto header_checksum = in.Get<std::uint32_t>();
  if (!in.is_valid || header.length < kBodyPrefixBytes ||
      header_checksum != Crc32c(bytes.substr(0, kRecordHeaderBytes - sizeof(header_checksum)))) {
    return std::nullopt;
  }
  return header;
}

log_entry DecodeBody(std::uint64_t index, std::string_view body) {
  byte_reader in{body};
  log_entry entry{
      index, in.Get<std::uint64_t>(), static_cast<entry_kind>(in.Get<std::uint8_t>()), {}};
  entry.data = std::string(in.remaining);
  return entry;
}

// True if [begin, end) contains a sector, or the part of one, that consists only of zeros.
bool HasZeroedSector(std::string_view bytes, std::size_t begin, std::size_t end) {
  while (begin < end) {
    const std::size_t stop = std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
    const std::string_view part = bytes.substr(begin, stop - begin);
    if (std::all_of(part.begin(), part.end(), [](char c) { return c == 0; })) {
      return true;
    }
    begin = stop;
  }
  return false;
}

// True if a valid record header after `offset` belongs to a later batch than the record `index`. A
// batch is written only after the sync of the previous one, so the record has been synced.
bool HasLaterBatch(std::string_view bytes, std::size_t offset, std::uint64_t index) {
  for (std::size_t at = offset + 1; at + kRecordHeaderBytes <= bytes.size(); ++at) {
    const auto header = DecodeRecordHeader(bytes.substr(at, kRecordHeaderBytes));
    if (header && header->batch_first_index > index) {
      return true;
    }
  }
  return false;
}

// True if the invalid record at `offset` can result from a write that was never synced.
bool IsTorn(std::string_view bytes, std::size_t offset, std::uint64_t index) {
  const std::size_t header_end = offset + kRecordHeaderBytes;
  if (HasLaterBatch(bytes, offset, index)) {
    return false;
  }
  if (header_end > bytes.size()) {
    return true;
  }
  const auto header = DecodeRecordHeader(bytes.substr(offset, kRecordHeaderBytes));
  if (!header) {
    return HasZeroedSector(bytes, offset, header_end);
  }
  const std::size_t end = header_end + header->length;
  return end > bytes.size() || HasZeroedSector(bytes, header_end, end);
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
  return kSegmentHeaderBytes;
}

void AppendRecord(std::string& out, const log_entry& entry, std::uint64_t batch_first_index) {
  std::string body;
  body.reserve(kBodyPrefixBytes + entry.data.size());
  PutInteger(body, entry.term);
  PutInteger(body, static_cast<std::uint8_t>(entry.kind));
  body.append(entry.data);
  std::string header;
  PutInteger(header, static_cast<std::uint32_t>(body.size()));
  PutInteger(header, Crc32c(body));
  PutInteger(header, entry.index);
  PutInteger(header, batch_first_index);
  PutInteger(header, Crc32c(header));
  out.append(header).append(body);
}

result<segment_content> DecodeSegment(const std::string& name,
                                      std::string_view bytes,
                                      std::uint64_t first_index) {
  segment_content content;
  if (bytes.size() < kSegmentHeaderBytes || HasZeroedSector(bytes, 0, kSegmentHeaderBytes)) {
    content.is_torn = true;
    return content;
  }
  byte_reader version_reader{bytes.substr(kMagicBytes)};
  const auto version = version_reader.Get<std::uint32_t>();
  if (bytes.starts_with(kSegmentMagic) && version != kFormatVersion) {
    return Fail(error_kind::kStorageDamaged,
                name + ": format version " + std::to_string(version) + " is not supported");
  }
  if (!bytes.starts_with(EncodeSegmentHeader(first_index))) {
    return Damaged(name, "invalid segment header");
  }
  std::size_t offset = kSegmentHeaderBytes;
  std::uint64_t index = first_index;
  while (offset < bytes.size()) {
    const auto header = offset + kRecordHeaderBytes <= bytes.size()
                            ? DecodeRecordHeader(bytes.substr(offset, kRecordHeaderBytes))
                            : std::nullopt;
    const std::string_view body =
        header ? bytes.substr(offset + kRecordHeaderBytes, header->length) : std::string_view();
    if (!header || body.size() < header->length || Crc32c(body) != header->checksum) {
      if (!IsTorn(bytes, offset, index)) {
        return Damaged(name, "invalid record for entry " + std::to_string(index));
      }
      content.is_torn = true;
      break;
    }
    if (header->index != index) {
      return Damaged(name, "entry " + std::to_string(header->index) + " found, expected " +
                               std::to_string(index));
    }
    content.entries.push_back(DecodeBody(index++, body));
    content.offsets.push_back(offset);
    offset += kRecordHeaderBytes + header->length;
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
  PutInteger(body, EncodeFlags(state));
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
  const auto flags = in.Get<std::uint8_t>();
  state.is_bootstrap_blocked = (flags & kBlockedBit) != 0;
  state.leader = DecodeLeader(flags);
  if (!in.is_valid || !in.remaining.empty()) {
    return Damaged("state", "unexpected length");
  }
  return state;
}

std::string EncodeSnapshot(const snapshot& content) {
  std::string body;
  PutInteger(body, content.index);
  PutInteger(body, content.term);
  PutInteger(body, content.membership_index);
  PutString(body, content.membership);
  PutString(body, content.data);
  return EncodeFile(kSnapshotMagic, body);
}

result<snapshot> DecodeSnapshot(const std::string& name, std::string_view bytes) {
  BOOST_LEAF_AUTO(body, DecodeFile(name, kSnapshotMagic, bytes));
  byte_reader in{body};
  snapshot content;
  content.index = in.Get<std::uint64_t>();
  content.term = in.Get<std::uint64_t>();
  content.membership_index = in.Get<std::uint64_t>();
  content.membership = in.GetString();
  content.data = in.GetString();
  if (!in.is_valid || !in.remaining.empty()) {
    return Damaged(name, "unexpected length");
  }
  return content;
}

}  // namespace corianderhoist
