// What a coordinator believes and since when, for operators.
#include "base/hash.h"
#include "coordinator/coordinator_core.h"

#include <QJsonArray>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A dump lists at most this many entries of a kind, the totals count all.
constexpr int kListed = 1000;

QString Text(const std::string& text) {
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

const char* StandingName(standing state) {
  switch (state) {
    case standing::kHealthy:
      return "in_service";
    case standing::kEjected:
      return "ejected";
    case standing::kTrial:
      break;
  }
  return "on_trial";
}

QJsonObject DumpUpstream(const service_board& board, const upstream_entry& entry, steady_time now) {
  const upstream_id id = entry.Id();
  return {{"incarnation", Text(id.incarnation)},
          {"place", Text(entry.last.region + '/' + entry.last.data_centre)},
          {"address", Text(entry.last.address)},
          {"state", StateName(entry.last.state)},
          {"is_fresh", entry.IsFresh(now)},
          {"known_for_ms", Milliseconds(now - entry.first_seen)},
          {"announced_ms_ago", Milliseconds(now - entry.last_seen)},
          {"slots", static_cast<int>(entry.last.slots)},
          {"slots_in_use", static_cast<int>(board.Slots().InUse(id))},
          {"standing", StandingName(board.Judge().StandingOf(id))},
          {"is_suspected", board.Judge().IsSuspected(id)}};
}

QJsonObject DumpBoard(const service_board& board, steady_time now) {
  QJsonObject upstreams;
  for (const auto& [name, entry] : board.Directory().Entries()) {
    if (upstreams.size() < kListed) {
      upstreams[Text(name)] = DumpUpstream(board, entry, now);
    }
  }
  QJsonArray ejections;
  for (const auto& each : board.Judge().Ejections()) {
    ejections.append(QJsonObject{{"upstream", Text(each.upstream.name)},
                                 {"incarnation", Text(each.upstream.incarnation)},
                                 {"standing", StandingName(each.state)},
                                 {"repetition", static_cast<int>(each.repetition)},
                                 {"for_ms", Milliseconds(now - each.since)},
                                 {"ends_in_ms", Milliseconds(each.until - now)},
                                 {"evidence", Text(each.evidence)}});
  }
  QJsonObject queue;
  for (const auto& [flow, length] : board.QueueLengths()) {
    queue[Text(flow.empty() ? "open routes" : flow)] = static_cast<qint64>(length);
  }
  QJsonArray bad_reporters;
  for (const std::string& each : board.Judge().BadReporters()) {
    bad_reporters.append(Text(each));
  }
  return {{"floor_percent", static_cast<int>(board.FloorPercent())},
          {"upstreams", upstreams},
          {"upstreams_total", static_cast<qint64>(board.Directory().Entries().size())},
          {"leases", static_cast<qint64>(board.Slots().Leases().size())},
          {"ejections", ejections},
          {"queue_by_workspace", queue},
          {"entry_vms_with_bad_link", bad_reporters}};
}

QJsonObject DumpBucket(rate_bucket& bucket, steady_time now) {
  return {{"rate_per_second", static_cast<qint64>(bucket.Limit().rate_per_second)},
          {"burst", static_cast<qint64>(bucket.Limit().burst)},
          {"tokens", static_cast<qint64>(bucket.Tokens(now))},
          {"granted", static_cast<qint64>(bucket.Outstanding())},
          {"guaranteed", static_cast<qint64>(bucket.Guarantee())}};
}

QJsonObject DumpRegion(const region_state::summary& numbers) {
  QJsonObject records;
  for (const auto& [state, count] : numbers.records_by_state) {
    records[Text(state)] = static_cast<qint64>(count);
  }
  QJsonArray blocks;
  for (const block_entry& each : numbers.blocks) {
    blocks.append(QJsonObject{{"fingerprint", Text(ToHex(each.fingerprint))},
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
  boards_.ForEach([&](board_map& boards) {
    for (const auto& [service, board] : boards) {
      services[Text(service)] = DumpBoard(board, now);
    }
  });
  QJsonObject buckets;
  std::size_t bucket_count = 0;
  ledgers_.ForEach([&](rate_ledger& ledger) {
    bucket_count += ledger.Size();
    ledger.ForEach([&](const std::string& workspace, rate_bucket& bucket) {
      if (buckets.size() < kListed) {
        buckets[Text(workspace)] = DumpBucket(bucket, now);
      }
    });
  });
  std::size_t suspects = 0;
  crashes_.ForEach([&](const crash_registry& crashes) { suspects += crashes.Size(); });
  const bool is_deciding = IsDeciding();
  return {{"region", Text(region_)},
          {"is_deciding", is_deciding},
          {"leader", Text(log_.LeaderName())},
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
