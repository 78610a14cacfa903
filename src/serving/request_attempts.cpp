// The attempts of a request at upstreams: members of `request_flow`.
#include "base/log.h"
#include "observe/metrics.h"
#include "serving/request_flow.h"
#include "serving/upstream_selection.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A response up to this size is buffered until it is complete, so that a broken one can be replaced
// by a repeat.
constexpr std::size_t kMaxBufferedAnswerBytes = 256UL << 10U;
constexpr std::size_t kMaxUnsentBytes = 256UL << 10U;
// Of each buffer of an answer when the buffers of the VM are full.
constexpr std::size_t kMinBufferedAnswerBytes = 16UL << 10U;
constexpr milliseconds kConnectTimeout(250);
constexpr milliseconds kOtherRegionConnectTimeout(400);
constexpr std::uint32_t kMaxFailedConnects = 4;
// If every upstream sheds, more attempts use up the budget that other requests need.
constexpr std::uint32_t kMaxSentAttempts = 4;
// The upstream may have closed an idle connection unnoticed. A request that must not run twice is
// sent only on a connection that was in use shortly before.
constexpr milliseconds kMaxIdleForIdempotent(8000);
constexpr milliseconds kMaxIdleForNonIdempotent(700);
constexpr milliseconds kMinTimeLeftForAttempt(30);
constexpr int kMinServerErrorStatus = 500;
constexpr int kGatewayTimeoutStatus = 504;
constexpr double kAnswerSizeSmoothing = 0.1;
constexpr double kDefaultAnswerKilobytes = 2;
constexpr std::size_t kAnswerHeadBytes = 250;
constexpr std::size_t kHeaderSeparatorBytes = 4;  // ": " and the end of the line.
constexpr double kBytesPerKilobyte = 1000;
constexpr double kRelativeLatencyScale = 100;

std::string_view NameOf(call_result result) {
  switch (result) {
    case call_result::kAnswered:
      return "answered";
    case call_result::kNotConnected:
      return "not_connected";
    case call_result::kWithheld:
      return "withheld";
    case call_result::kNotExecuted:
      return "not_executed";
    case call_result::kWrongInstance:
      return "wrong_instance";
    case call_result::kLost:
      return "lost";
    case call_result::kClosedIdle:
      return "closed_idle";
    case call_result::kBroken:
      return "broken";
  }
  return "unknown";
}

}  // namespace

bool request_flow::StartNextAttempt(bool is_repeat) {
  upstream_query query;
  query.service = service_;
  query.tried = &tried_upstreams_;
  query.may_fail =
      MayFail({.is_idempotent = IsIdempotent(),
               .is_repeat = is_repeat,
               .possible_runs = possible_runs_,
               .allowed_runs = route_->attempts,
               .is_budget_low = context_.view.IsRepeatBudgetLow(service_, context_.clock.Now())});
  query.max_idle_time = MaxIdleTime();
  query.transfer_kilobytes = TransferKilobytes();
  const auto chosen = SelectUpstream(context_, query);
  if (!chosen) {
    return false;
  }
  log_event(log_level::kInfo, "attempt_started")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("route", route_->name)
      .Field("workspace", workspace_ != nullptr ? workspace_->name : std::string())
      .Field("policy_version", policy_->Version())
      .Field("upstream", chosen->upstream->entry.id)
      .Field("failure_per_mille", static_cast<int>(chosen->candidate.failure * 1000))
      .Field("pace_per_cent", static_cast<int>(chosen->candidate.relative_latency * 100))
      .Field("distance", static_cast<int>(chosen->candidate.distance))
      .Field("candidates", std::uint64_t(chosen->candidates))
      .Field("state_age_ms",
             duration_cast<milliseconds>(context_.clock.Now() - context_.view.FreshAt()).count())
      .Field("left_ms", std::int64_t(TimeLeft().count()))
      .Field("drain_ms", std::int64_t(context_.drain.ElapsedAt(context_.clock.Now()).count()))
      .Field("is_due", static_cast<int>(chosen->candidate.is_trial_due))
      .Field("is_repeat", static_cast<int>(is_repeat));
  StartAttempt(*chosen->upstream, is_repeat, chosen->candidate.is_trial_due);
  return true;
}

