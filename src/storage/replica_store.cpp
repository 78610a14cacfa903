#include "storage/replica_store.h"

#include "storage/format.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <iterator>

namespace corianderhoist {
namespace {

const std::string kStateName = "state";
const std::string kSnapshotName = "snapshot";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr int kSegmentNameDigits = 20;
constexpr std::size_t kSegmentRolloverEntries = 1000;
constexpr std::uint64_t kSegmentRolloverBytes = 4 << 20;

std::string SegmentName(std::uint64_t first_index) {
  std::string digits = std::to_string(first_index);
  return std::string(kSegmentPrefix) +
         std::string(static_cast<std::size_t>(kSegmentNameDigits) - digits.size(), '0') + digits;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto Damaged(const std::string& cause) {
  return Fail(error_kind::kStorageDamaged,
              cause + "; empty the data folder, replace the member and let it rejoin as a learner");
}

}  // namespace

result<std::unique_ptr<replica_store>> replica_store::Open(disk& files,
                                                           std::uint64_t new_replica_id) {
  std::unique_ptr<replica_store> store(new replica_store(files));
  BOOST_LEAF_CHECK(store->Load(new_replica_id));
  return store;
}

result<void> replica_store::Load(std::uint64_t new_replica_id) {
  BOOST_LEAF_AUTO(names, files_.List());
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      BOOST_LEAF_CHECK(files_.Remove(name));
    }
  }
  BOOST_LEAF_CHECK(RecoverState(names, new_replica_id));
  if (Contains(names, kSnapshotName)) {
    BOOST_LEAF_AUTO(bytes, files_.Read(kSnapshotName));
    BOOST_LEAF_AUTO(content, DecodeSnapshot(kSnapshotName, bytes));
    recovered_.last_snapshot = std::make_shared<const snapshot>(std::move(content));
  }
  BOOST_LEAF_CHECK(RecoverSegments(names));
  return ReconcileLogWithSnapshot();
}

result<void> replica_store::Rewrite() {
  std::vector<std::string> names = {kStateName};
  if (recovered_.last_snapshot) {
    names.push_back(kSnapshotName);
  }
  if (!segments_.empty()) {
    names.push_back(segments_.back().name);
  }
  for (const std::string& name : names) {
    BOOST_LEAF_AUTO(bytes, files_.Read(name));
    BOOST_LEAF_CHECK(ReplaceFile(files_, name, bytes));
  }
  return {};
}

result<void> replica_store::RecoverState(const std::vector<std::string>& names,
                                         std::uint64_t new_replica_id) {
  if (Contains(names, kStateName)) {
    BOOST_LEAF_AUTO(bytes, files_.Read(kStateName));
    BOOST_LEAF_ASSIGN(state_, DecodeState(bytes));
  } else {
    const bool has_log_files = std::any_of(names.begin(), names.end(), [](const std::string& name) {
      return name == kSnapshotName || name.starts_with(kSegmentPrefix);
    });
    if (has_log_files) {
      return Damaged("the state file is missing although log or snapshot files exist");
    }
    assert(new_replica_id != 0 && "a replica id must not be 0");
    BOOST_LEAF_CHECK(WriteState(hard_state{.replica_id = new_replica_id}));
  }
  recovered_.state = state_;
  return {};
}

result<void> replica_store::RecoverSegments(const std::vector<std::string>& names) {
  std::vector<std::string> segment_names;
  std::copy_if(names.begin(), names.end(), std::back_inserter(segment_names),
               [](const std::string& name) { return name.starts_with(kSegmentPrefix); });
  std::sort(segment_names.begin(), segment_names.end());
  for (const std::string& name : segment_names) {
    BOOST_LEAF_CHECK(RecoverSegment(name, name == segment_names.back()));
  }
  return {};
}

result<void> replica_store::RecoverSegment(const std::string& name, bool is_last) {
  const std::uint64_t first_index =
      std::strtoull(name.c_str() + kSegmentPrefix.size(), nullptr, 10);
  if (SegmentName(first_index) != name) {
    return Damaged("file " + name + " has an invalid segment name");
  }
  if (!segments_.empty() && segments_.back().EndIndex() != first_index) {
    return Damaged("entries before " + name + " are missing");
  }
  BOOST_LEAF_AUTO(bytes, files_.Read(name));
  BOOST_LEAF_AUTO(content, DecodeSegment(name, bytes, first_index));
  if (content.is_torn && !is_last) {
    return Damaged(name + " is truncated but is not the last segment");
  }
  if (content.size == 0) {  // Crash before the first sync of the segment.
    BOOST_LEAF_CHECK(files_.Remove(name));
    return files_.SyncFolder();
  }
  if (content.is_torn) {
    BOOST_LEAF_CHECK(files_.Truncate(name, content.size));
    BOOST_LEAF_CHECK(files_.Sync(name));
  }
  segments_.push_back({name, first_index, content.size, std::move(content.offsets)});
  std::move(content.entries.begin(), content.entries.end(), std::back_inserter(recovered_.entries));
  return {};
}

