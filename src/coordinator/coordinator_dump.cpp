// Dumps the state of a coordinator as JSON for operators.
#include "base/hash.h"
#include "coordinator/coordinator_core.h"

#include <QJsonArray>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Maximum number of listed entries of one kind; the totals count all.
constexpr int kMaxListedEntries = 1000;

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

qint64 Milliseconds(std::chrono::nanoseconds span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

const char* StateName(upstream_state state) {
  switch (state) {
    case upstream_state::kStarting:
      return "starting";
    case upstream_state::kReady:
      return "ready";
    case upstream_state::kLeaving:
      break;
  }
  return "leaving";
}

const char* EjectionStateName(ejection_state state) {
  switch (state) {
    case ejection_state::kHealthy:
      return "in_service";
    case ejection_state::kEjected:
      return "ejected";
    case ejection_state::kTrial:
      break;
  }
  return "on_trial";
}

QJsonObject DumpUpstream(const slot_allocator& allocator,
                         const upstream_entry& entry,
                         steady_time now) {
  const upstream_id id = entry.Id();
  return {{"incarnation", ToQString(id.incarnation)},
          {"place", ToQString(entry.last.region + '/' + entry.last.data_centre)},
          {"address", ToQString(entry.last.address)},
          {"state", StateName(entry.last.state)},
          {"is_fresh", entry.IsFresh(now)},
          {"known_for_ms", Milliseconds(now - entry.first_seen)},
          {"announced_ms_ago", Milliseconds(now - entry.last_seen)},
          {"slots", static_cast<int>(entry.last.slots)},
          {"slots_in_use", static_cast<int>(allocator.Slots().InUse(id))},
          {"standing", EjectionStateName(allocator.Detector().StateOf(id))},
          {"is_suspected", allocator.Detector().IsSuspected(id)}};
}

QJsonObject DumpService(const slot_allocator& allocator, steady_time now) {
  QJsonObject upstreams;
  for (const auto& [name, entry] : allocator.Directory().Entries()) {
    if (upstreams.size() < kMaxListedEntries) {
      upstreams[ToQString(name)] = DumpUpstream(allocator, entry, now);
    }
  }
  QJsonArray ejections;
  for (const auto& each : allocator.Detector().Ejections()) {
    ejections.append(QJsonObject{{"upstream", ToQString(each.upstream.name)},
                                 {"incarnation", ToQString(each.upstream.incarnation)},
                                 {"standing", EjectionStateName(each.state)},
                                 {"repetition", static_cast<int>(each.repetition)},
                                 {"for_ms", Milliseconds(now - each.since)},
                                 {"ends_in_ms", Milliseconds(each.until - now)},
                                 {"evidence", ToQString(each.evidence)}});
  }
  QJsonObject queue;
  for (const auto& [flow, length] : allocator.QueueLengths()) {
    queue[ToQString(flow.empty() ? "open routes" : flow)] = static_cast<qint64>(length);
  }
  QJsonArray bad_reporters;
  for (const std::string& each : allocator.Detector().ReportersWithBadLink()) {
    bad_reporters.append(ToQString(each));
  }
  return {{"floor_percent", static_cast<int>(allocator.FloorPercent())},
          {"upstreams", upstreams},
          {"upstreams_total", static_cast<qint64>(allocator.Directory().Entries().size())},
          {"leases", static_cast<qint64>(allocator.Slots().Leases().size())},
          {"ejections", ejections},
          {"queue_by_workspace", queue},
          {"entry_vms_with_bad_link", bad_reporters}};
}

QJsonObject DumpBucket(token_bucket& bucket, steady_time now) {
  return {{"rate_per_second", static_cast<qint64>(bucket.Limit().rate_per_second)},
          {"burst", static_cast<qint64>(bucket.Limit().burst)},
          {"tokens", static_cast<qint64>(bucket.Tokens(now))},
          {"granted", static_cast<qint64>(bucket.Outstanding())},
          {"guaranteed", static_cast<qint64>(bucket.Guarantee())}};
}

QJsonObject DumpRegion(const region_state::summary& numbers) {
  QJsonObject records;
  for (const auto& [state, count] : numbers.records_by_state) {
    records[ToQString(state)] = static_cast<qint64>(count);
  }
  QJsonArray blocks;
  for (const block_entry& each : numbers.blocks) {
    blocks.append(QJsonObject{{"fingerprint", ToQString(ToHex(each.fingerprint))},
                              {"for_ms", Milliseconds(numbers.time - each.blocked_at)}});
  }
  return {{"config_version", static_cast<qint64>(numbers.config_version)},
          {"routing_version", static_cast<qint64>(numbers.routing_version)},
          {"applied_index", static_cast<qint64>(numbers.applied_index)},
          {"records_total", static_cast<qint64>(numbers.records)},
          {"records", records},
          {"blocked_requests", blocks},
          {"lowered_guarantees", static_cast<qint64>(numbers.guarantees)},
          {"region_time_ms", static_cast<qint64>(numbers.time.count())}};
}

}  // namespace

QJsonObject coordinator_core::Dump() {
  const steady_time now = clock_.Now();
  QJsonObject services;
  allocators_.ForEach([&](allocator_map& allocators) {
    for (const auto& [service, allocator] : allocators) {
      services[ToQString(service)] = DumpService(allocator, now);
    }
  });
  QJsonObject buckets;
  std::size_t bucket_count = 0;
  bucket_tables_.ForEach([&](token_bucket_table& table) {
    bucket_count += table.Size();
    table.ForEach([&](const std::string& workspace, token_bucket& bucket) {
      if (buckets.size() < kMaxListedEntries) {
        buckets[ToQString(workspace)] = DumpBucket(bucket, now);
      }
    });
  });
  std::size_t suspects = 0;
  crashes_.ForEach([&](const crash_registry& crashes) { suspects += crashes.Size(); });
  const bool is_deciding = IsActiveLeader();
  return {{"region", ToQString(region_)},
          {"is_deciding", is_deciding},
          {"leader", ToQString(log_.LeaderName())},
          {"term", static_cast<qint64>(term_.load())},
          {"leading_for_ms",
           is_deciding ? QJsonValue(Milliseconds(now - started_.load())) : QJsonValue()},
          {"live_sessions", static_cast<qint64>(live_sessions_.load())},
          {"suspected_requests", static_cast<qint64>(suspects)},
          {"replicated", DumpRegion(state_.Summary())},
          {"services", services},
          {"buckets", buckets},
          {"buckets_total", static_cast<qint64>(bucket_count)}};
}

}  // namespace corianderhoist
