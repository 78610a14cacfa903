#include "control/control_state.h"

#include "rules/rule_line.h"
#include "rules/rules_file.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <stdexcept>

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxReplyBytes = 4U << 20U;

struct kept_result {
  std::string change_id;
  std::string result;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.change_id);
    visit(2, self.result);
  }
};

struct control_snapshot {
  config_snapshot config;
  rules_origin origin;
  std::vector<config_change> changes;
  std::vector<home_move> moves;
  std::vector<kept_result> results;  ///< Oldest first.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.config);
    visit(2, self.origin);
    visit(3, self.changes);
    visit(4, self.moves);
    visit(5, self.results);
  }
};

std::size_t BytesOf(const config_change& change) {
  std::size_t bytes = 0;
  for (const auto* lines : {&change.removed_rules, &change.added_rules}) {
    for (const std::string& line : *lines) {
      bytes += line.size();
    }
  }
  return bytes;
}

// The workspaces that canonical lines declare.
std::map<std::string, workspace_rule> WorkspacesIn(const std::vector<std::string>& lines) {
  std::map<std::string, workspace_rule> workspaces;
  for (const std::string& line : lines) {
    std::vector<rules_fault> faults;
    const auto parsed = ParseRuleLine(line, 1, faults);
    if (!parsed) {
      continue;
    }
    if (const auto* workspace = std::get_if<workspace_rule>(&parsed->value)) {
      workspaces.emplace(workspace->name, *workspace);
    }
  }
  return workspaces;
}

change_result Refused(error_kind cause, std::string detail) {
  change_result result;
  result.status = change_status::kRefused;
  result.cause = cause;
  result.detail = std::move(detail);
  return result;
}

}  // namespace

std::string control_state::Apply(std::uint64_t, std::string_view bytes) {
  return Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_AUTO(command, Decode<control_command>(bytes));
        const auto first = results_.find(command.change.change_id);
        if (first != results_.end()) {
          return first->second;
        }
        std::string encoded = Encode(Evaluate(command));
        Remember(command.change.change_id, encoded);
        return encoded;
      },
      [](const error& failure) { return Encode(Refused(failure.kind, failure.detail)); });
}

change_result control_state::Evaluate(const control_command& command) {
  switch (command.change.kind) {
    case change_kind::kApplyRules:
      return ApplyRules(command);
    case change_kind::kGiveKey:
      return GiveKey(command);
    case change_kind::kWithdrawKey:
      return WithdrawKey(command);
    case change_kind::kReleaseRequest:
      return ReleaseRequest(command);
  }
  return Refused(error_kind::kBadRequest, "unknown kind of change");
}

change_result control_state::ApplyRules(const control_command& command) {
  const change_request& request = command.change;
  if (request.base_version < rules_origin_.version) {
    change_result conflict;
    conflict.status = change_status::kVersionConflict;
    conflict.cause = error_kind::kVersionConflict;
    conflict.detail = "the rules are based on version " + std::to_string(request.base_version) +
                      ", but another change of rules came first";
    conflict.version = rules_origin_.version;
    conflict.changed_by = rules_origin_.changed_by;
    conflict.changed_at = rules_origin_.changed_at;
    return conflict;
  }
  if (request.base_version > config_.Version()) {
    return Refused(error_kind::kBadRequest, "base version " + std::to_string(request.base_version) +
                                                " does not exist; the newest is " +
                                                std::to_string(config_.Version()));
  }
  if (request.removed_rules.empty() && request.added_rules.empty()) {
    // Nothing to commit; what is in force is what was asked for.
    change_result same;
    same.version = rules_origin_.version;
    same.changed_by = rules_origin_.changed_by;
    same.changed_at = rules_origin_.changed_at;
    same.regions = command.regions;
    same.detail = "the rules are the same already";
    return same;
  }
  config_change change;
  change.removed_rules = request.removed_rules;
  change.added_rules = request.added_rules;
  change.regions = command.regions;
  WithdrawKeysOfRemovedWorkspaces(change);
  return Commit(command, std::move(change), {});
}

change_result control_state::GiveKey(const control_command& command) {
  const change_request& request = command.change;
  const auto workspace = config_.Rules().workspaces.find(request.workspace);
  if (workspace == config_.Rules().workspaces.end()) {
    return Refused(error_kind::kNotFound, "unknown workspace '" + request.workspace + "'");
  }
  const std::string key_id = KeyIdOf(request.key_hash);
  if (config_.FindKeyById(key_id) != nullptr) {
    return Refused(error_kind::kBadRequest, "a key with id " + key_id + " exists already");
  }
  config_change change;
  change.keys = {{key_id, request.key_hash, request.workspace, false}};
  change.regions = {workspace->second.HomeRegion()};
  change_result accepted;
  accepted.workspace = request.workspace;
  accepted.key_id = key_id;
  return Commit(command, std::move(change), std::move(accepted));
}

change_result control_state::WithdrawKey(const control_command& command) {
  const key_record* key = config_.FindKeyById(command.change.key_id);
  if (key == nullptr) {
    return Refused(error_kind::kNotFound, "no key in use has the id '" + command.change.key_id +
                                              "'; it may have been withdrawn already");
  }
  const auto workspace = config_.Rules().workspaces.find(key->workspace);
  assert(workspace != config_.Rules().workspaces.end() &&
         "keys are withdrawn together with their workspace");
  config_change change;
  change.keys = {*key};
  change.keys.front().is_withdrawn = true;
  change.regions = {workspace->second.HomeRegion()};
  change_result accepted;
  accepted.workspace = key->workspace;
  accepted.key_id = key->key_id;
  return Commit(command, std::move(change), std::move(accepted));
}

