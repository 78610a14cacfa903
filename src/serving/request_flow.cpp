#include "serving/request_flow.h"

#include "base/hash.h"
#include "base/log.h"
#include "observe/metrics.h"
#include "serving/return_time.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A request body up to this size is buffered, so that it can be sent again.
constexpr std::size_t kMaxReplayableBodyBytes = 64UL << 10U;
// A caller that has not taken the buffered bytes for this long is stalled. Shorter waits occur with
// every upstream that sends faster than its caller reads.
constexpr milliseconds kCallerStallTime(250);
constexpr int kMinServerErrorStatus = 500;

std::optional<std::int64_t> ReadNumber(const std::string* text) {
  std::int64_t value = 0;
  if (text == nullptr) {
    return std::nullopt;
  }
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
  const bool is_whole = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
  return is_whole && value >= 0 ? std::optional(value) : std::nullopt;
}

}  // namespace

// Steps by the golden ratio are a low-discrepancy sequence: any number of them is spread evenly
// over the weights.
const route_part& ChoosePart(const policy_route& route, double& position) {
  assert(!route.parts.empty() && "a validated route has at least one part");
  constexpr double kGoldenRatioStep = 0.6180339887498949;
  position += kGoldenRatioStep;
  position -= position >= 1 ? 1 : 0;
  double total = 0;
  for (const route_part& part : route.parts) {
    total += part.weight;
  }
  double rest = position * total;
  for (const route_part& part : route.parts) {
    if (rest < part.weight) {
      return part;
    }
    rest -= part.weight;
  }
  return route.parts.back();
}

request_flow::request_flow(serving_context& context,
                           http_request request,
                           std::shared_ptr<request_body> body,
                           std::shared_ptr<answer_sink> sink)
    : context_(context),
      request_(std::move(request)),
      body_(std::move(body)),
      sink_(std::move(sink)),
      arrived_(context.clock.Now()),
      deadline_(arrived_),
      hold_(&context.buffers) {
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  slow_timer_.setSingleShot(true);
  slow_timer_.setTimerType(Qt::PreciseTimer);
}

request_flow::~request_flow() {
  body_->on_update = nullptr;
  sink_->on_caller_disconnected = nullptr;
  sink_->on_drained = nullptr;
}

milliseconds request_flow::TimeLeft() const {
  return duration_cast<milliseconds>(context_.drain.AnswerDeadline(deadline_) -
                                     context_.clock.Now());
}

milliseconds request_flow::UpstreamTimeLeft() const {
  return duration_cast<milliseconds>(context_.drain.UpstreamDeadline(deadline_) -
                                     context_.clock.Now());
}

bool request_flow::MayStart() const {
  return context_.drain.MayStart(context_.clock.Now(), deadline_, ExpectedAnswer());
}

answer_estimate request_flow::EstimateOf(const policy_route& route, milliseconds limit) const {
  const auto known = context_.answer_times.find(route.name);
  return known == context_.answer_times.end() ? answer_time().Estimate(route.objective, limit)
                                              : known->second.Estimate(route.objective, limit);
}

void request_flow::Start() {
  context_.flows.emplace(this, shared_from_this());
  sink_->on_caller_disconnected = [this] { OnCallerDisconnected(); };
  if (!Admit() && waiter_id_ == 0) {
    return;
  }
  QObject::connect(&deadline_timer_, &QTimer::timeout, &deadline_timer_, [this] { OnDeadline(); });
  QObject::connect(&slow_timer_, &QTimer::timeout, &slow_timer_, [this] { OnSlowTimer(); });
  StartTimeLimit();
  body_->on_update = [this] { OnBodyEvent(); };
  OnBodyEvent();
}

void request_flow::StartTimeLimit() {
  deadline_timer_.start(std::max(TimeLeft(), milliseconds(1)));
}

admission_decision request_flow::Decide() const {
  const std::string* host = FindHeader(request_.headers, "Host");
  return context_.admission_control.Decide(
      {host != nullptr ? *host : std::string_view(), request_.path,
       FindHeader(request_.headers, context_.settings.callers.key)});
}

