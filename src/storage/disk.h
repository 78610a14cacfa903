/// Interface for file operations within one folder.
#pragma once

#include "base/error.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// File names are relative to the folder. Content is durable only after `Sync`, names only after
/// `SyncFolder`. All functions fail with `kStorageFailed`.
class disk {
 public:
  virtual ~disk() = default;
  virtual result<std::vector<std::string>> List() = 0;
  virtual result<std::string> Read(const std::string& name) = 0;
  /// Creates the file if it does not exist.
  virtual result<void> Append(const std::string& name, std::string_view bytes) = 0;
  virtual result<void> Truncate(const std::string& name, std::uint64_t size) = 0;
  virtual result<void> Sync(const std::string& name) = 0;
  virtual result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual result<void> Remove(const std::string& name) = 0;
  virtual result<void> SyncFolder() = 0;
};

/// Atomically replaces the content of `name`: writes and syncs a temporary file, renames it, and
/// syncs the folder. A crash leaves either the old or the new content.
result<void> ReplaceFile(disk& files, const std::string& name, std::string_view bytes);

/// Suffix of the temporary files of `ReplaceFile`. Leftover files are removed on recovery.
inline constexpr std::string_view kTemporarySuffix = ".new";

}  // namespace corianderhoist