// Handles crashes between two steps of one write: the first entries or snapshot may be stored
// without the state that sets `has_log`, and a new snapshot may be stored while the old log still
// exists. Entries after the snapshot are kept only if they continue it.
result<void> replica_store::ReconcileLogWithSnapshot() {
  const snapshot_ptr& last = recovered_.last_snapshot;
  const std::vector<log_entry>& entries = recovered_.entries;
  if (!state_.has_log) {
    if (last) {
      BOOST_LEAF_CHECK(files_.Remove(kSnapshotName));
      BOOST_LEAF_CHECK(files_.SyncFolder());
      recovered_.last_snapshot = nullptr;
    }
    return DropLog();
  }
  if (!last && entries.empty()) {
    return Damaged("the log and the snapshot are missing");
  }
  const std::uint64_t base = last ? last->index : 0;
  if (entries.empty()) {
    return {};
  }
  const std::uint64_t first = entries.front().index;
  if (first > base + 1) {
    return Damaged("entries before " + std::to_string(first) + " are missing");
  }
  const bool continues_snapshot = first == base + 1 || (entries.back().index >= base &&
                                                        entries[base - first].term == last->term);
  return continues_snapshot ? result<void>() : DropLog();
}

result<void> replica_store::DropLog() {
  recovered_.entries.clear();
  return TruncateFrom(0);
}

result<void> replica_store::Write(const storage_write& write) {
  if (!failure_.empty()) {
    return Fail(error_kind::kStorageFailed, failure_);
  }
  failure_ = Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(WriteAll(write));
        return std::string();
      },
      [](const error& cause) { return cause.detail; });
  return failure_.empty() ? result<void>() : Fail(error_kind::kStorageFailed, failure_);
}

result<void> replica_store::WriteAll(const storage_write& write) {
  const bool sets_has_log = write.state && !state_.has_log && write.state->has_log;
  if (write.state && !sets_has_log) {
    BOOST_LEAF_CHECK(WriteState(*write.state));
  }
  if (write.new_snapshot) {
    BOOST_LEAF_CHECK(ReplaceFile(files_, kSnapshotName, EncodeSnapshot(*write.new_snapshot)));
  }
  if (write.truncate_from != 0) {
    BOOST_LEAF_CHECK(TruncateFrom(write.truncate_from));
  }
  if (!write.entries.empty()) {
    BOOST_LEAF_CHECK(AppendEntries(write.entries));
  }
  if (sets_has_log) {
    BOOST_LEAF_CHECK(WriteState(*write.state));
  }
  return write.keep_from != 0 ? RemoveSegmentsBefore(write.keep_from) : result<void>();
}

result<void> replica_store::WriteState(const hard_state& state) {
  BOOST_LEAF_CHECK(ReplaceFile(files_, kStateName, EncodeState(state)));
  state_ = state;
  return {};
}

// Removes segments in reverse order, so that a crash leaves a log without gaps. The truncated file
// is synced before anything is appended to it; otherwise old and new records could be mixed after a
// crash.
result<void> replica_store::TruncateFrom(std::uint64_t index) {
  while (!segments_.empty() && segments_.back().first_index >= index) {
    BOOST_LEAF_CHECK(files_.Remove(segments_.back().name));
    BOOST_LEAF_CHECK(files_.SyncFolder());
    segments_.pop_back();
  }
  if (segments_.empty() || segments_.back().EndIndex() <= index) {
    return {};
  }
  segment& last = segments_.back();
  last.size = last.offsets[index - last.first_index];
  last.offsets.resize(index - last.first_index);
  BOOST_LEAF_CHECK(files_.Truncate(last.name, last.size));
  return files_.Sync(last.name);
}

result<void> replica_store::AppendEntries(const std::vector<log_entry>& entries) {
  assert((segments_.empty() || segments_.back().EndIndex() == entries.front().index) &&
         "entries must continue the log");
  if (segments_.empty() || segments_.back().offsets.size() >= kSegmentRolloverEntries ||
      segments_.back().size >= kSegmentRolloverBytes) {
    segments_.push_back({SegmentName(entries.front().index), entries.front().index, 0, {}});
  }
  return AppendToSegment(entries);
}

result<void> replica_store::AppendToSegment(const std::vector<log_entry>& entries) {
  segment& last = segments_.back();
  const bool is_new = last.size == 0;
  std::string bytes = is_new ? EncodeSegmentHeader(last.first_index) : std::string();
  for (const log_entry& entry : entries) {
    last.offsets.push_back(last.size + bytes.size());
    AppendRecord(bytes, entry, entries.front().index);
  }
  last.size += bytes.size();
  BOOST_LEAF_CHECK(files_.Append(last.name, bytes));
  BOOST_LEAF_CHECK(files_.Sync(last.name));
  return is_new ? files_.SyncFolder() : result<void>();
}

result<void> replica_store::RemoveSegmentsBefore(std::uint64_t index) {
  while (segments_.size() > 1 && segments_[1].first_index <= index) {
    BOOST_LEAF_CHECK(files_.Remove(segments_.front().name));
    BOOST_LEAF_CHECK(files_.SyncFolder());
    segments_.erase(segments_.begin());
  }
  return {};
}

}  // namespace corianderhoist