std::optional<milliseconds> request_flow::TimeLimit(const policy_route* route) const {
  const auto given =
      ReadNumber(FindHeader(request_.headers, context_.settings.callers.deadline_ms));
  const milliseconds own = route != nullptr ? route->timeout : milliseconds(0);
  if (!given) {
    return route != nullptr ? std::optional(own) : std::nullopt;
  }
  return own.count() > 0 ? std::min(own, milliseconds(*given)) : milliseconds(*given);
}

bool request_flow::Admit() {
  const caller_header_names& names = context_.settings.callers;
  if (const std::string* id = FindHeader(request_.headers, names.attempt_id)) {
    attempt_id_ = *id;
  }
  const admission_decision decision = Decide();
  if (WaitForState(decision)) {
    return false;
  }
  if (decision.refusal) {
    log_event(log_level::kInfo, "admission_refused")
        .Field("request_id", request_.id)
        .Field("attempt_id", attempt_id_)
        .Field("error", AnswerFor(*decision.refusal).name)
        .Field("state_age_ms", std::int64_t(decision.state_age.count()))
        .Field("policy_version", decision.policy ? decision.policy->Version() : 0);
    Refuse(*decision.refusal, decision.detail);
    return false;
  }
  policy_ = decision.policy;
  route_ = decision.route;
  workspace_ = decision.workspace;
  deadline_ = arrived_ + TimeLimit(route_).value_or(milliseconds(0));
  if (workspace_ != nullptr) {
    const bool is_within_rate = context_.admission_control.TakeRate(*workspace_);
    context_.link.NoteWorkspace(workspace_->name, is_within_rate);
    if (!is_within_rate) {
      log_event(log_level::kInfo, "rate_refused")
          .Field("request_id", request_.id)
          .Field("attempt_id", attempt_id_)
          .Field("workspace", workspace_->name)
          .Field("admitted_per_mille",
                 static_cast<int>(context_.view.AdmittedShare(workspace_->name) * 1000))
          .Field("state_age_ms", std::int64_t(decision.state_age.count()));
      Refuse(error_kind::kOverRate, "the workspace is over its rate");
      return false;
    }
  }
  const auto [position, is_new] = context_.split_positions.try_emplace(route_->name, 0);
  if (is_new) {
    constexpr double kSteps = 1'000'000;
    position->second = static_cast<double>(context_.random() % 1'000'000) / kSteps;
  }
  service_ = ChoosePart(*route_, position->second).service;
  return true;
}

void request_flow::OnBodyEvent() {
  const auto keep_alive = shared_from_this();
  if (is_complete_) {
    return;
  }
  if (body_->IsBroken()) {
    CancelAttempts();
    if (streaming_) {
      AbortStreaming("the body of the request is not valid");
    } else {
      Refuse(error_kind::kBadRequest, "body is not valid");
    }
    return;
  }
  if (has_begun_) {
    ForwardBody();
    return;
  }
  const bool is_waiting = waiter_id_ != 0;
  if (is_waiting && buffered_body_.size() >= kMaxReplayableBodyBytes) {
    return;
  }
  buffered_body_ += body_->Take();
  hold_.Set(buffered_body_.size());
  if (is_waiting) {
    if (context_.buffers.IsExhausted()) {
      Refuse(error_kind::kQueueFull, "the buffers of the VM are in use");
    }
    return;
  }
  if (body_->IsComplete() || buffered_body_.size() >= kMaxReplayableBodyBytes) {
    Begin();
  }
}

void request_flow::Begin() {
  has_begun_ = true;
  // How much of a larger body is buffered depends on how it arrives.
  fingerprint_ =
      FastHash((workspace_ != nullptr ? workspace_->name : std::string()) + "\n" + request_.method +
               " " + request_.target + "\n" + buffered_body_.substr(0, kMaxReplayableBodyBytes));
  if (context_.view.IsBlocked(fingerprint_)) {
    Refuse(error_kind::kRequestHeldBack, "requests like this one have ended upstreams");
    return;
  }
  if (!MayStart()) {
    Refuse(error_kind::kShuttingDown, "the VM is shutting down");
    return;
  }
  if (IsTooLargeNow()) {
    Refuse(error_kind::kQueueFull, "the buffers of the VM are in use");
    return;
  }
  context_.repeats.CountRequest(service_);
  context_.hedges.CountRequest(service_, route_->name);
  context_.link.NoteService(service_, fleet_link::service_event::kRequest);
  StartOrWait();
}

