#include "control/configuration.h"

#include "rules/rules_file.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::size_t kKeyIdDigits = 14;

bool ChangesRouting(const std::vector<std::string>& lines) {
  return std::any_of(lines.begin(), lines.end(),
                     [](const std::string& line) { return !line.starts_with("workspace "); });
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::size_t size = 0;
  for (const std::string& line : lines) {
    size += line.size() + 1;
  }
  std::string text;
  text.reserve(size);
  for (const std::string& line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

std::uint8_t HexValue(char digit) {
  return static_cast<std::uint8_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

}  // namespace

std::string KeyIdOf(const digest& key_hash) {
  return ToHex(key_hash).substr(0, kKeyIdDigits);
}

const key_record* configuration::FindKey(const digest& key_hash) const {
  const auto found = keys_.find(key_hash);
  return found == keys_.end() ? nullptr : &found->second;
}

const key_record* configuration::FindKeyById(std::string_view key_id) const {
  const bool is_hex = std::all_of(key_id.begin(), key_id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (key_id.size() != kKeyIdDigits || !is_hex) {
    return nullptr;
  }
  digest lowest{};
  for (std::size_t i = 0; i < kKeyIdDigits / 2; ++i) {
    lowest[i] =
        static_cast<std::uint8_t>(HexValue(key_id[2 * i]) << 4 | HexValue(key_id[2 * i + 1]));
  }
  const auto found = keys_.lower_bound(lowest);
  return found != keys_.end() && found->second.key_id == key_id ? &found->second : nullptr;
}

result<void> configuration::Apply(const config_change& change,
                                  const std::set<std::string>* known_regions) {
  if (change.version != version_ + 1) {
    return Fail(error_kind::kVersionConflict,
                "change to version " + std::to_string(change.version) +
                    " does not follow version " + std::to_string(version_));
  }
  if (!change.removed_rules.empty() || !change.added_rules.empty()) {
    BOOST_LEAF_CHECK(
        ApplyDifference(rules_, {change.removed_rules, change.added_rules}, known_regions));
  }
  for (const key_record& key : change.keys) {
    if (key.is_withdrawn) {
      keys_.erase(key.key_hash);
    } else {
      keys_.insert_or_assign(key.key_hash, key);
    }
  }
  version_ = change.version;
  if (ChangesRouting(change.removed_rules) || ChangesRouting(change.added_rules)) {
    routing_version_ = version_;
  }
  return {};
}

config_snapshot configuration::Snapshot() const {
  config_snapshot snapshot{version_, routing_version_, CanonicalLines(rules_), {}};
  snapshot.keys.reserve(keys_.size());
  for (const auto& [hash, key] : keys_) {
    snapshot.keys.push_back(key);
  }
  return snapshot;
}

result<void> configuration::Restore(const config_snapshot& snapshot) {
  if (snapshot.version < version_) {
    return Fail(error_kind::kVersionConflict,
                "snapshot of version " + std::to_string(snapshot.version) +
                    " is older than version " + std::to_string(version_));
  }
  auto parsed = ParseRules(JoinLines(snapshot.rules));
  if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed)) {
    return Fail(error_kind::kInvalidRules, FormatFault("snapshot", faults->front()));
  }
  chunked_map<digest, key_record> keys;
  for (const key_record& key : snapshot.keys) {
    if (!key.is_withdrawn) {
      keys.emplace(key.key_hash, key);
    }
  }
  rules_ = std::move(std::get<rule_set>(parsed));
  keys_ = std::move(keys);
  version_ = snapshot.version;
  routing_version_ = snapshot.routing_version;
  return {};
}

}  // namespace corianderhoist