// The fingerprint does not tell its workspace, so any region may hold the block.
change_result control_state::ReleaseRequest(const control_command& command) {
  config_change change;
  change.released_requests = {command.change.fingerprint};
  change.regions = command.regions;
  return Commit(command, std::move(change), {});
}

change_result control_state::Commit(const control_command& command,
                                    config_change change,
                                    change_result accepted) {
  change.version = config_.Version() + 1;
  change.changed_by = command.changed_by;
  change.changed_at = command.changed_at;
  const bool has_rules = !change.removed_rules.empty() || !change.added_rules.empty();
  const std::set<std::string> regions(command.regions.begin(), command.regions.end());
  const std::vector<home_move> moves = MovesBy(change);
  return Recover(
      [&]() -> result<change_result> {
        BOOST_LEAF_CHECK(config_.Apply(change, &regions));
        if (has_rules) {
          rules_origin_ = {change.version, change.changed_by, change.changed_at};
        }
        moves_.insert(moves_.end(), moves.begin(), moves.end());
        while (moves_.size() > kKeptMoves) {
          moves_.pop_front();
        }
        accepted.version = change.version;
        accepted.changed_by = change.changed_by;
        accepted.changed_at = change.changed_at;
        accepted.regions = change.regions;
        Keep(std::move(change));
        return std::move(accepted);
      },
      [](const error& failure) { return Refused(failure.kind, failure.detail); });
}

// A workspace that is declared again later must not find its former keys in use.
void control_state::WithdrawKeysOfRemovedWorkspaces(config_change& change) const {
  const auto removed = WorkspacesIn(change.removed_rules);
  const auto added = WorkspacesIn(change.added_rules);
  std::set<std::string> gone;
  for (const auto& [name, rule] : removed) {
    if (!added.contains(name)) {
      gone.insert(name);
    }
  }
  if (gone.empty()) {
    return;
  }
  for (const auto& [hash, key] : config_.Keys()) {
    if (gone.contains(key.workspace)) {
      change.keys.push_back(key);
      change.keys.back().is_withdrawn = true;
    }
  }
}

std::vector<home_move> control_state::MovesBy(const config_change& change) const {
  std::vector<home_move> moves;
  const auto added = WorkspacesIn(change.added_rules);
  for (const auto& [name, rule] : WorkspacesIn(change.removed_rules)) {
    const auto after = added.find(name);
    if (after == added.end() || after->second.HomeRegion() != rule.HomeRegion()) {
      moves.push_back({change.version, name, rule.HomeRegion()});
    }
  }
  return moves;
}

void control_state::Keep(config_change change) {
  change_bytes_ += BytesOf(change);
  changes_.push_back(std::move(change));
  while (!changes_.empty() &&
         (changes_.size() > kKeptChanges || change_bytes_ > kKeptChangeBytes)) {
    change_bytes_ -= BytesOf(changes_.front());
    changes_.pop_front();
  }
}

void control_state::Remember(const std::string& change_id, std::string result) {
  results_.emplace(change_id, std::move(result));
  result_order_.push_back(change_id);
  if (result_order_.size() > kKeptResults) {
    results_.erase(result_order_.front());
    result_order_.pop_front();
  }
}

std::vector<home_move> control_state::MovesOf(std::string_view workspace) const {
  std::vector<home_move> found;
  std::copy_if(moves_.begin(), moves_.end(), std::back_inserter(found),
               [&](const home_move& move) { return move.workspace == workspace; });
  return found;
}

const config_change* control_state::FindChange(std::uint64_t version) const {
  if (changes_.empty() || version < changes_.front().version || version > config_.Version()) {
    return nullptr;
  }
  return &changes_[version - changes_.front().version];
}

config_fetch_reply control_state::ChangesAfter(std::uint64_t version) const {
  config_fetch_reply reply;
  if (version >= config_.Version()) {
    return reply;
  }
  if (FindChange(version + 1) == nullptr) {
    reply.snapshot = config_.Snapshot();
    return reply;
  }
  std::size_t bytes = 0;
  for (std::uint64_t next = version + 1; next <= config_.Version(); ++next) {
    const config_change& change = *FindChange(next);
    bytes += BytesOf(change);
    if (bytes > kMaxReplyBytes && !reply.changes.empty()) {
      break;
    }
    reply.changes.push_back(change);
  }
  return reply;
}

std::string control_state::Snapshot() const {
  control_snapshot snapshot;
  snapshot.config = config_.Snapshot();
  snapshot.origin = rules_origin_;
  snapshot.changes.assign(changes_.begin(), changes_.end());
  snapshot.moves.assign(moves_.begin(), moves_.end());
  snapshot.results.reserve(result_order_.size());
  for (const std::string& change_id : result_order_) {
    snapshot.results.push_back({change_id, results_.at(change_id)});
  }
  return Encode(snapshot);
}

void control_state::Restore(std::string_view bytes) {
  // A snapshot that cannot be read would leave this replica with another state than its group, so
  // the process must not go on.
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(snapshot, Decode<control_snapshot>(bytes));
        configuration config;
        BOOST_LEAF_CHECK(config.Restore(snapshot.config));
        *this = control_state();
        config_ = std::move(config);
        rules_origin_ = snapshot.origin;
        moves_.assign(snapshot.moves.begin(), snapshot.moves.end());
        for (config_change& change : snapshot.changes) {
          Keep(std::move(change));
        }
        for (kept_result& each : snapshot.results) {
          Remember(each.change_id, std::move(each.result));
        }
        return {};
      },
      [](const error& failure) {
        throw std::runtime_error("control snapshot cannot be restored: " + failure.detail);
      });
}

}  // namespace corianderhoist