// Whether the body would be streamed through buffers that requests in progress need.
bool request_flow::IsTooLargeNow() const {
  return context_.buffers.IsExhausted() || (context_.buffers.IsLow() && !body_->IsTaken());
}

// Failures of trials are not counted: trials of a suspected upstream would otherwise keep causing
// further trials.
void request_flow::NoteFailure() {
  if (!has_trial_attempt_) {
    context_.link.NoteService(service_, fleet_link::service_event::kFailure);
  }
}

void request_flow::NoteAnswerTime() {
  context_.answer_times[route_->name].Add(
      duration_cast<microseconds>(context_.clock.Now() - arrived_ - waited_));
}

void request_flow::Deliver(const answer_head& head, const std::string& body) {
  if (head.status >= kMinServerErrorStatus) {
    NoteFailure();
  }
  answer_head own = head;
  own.headers = WithoutHopByHop(head.headers);
  log_event(log_level::kInfo, "request_done")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("route", route_->name)
      .Field("status", head.status)
      .Field("arrivals", std::uint64_t(sent_attempts_))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  static latency_metric& latency = metrics::Instance().Latency("requests.answered");
  latency.Add(duration_cast<microseconds>(context_.clock.Now() - arrived_));
  metrics::Instance().Counter("requests.status_" + std::to_string(head.status)).Add();
  if (request_.method == "HEAD") {
    own.length = head.length;
    sink_->Begin(own);
    sink_->End();
  } else {
    SendCompleteAnswer(*sink_, std::move(own), body);
  }
  Complete();
}

void request_flow::Refuse(error_kind kind, const std::string& detail) {
  // A refusal because of the shutdown says nothing about the service.
  if (has_begun_ && kind != error_kind::kShuttingDown) {
    NoteFailure();
  }
  log_event(log_level::kInfo, "request_refused")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("drain_ms", std::int64_t(context_.drain.ElapsedAt(context_.clock.Now()).count()))
      .Field("route", route_ != nullptr ? route_->name : std::string())
      .Field("error", AnswerFor(kind).name)
      .Field("detail", detail)
      .Field("last_attempt", last_attempt_detail_)
      .Field("arrivals", std::uint64_t(sent_attempts_))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  metrics::Instance().Counter("requests.refused_" + std::string(AnswerFor(kind).name)).Add();
  refusal why{kind, detail, {}};
  if (AnswerFor(kind).retry_after) {
    why.retry_after = ReturnTime(context_, kind, service_, Rank());
  }
  SendRefusal(*sink_, why, request_.id);
  Complete();
}

void request_flow::FinishWithoutAnswer() {
  if (failure_head_) {
    Deliver(*failure_head_, failure_body_);
  } else if (possible_runs_ == 0 && !MayStart()) {
    Refuse(error_kind::kShuttingDown, "the VM is shutting down");
  } else if (possible_runs_ == 0) {
    Refuse(error_kind::kUpstreamUnreachable, "no upstream took the request");
  } else {
    Refuse(error_kind::kUpstreamBroken, "the upstream did not give a whole answer");
  }
}

// Ends a response that has been partly sent, so that the caller does not take it for complete.
void request_flow::AbortStreaming(const std::string& detail) {
  log_event(log_level::kInfo, "answer_aborted")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("upstream", streaming_->upstream_id)
      .Field("detail", detail)
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  metrics::Instance().Counter("requests.aborted").Add();
  sink_->on_caller_disconnected = nullptr;
  sink_->Abort();
  Complete();
}

