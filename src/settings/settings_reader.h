/// Validating reader of JSON settings that reports all faults of a document at once.
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

/// The faults found so far, one message per fault, each prefixed with the path of its value.
struct settings_faults {
  std::vector<std::string> texts;
  std::set<endpoint> listen_addresses;  ///< To detect duplicates.
};

/// Reads one JSON object. For an invalid value (wrong type, unit or range, or missing), an accessor
/// records a fault and returns the fallback, so that reading continues. `CheckUnknownKeys` reports
/// unknown keys.
class settings_reader {
 public:
  settings_reader(QJsonObject object, std::string path, std::shared_ptr<settings_faults> faults);

  /// Reads a file of at most 16 MiB. Fails with `kInvalidSettings` if it cannot be read or is not a
  /// JSON object.
  static result<settings_reader> FromFile(const std::filesystem::path& file);
  /// Parses a JSON document. Fails with `kInvalidSettings` if it is not a JSON object.
  static result<settings_reader> FromText(std::string_view text);

  /// A non-empty string; required if there is no `fallback`. The same holds for the other
  /// accessors with a fallback.
  std::string String(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  /// A string that must be one of `words`.
  std::string OneOf(std::string_view key,
                    std::initializer_list<std::string_view> words,
                    std::optional<std::string> fallback = std::nullopt);
  /// An integer in [lowest, highest].
  std::int64_t Integer(std::string_view key,
                       std::int64_t lowest,
                       std::int64_t highest,
                       std::optional<std::int64_t> fallback = std::nullopt);
  bool Boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
  /// A duration string with a unit, in [lowest, highest].
  std::chrono::microseconds Duration(
      std::string_view key,
      std::chrono::microseconds lowest,
      std::chrono::microseconds highest,
      std::optional<std::chrono::microseconds> fallback = std::nullopt);
  /// "IP:PORT" of another process.
  endpoint Address(std::string_view key);
  /// "IP:PORT" to listen on; must be unique within the document unless the port is 0.
  endpoint ListenAddress(std::string_view key);
  /// Path of a file that must exist and be readable.
  std::filesystem::path ExistingFile(std::string_view key);
  /// Path of a directory, which need not exist yet.
  std::filesystem::path Directory(std::string_view key);

  bool Has(std::string_view key) const;
  /// The object at `key`. Records a fault and returns an empty object if it is missing.
  settings_reader Object(std::string_view key);
  /// The objects in the array at `key`; a missing array is a fault unless `is_optional`.
  std::vector<settings_reader> Objects(std::string_view key, bool is_optional = false);
  /// The strings in the array at `key`; a missing array is a fault unless `is_optional`.
  std::vector<std::string> Strings(std::string_view key, bool is_optional = false);

  /// Records a fault that the caller found in the value at `key`.
  void AddFault(std::string_view key, std::string_view text);
  /// Records a fault for each key of this object that no accessor has read.
  void CheckUnknownKeys();
  /// Succeeds if there are no faults. Otherwise fails with `kInvalidSettings` and lists all faults,
  /// one per line.
  result<void> Report() const;

 private:
  std::optional<QJsonValue> FindValue(std::string_view key, bool is_required);
  std::string PathOf(std::string_view key) const;

  QJsonObject object_;
  std::string path_;
  std::shared_ptr<settings_faults> faults_;
  std::set<std::string, std::less<>> read_keys_;  ///< Keys that an accessor has read.
};

}  // namespace corianderhoist
