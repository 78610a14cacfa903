#include "control/control_state.h"

#include "rules/rule_line.h"
#include "rules/rules_file.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <stdexcept>

namespace corianderhoist {
namespace {

// Bytes of rule lines in one reply to `config.fetch`.
constexpr std::size_t kMaxReplyRuleBytes = 4U << 20U;

struct retained_result {
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
  rules_revision revision;
  std::vector<config_change> changes;
  std::vector<home_move> moves;
  std::vector<retained_result> results;  ///< Oldest first.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.config);
    visit(2, self.revision);
    visit(3, self.changes);
    visit(4, self.moves);
    visit(5, self.results);
  }
};

std::size_t RuleBytes(const config_change& change) {
  std::size_t bytes = 0;
  for (const auto* lines : {&change.removed_rules, &change.added_rules}) {
    for (const std::string& line : *lines) {
      bytes += line.size();
    }
  }
  return bytes;
}

// Returns the workspaces declared by canonical rule lines, by name.
std::map<std::string, workspace_rule> ParseWorkspaces(const std::vector<std::string>& lines) {
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
        const auto stored = results_.find(command.change.change_id);
        if (stored != results_.end()) {
          return stored->second;
        }
        std::string encoded = Encode(Evaluate(command));
        RetainResult(command.change.change_id, encoded);
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
  if (request.base_version < rules_revision_.version) {
    change_result conflict;
    conflict.status = change_status::kVersionConflict;
    conflict.cause = error_kind::kVersionConflict;
    conflict.detail = "the rules are based on version " + std::to_string(request.base_version) +
                      ", but another change of rules came first";
    conflict.version = rules_revision_.version;
    conflict.changed_by = rules_revision_.changed_by;
    conflict.changed_at = rules_revision_.changed_at;
    return conflict;
  }
  if (request.base_version > config_.Version()) {
    return Refused(error_kind::kBadRequest, "base version " + std::to_string(request.base_version) +
                                                " does not exist; the newest is " +
                                                std::to_string(config_.Version()));
  }
  if (request.removed_rules.empty() && request.added_rules.empty()) {
    // There is nothing to commit: the current rules are the requested ones.
    change_result unchanged;
    unchanged.version = rules_revision_.version;
    unchanged.changed_by = rules_revision_.changed_by;
    unchanged.changed_at = rules_revision_.changed_at;
    unchanged.regions = command.regions;
    unchanged.detail = "the rules are the same already";
    return unchanged;
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

// A fingerprint does not identify its workspace, so the request may be blocked in any region.
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
  const std::vector<home_move> moves = FindHomeMoves(change);
  return Recover(
      [&]() -> result<change_result> {
        BOOST_LEAF_CHECK(config_.Apply(change, &regions));
        if (has_rules) {
          rules_revision_ = {change.version, change.changed_by, change.changed_at};
        }
        moves_.insert(moves_.end(), moves.begin(), moves.end());
        while (moves_.size() > kMaxRetainedMoves) {
          moves_.pop_front();
        }
        accepted.version = change.version;
        accepted.changed_by = change.changed_by;
        accepted.changed_at = change.changed_at;
        accepted.regions = change.regions;
        RetainChange(std::move(change));
        return std::move(accepted);
      },
      [](const error& failure) { return Refused(failure.kind, failure.detail); });
}

// Otherwise the keys would be valid again if the workspace were declared again later.
void control_state::WithdrawKeysOfRemovedWorkspaces(config_change& change) const {
  const auto removed = ParseWorkspaces(change.removed_rules);
  const auto added = ParseWorkspaces(change.added_rules);
  std::set<std::string> removed_workspaces;
  for (const auto& [name, rule] : removed) {
    if (!added.contains(name)) {
      removed_workspaces.insert(name);
    }
  }
  if (removed_workspaces.empty()) {
    return;
  }
  for (const auto& [hash, key] : config_.Keys()) {
    if (removed_workspaces.contains(key.workspace)) {
      change.keys.push_back(key);
      change.keys.back().is_withdrawn = true;
    }
  }
}

std::vector<home_move> control_state::FindHomeMoves(const config_change& change) const {
  std::vector<home_move> moves;
  const auto added = ParseWorkspaces(change.added_rules);
  for (const auto& [name, rule] : ParseWorkspaces(change.removed_rules)) {
    const auto after = added.find(name);
    if (after == added.end() || after->second.HomeRegion() != rule.HomeRegion()) {
      moves.push_back({change.version, name, rule.HomeRegion()});
    }
  }
  return moves;
}

void control_state::RetainChange(config_change change) {
  change_bytes_ += RuleBytes(change);
  changes_.push_back(std::move(change));
  while (!changes_.empty() &&
         (changes_.size() > kMaxRetainedChanges || change_bytes_ > kMaxRetainedRuleBytes)) {
    change_bytes_ -= RuleBytes(changes_.front());
    changes_.pop_front();
  }
}

void control_state::RetainResult(const std::string& change_id, std::string result) {
  results_.emplace(change_id, std::move(result));
  result_order_.push_back(change_id);
  if (result_order_.size() > kMaxRetainedResults) {
    results_.erase(result_order_.front());
    result_order_.pop_front();
  }
}

std::vector<home_move> control_state::HomeMovesOf(std::string_view workspace) const {
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
    bytes += RuleBytes(change);
    if (bytes > kMaxReplyRuleBytes && !reply.changes.empty()) {
      break;
    }
    reply.changes.push_back(change);
  }
  return reply;
}

std::string control_state::Snapshot() const {
  control_snapshot snapshot;
  snapshot.config = config_.Snapshot();
  snapshot.revision = rules_revision_;
  snapshot.changes.assign(changes_.begin(), changes_.end());
  snapshot.moves.assign(moves_.begin(), moves_.end());
  snapshot.results.reserve(result_order_.size());
  for (const std::string& change_id : result_order_) {
    snapshot.results.push_back({change_id, results_.at(change_id)});
  }
  return Encode(snapshot);
}

void control_state::Restore(std::string_view bytes) {
  // If a snapshot cannot be read, the state of this replica would diverge from its group's, so the
  // process must terminate.
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(snapshot, Decode<control_snapshot>(bytes));
        configuration config;
        BOOST_LEAF_CHECK(config.Restore(snapshot.config));
        *this = control_state();
        config_ = std::move(config);
        rules_revision_ = snapshot.revision;
        moves_.assign(snapshot.moves.begin(), snapshot.moves.end());
        for (config_change& change : snapshot.changes) {
          RetainChange(std::move(change));
        }
        for (retained_result& each : snapshot.results) {
          RetainResult(each.change_id, std::move(each.result));
        }
        return {};
      },
      [](const error& failure) {
        throw std::runtime_error("control snapshot cannot be restored: " + failure.detail);
      });
}

}  // namespace corianderhoist
