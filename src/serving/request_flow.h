/// Processes one request of a caller: admission, attempts at upstreams, and delivery of the
/// response.
#pragma once

#include "base/buffer_budget.h"
#include "base/clock.h"
#include "http/answer_sink.h"
#include "http/front_connection.h"
#include "http/message.h"
#include "serving/serving_context.h"
#include "serving/upstream_call.h"

#include <QTimer>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// Returns the part of a split route that gets the next request, such that the shares of the parts
/// follow their weights closely even for few requests. `position` is the state of the route, which
/// starts at a random number from 0 to 1.
const route_part& ChoosePart(const policy_route& route, double& position);

/// How the wait of a request for the state of the fleet ended.
enum class wait_outcome : std::uint8_t {
  kAdmitted,
  kRefused,
  kLeft,  ///< The caller disconnected.
};

/// Runs on the thread of its connection, and stays alive until the response is delivered.
class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(serving_context& context,
               http_request request,
               std::shared_ptr<request_body> body,
               std::shared_ptr<answer_sink> sink);
  ~request_flow();
  request_flow(const request_flow&) = delete;
  request_flow& operator=(const request_flow&) = delete;

  void Start();
  /// Ends all attempts without an answer. No further event refers to the context.
  void Abandon();
  /// Applies the end of the drain to the time left, ends the request if none is left, and refuses
  /// it if it has not been sent to an upstream and can no longer be answered in time. Called
  /// repeatedly during a drain.
  void OnDrainProgress();
  /// Records that the shutdown of the VM ends this request without an answer.
  void NoteCut() const;
  /// Since when the upstream is not read because the caller has not taken the buffered bytes.
  std::optional<steady_time> WaitingForCallerSince() const { return waiting_for_caller_since_; }
  /// Ends the streamed answer. Returns the number of bytes that become free, soon after the call.
  std::size_t GiveUpSlowCaller();
  // While the request waits for the state of the fleet (state_wait_flow.cpp).
  /// Updates what is known of the waiting request.
  void RenewWait();
  /// Passes the request through admission again.
  void OnStateArrived();
  /// Refuses the request because it can no longer be answered in time.
  void RefuseWaiting();

 private:
  struct attempt {
    explicit attempt(buffer_budget* buffers) : hold(buffers) {}
    std::shared_ptr<upstream_call> call;
    upstream_handle upstream = 0;
    std::string upstream_id;
    upstream_incarnation incarnation;
    steady_time started;
    answer_head head;
    std::string body;
    buffer_hold hold;  ///< Of `body`.
    bool is_repeat = false;
    bool is_hedge = false;             ///< Sent for slowness, within a share set by the operator.
    bool is_silence_reported = false;  ///< The missing response has been reported.
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  // Start.
  admission_decision Decide() const;
  /// Time from the arrival to the deadline; empty without a route and a deadline of the caller.
  std::optional<std::chrono::milliseconds> TimeLimit(const policy_route* route) const;
  answer_estimate EstimateOf(const policy_route& route, std::chrono::milliseconds limit) const;
  bool Admit();
  void StartTimeLimit();
  // Wait for the state of the fleet (state_wait_flow.cpp).
  state_waiter MakeWaiter(const admission_decision& decision) const;
  /// Returns whether the request waits from now on.
  bool WaitForState(const admission_decision& decision);
  void EndWait(wait_outcome outcome);
  void OnBodyEvent();
  void Begin();
  bool IsTooLargeNow() const;
  // Attempts.
  bool StartNextAttempt(bool is_repeat);
  void NoteFailure();
  void NoteAnswerTime();
  double TransferKilobytes() const;
  call_plan MakePlan(const known_upstream& upstream) const;
  /// The longest time for which a connection may have been idle to be reused for this request.
  std::chrono::milliseconds MaxIdleTime() const;
  header_fields MakeHeaders(const known_upstream& upstream) const;
  void StartAttempt(const known_upstream& upstream, bool is_repeat, bool is_trial);
  /// Whether `buffered_body_` is the whole body. If it is only the beginning, the rest is streamed
  /// by `ForwardBody`.
  bool IsBodyBuffered() const { return body_->IsTaken() && is_body_replayable_; }
  void ForwardBody();
  void OnAnswerHead(const attempt_ptr& this_attempt, const answer_head& head);
  void OnAnswerBody(const attempt_ptr& this_attempt, std::string_view part);
  void OnAttemptEnd(const attempt_ptr& this_attempt, call_result result, const std::string& detail);
  void OnAnswered(const attempt_ptr& this_attempt);
  void NoteEvidence(const attempt& this_attempt,
                    attempt_evidence evidence,
                    bool has_relative_latency);
  void NoteSilence(const attempt_ptr& late);
  void NoteCrash(const attempt& lost);
  bool MayRepeat() const;
  bool TakeRepeat(repeat_cause cause);
  void RepeatOrFinish();
  // Hedges (request_hedges.cpp).
  void StartSlowTimer();
  void OnSlowTimer();
  void SendHedge(const attempt& slow, repeat_cause cause);
  void LogHedge(const attempt& slow) const;
  void NoteSkippedHedge(const attempt& slow, hedge_skip reason);
  bool HasFreeSlot() const;
  bool IsHedged() const { return context_.hedges.ShareOf(service_, route_->name) > 0; }
  /// Cancels the other attempts once the response of `winner` is chosen, if hedging is on.
  void CancelLosers(const attempt_ptr& winner);
  void NoteLostRace(const attempt& loser);
  /// Counts the time until now as the time until the response of the attempt began.
  void NoteResponseTime(const attempt& this_attempt);
  // Queue (request_waiting.cpp).
  /// Sends the request to an upstream, lets it wait for capacity, or refuses it.
  void StartOrWait();
  /// Lets a request that upstreams have shed wait once more. Returns whether it does.
  bool ReturnToQueue();
  queue_verdict EnterQueue(bool is_returning);
  void OnTurn();
  queue_rank Rank() const;
  answer_estimate ExpectedAnswer() const;
  // End.
  void Deliver(const answer_head& head, const std::string& body);
  void StartStreaming(const attempt_ptr& this_attempt);
  void PauseWhileCallerIsSlow();
  std::size_t BufferLimit() const;
  void Refuse(error_kind kind, const std::string& detail);
  void FinishWithoutAnswer();
  void AbortStreaming(const std::string& detail);
  void OnDeadline();
  void OnCallerDisconnected();
  void CancelAttempts();
  void Complete();

  /// Time until the request has to be answered.
  std::chrono::milliseconds TimeLeft() const;
  /// Time that an upstream may take; shorter than `TimeLeft` during a drain.
  std::chrono::milliseconds UpstreamTimeLeft() const;
  /// Whether a request that no upstream may have run can still be sent to one.
  bool MayStart() const;
  bool IsIdempotent() const { return route_->is_idempotent; }

  serving_context& context_;
  http_request request_;
  std::shared_ptr<request_body> body_;
  std::shared_ptr<answer_sink> sink_;
  steady_time arrived_;
  steady_time deadline_;
  std::string attempt_id_;
  state_wait::waiter_id waiter_id_ = 0;  ///< 0 unless it waits for the state of the fleet.
  policy_ptr policy_;                    ///< Owns `route_` and `workspace_`.
  const policy_route* route_ = nullptr;  ///< Null until the request is admitted.
  const policy_workspace* workspace_ = nullptr;
  std::string service_;
  std::uint64_t fingerprint_ = 0;

  std::string buffered_body_;  ///< Received before the first attempt; kept for repeats.
  buffer_hold hold_;           ///< Of `buffered_body_`.
  bool is_body_replayable_ = true;
  bool has_begun_ = false;
  std::vector<attempt_ptr> attempts_;
  attempt_ptr streaming_;  ///< Its response is being streamed to the caller.
  /// Since when reading of the streamed response is stopped.
  std::optional<steady_time> waiting_for_caller_since_;
  attempt_ptr body_target_;  ///< The rest of the body is streamed to it.
  std::set<upstream_handle> tried_upstreams_;
  std::uint32_t possible_runs_ = 0;  ///< Attempts that the upstream may have run.
  std::uint32_t sent_attempts_ = 0;  ///< Attempts that were sent to an upstream.
  std::uint32_t failed_connects_ = 0;
  /// The last server error of an upstream, delivered if no repeat succeeds.
  std::optional<answer_head> failure_head_;
  std::string failure_body_;
  std::string last_attempt_detail_;
  QTimer deadline_timer_;
  QTimer slow_timer_;
  hedge_delay hedge_delay_;         ///< Of the newest attempt.
  bool has_trial_attempt_ = false;  ///< An attempt was a trial of its upstream.
  std::uint64_t queue_id_ = 0;      ///< Of its last place in a queue; 0: it has not waited.
  steady_time queued_at_{};
  std::chrono::milliseconds waited_{};  ///< In the queue.
  bool has_returned_ = false;           ///< To the queue, after upstreams have shed it.
  bool is_complete_ = false;
};

/// Refuses the waiting requests that cannot be answered in time any more, and admits those whose
/// state has arrived. Called after each reply of a core VM and at least every 100 ms.
void ReviewWaiting(serving_context& context);

}  // namespace corianderhoist
