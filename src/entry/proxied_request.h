/// Handles one request of a caller: admission, attempts at upstreams, answer, and the report of the
/// outcome to the coordinators.
#pragma once

#include "base/clock.h"
#include "coordinator/messages.h"
#include "entry/entry_context.h"
#include "http/answer_sink.h"
#include "upstream/upstream_exchange.h"

#include <QTimer>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Confined to the thread of its worker, which owns it until the answer has ended.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
 public:
  proxied_request(entry_worker& worker, http_request request, std::shared_ptr<answer_sink> sink);
  ~proxied_request();
  proxied_request(const proxied_request&) = delete;
  proxied_request& operator=(const proxied_request&) = delete;

  void Start();
  /// Refuses the request if it is not sent yet and can no longer be finished before the process
  /// ends. Called repeatedly during a drain.
  void OnDrainProgress();
  /// Ends the request because the process stops. The refusal says whether the request may have run.
  void Stop();

 private:
  /// Resolves the route and parses the header fields. Called again with a newer configuration when
  /// the coordinator reports that this VM's is too old.
  result<void> Prepare();
  bool TryPrepare();
  void StartDeadlineTimer();

  // Admission
  void Acquire(const std::string& region, std::string admission);
  acquire_request MakeAcquire(const std::string& admission) const;
  void OnAcquired(const std::string& region,
                  const rpc_result<acquire_reply>& reply,
                  steady_time sent_at);
  void OnAcquireFailed(const rpc_failure& failure);
  void Reacquire();
  void OnOutdatedDecision();
  void OnConfigBehind();
  void Replay(const stored_answer& stored);

  // Attempt
  void StartAttempt();
  void OnHead(answer_head head);
  void OnBody(std::string_view part);
  void OnEnd(const exchange_end& end);
  void OnFailedAttempt(const exchange_end& end);
  void OnShed(const answer_head& head);
  void OnServerError();
  void OnAttemptTimeout();
  void StartAttemptTimer();
  /// Whether the request may go to another upstream after an attempt with this result.
  bool CanRetry(attempt_result last) const;
  void Retry(attempt_result last, bool is_upstream_busy);

  // End of the request
  void OnCallerDisconnected();
  void OnDeadline();
  void Refuse(error_kind kind,
              std::string detail,
              std::optional<std::chrono::seconds> retry_after = {});
  void Finish();

  // Reports
  /// `done` is called once the home coordinator has answered.
  void Complete(attempt_result outcome,
                bool is_upstream_busy,
                const std::function<void()>& done = {});
  void AbandonRecord();
  void SendComplete(const std::string& region,
                    complete_request message,
                    const std::function<void()>& done);
  complete_request MakeComplete(attempt_result outcome) const;

  bool HasIdempotencyKey() const { return !idempotency_key_.empty(); }
  std::string AttemptId() const;
  std::chrono::milliseconds Remaining() const;
  /// Whether the request may be sent to an upstream, during a drain too.
  bool MayStart() const;
  void NoteAnswerTime();

  entry_worker& worker_;
  entry_context& context_;
  http_request request_;
  std::shared_ptr<answer_sink> sink_;
  const steady_time started_at_;
  steady_time deadline_;
  std::unique_ptr<QTimer> deadline_timer_;
  std::unique_ptr<QTimer> attempt_timer_;

  std::optional<digest> key_hash_;
  std::string idempotency_key_;  ///< Empty when no idempotency record is kept.
  routed_request routed_;
  header_fields upstream_headers_;
  digest fingerprint_{};
  digest body_digest_{};

  acquire_reply grant_;       ///< The slot of the current attempt.
  std::string grant_region_;  ///< Region of the coordinator that granted it.
  steady_time granted_call_sent_at_;
  steady_time attempt_started_at_;
  std::shared_ptr<upstream_exchange> exchange_;
  std::vector<std::string> tried_upstreams_;
  int acquire_number_ = 1;  ///< Number of the acquire call, part of the attempt id.
  int attempt_number_ = 1;  ///< Number of the current attempt at an upstream.
  /// Replaces a refusal with outcome "not run" once an upstream may have run the request.
  std::optional<refusal> unknown_outcome_refusal_;
  std::optional<answer_head> answer_;  ///< Set once the answer has begun.
  std::string answer_body_;            ///< Copy for the idempotency record.
  bool is_body_stored_ = true;
  bool is_caller_disconnected_ = false;
  bool has_ended_ = false;
};

}  // namespace corianderhoist