// Traffic of one attempt in both directions. The answer's size is learned by route.
double request_flow::TransferKilobytes() const {
  std::uint64_t bytes = kAnswerHeadBytes + request_.target.size();
  for (const header_field& field : request_.headers) {
    bytes += field.name.size() + field.value.size() + kHeaderSeparatorBytes;
  }
  bytes += std::max<std::uint64_t>(buffered_body_.size(), body_->Length().value_or(0));
  const auto learned = context_.answer_kilobytes.find(route_->name);
  return static_cast<double>(bytes) / kBytesPerKilobyte +
         (learned == context_.answer_kilobytes.end() ? kDefaultAnswerKilobytes : learned->second);
}

milliseconds request_flow::MaxIdleTime() const {
  return IsIdempotent() ? kMaxIdleForIdempotent : kMaxIdleForNonIdempotent;
}

header_fields request_flow::MakeHeaders(const known_upstream& upstream) const {
  const caller_header_names& callers = context_.settings.callers;
  const upstream_header_names& names = context_.settings.upstreams;
  header_fields headers = WithoutHopByHop(request_.headers);
  std::erase_if(headers, [&](const header_field& field) {
    return IsSameName(field.name, callers.key) || IsSameName(field.name, callers.deadline_ms) ||
           IsSameName(field.name, names.deadline_ms) || IsSameName(field.name, names.instance) ||
           IsSameName(field.name, names.workspace);
  });
  headers.push_back({names.instance, upstream.entry.id});
  if (workspace_ != nullptr) {
    headers.push_back({names.workspace, workspace_->name});
  }
  return headers;
}

call_plan request_flow::MakePlan(const known_upstream& upstream) const {
  call_plan plan;
  plan.upstream = upstream.entry.handle;
  plan.address = upstream.address;
  plan.request_line = request_.method + " " + request_.target;
  plan.headers = MakeHeaders(upstream);
  plan.attempt_id = attempt_id_;
  plan.is_head_method = request_.method == "HEAD";
  plan.body_length = IsBodyBuffered() ? buffered_body_.size() : body_->Length();
  plan.has_body = plan.body_length != std::uint64_t(0) ||
                  FindHeader(request_.headers, "Content-Length") != nullptr ||
                  (request_.method != "GET" && request_.method != "HEAD");
  const bool is_far = context_.settings.place.DistanceTo(upstream.entry.data_centre) ==
                      network_distance::kOtherRegion;
  plan.deadline = context_.drain.UpstreamDeadline(deadline_);
  plan.connect_timeout =
      std::min(is_far ? kOtherRegionConnectTimeout : kConnectTimeout, UpstreamTimeLeft());
  plan.max_idle_time = MaxIdleTime();
  plan.may_run_twice = IsIdempotent();
  return plan;
}

