/// Checked reading of JSON settings: every fault of a document is collected into one report.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <initializer_list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// The faults found so far, one text per fault, each with the path of its value.
struct settings_faults {
  std::vector<std::string> texts;
  std::set<endpoint> listen_addresses;  ///< Addresses that must not repeat.
};

/// Reads one JSON object. Each accessor records a fault (wrong type, unit, range, missing value)
/// and then returns the fallback, so that reading goes on. `Finish` reports keys that nothing read.
class settings_reader {
 public:
  settings_reader(QJsonObject object, std::string path, std::shared_ptr<settings_faults> faults);

  /// Reads a file of at most 16 MiB. Fails with `kInvalidSettings` when it is missing or no JSON
  /// object.
  static result<settings_reader> FromFile(const std::filesystem::path& file);
  /// Reads a document. Fails with `kInvalidSettings`.
  static result<settings_reader> FromText(std::string_view text);

  /// A text; required when `fallback` is empty.
  std::string Text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  /// One of `words`.
  std::string Word(std::string_view key,
                   std::initializer_list<std::string_view> words,
                   std::optional<std::string> fallback = std::nullopt);
  /// An integer in [lowest, highest].
  std::int64_t Integer(std::string_view key,
                       std::int64_t lowest,
                       std::int64_t highest,
                       std::optional<std::int64_t> fallback = std::nullopt);
  bool Flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
  /// A duration text with a unit, in [lowest, highest].
  std::chrono::microseconds Duration(
      std::string_view key,
      std::chrono::microseconds lowest,
      std::chrono::microseconds highest,
      std::optional<std::chrono::microseconds> fallback = std::nullopt);
  /// "IP:PORT" of another process.
  endpoint Address(std::string_view key);
  /// "IP:PORT" to listen on; must not repeat in the document unless the port is 0.
  endpoint ListenAddress(std::string_view key);
  /// Path of a file that must exist and be readable.
  std::filesystem::path ExistingFile(std::string_view key);
  /// Path of a folder, which need not exist yet.
  std::filesystem::path Folder(std::string_view key);

  bool Has(std::string_view key) const;
  /// The object at `key`; an empty one, with a fault, when it is missing.
  settings_reader Object(std::string_view key);
  /// The objects in the array at `key`; a missing array is a fault unless `is_optional`.
  std::vector<settings_reader> Objects(std::string_view key, bool is_optional = false);
  /// The texts in the array at `key`.
  std::vector<std::string> Texts(std::string_view key, bool is_optional = false);

  /// Records a fault found by the caller, for the value at `key`.
  void Fault(std::string_view key, std::string_view text);
  /// Records a fault for each key of this object that nothing has read.
  void Finish();
  /// Succeeds without faults; fails with `kInvalidSettings` and all faults, one per line.
  result<void> Report() const;

 private:
  std::optional<QJsonValue> Take(std::string_view key, bool is_required);
  std::string PathOf(std::string_view key) const;

  QJsonObject object_;
  std::string path_;
  std::shared_ptr<settings_faults> faults_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace corianderhoist
