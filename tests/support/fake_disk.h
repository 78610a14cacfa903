/// An in-memory folder that simulates power cuts, torn writes, full disks and I/O errors.
#pragma once

#include "storage/disk.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace corianderhoist {

/// A `disk` in memory whose failures are controlled by tests. Not thread safe.
class fake_disk final : public disk {
 public:
  static constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

  result<std::vector<std::string>> List() override;
  result<std::string> Read(const std::string& name) override;
  result<void> Append(const std::string& name, std::string_view bytes) override;
  result<void> Truncate(const std::string& name, std::uint64_t size) override;
  result<void> Sync(const std::string& name) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& name) override;
  result<void> SyncFolder() override;

  /// Simulates a power cut. A random prefix of the unsynced name changes survives. Unsynced content
  /// keeps a random length and random sectors; the other sectors are old or zero.
  void Crash(std::mt19937_64& random);
  /// Lets only this many further modifying operations succeed; `kUnlimited` removes the limit.
  void FailOperationsAfter(std::uint64_t operations) { operations_left_ = operations; }
  /// Lets appends write this many further bytes. An append beyond that writes a part of its bytes
  /// and fails, as on a full disk.
  void LimitSpace(std::uint64_t bytes) { space_left_ = bytes; }

  std::map<std::string, std::string> Files() const;
  void Replace(const std::string& name, std::string content);
  void Delete(const std::string& name);
  std::uint64_t Bytes() const;
  std::uint64_t SyncCount() const { return sync_count_; }

 private:
  struct inode {
    std::string content;
    std::string synced;
  };
  using folder = std::map<std::string, std::shared_ptr<inode>>;

  result<void> ConsumeOperation();
  result<std::shared_ptr<inode>> Find(const std::string& name);
  void ChangeNames(const std::function<void(folder&)>& change);

  folder names_;
  folder synced_names_;
  std::vector<std::function<void(folder&)>> unsynced_changes_;
  std::uint64_t operations_left_ = kUnlimited;
  std::uint64_t space_left_ = kUnlimited;
  std::uint64_t sync_count_ = 0;
};

}  // namespace corianderhoist