void request_flow::StartAttempt(const known_upstream& upstream, bool is_repeat, bool is_trial) {
  auto this_attempt = std::make_shared<attempt>(&context_.buffers);
  this_attempt->upstream = upstream.entry.handle;
  this_attempt->upstream_id = upstream.entry.id;
  this_attempt->incarnation = IncarnationOf(upstream.entry);
  this_attempt->is_repeat = is_repeat;
  this_attempt->started = context_.clock.Now();
  has_trial_attempt_ = has_trial_attempt_ || is_trial;
  tried_upstreams_.insert(this_attempt->upstream);
  attempts_.push_back(this_attempt);
  context_.tracker.Start(this_attempt->upstream);
  // The attempt owns the call, so the call must not own the attempt.
  const std::weak_ptr<request_flow> weak = weak_from_this();
  const std::weak_ptr<attempt> weak_attempt = this_attempt;
  const upstream_handle handle = this_attempt->upstream;
  const upstream_incarnation incarnation = this_attempt->incarnation;
  upstream_call::events events;
  events.may_send = [handle, incarnation, &context = context_] {
    return context.statements.MaySend(incarnation) && context.limits.TakeSlot(handle);
  };
  events.on_own_head = [handle, incarnation, &context = context_](const answer_head& head) {
    NoteStatement(context, handle, incarnation, head);
  };
  events.on_sent = [weak, is_repeat] {
    if (const auto self = weak.lock()) {
      ++self->possible_runs_;
      ++self->sent_attempts_;
      if (is_repeat) {
        self->context_.link.NoteService(self->service_, fleet_link::service_event::kRepeat);
      }
      self->ForwardBody();
    }
  };
  events.on_head = [weak, weak_attempt](const answer_head& head) {
    const auto self = weak.lock();
    if (const auto current = weak_attempt.lock(); self && current) {
      self->OnAnswerHead(current, head);
    }
  };
  events.on_body = [weak, weak_attempt](std::string_view part) {
    const auto self = weak.lock();
    if (const auto current = weak_attempt.lock(); self && current) {
      self->OnAnswerBody(current, part);
    }
  };
  events.on_end = [weak, weak_attempt, handle, &context = context_](call_result result,
                                                                    const std::string& detail) {
    context.tracker.End(handle);
    const auto self = weak.lock();
    if (const auto ended = weak_attempt.lock(); self && ended) {
      self->OnAttemptEnd(ended, result, detail);
    }
  };
  events.on_drained = [weak] {
    if (const auto self = weak.lock()) {
      self->ForwardBody();
    }
  };
  this_attempt->call =
      std::make_shared<upstream_call>(context_.connections, context_.settings.upstreams,
                                      context_.clock, MakePlan(upstream), std::move(events));
  this_attempt->call->SendBody(buffered_body_);
  if (IsBodyBuffered()) {
    this_attempt->call->FinishBody();
  } else {
    body_target_ = this_attempt;
  }
  this_attempt->call->Start();
  StartSlowTimer();
}

// Streams a body that is too large to be buffered. Reads from the caller only once the upstream is
// connected, and only as fast as the upstream accepts the data.
void request_flow::ForwardBody() {
  if (is_complete_ || !body_target_ || !body_target_->call->IsSent()) {
    return;
  }
  const attempt_ptr target = body_target_;
  if (target->call->Unsent() > kMaxUnsentBytes) {
    return;
  }
  const std::string part = body_->Take();
  if (!part.empty()) {
    is_body_replayable_ = false;
    target->call->SendBody(part);
  }
  if (body_->IsComplete()) {
    target->call->FinishBody();
    body_target_.reset();
  }
}

void request_flow::OnAnswerHead(const attempt_ptr& this_attempt, const answer_head& head) {
  this_attempt->head = head;
  if (head.status < kMinServerErrorStatus) {
    NoteResponseTime(*this_attempt);
  }
  if (body_target_ == this_attempt) {
    // The upstream responds before it has read the whole body. The rest is not sent.
    body_target_.reset();
  }
}

void request_flow::OnAnswerBody(const attempt_ptr& this_attempt, std::string_view part) {
  if (is_complete_) {
    return;
  }
  if (streaming_ == this_attempt) {
    sink_->Append(part);
    PauseWhileCallerIsSlow();
    return;
  }
  this_attempt->body += part;
  this_attempt->hold.Set(this_attempt->body.size());
  if (this_attempt->body.size() <= BufferLimit()) {
    return;
  }
  if (!streaming_ && this_attempt->head.status < kMinServerErrorStatus) {
    StartStreaming(this_attempt);
    return;
  }
  this_attempt->body.clear();
  this_attempt->hold.Set(0);
  if (streaming_) {
    // The caller gets the response of another attempt, which says nothing about this upstream.
    std::erase(attempts_, this_attempt);
    context_.tracker.End(this_attempt->upstream);
    this_attempt->call->Cancel();
    return;
  }
  this_attempt->call->Break("the body of the server error is larger than the buffer");
}

