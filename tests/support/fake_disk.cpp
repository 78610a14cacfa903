#include "support/fake_disk.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::size_t kSectorSize = 512;

// Returns what a power cut leaves of a file with the synced content `synced` and the unsynced
// content `content`.
std::string ContentAfterCrash(const std::string& synced,
                              const std::string& content,
                              std::mt19937_64& random) {
  if (synced.starts_with(content)) {  // File systems journal a truncation atomically.
    return random() % 2 == 0 ? synced : content;
  }
  const std::size_t min_size = std::min(synced.size(), content.size());
  const std::size_t max_size = std::max(synced.size(), content.size());
  std::string survivor(min_size + random() % (max_size - min_size + 1), '\0');
  for (std::size_t begin = 0; begin < survivor.size(); begin += kSectorSize) {
    const std::string& source = random() % 2 == 0 ? synced : content;
    for (std::size_t i = begin; i < std::min(survivor.size(), begin + kSectorSize); ++i) {
      const bool is_common = i < min_size && synced[i] == content[i];
      survivor[i] = is_common ? synced[i] : (i < source.size() ? source[i] : '\0');
    }
  }
  return survivor;
}

}  // namespace

result<void> fake_disk::ConsumeOperation() {
  if (operations_left_ == 0) {
    return Fail(error_kind::kStorageFailed, "simulated disk failure");
  }
  if (operations_left_ != kUnlimited) {
    --operations_left_;
  }
  return {};
}

result<std::shared_ptr<fake_disk::inode>> fake_disk::Find(const std::string& name) {
  const auto found = names_.find(name);
  if (found == names_.end()) {
    return Fail(error_kind::kStorageFailed, "no such file: " + name);
  }
  return found->second;
}

void fake_disk::ChangeNames(const std::function<void(folder&)>& change) {
  change(names_);
  unsynced_changes_.push_back(change);
}

result<std::vector<std::string>> fake_disk::List() {
  std::vector<std::string> names;
  for (const auto& [name, file] : names_) {
    names.push_back(name);
  }
  return names;
}

result<std::string> fake_disk::Read(const std::string& name) {
  BOOST_LEAF_AUTO(file, Find(name));
  return file->content;
}

result<void> fake_disk::Append(const std::string& name, std::string_view bytes) {
  BOOST_LEAF_CHECK(ConsumeOperation());
  if (!names_.contains(name)) {
    ChangeNames([name, file = std::make_shared<inode>()](folder& names) { names[name] = file; });
  }
  const std::uint64_t fitting = std::min<std::uint64_t>(space_left_, bytes.size());
  names_[name]->content += bytes.substr(0, fitting);
  if (space_left_ != kUnlimited) {
    space_left_ -= fitting;
  }
  if (fitting < bytes.size()) {
    return Fail(error_kind::kStorageFailed, "write " + name + ": no space left on device");
  }
  return {};
}

result<void> fake_disk::Truncate(const std::string& name, std::uint64_t size) {
  BOOST_LEAF_CHECK(ConsumeOperation());
  BOOST_LEAF_AUTO(file, Find(name));
  file->content.resize(size);
  return {};
}

result<void> fake_disk::Sync(const std::string& name) {
  BOOST_LEAF_CHECK(ConsumeOperation());
  BOOST_LEAF_AUTO(file, Find(name));
  file->synced = file->content;
  ++sync_count_;
  return {};
}

result<void> fake_disk::Rename(const std::string& from, const std::string& to) {
  BOOST_LEAF_CHECK(ConsumeOperation());
  BOOST_LEAF_CHECK(Find(from));
  ChangeNames([from, to](folder& names) {
    names[to] = names[from];
    names.erase(from);
  });
  return {};
}

result<void> fake_disk::Remove(const std::string& name) {
  BOOST_LEAF_CHECK(ConsumeOperation());
  BOOST_LEAF_CHECK(Find(name));
  ChangeNames([name](folder& names) { names.erase(name); });
  return {};
}

result<void> fake_disk::SyncFolder() {
  BOOST_LEAF_CHECK(ConsumeOperation());
  synced_names_ = names_;
  unsynced_changes_.clear();
  return {};
}

void fake_disk::Crash(std::mt19937_64& random) {
  const std::size_t survivor_count = random() % (unsynced_changes_.size() + 1);
  names_ = synced_names_;
  for (std::size_t i = 0; i < survivor_count; ++i) {
    unsynced_changes_[i](names_);
  }
  unsynced_changes_.clear();
  synced_names_ = names_;
  for (const auto& [name, file] : names_) {
    file->content = file->synced = ContentAfterCrash(file->synced, file->content, random);
  }
  operations_left_ = kUnlimited;
  space_left_ = kUnlimited;
}

std::map<std::string, std::string> fake_disk::Files() const {
  std::map<std::string, std::string> files;
  for (const auto& [name, file] : names_) {
    files[name] = file->content;
  }
  return files;
}

void fake_disk::Replace(const std::string& name, std::string content) {
  names_[name] = std::make_shared<inode>(inode{content, content});
  synced_names_ = names_;
}

void fake_disk::Delete(const std::string& name) {
  names_.erase(name);
  synced_names_ = names_;
}

std::uint64_t fake_disk::Bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [name, file] : names_) {
    bytes += file->content.size();
  }
  return bytes;
}

}  // namespace corianderhoist
