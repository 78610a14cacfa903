// Region status at the leader: pending regions of changes, the reply to `control.show`, the dump.
#include "control/control_service.h"

#include <QJsonArray>

#include <algorithm>
#include <future>

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxListedPendingChanges = 100;
constexpr std::chrono::seconds kDumpTimeout(2);

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

QJsonArray ToJsonArray(const std::vector<std::string>& texts) {
  QJsonArray array;
  for (const std::string& text : texts) {
    array.append(ToQString(text));
  }
  return array;
}

}  // namespace

bool control_service::IsKnownRegion(const std::string& region) const {
  return std::find(regions_.begin(), regions_.end(), region) != regions_.end();
}

std::uint64_t control_service::ReportedVersion(const std::string& region) const {
  const auto found = reports_.find(region);
  return found == reports_.end() ? 0 : found->second.version;
}

void control_service::AddPendingRegions(const std::vector<std::string>& regions,
                                        std::uint64_t version,
                                        const std::string& workspace,
                                        std::vector<std::string>& pending) const {
  const auto add = [&](const std::string& region, std::uint64_t needed) {
    if (ReportedVersion(region) < needed &&
        std::find(pending.begin(), pending.end(), region) == pending.end()) {
      pending.push_back(region);
    }
  };
  for (const std::string& region : regions) {
    add(region, version);
  }
  if (workspace.empty()) {
    return;
  }
  // A former home region that has not committed the move still admits requests of the workspace.
  for (const home_move& move : state_.HomeMovesOf(workspace)) {
    if (move.version < version && IsKnownRegion(move.region)) {
      add(move.region, move.version);
    }
  }
}

std::vector<std::string> control_service::PendingRegions(const change_result& result) const {
  std::vector<std::string> pending;
  AddPendingRegions(result.regions, result.version, result.workspace, pending);
  return pending;
}

std::vector<std::string> control_service::PendingRegions(const config_change& change) const {
  std::vector<std::string> pending;
  const bool is_key_change = change.removed_rules.empty() && change.added_rules.empty();
  const std::string workspace =
      is_key_change && !change.keys.empty() ? change.keys.front().workspace : std::string();
  AddPendingRegions(change.regions, change.version, workspace, pending);
  return pending;
}

std::vector<pending_change> control_service::PendingChanges() const {
  std::vector<pending_change> pending;
  std::uint64_t lowest = state_.Config().Version();
  for (const std::string& region : regions_) {
    lowest = std::min(lowest, ReportedVersion(region));
  }
  for (const config_change& change : state_.Changes()) {
    if (change.version <= lowest) {
      continue;
    }
    const std::vector<std::string> pending_regions = PendingRegions(change);
    if (!pending_regions.empty()) {
      pending.push_back({change.version, change.changed_by, change.changed_at, pending_regions});
    }
    if (pending.size() == kMaxListedPendingChanges) {
      break;
    }
  }
  return pending;
}

show_reply control_service::MakeShowReply() const {
  show_reply reply;
  reply.version = state_.Config().Version();
  reply.rules_version = state_.RulesRevision().version;
  reply.rules_changed_by = state_.RulesRevision().changed_by;
  reply.rules_changed_at = state_.RulesRevision().changed_at;
  for (const std::string& region : regions_) {
    const auto found = reports_.find(region);
    reply.regions.push_back(found == reports_.end() ? region_report{region, 0, {}, {}}
                                                    : found->second);
  }
  reply.pending = PendingChanges();
  reply.leader = group_.LeaderName();
  return reply;
}

QJsonObject control_service::MakeDump() const {
  QJsonArray regions;
  for (const std::string& region : regions_) {
    const auto found = reports_.find(region);
    const region_report report = found == reports_.end() ? region_report{} : found->second;
    regions.append(QJsonObject{{"region", ToQString(region)},
                               {"version", static_cast<qint64>(report.version)},
                               {"since_unix_ms", static_cast<qint64>(report.since.count())}});
  }
  const replica_status status = group_.Status();
  return {{"version", static_cast<qint64>(state_.Config().Version())},
          {"routing_version", static_cast<qint64>(state_.Config().RoutingVersion())},
          {"rules_version", static_cast<qint64>(state_.RulesRevision().version)},
          {"rules_changed_by", ToQString(state_.RulesRevision().changed_by)},
          {"services", static_cast<qint64>(state_.Config().Rules().services.size())},
          {"workspaces", static_cast<qint64>(state_.Config().Rules().workspaces.size())},
          {"routes", static_cast<qint64>(state_.Config().Rules().routes.size())},
          {"keys", static_cast<qint64>(state_.Config().Keys().size())},
          {"kept_changes", static_cast<qint64>(state_.Changes().size())},
          {"kept_results", static_cast<qint64>(state_.ResultCount())},
          {"open_changes", static_cast<qint64>(changes_.size())},
          {"open_fetches", static_cast<qint64>(fetches_.size())},
          {"regions", regions},
          {"replica", QJsonObject{{"role", ToQString(status.role)},
                                  {"failure", ToQString(status.failure)},
                                  {"leader", ToQString(status.leader)},
                                  {"term", static_cast<qint64>(status.term)},
                                  {"commit_index", static_cast<qint64>(status.commit_index)},
                                  {"applied_index", static_cast<qint64>(status.applied_index)},
                                  {"last_index", static_cast<qint64>(status.last_index)},
                                  {"snapshot_index", static_cast<qint64>(status.snapshot_index)},
                                  {"voters", ToJsonArray(status.voters)},
                                  {"learners", ToJsonArray(status.learners)}}}};
}

QJsonObject control_service::Dump() {
  // The promise is shared, because the task may run after the wait has timed out.
  auto dump = std::make_shared<std::promise<QJsonObject>>();
  auto future = dump->get_future();
  group_.Post([this, dump] { dump->set_value(MakeDump()); });
  if (future.wait_for(kDumpTimeout) != std::future_status::ready) {
    return {{"fault", "the replica does not answer"}};
  }
  return future.get();
}

}  // namespace corianderhoist