void request_flow::OnDeadline() {
  const auto keep_alive = shared_from_this();
  if (is_complete_) {
    return;
  }
  if (waiter_id_ != 0) {
    RefuseWaiting();
    return;
  }
  if (possible_runs_ > 0) {
    NoteAnswerTime();
  }
  if (streaming_) {
    // An upstream whose response waits for a stalled caller is not the cause.
    const bool is_caller_stalled =
        waiting_for_caller_since_ &&
        context_.clock.Now() - *waiting_for_caller_since_ >= kCallerStallTime;
    if (!is_caller_stalled) {
      NoteEvidence(*streaming_, attempt_evidence::kTimedOut, false);
      NoteFailure();
    }
    CancelAttempts();
    AbortStreaming("the response did not end before the deadline");
    return;
  }
  for (const attempt_ptr& each : attempts_) {
    NoteSilence(each);
    if (!each->call->HasAnswerBegun()) {
      NoteResponseTime(*each);
    }
  }
  CancelAttempts();
  if (failure_head_) {
    Deliver(*failure_head_, failure_body_);
  } else if (possible_runs_ == 0) {
    Refuse(error_kind::kQueueTimeout, "no upstream took the request in time");
  } else {
    Refuse(error_kind::kUpstreamTimeout, "no answer in time");
  }
}

void request_flow::OnDrainProgress() {
  const auto keep_alive = shared_from_this();
  if (is_complete_) {
    return;
  }
  const bool has_been_sent = has_begun_ && !context_.queues.IsWaiting(queue_id_);
  if (waiter_id_ == 0 && !has_been_sent && !MayStart()) {
    Refuse(error_kind::kShuttingDown, "the VM is shutting down");
    return;
  }
  const milliseconds left = TimeLeft();
  if (left.count() <= 0) {
    // The event loop is late. The process may end before the timer fires.
    OnDeadline();
  } else if (deadline_timer_.remainingTimeAsDuration() > left) {
    deadline_timer_.start(left);
  }
}

void request_flow::NoteCut() const {
  log_event(log_level::kWarning, "request_cut")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("route", route_ != nullptr ? route_->name : std::string())
      .Field("upstream", attempts_.empty() ? std::string() : attempts_.back()->upstream_id)
      .Field("arrivals", std::uint64_t(sent_attempts_))
      .Field("arrived_drain_ms", std::int64_t(context_.drain.ElapsedAt(arrived_).count()))
      .Field("drain_ms", std::int64_t(context_.drain.ElapsedAt(context_.clock.Now()).count()))
      .Field("left_ms", std::int64_t(TimeLeft().count()))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  metrics::Instance().Counter("requests.cut_by_drain").Add();
}

void request_flow::OnCallerDisconnected() {
  const auto keep_alive = shared_from_this();
  if (is_complete_) {
    return;
  }
  log_event(log_level::kInfo, "caller_left")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("arrivals", std::uint64_t(sent_attempts_))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  CancelAttempts();
  EndWait(wait_outcome::kLeft);
  Complete();
}

void request_flow::CancelAttempts() {
  for (const attempt_ptr& each : std::exchange(attempts_, {})) {
    context_.tracker.End(each->upstream);
    each->call->Cancel();
  }
}

void request_flow::Complete() {
  if (std::exchange(is_complete_, true)) {
    return;
  }
  deadline_timer_.stop();
  slow_timer_.stop();
  context_.queues.Leave(queue_id_);
  body_->on_update = nullptr;
  sink_->on_caller_disconnected = nullptr;
  sink_->on_drained = nullptr;
  EndWait(wait_outcome::kRefused);
  const auto found = context_.flows.find(this);
  assert(found != context_.flows.end() && "Complete called twice");
  // Another attempt that is still running is left to end by itself, until the deadline, so that the
  // slot and the connection at its upstream stay accounted for. This object is destroyed later, by
  // the event loop.
  const auto self = found->second;
  context_.flows.erase(found);
  if (!attempts_.empty()) {
    context_.ended_flows.emplace(this, self);
    QTimer::singleShot(std::max(TimeLeft(), milliseconds(0)), [weak = weak_from_this()] {
      if (const auto flow = weak.lock()) {
        flow->Abandon();
        flow->context_.ended_flows.erase(flow.get());
      }
    });
  }
  QTimer::singleShot(0, [self] {});
}

void request_flow::Abandon() {
  is_complete_ = true;
  deadline_timer_.stop();
  slow_timer_.stop();
  context_.queues.Leave(queue_id_);
  CancelAttempts();
}

}  // namespace corianderhoist
