/// The file operations that storage needs, within one folder.
#pragma once

#include "base/error.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// File names are relative to the folder. Nothing is durable before `Sync` (content) and
/// `SyncFolder` (names). All functions fail with `kStorageFailed`.
class disk {
 public:
  virtual ~disk() = default;
  virtual result<std::vector<std::string>> List() = 0;
  virtual result<std::string> Read(const std::string& name) = 0;
  /// Creates the file when it is missing.
  virtual result<void> Append(const std::string& name, std::string_view bytes) = 0;
  virtual result<void> Truncate(const std::string& name, std::uint64_t size) = 0;
  virtual result<void> Sync(const std::string& name) = 0;
  virtual result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual result<void> Remove(const std::string& name) = 0;
  virtual result<void> SyncFolder() = 0;
};

/// Replaces `name` such that a crash leaves the old or the new content: temporary file, sync,
/// rename, sync of the folder.
result<void> ReplaceFile(disk& files, const std::string& name, std::string_view bytes);

/// Name ending of the temporary files of `ReplaceFile`, which are removed at the next start.
inline constexpr std::string_view kTemporaryEnding = ".new";

}  // namespace corianderhoist
