#include "coordinator/region_state.h"

#include "base/log.h"
#include "coordinator/crash_registry.h"
#include "coordinator/token_bucket_table.h"

#include <algorithm>
#include <stdexcept>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSnapshotFormat = 1;
// The design load is 32,000 configuration changes per day. An entry VM that is more than a few
// minutes of changes behind fetches a snapshot instead.
constexpr std::size_t kMaxRetainedChanges = 1000;
constexpr std::size_t kMaxEjections = 10'000;

// Returns the workspace that a canonical rule line declares, if it is a workspace rule.
std::optional<std::string> WorkspaceOf(std::string_view line) {
  constexpr std::string_view kKind = "workspace ";
  if (!line.starts_with(kKind)) {
    return std::nullopt;
  }
  line.remove_prefix(kKind.size());
  return std::string(line.substr(0, line.find(' ')));
}

rate_limit LimitOf(const workspace_rule& rule) {
  return {rule.rate_per_second, rule.burst};
}

}  // namespace

std::string region_state::Apply(std::uint64_t index, std::string_view bytes) {
  region_result outcome;
  config_effects changed;
  bool has_config = false;
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(command, Decode<region_command>(bytes));
        const std::unique_lock guard(lock_);
        applied_index_ = index;
        time_ += std::max(command.elapsed, milliseconds(0));
        Expire();
        ApplyRecords(command, outcome);
        ApplyHealth(command);
        if (command.config) {
          changed = ApplyConfig(*command.config, outcome);
          has_config = true;
        }
        outcome.config_version = config_.Version();
        return {};
      },
      [&](const error& failure) {
        // Decoding is deterministic, so all members skip the same entry.
        log_event(log_level::kError, "region_command_skipped")
            .Field("index", index)
            .Field("cause", failure.detail);
        outcome.config_fault = failure.detail;
      });
  if (has_config && on_config_) {
    on_config_(changed.first, changed.second);
  }
  return Encode(outcome);
}

void region_state::Expire() {
  records_.Expire(time_);
  std::erase_if(blocks_, [&](const auto& each) { return time_ - each.second >= kCrashRetention; });
}

void region_state::ApplyRecords(const region_command& command, region_result& outcome) {
  for (const record_begin& each : command.begins) {
    begin_result begun;
    begun.verdict = records_.Begin(each.workspace, each.key, each.body_digest, each.request_id,
                                   each.attempt, time_);
    if (begun.verdict == record_verdict::kReplay) {
      begun.answer = records_.Find(each.workspace, each.key)->answer;
    }
    outcome.begins.push_back(std::move(begun));
  }
  for (const record_end& each : command.ends) {
    switch (each.ending) {
      case record_ending::kFinished:
        records_.Finish(each.workspace, each.key, each.request_id, each.answer);
        break;
      case record_ending::kAbandoned:
        records_.Abandon(each.workspace, each.key, each.request_id, each.attempt);
        break;
      case record_ending::kUnknown:
        records_.MarkUnknown(each.workspace, each.key, each.request_id);
        break;
    }
  }
}

void region_state::ApplyHealth(const region_command& command) {
  for (const ejection_change& each : command.ejections) {
    const std::pair key(each.subject.service,
                        upstream_id{each.subject.upstream, each.subject.incarnation});
    if (!each.is_ejected) {
      ejections_.erase(key);
    } else if (ejections_.size() < kMaxEjections || ejections_.contains(key)) {
      ejections_[key] = each.subject;
    }
  }
  for (const digest& each : command.blocks) {
    blocks_[each] = time_;
  }
  for (const guarantee_change& each : command.guarantees) {
    guarantees_[each.workspace] = each.tokens;
  }
}

// A new limit must not raise the number of tokens that a new leader may assume. A workspace that
// moves into this region may have spent its tokens in its previous region, so it starts with none.
void region_state::AdjustGuarantee(const std::string& workspace,
                                   const workspace_rule& before,
                                   const workspace_rule& rule,
                                   std::vector<limit_change>& changed) {
  const bool is_moved = before.HomeRegion() != rule.HomeRegion();
  if (!is_moved && LimitOf(before) == LimitOf(rule)) {
    return;
  }
  const auto found = guarantees_.find(workspace);
  const std::uint64_t current =
      found == guarantees_.end() ? DefaultGuarantee(LimitOf(before)) : found->second;
  guarantees_[workspace] = is_moved ? 0 : std::min(current, DefaultGuarantee(LimitOf(rule)));
  changed.push_back({workspace, rule.rate_per_second, rule.burst});
}

std::vector<limit_change> region_state::AdjustGuarantees(const rule_set& previous,
                                                         const std::set<std::string>& affected) {
  std::vector<limit_change> changed;
  for (const std::string& workspace : affected) {
    const auto before = previous.workspaces.find(workspace);
    const auto rule = config_.Rules().workspaces.find(workspace);
    if (before == previous.workspaces.end()) {
      continue;
    }
    if (rule == config_.Rules().workspaces.end()) {
      guarantees_[workspace] = 0;  // A workspace of this name may be added again.
    } else {
      AdjustGuarantee(workspace, before->second, rule->second, changed);
    }
  }
  return changed;
}

region_state::config_effects region_state::ApplyConfig(const config_fetch_reply& update,
                                                       region_result& outcome) {
  const rule_set previous = config_.Rules();
  const bool is_first = config_.Version() == 0;
  std::set<std::string> affected;
  config_effects changed;
  Recover(
      [&]() -> result<void> {
        if (update.snapshot && update.snapshot->version > config_.Version()) {
          BOOST_LEAF_CHECK(config_.Restore(*update.snapshot));
          changes_.clear();
          for (const auto& [workspace, rule] : previous.workspaces) {
            affected.insert(workspace);
          }
        }
        for (const config_change& change : update.changes) {
          if (change.version <= config_.Version()) {
            continue;  // Already applied; versions are monotonic.
          }
          BOOST_LEAF_CHECK(config_.Apply(change));
          RecordChange(change, affected, changed.second);
        }
        return {};
      },
      [&](const error& failure) { outcome.config_fault = failure.detail; });
  if (!is_first) {
    changed.first = AdjustGuarantees(previous, affected);
  }
  return changed;
}

