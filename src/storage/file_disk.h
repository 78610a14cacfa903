/// File operations on a real folder, which is locked against use by a second process.
#pragma once

#include "storage/disk.h"

#include <map>
#include <memory>

namespace corianderhoist {

/// Not thread safe. The lock is held until destruction.
class file_disk final : public disk {
 public:
  /// Creates the folder if it does not exist. Fails with `kStorageFailed`, also if another process
  /// holds the lock on the folder.
  static result<std::unique_ptr<file_disk>> Open(const std::filesystem::path& folder);
  ~file_disk() override;

  result<std::vector<std::string>> List() override;
  result<std::string> Read(const std::string& name) override;
  result<void> Append(const std::string& name, std::string_view bytes) override;
  result<void> Truncate(const std::string& name, std::uint64_t size) override;
  result<void> Sync(const std::string& name) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& name) override;
  result<void> SyncFolder() override;

 private:
  explicit file_disk(std::filesystem::path folder) : folder_(std::move(folder)) {}
  /// Returns the cached descriptor of `name`, or opens the file.
  result<int> OpenForAppend(const std::string& name);
  void CloseFile(const std::string& name);

  const std::filesystem::path folder_;
  int folder_descriptor_ = -1;
  std::map<std::string, int> open_files_;
};

}  // namespace corianderhoist
