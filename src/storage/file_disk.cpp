#include "storage/file_disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace corianderhoist {
namespace {

constexpr int kFileMode = 0600;
constexpr std::size_t kReadBufferBytes = 1 << 16;

auto FailWithErrno(const std::string& operation, const std::filesystem::path& path) {
  return Fail(error_kind::kStorageFailed,
              operation + " " + path.string() + ": " + std::strerror(errno));
}

}  // namespace

result<void> ReplaceFile(disk& files, const std::string& name, std::string_view bytes) {
  const std::string temporary = name + std::string(kTemporarySuffix);
  BOOST_LEAF_CHECK(files.Append(temporary, {}));
  BOOST_LEAF_CHECK(files.Truncate(temporary, 0));
  BOOST_LEAF_CHECK(files.Append(temporary, bytes));
  BOOST_LEAF_CHECK(files.Sync(temporary));
  BOOST_LEAF_CHECK(files.Rename(temporary, name));
  return files.SyncFolder();
}

result<std::unique_ptr<file_disk>> file_disk::Open(const std::filesystem::path& folder) {
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  if (failure) {
    return Fail(error_kind::kStorageFailed, "create " + folder.string() + ": " + failure.message());
  }
  std::unique_ptr<file_disk> opened(new file_disk(folder));
  opened->folder_descriptor_ = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (opened->folder_descriptor_ < 0) {
    return FailWithErrno("open", folder);
  }
  if (::flock(opened->folder_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    return FailWithErrno("lock (is another process using it?)", folder);
  }
  return opened;
}

file_disk::~file_disk() {
  for (const auto& [name, descriptor] : open_files_) {
    ::close(descriptor);
  }
  if (folder_descriptor_ >= 0) {
    ::close(folder_descriptor_);
  }
}

result<std::vector<std::string>> file_disk::List() {
  std::vector<std::string> names;
  std::error_code failure;
  for (std::filesystem::directory_iterator item(folder_, failure), end; !failure && item != end;
       item.increment(failure)) {
    if (item->is_regular_file(failure)) {
      names.push_back(item->path().filename().string());
    }
  }
  if (failure) {
    return Fail(error_kind::kStorageFailed, "list " + folder_.string() + ": " + failure.message());
  }
  return names;
}

result<std::string> file_disk::Read(const std::string& name) {
  const int descriptor = ::open((folder_ / name).c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return FailWithErrno("open", folder_ / name);
  }
  std::string content;
  std::array<char, kReadBufferBytes> part{};
  ssize_t count = 0;
  while ((count = ::read(descriptor, part.data(), part.size())) > 0 ||
         (count < 0 && errno == EINTR)) {
    content.append(part.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  const int read_errno = errno;
  ::close(descriptor);
  if (count < 0) {
    errno = read_errno;
    return FailWithErrno("read", folder_ / name);
  }
  return content;
}

result<int> file_disk::OpenForAppend(const std::string& name) {
  if (const auto found = open_files_.find(name); found != open_files_.end()) {
    return found->second;
  }
  const int descriptor =
      ::open((folder_ / name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return FailWithErrno("open", folder_ / name);
  }
  open_files_[name] = descriptor;
  return descriptor;
}

void file_disk::CloseFile(const std::string& name) {
  if (const auto found = open_files_.find(name); found != open_files_.end()) {
    ::close(found->second);
    open_files_.erase(found);
  }
}

result<void> file_disk::Append(const std::string& name, std::string_view bytes) {
  BOOST_LEAF_AUTO(descriptor, OpenForAppend(name));
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return FailWithErrno("write", folder_ / name);
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

result<void> file_disk::Truncate(const std::string& name, std::uint64_t size) {
  BOOST_LEAF_AUTO(descriptor, OpenForAppend(name));
  if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) {
    return FailWithErrno("truncate", folder_ / name);
  }
  return {};
}

result<void> file_disk::Sync(const std::string& name) {
  BOOST_LEAF_AUTO(descriptor, OpenForAppend(name));
  if (::fdatasync(descriptor) != 0) {
    return FailWithErrno("sync", folder_ / name);
  }
  return {};
}

result<void> file_disk::Rename(const std::string& from, const std::string& to) {
  CloseFile(from);
  CloseFile(to);
  if (::rename((folder_ / from).c_str(), (folder_ / to).c_str()) != 0) {
    return FailWithErrno("rename", folder_ / from);
  }
  return {};
}

result<void> file_disk::Remove(const std::string& name) {
  CloseFile(name);
  if (::unlink((folder_ / name).c_str()) != 0) {
    return FailWithErrno("remove", folder_ / name);
  }
  return {};
}

result<void> file_disk::SyncFolder() {
  if (::fsync(folder_descriptor_) != 0) {
    return FailWithErrno("sync", folder_);
  }
  return {};
}

}  // namespace corianderhoist
