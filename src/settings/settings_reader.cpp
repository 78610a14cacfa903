#include "settings/settings_reader.h"

#include "base/duration.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>

namespace corianderhoist {
namespace {

constexpr std::uintmax_t kMaxSettingsFileBytes = 16U << 20U;

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

}  // namespace

settings_reader::settings_reader(QJsonObject object,
                                 std::string path,
                                 std::shared_ptr<settings_faults> faults)
    : object_(std::move(object)), path_(std::move(path)), faults_(std::move(faults)) {}

result<settings_reader> settings_reader::FromFile(const std::filesystem::path& file) {
  std::error_code status;
  const std::uintmax_t size = std::filesystem::file_size(file, status);
  if (status) {
    return Fail(error_kind::kInvalidSettings,
                "cannot read settings file " + Quoted(file.string()) + ": " + status.message());
  }
  if (size > kMaxSettingsFileBytes) {
    return Fail(error_kind::kInvalidSettings,
                "settings file " + Quoted(file.string()) + " is larger than 16 MiB");
  }
  std::ifstream stream(file, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  return FromText(text);
}

result<settings_reader> settings_reader::FromText(std::string_view text) {
  QJsonParseError status;
  const QJsonDocument document = QJsonDocument::fromJson(
      QByteArray(text.data(), static_cast<qsizetype>(text.size())), &status);
  if (status.error != QJsonParseError::NoError) {
    return Fail(error_kind::kInvalidSettings, "settings are not valid JSON at byte " +
                                                  std::to_string(status.offset) + ": " +
                                                  status.errorString().toStdString());
  }
  if (!document.isObject()) {
    return Fail(error_kind::kInvalidSettings, "settings must be a JSON object");
  }
  return settings_reader(document.object(), "", std::make_shared<settings_faults>());
}

std::string settings_reader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void settings_reader::AddFault(std::string_view key, std::string_view text) {
  faults_->texts.push_back(PathOf(key) + ": " + std::string(text));
}

std::optional<QJsonValue> settings_reader::FindValue(std::string_view key, bool is_required) {
  read_keys_.insert(std::string(key));
  const auto found = object_.find(ToQString(key));
  if (found != object_.end()) {
    return *found;
  }
  if (is_required) {
    AddFault(key, "is missing");
  }
  return std::nullopt;
}

std::string settings_reader::String(std::string_view key, std::optional<std::string> fallback) {
  const auto value = FindValue(key, !fallback.has_value());
  if (!value) {
    return fallback.value_or("");
  }
  if (!value->isString() || value->toString().isEmpty()) {
    AddFault(key, "must be a text that is not empty");
    return fallback.value_or("");
  }
  return value->toString().toStdString();
}

std::string settings_reader::OneOf(std::string_view key,
                                   std::initializer_list<std::string_view> words,
                                   std::optional<std::string> fallback) {
  const std::size_t faults_before = faults_->texts.size();
  std::string word = String(key, std::move(fallback));
  if (faults_->texts.size() == faults_before &&
      std::find(words.begin(), words.end(), word) == words.end()) {
    std::string list;
    for (const std::string_view candidate : words) {
      list += (list.empty() ? "" : ", ") + std::string(candidate);
    }
    AddFault(key, Quoted(word) + " is not one of " + list);
  }
  return word;
}

std::int64_t settings_reader::Integer(std::string_view key,
                                      std::int64_t lowest,
                                      std::int64_t highest,
                                      std::optional<std::int64_t> fallback) {
  const auto value = FindValue(key, !fallback.has_value());
  if (!value) {
    return fallback.value_or(lowest);
  }
  const double number = value->toDouble(std::nan(""));
  if (!value->isDouble() || number != std::floor(number)) {
    AddFault(key, "must be an integer");
    return fallback.value_or(lowest);
  }
  if (number < static_cast<double>(lowest) || number > static_cast<double>(highest)) {
    AddFault(key, "must be between " + std::to_string(lowest) + " and " + std::to_string(highest));
    return fallback.value_or(lowest);
  }
  return static_cast<std::int64_t>(number);
}

bool settings_reader::Boolean(std::string_view key, std::optional<bool> fallback) {
  const auto value = FindValue(key, !fallback.has_value());
  if (!value) {
    return fallback.value_or(false);
  }
  if (!value->isBool()) {
    AddFault(key, "must be true or false");
  }
  return value->toBool(fallback.value_or(false));
}

std::chrono::microseconds settings_reader::Duration(
    std::string_view key,
    std::chrono::microseconds lowest,
    std::chrono::microseconds highest,
    std::optional<std::chrono::microseconds> fallback) {
  const auto value = FindValue(key, !fallback.has_value());
  const std::chrono::microseconds default_value = fallback.value_or(lowest);
  if (!value) {
    return default_value;
  }
  if (!value->isString()) {
    AddFault(key, "must be a duration text with a unit, as in \"250ms\"");
    return default_value;
  }
  return Recover(
      [&]() -> result<std::chrono::microseconds> {
        BOOST_LEAF_AUTO(duration, ParseDuration(value->toString().toStdString()));
        if (duration < lowest || duration > highest) {
          AddFault(key,
                   "must be between " + FormatDuration(lowest) + " and " + FormatDuration(highest));
          return default_value;
        }
        return duration;
      },
      [&](const error& failure) {
        AddFault(key, failure.detail);
        return default_value;
      });
}

endpoint settings_reader::Address(std::string_view key) {
  const std::size_t faults_before = faults_->texts.size();
  const std::string text = String(key);
  if (faults_->texts.size() != faults_before) {
    return {};
  }
  return Recover([&] { return ParseEndpoint(text); },
                 [&](const error& failure) {
                   AddFault(key, failure.detail);
                   return endpoint{};
                 });
}

endpoint settings_reader::ListenAddress(std::string_view key) {
  endpoint address = Address(key);
  if (address.port != 0 && !faults_->listen_addresses.insert(address).second) {
    AddFault(key, "address " + FormatEndpoint(address) + " is used twice");
  }
  return address;
}

std::filesystem::path settings_reader::ExistingFile(std::string_view key) {
  const std::size_t faults_before = faults_->texts.size();
  std::filesystem::path file = String(key);
  if (faults_->texts.size() == faults_before && !std::ifstream(file).good()) {
    AddFault(key, "file " + Quoted(file.string()) + " cannot be read");
  }
  return file;
}

std::filesystem::path settings_reader::Directory(std::string_view key) {
  std::filesystem::path folder = String(key);
  std::error_code status;
  if (std::filesystem::exists(folder, status) && !std::filesystem::is_directory(folder, status)) {
    AddFault(key, Quoted(folder.string()) + " is not a directory");
  }
  return folder;
}

bool settings_reader::Has(std::string_view key) const {
  return object_.contains(ToQString(key));
}

settings_reader settings_reader::Object(std::string_view key) {
  const auto value = FindValue(key, true);
  if (value && !value->isObject()) {
    AddFault(key, "must be an object");
  }
  return {value ? value->toObject() : QJsonObject(), PathOf(key), faults_};
}

std::vector<settings_reader> settings_reader::Objects(std::string_view key, bool is_optional) {
  const auto value = FindValue(key, !is_optional);
  std::vector<settings_reader> readers;
  if (!value) {
    return readers;
  }
  if (!value->isArray()) {
    AddFault(key, "must be an array of objects");
    return readers;
  }
  for (const QJsonValue& element : value->toArray()) {
    const std::string name = std::string(key) + "[" + std::to_string(readers.size()) + "]";
    if (!element.isObject()) {
      AddFault(name, "must be an object");
    }
    readers.emplace_back(element.toObject(), PathOf(name), faults_);
  }
  return readers;
}

std::vector<std::string> settings_reader::Strings(std::string_view key, bool is_optional) {
  const auto value = FindValue(key, !is_optional);
  std::vector<std::string> texts;
  if (!value) {
    return texts;
  }
  if (!value->isArray()) {
    AddFault(key, "must be an array of strings");
    return texts;
  }
  for (const QJsonValue& element : value->toArray()) {
    if (!element.isString()) {
      AddFault(key, "must contain only strings");
      continue;
    }
    texts.push_back(element.toString().toStdString());
  }
  return texts;
}

void settings_reader::CheckUnknownKeys() {
  for (const QString& key : object_.keys()) {
    if (!read_keys_.contains(key.toStdString())) {
      AddFault(key.toStdString(), "is an unknown key");
    }
  }
}

result<void> settings_reader::Report() const {
  if (faults_->texts.empty()) {
    return {};
  }
  std::string report = std::to_string(faults_->texts.size()) + " fault(s) in the settings:";
  for (const std::string& text : faults_->texts) {
    report += "\n  " + text;
  }
  return Fail(error_kind::kInvalidSettings, std::move(report));
}

}  // namespace corianderhoist