void region_state::RecordChange(const config_change& change,
                                std::set<std::string>& affected,
                                std::vector<digest>& released) {
  for (const digest& each : change.released_requests) {
    blocks_.erase(each);
    released.push_back(each);
  }
  for (const auto* lines : {&change.removed_rules, &change.added_rules}) {
    for (const std::string& line : *lines) {
      if (const std::optional<std::string> workspace = WorkspaceOf(line)) {
        affected.insert(*workspace);
      }
    }
  }
  changes_.push_back(change);
  if (changes_.size() > kMaxRetainedChanges) {
    changes_.pop_front();
  }
}

std::uint64_t region_state::ConfigVersion() const {
  const std::shared_lock guard(lock_);
  return config_.Version();
}

config_fetch_reply region_state::ConfigAfter(std::uint64_t version) const {
  const std::shared_lock guard(lock_);
  config_fetch_reply reply;
  if (version >= config_.Version()) {
    return reply;
  }
  if (changes_.empty() || changes_.front().version > version + 1) {
    reply.snapshot = config_.Snapshot();
    return reply;
  }
  for (const config_change& change : changes_) {
    if (change.version > version) {
      reply.changes.push_back(change);
    }
  }
  return reply;
}

bool region_state::IsBlocked(const digest& fingerprint) const {
  const std::shared_lock guard(lock_);
  return blocks_.contains(fingerprint);
}

begin_result region_state::CheckRecord(const record_begin& request) const {
  const std::shared_lock guard(lock_);
  begin_result checked;
  checked.verdict = records_.Check(request.workspace, request.key, request.body_digest,
                                   request.request_id, time_);
  if (checked.verdict == record_verdict::kReplay) {
    checked.answer = records_.Find(request.workspace, request.key)->answer;
  }
  return checked;
}

std::optional<std::uint64_t> region_state::Guarantee(const std::string& workspace) const {
  const std::shared_lock guard(lock_);
  const auto found = guarantees_.find(workspace);
  return found == guarantees_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<ejection> region_state::Ejections() const {
  const std::shared_lock guard(lock_);
  std::vector<ejection> all;
  for (const auto& [key, each] : ejections_) {
    all.push_back(each);
  }
  return all;
}

region_state::summary region_state::Summary() const {
  const std::shared_lock guard(lock_);
  summary numbers;
  numbers.records = records_.Size();
  records_.ForEach([&](const idempotency_record& record) {
    switch (record.state) {
      case record_state::kBegun:
        ++numbers.records_by_state["begun"];
        break;
      case record_state::kFinished:
        ++numbers.records_by_state["finished"];
        break;
      case record_state::kUnknown:
        ++numbers.records_by_state["unknown"];
        break;
    }
  });
  for (const auto& [fingerprint, blocked_at] : blocks_) {
    numbers.blocks.push_back({fingerprint, blocked_at});
  }
  numbers.guarantees = guarantees_.size();
  numbers.config_version = config_.Version();
  numbers.routing_version = config_.RoutingVersion();
  numbers.applied_index = applied_index_;
  numbers.time = time_;
  return numbers;
}

std::string region_state::Snapshot() const {
  const std::shared_lock guard(lock_);
  region_snapshot snapshot;
  snapshot.format = kSnapshotFormat;
  snapshot.time = time_;
  records_.ForEach([&](const idempotency_record& each) { snapshot.records.push_back(each); });
  for (const auto& [key, each] : ejections_) {
    snapshot.ejections.push_back(each);
  }
  for (const auto& [fingerprint, blocked_at] : blocks_) {
    snapshot.blocks.push_back({fingerprint, blocked_at});
  }
  for (const auto& [workspace, tokens] : guarantees_) {
    snapshot.guarantees.push_back({workspace, tokens});
  }
  snapshot.config = config_.Snapshot();
  snapshot.changes.assign(changes_.begin(), changes_.end());
  return Encode(snapshot);
}

void region_state::Restore(std::string_view bytes) {
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(snapshot, Decode<region_snapshot>(bytes));
        if (snapshot.format != kSnapshotFormat) {
          return Fail(error_kind::kStorageDamaged, "unsupported format of region snapshot");
        }
        const std::unique_lock guard(lock_);
        BOOST_LEAF_CHECK(config_.Restore(snapshot.config));
        time_ = snapshot.time;
        records_.Clear();
        for (idempotency_record& each : snapshot.records) {
          records_.Restore(std::move(each));
        }
        ejections_.clear();
        for (ejection& each : snapshot.ejections) {
          std::pair key(each.service, upstream_id{each.upstream, each.incarnation});
          ejections_[std::move(key)] = std::move(each);
        }
        blocks_.clear();
        for (const block_entry& each : snapshot.blocks) {
          blocks_[each.fingerprint] = each.blocked_at;
        }
        guarantees_.clear();
        for (const guarantee_change& each : snapshot.guarantees) {
          guarantees_[each.workspace] = each.tokens;
        }
        changes_.assign(snapshot.changes.begin(), snapshot.changes.end());
        return {};
      },
      // Throws, because a replica must not continue without its state.
      [](const error& failure) { throw std::runtime_error(failure.detail); });
  if (on_config_) {
    on_config_({}, {});
  }
}

}  // namespace corianderhoist