// Commits to this response: the caller can no longer get that of another attempt.
void request_flow::StartStreaming(const attempt_ptr& this_attempt) {
  streaming_ = this_attempt;
  slow_timer_.stop();
  CancelLosers(this_attempt);
  answer_head head = this_attempt->head;
  head.headers = WithoutHopByHop(head.headers);
  sink_->on_drained = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->streaming_) {
      self->waiting_for_caller_since_.reset();
      self->streaming_->call->Pause(false);
    }
  };
  sink_->Begin(head);
  this_attempt->hold.Set(0);
  sink_->Append(std::exchange(this_attempt->body, {}));
  PauseWhileCallerIsSlow();
}

// The bytes of an answer that may wait for its end, or for the caller to take them.
std::size_t request_flow::BufferLimit() const {
  return context_.buffers.BufferLimit(kMaxBufferedAnswerBytes, kMinBufferedAnswerBytes);
}

std::size_t request_flow::GiveUpSlowCaller() {
  const auto keep_alive = shared_from_this();
  if (is_complete_ || !streaming_) {
    return 0;
  }
  const std::size_t unsent = sink_->Unsent();
  CancelAttempts();
  AbortStreaming("the caller does not read, and the buffers of the VM are full");
  return unsent;
}

// Stops reading of the streamed response until the caller has taken the buffered bytes.
void request_flow::PauseWhileCallerIsSlow() {
  const bool is_slow = sink_->Unsent() > BufferLimit();
  if (!is_slow) {
    waiting_for_caller_since_.reset();
  } else if (!waiting_for_caller_since_) {
    waiting_for_caller_since_ = context_.clock.Now();
  }
  streaming_->call->Pause(is_slow);
}

void request_flow::NoteEvidence(const attempt& this_attempt,
                                attempt_evidence evidence,
                                bool has_relative_latency) {
  context_.tracker.Observe(this_attempt.upstream, evidence);
  attempt_outcome note{this_attempt.upstream, evidence, 0};
  if (has_relative_latency && route_->objective.count() > 0) {
    const auto taken = duration_cast<microseconds>(context_.clock.Now() - this_attempt.started);
    const double relative_latency =
        std::chrono::duration<double>(taken) / std::chrono::duration<double>(route_->objective);
    note.relative_latency =
        std::max(1U, static_cast<std::uint32_t>(relative_latency * kRelativeLatencyScale));
  }
  context_.link.NoteOutcome(note);
}

