#include "coordinator/record_store.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// The length prefix distinguishes ("a", "bc") from ("ab", "c").
std::string MapKey(const std::string& workspace, const std::string& key) {
  return std::to_string(workspace.size()) + ':' + workspace + key;
}

record_verdict VerdictOf(const idempotency_record& record, milliseconds now) {
  switch (record.state) {
    case record_state::kBegun:
      return now - record.begun_at >= kRecordOutcomeTimeout ? record_verdict::kUnknown
                                                            : record_verdict::kStillRunning;
    case record_state::kFinished:
      return record.answer && record.answer->is_complete ? record_verdict::kReplay
                                                         : record_verdict::kNotStored;
    case record_state::kUnknown:
      break;
  }
  return record_verdict::kUnknown;
}

}  // namespace

record_verdict record_store::Check(const std::string& workspace,
                                   const std::string& key,
                                   const digest& body_digest,
                                   const std::string& request_id,
                                   milliseconds now) const {
  const idempotency_record* record = Find(workspace, key);
  if (record == nullptr || now - record->begun_at >= kRecordRetention) {
    return record_verdict::kBegin;
  }
  if (record->body_digest != body_digest) {
    return record_verdict::kMismatch;
  }
  // A repeated call for the same request: its sender has no decision yet, so nothing was sent.
  if (record->state == record_state::kBegun && record->request_id == request_id) {
    return record_verdict::kBegin;
  }
  return VerdictOf(*record, now);
}

record_verdict record_store::Begin(const std::string& workspace,
                                   const std::string& key,
                                   const digest& body_digest,
                                   const std::string& request_id,
                                   const std::string& attempt,
                                   milliseconds now) {
  const record_verdict verdict = Check(workspace, key, body_digest, request_id, now);
  if (verdict != record_verdict::kBegin) {
    return verdict;
  }
  if (idempotency_record* existing = FindForRequest(workspace, key, request_id);
      existing != nullptr && existing->state == record_state::kBegun &&
      existing->body_digest == body_digest) {
    if (std::find(existing->attempts.begin(), existing->attempts.end(), attempt) ==
        existing->attempts.end()) {
      existing->attempts.push_back(attempt);
    }
    return verdict;
  }
  const std::string map_key = MapKey(workspace, key);
  records_[map_key] = {workspace, key,          body_digest, request_id, record_state::kBegun,
                       now,       std::nullopt, {attempt}};
  by_age_.emplace(now, map_key);
  return verdict;
}

idempotency_record* record_store::FindForRequest(const std::string& workspace,
                                                 const std::string& key,
                                                 const std::string& request_id) {
  const auto found = records_.find(MapKey(workspace, key));
  return found != records_.end() && found->second.request_id == request_id ? &found->second
                                                                           : nullptr;
}

void record_store::Finish(const std::string& workspace,
                          const std::string& key,
                          const std::string& request_id,
                          std::optional<stored_answer> answer) {
  idempotency_record* record = FindForRequest(workspace, key, request_id);
  if (record == nullptr || record->state == record_state::kFinished) {
    return;
  }
  record->state = record_state::kFinished;
  record->answer = std::move(answer);
}

void record_store::Abandon(const std::string& workspace,
                           const std::string& key,
                           const std::string& request_id,
                           const std::string& attempt) {
  idempotency_record* record = FindForRequest(workspace, key, request_id);
  if (record == nullptr || record->state != record_state::kBegun) {
    return;
  }
  std::erase(record->attempts, attempt);
  if (record->attempts.empty()) {
    records_.erase(MapKey(workspace, key));
  }
}

void record_store::MarkUnknown(const std::string& workspace,
                               const std::string& key,
                               const std::string& request_id) {
  idempotency_record* record = FindForRequest(workspace, key, request_id);
  if (record != nullptr && record->state == record_state::kBegun) {
    record->state = record_state::kUnknown;
  }
}

void record_store::Expire(milliseconds now) {
  while (!by_age_.empty() && now - by_age_.begin()->first >= kRecordRetention) {
    const auto found = records_.find(by_age_.begin()->second);
    // The key may have been reused, in which case the map holds a younger record.
    if (found != records_.end() && now - found->second.begun_at >= kRecordRetention) {
      records_.erase(found);
    }
    by_age_.erase(by_age_.begin());
  }
}

const idempotency_record* record_store::Find(const std::string& workspace,
                                             const std::string& key) const {
  const auto found = records_.find(MapKey(workspace, key));
  return found == records_.end() ? nullptr : &found->second;
}

void record_store::Restore(idempotency_record record) {
  std::string map_key = MapKey(record.workspace, record.key);
  by_age_.emplace(record.begun_at, map_key);
  records_[std::move(map_key)] = std::move(record);
}

void record_store::Clear() {
  records_.clear();
  by_age_.clear();
}

}  // namespace corianderhoist
