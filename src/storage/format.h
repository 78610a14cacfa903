/// Binary formats of log segments, the state file and the snapshot file. Integers are
/// little-endian.
///
/// A log record is a header (length of the body, CRC-32C of the body, index, first index of its
/// batch, CRC-32C of the header) and a body (term, kind, data). A batch is the set of records that
/// one sync makes durable.
#pragma once

#include "base/error.h"
#include "storage/records.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

inline constexpr std::uint32_t kFormatVersion = 1;

std::uint32_t Crc32c(std::string_view bytes);

/// Header of a segment file whose first entry is `first_index`.
std::string EncodeSegmentHeader(std::uint64_t first_index);
std::size_t SegmentHeaderSize();

/// Appends the record of `entry` to `out`.
void AppendRecord(std::string& out, const log_entry& entry, std::uint64_t batch_first_index);

/// The valid prefix of a segment.
struct segment_content {
  std::vector<log_entry> entries;
  std::vector<std::uint64_t> offsets;  ///< File offset of the record of each entry.
  std::uint64_t size = 0;  ///< End of the last complete record; 0 if the header is incomplete.
  bool is_torn = false;    ///< A partially written batch follows at `size`.
};

/// Decodes a segment. Fails with `kStorageDamaged` if a record that has been synced is invalid. An
/// invalid record counts as torn (written but never synced) only if it is truncated by the end of
/// the file or contains a zeroed sector, and no record after it belongs to a later batch.
result<segment_content> DecodeSegment(const std::string& name,
                                      std::string_view bytes,
                                      std::uint64_t first_index);

std::string EncodeState(const hard_state& state);
result<hard_state> DecodeState(std::string_view bytes);

std::string EncodeSnapshot(const snapshot& content);
result<snapshot> DecodeSnapshot(const std::string& name, std::string_view bytes);

}  // namespace corianderhoist
