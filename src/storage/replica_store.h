/// Persistent storage of one replica: state file, snapshot file and log segments.
///
/// Files: `state`; `snapshot`; `log-<first index>`, one per segment. A new segment starts after
/// 1,000 entries or 4 MiB. Segments that are covered by a snapshot and no longer needed are
/// removed, which bounds disk usage.
#pragma once

#include "storage/disk.h"
#include "storage/records.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

/// Not thread safe. `files` must outlive the store.
class replica_store {
 public:
  /// Recovers the folder; `new_replica_id` is used if the folder is empty. Fails with
  /// `kStorageFailed`, or with `kStorageDamaged` if synced data is missing or corrupt.
  static result<std::unique_ptr<replica_store>> Open(disk& files, std::uint64_t new_replica_id);

  /// Writes state, snapshot and last segment again, as new files. Needed if an earlier write of
  /// this process has failed: what `Open` read may then come from the page cache and not be on the
  /// disk, although a further sync would report success. Fails with `kStorageFailed`.
  result<void> Rewrite();

  /// Returns the content recovered by `Open`. May be called once.
  stored_state TakeRecovered() { return std::move(recovered_); }

  /// Makes `write` durable; all its entries share one sync. After a failure (`kStorageFailed`) the
  /// content of the files is unknown until the next `Open`, so all later writes fail, too.
  result<void> Write(const storage_write& write);

  /// Detail of the first failed write; empty if none has failed.
  const std::string& Failure() const { return failure_; }

 private:
  struct segment {
    std::string name;
    std::uint64_t first_index = 0;
    std::uint64_t size = 0;
    std::vector<std::uint64_t> offsets;

    std::uint64_t EndIndex() const { return first_index + offsets.size(); }
  };

  explicit replica_store(disk& files) : files_(files) {}
  result<void> Load(std::uint64_t new_replica_id);
  result<void> RecoverState(const std::vector<std::string>& names, std::uint64_t new_replica_id);
  result<void> RecoverSegments(const std::vector<std::string>& names);
  result<void> RecoverSegment(const std::string& name, bool is_last);
  result<void> ReconcileLogWithSnapshot();
  result<void> DropLog();

  result<void> WriteAll(const storage_write& write);
  result<void> WriteState(const hard_state& state);
  result<void> TruncateFrom(std::uint64_t index);
  result<void> AppendEntries(const std::vector<log_entry>& entries);
  result<void> AppendToSegment(const std::vector<log_entry>& entries);
  result<void> RemoveSegmentsBefore(std::uint64_t index);

  disk& files_;
  stored_state recovered_;
  hard_state state_;
  std::vector<segment> segments_;
  std::string failure_;
};

}  // namespace corianderhoist