void request_flow::OnAttemptEnd(const attempt_ptr& this_attempt,
                                call_result result,
                                const std::string& detail) {
  const auto keep_alive = shared_from_this();
  std::erase(attempts_, this_attempt);
  if (body_target_ == this_attempt) {
    body_target_.reset();
  }
  const bool is_server_error =
      result == call_result::kAnswered && this_attempt->head.status >= kMinServerErrorStatus;
  log_event(log_level::kInfo, "attempt_ended")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("upstream", this_attempt->upstream_id)
      .Field("result", NameOf(result))
      .Field("status", this_attempt->head.status)
      .Field("detail", detail)
      .Field("is_reused", static_cast<int>(this_attempt->call->IsReused()))
      .Field("taken_ms",
             duration_cast<milliseconds>(context_.clock.Now() - this_attempt->started).count());
  if (IsNotRun(result) && this_attempt->call->IsSent()) {
    --possible_runs_;
  }
  switch (result) {
    case call_result::kAnswered:
      if (!is_server_error && context_.crashes.NoteSuccess(fingerprint_, context_.clock.Now())) {
        context_.link.NoteCrash({fingerprint_, this_attempt->upstream, true});
      }
      NoteEvidence(
          *this_attempt,
          !is_server_error && this_attempt->is_silence_reported ? attempt_evidence::kLateSuccess
          : !is_server_error                                    ? attempt_evidence::kGood
          : this_attempt->head.status == kGatewayTimeoutStatus  ? attempt_evidence::kTimedOut
                                                                : attempt_evidence::kFailed,
          !is_server_error);
      break;
    case call_result::kNotConnected:
      ++failed_connects_;
      NoteEvidence(*this_attempt, attempt_evidence::kTimedOut, false);
      break;
    case call_result::kWithheld:
      NoteKeptAway(context_, this_attempt->incarnation);
      break;
    case call_result::kNotExecuted:
      context_.tracker.NoteShed(this_attempt->upstream);
      break;
    case call_result::kWrongInstance:
      context_.view.MarkReplaced(this_attempt->upstream);
      break;
    case call_result::kLost:
      NoteEvidence(*this_attempt, attempt_evidence::kFailed, false);
      NoteCrash(*this_attempt);
      break;
    case call_result::kClosedIdle:
      break;
    case call_result::kBroken:
      NoteEvidence(*this_attempt, attempt_evidence::kFailed, false);
      break;
  }
  last_attempt_detail_ = detail;
  if (is_complete_) {
    if (attempts_.empty()) {
      context_.ended_flows.erase(this);
    }
    return;
  }
  if (streaming_ == this_attempt) {
    if (result == call_result::kAnswered) {
      NoteAnswerTime();
      sink_->End();
      Complete();
    } else {
      AbortStreaming(detail);
    }
    return;
  }
  if (streaming_) {
    return;
  }
  if (result == call_result::kAnswered && !is_server_error) {
    OnAnswered(this_attempt);
    return;
  }
  // An attempt that was not sent has not used the token of its repeat.
  if (result == call_result::kWithheld && MayRepeat() &&
      StartNextAttempt(this_attempt->is_repeat)) {
    return;
  }
  if (is_server_error) {
    failure_head_ = this_attempt->head;
    failure_body_ = this_attempt->body;
  }
  RepeatOrFinish();
}

void request_flow::NoteCrash(const attempt& lost) {
  const bool is_reported = context_.crashes.NoteLoss(fingerprint_, context_.clock.Now());
  log_event(log_level::kInfo, "upstream_crashed")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("upstream", lost.upstream_id)
      .Field("fingerprint", fingerprint_)
      .Field("is_reported", static_cast<int>(is_reported));
  if (is_reported) {
    context_.link.NoteCrash({fingerprint_, lost.upstream, false});
  }
}

void request_flow::OnAnswered(const attempt_ptr& this_attempt) {
  double& kilobytes =
      context_.answer_kilobytes.try_emplace(route_->name, kDefaultAnswerKilobytes).first->second;
  kilobytes += kAnswerSizeSmoothing *
               (static_cast<double>(this_attempt->body.size()) / kBytesPerKilobyte - kilobytes);
  NoteAnswerTime();
  CancelLosers(this_attempt);
  Deliver(this_attempt->head, this_attempt->body);
}

bool request_flow::MayRepeat() const {
  if (UpstreamTimeLeft() < kMinTimeLeftForAttempt || failed_connects_ >= kMaxFailedConnects ||
      sent_attempts_ >= kMaxSentAttempts || !is_body_replayable_) {
    return false;
  }
  if (possible_runs_ == 0) {
    return MayStart();
  }
  return IsIdempotent() && possible_runs_ < route_->attempts &&
         !context_.view.IsBlocked(fingerprint_);
}

bool request_flow::TakeRepeat(repeat_cause cause) {
  const bool is_budget_low = context_.view.IsRepeatBudgetLow(service_, context_.clock.Now());
  return context_.repeats.TryTake(service_, cause, is_budget_low,
                                  context_.view.Limits().active_vms);
}

void request_flow::RepeatOrFinish() {
  if (!attempts_.empty()) {
    return;  // Another attempt is still running.
  }
  const bool was_sent = sent_attempts_ > 0;
  if (MayRepeat() && (!was_sent || TakeRepeat(repeat_cause::kFailure)) &&
      StartNextAttempt(was_sent)) {
    return;
  }
  if (!ReturnToQueue()) {
    FinishWithoutAnswer();
  }
}

}  // namespace corianderhoist
