// Implements `coordinator.complete`: applies an outcome to the slot, outlier detection, the crash
// registry and the idempotency record.
#include "base/log.h"
#include "coordinator/coordinator_core.h"
#include "coordinator/lease_id.h"
#include "observe/metrics.h"

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxStoredBodyBytes = std::size_t{256} * 1024;

std::string RecordKey(const std::string& workspace, const std::string& key) {
  return workspace + '\n' + key;
}

record_ending RecordEndingOf(attempt_result outcome) {
  if (WasNotRun(outcome)) {
    return record_ending::kAbandoned;
  }
  return IsCompleteAnswer(outcome) ? record_ending::kFinished : record_ending::kUnknown;
}

}  // namespace

void coordinator_core::Complete(complete_request report, rpc_callback<empty_message> reply) {
  if (!EnsureStarted()) {
    reply(NotLeader());
    return;
  }
  const std::optional<lease_parts> lease = ParseLease(report.lease);
  const bool is_placed_by_admission = lease && !lease->admission.empty();
  if (lease) {
    EndLease(report, lease->service);
  }
  // The home coordinator of a request from another region receives its own call.
  const bool is_home = state_.WithConfig([&](const configuration& config) {
    const auto found = config.Rules().workspaces.find(report.workspace);
    return report.workspace.empty()
               ? !is_placed_by_admission
               : found != config.Rules().workspaces.end() && found->second.HomeRegion() == region_;
  });
  if (!is_home) {
    reply(empty_message{});
    return;
  }
  UpdateCrashRegistry(report, lease ? lease->service : std::string());
  if (report.idempotency_key.empty() || report.workspace.empty()) {
    reply(empty_message{});
    return;
  }
  EndRecord(report, is_placed_by_admission ? lease->admission : report.lease, std::move(reply));
}

void coordinator_core::EndLease(const complete_request& report, const std::string& service) {
  const steady_time now = clock_.Now();
  const bool is_suspect = crashes_.WithLockedShard(
      ToHex(report.fingerprint),
      [&](const crash_registry& crashes) { return crashes.IsSuspect(report.fingerprint, now); });
  std::optional<slot_lease> ended;
  WithAllocator(service, [&](slot_allocator& allocator, allocator_effects& effects) {
    ended = allocator.Complete(report, is_suspect, now, effects);
  });
  if (!ended) {
    return;
  }
  sessions_.WithLockedShard(
      ended->session, [&](session_table& table) { table.RemoveLease(ended->session, ended->id); });
  const std::optional<lease_parts> parts = ParseLease(ended->id);
  const bool is_admitted_here = parts && parts->admission.empty() && parts->term == term_.load();
  if (WasNotRun(report.outcome) && is_admitted_here && !ended->workspace.empty()) {
    Refund(ended->workspace);
  }
}

void coordinator_core::UpdateCrashRegistry(const complete_request& report,
                                           const std::string& service) {
  const steady_time now = clock_.Now();
  bool is_bad_link = false;
  if (report.outcome == attempt_result::kConnectionLost && !service.empty()) {
    WithAllocator(service, [&](slot_allocator& allocator, allocator_effects&) {
      is_bad_link = allocator.Detector().ReportersWithBadLink().contains(report.entry_vm);
    });
  }
  const bool must_block =
      crashes_.WithLockedShard(ShardKey(report.fingerprint), [&](crash_registry& crashes) {
        crashes.End(report.fingerprint, report.request_id);
        if (IsCompleteAnswer(report.outcome)) {
          crashes.OnAnswered(report.fingerprint);
        }
        return report.outcome == attempt_result::kConnectionLost && !is_bad_link &&
               crashes.OnCrash(report.fingerprint, {report.upstream, report.incarnation}, now);
      });
  if (must_block && !state_.IsBlocked(report.fingerprint)) {
    log_event(log_level::kWarning, "request_blocked")
        .Field("workspace", report.workspace)
        .Field("fingerprint", ToHex(report.fingerprint))
        .Field("request", report.request_id);
    writer_->Block(report.fingerprint);
  }
}

void coordinator_core::EndRecord(const complete_request& report,
                                 const std::string& attempt,
                                 rpc_callback<empty_message> reply) {
  record_end end{report.workspace, report.idempotency_key,         report.request_id,
                 attempt,          RecordEndingOf(report.outcome), report.answer};
  if (end.answer && end.answer->body.size() > kMaxStoredBodyBytes) {
    end.answer->body.clear();
    end.answer->is_complete = false;
  }
  const std::string name = RecordKey(report.workspace, report.idempotency_key);
  pending_record_ends_.WithLockedShard(
      name, [&](std::multiset<std::string>& endings) { endings.insert(name); });
  writer_->End(std::move(end), [self = shared_from_this(), name,
                                reply = std::move(reply)](rpc_result<empty_message> committed) {
    self->pending_record_ends_.WithLockedShard(
        name, [&](std::multiset<std::string>& endings) { endings.erase(endings.find(name)); });
    reply(std::move(committed));
  });
}

bool coordinator_core::IsRecordEndPending(const std::string& workspace, const std::string& key) {
  const std::string name = RecordKey(workspace, key);
  return pending_record_ends_.WithLockedShard(
      name, [&](const std::multiset<std::string>& endings) { return endings.contains(name); });
}

}  // namespace corianderhoist
