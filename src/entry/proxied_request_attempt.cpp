// `proxied_request`: attempts at upstreams and the reports of their outcome to coordinators.
#include "base/log.h"
#include "entry/proxied_request.h"
#include "entry/request_headers.h"
#include "observe/metrics.h"

#include <algorithm>
#include <charconv>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout(1000);
// With less time left, a retry is unlikely to be answered and would only occupy a slot.
constexpr milliseconds kMinAttemptTime(20);
constexpr int kMaxAttempts = 3;
// Reading from the upstream pauses when more than this waits for a slow caller.
constexpr std::size_t kMaxUnsentBytes = 256UL << 10U;
constexpr std::size_t kMaxStoredBodyBytes = 256UL << 10U;
constexpr milliseconds kCompleteTryTimeout(1000);
constexpr std::chrono::seconds kCompleteTimeout(10);
constexpr int kMaxRetryAfterSeconds = 3600;
constexpr int kServiceUnavailable = 503;
constexpr int kMinServerErrorStatus = 500;

bool IsShed(const answer_head& head) {
  return head.status == kServiceUnavailable && FindHeader(head.headers, "Corianderhoist-Shed");
}

std::optional<std::chrono::seconds> ParseRetryAfter(const answer_head& head) {
  const std::string* value = FindHeader(head.headers, "Retry-After");
  int number = 0;
  if (!value) {
    return std::nullopt;
  }
  const char* end = value->data() + value->size();
  const auto [stop, status] = std::from_chars(value->data(), end, number);
  if (status != std::errc() || stop != end || number < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::min(number, kMaxRetryAfterSeconds));
}

error_kind ErrorKindFor(attempt_result result) {
  switch (result) {
    case attempt_result::kNotSent:
    case attempt_result::kConnectFailed:
      return error_kind::kUpstreamUnreachable;
    case attempt_result::kShed:
      return error_kind::kUpstreamShedding;
    case attempt_result::kTimeout:
      return error_kind::kUpstreamTimeout;
    default:
      return error_kind::kUpstreamBroken;
  }
}

}  // namespace

void proxied_request::StartAttempt() {
  const auto address = Recover([&] { return ParseEndpoint(grant_.address); },
                               [](const error&) { return endpoint{}; });
  if (address.port == 0) {
    Complete(attempt_result::kNotSent, false);
    Refuse(error_kind::kUpstreamUnreachable, "the upstream announced an invalid address");
    return;
  }
  exchange_request outgoing;
  outgoing.upstream = {grant_.upstream, grant_.incarnation, address};
  outgoing.request = &request_;
  outgoing.headers = upstream_headers_;
  outgoing.headers.push_back({"Corianderhoist-Request-Id", request_.id});
  const auto upstream_time =
      duration_cast<milliseconds>(worker_.drain.UpstreamDeadline(deadline_) - context_.clock.Now());
  outgoing.headers.push_back({"Corianderhoist-Deadline-Ms",
                              std::to_string(std::max(upstream_time, milliseconds(1)).count())});
  if (!routed_.workspace.empty()) {
    outgoing.headers.push_back({"Corianderhoist-Workspace", routed_.workspace});
  }
  outgoing.connect_timeout = std::clamp(Remaining(), milliseconds(1), kConnectTimeout);
  // The upstream may close an idle connection at the moment of its reuse; for a request that must
  // not be repeated that would leave the outcome unknown.
  outgoing.may_reuse = routed_.route->run == route_run::kIdempotent && attempt_number_ == 1;
  outgoing.idle_connections = grant_.idle_connections;
  attempt_started_at_ = context_.clock.Now();
  exchange_ = std::make_shared<upstream_exchange>(
      worker_.pool, std::move(outgoing),
      upstream_exchange::events{[this](answer_head head) { OnHead(std::move(head)); },
                                [this](std::string_view part) { OnBody(part); },
                                [this](const exchange_end& end) { OnEnd(end); }});
  StartAttemptTimer();
  exchange_->Start();
}

// Limits an attempt that can be retried on another upstream to half of the remaining time.
void proxied_request::StartAttemptTimer() {
  if (routed_.route->run != route_run::kIdempotent || attempt_number_ >= kMaxAttempts) {
    return;
  }
  if (!attempt_timer_) {
    attempt_timer_ = std::make_unique<QTimer>();
    attempt_timer_->setSingleShot(true);
    QObject::connect(attempt_timer_.get(), &QTimer::timeout, attempt_timer_.get(),
                     [this] { OnAttemptTimeout(); });
  }
  attempt_timer_->start(std::max(Remaining() / 2, milliseconds(1)));
}

void proxied_request::OnAttemptTimeout() {
  if (has_ended_ || answer_ || !exchange_ || !CanRetry(attempt_result::kTimeout) ||
      !context_.retries.TryTake()) {
    return;
  }
  const bool is_sent = exchange_->IsSent();
  exchange_->Cancel();
  if (is_sent) {
    unknown_outcome_refusal_ =
        refusal{error_kind::kUpstreamTimeout, "no answer from the upstream in time", {}};
  }
  Retry(is_sent ? attempt_result::kTimeout : attempt_result::kConnectFailed, is_sent);
}

void proxied_request::OnHead(answer_head head) {
  if (IsShed(head)) {
    OnShed(head);
    return;
  }
  if (head.status >= kMinServerErrorStatus && CanRetry(attempt_result::kServerError) &&
      context_.retries.TryTake()) {
    OnServerError();
    return;
  }
  if (attempt_timer_) {
    attempt_timer_->stop();
  }
  answer_ = answer_head{head.status, HeadersForCaller(head.headers), head.length};
  answer_head visible = *answer_;
  visible.headers.push_back({"Corianderhoist-Request-Id", request_.id});
  visible.headers.push_back({"Corianderhoist-Place", grant_.place});
  sink_->Begin(visible);
}

void proxied_request::OnShed(const answer_head& head) {
  exchange_->Cancel();
  if (CanRetry(attempt_result::kShed) && context_.retries.TryTake()) {
    Retry(attempt_result::kShed, false);
    return;
  }
  Complete(attempt_result::kShed, false);
  Refuse(error_kind::kUpstreamShedding, "the upstream declined the request for load",
         ParseRetryAfter(head));
}

void proxied_request::OnServerError() {
  exchange_->Cancel();
  unknown_outcome_refusal_ = refusal{error_kind::kUpstreamBroken, "the upstream failed", {}};
  Retry(attempt_result::kServerError, false);
}

void proxied_request::OnBody(std::string_view part) {
  if (!answer_) {
    return;
  }
  if (HasIdempotencyKey() && is_body_stored_) {
    is_body_stored_ = answer_body_.size() + part.size() <= kMaxStoredBodyBytes;
    if (is_body_stored_) {
      answer_body_ += part;
    }
  }
  sink_->Append(part);
  if (sink_->Unsent() > kMaxUnsentBytes) {
    exchange_->Pause();
  }
}

void proxied_request::OnEnd(const exchange_end& end) {
  const bool is_complete = IsCompleteAnswer(end.result);
  if (!is_complete) {
    OnFailedAttempt(end);
    return;
  }
  static latency_metric& exchange = metrics::Instance().Latency("requests.exchange");
  exchange.Add(duration_cast<microseconds>(context_.clock.Now() - attempt_started_at_));
  NoteAnswerTime();
  Complete(end.result, false);
  static counter& answered = metrics::Instance().Counter("requests.answered");
  answered.Add();
  log_event(log_level::kDebug, "request_answered")
      .Field("request_id", request_.id)
      .Field("workspace", routed_.workspace)
      .Field("status", answer_->status)
      .Field("upstream", grant_.upstream)
      .Field("place", grant_.place);
  sink_->End();
  Finish();
}

void proxied_request::OnFailedAttempt(const exchange_end& end) {
  const error_kind kind = ErrorKindFor(end.result);
  if (answer_) {
    Complete(end.result, false);
    log_event(log_level::kInfo, "answer_broken")
        .Field("request_id", request_.id)
        .Field("workspace", routed_.workspace)
        .Field("cause", end.detail)
        .Field("upstream", grant_.upstream);
    sink_->Abort();
    Finish();
    return;
  }
  if (!WasNotRun(end.result)) {
    unknown_outcome_refusal_ = refusal{kind, end.detail, {}};
  }
  // A failed connection caused no work on an upstream, so the retry budget does not apply.
  const bool is_unsent = end.result == attempt_result::kConnectFailed;
  if (CanRetry(end.result) && (is_unsent || context_.retries.TryTake())) {
    Retry(end.result, false);
    return;
  }
  Complete(end.result, false);
  Refuse(kind, end.detail);
}

bool proxied_request::CanRetry(attempt_result last) const {
  const bool may_repeat = routed_.route->run == route_run::kIdempotent || WasNotRun(last);
  return may_repeat && !answer_ && !has_ended_ && !is_caller_disconnected_ &&
         attempt_number_ < kMaxAttempts && Remaining() > kMinAttemptTime;
}

// Reports the failed attempt and requests a slot on another upstream.
void proxied_request::Retry(attempt_result last, bool is_upstream_busy) {
  metrics::Instance().Counter("requests.retried").Add();
  // The exchange may be the emitter of the current event, so its destruction is deferred.
  worker_.loop.Post([old = std::exchange(exchange_, nullptr)] {});
  tried_upstreams_.push_back(grant_.upstream);
  ++attempt_number_;
  if (!HasIdempotencyKey()) {
    Complete(last, is_upstream_busy);
    Reacquire();
    return;
  }
  // The home coordinator must abandon the idempotency record before it can begin a new one.
  Complete(last, is_upstream_busy, [self = shared_from_this()] {
    if (!self->has_ended_) {
      self->Reacquire();
    }
  });
}

complete_request proxied_request::MakeComplete(attempt_result outcome) const {
  complete_request message;
  message.request_id = AttemptId();
  message.entry_vm = context_.settings.process.name;
  message.session = context_.session;
  message.lease = grant_.lease;
  message.workspace = routed_.workspace;
  message.upstream = grant_.upstream;
  message.incarnation = grant_.incarnation;
  message.outcome = outcome;
  message.fingerprint = fingerprint_;
  if (attempt_started_at_ != steady_time()) {
    message.latency = duration_cast<microseconds>(context_.clock.Now() - attempt_started_at_);
  }
  return message;
}

// Reports to the coordinator that issued the lease and, if that is another one, to the home
// coordinator, which keeps the idempotency record and counts crashes.
void proxied_request::Complete(attempt_result outcome,
                               bool is_upstream_busy,
                               const std::function<void()>& done) {
  complete_request message = MakeComplete(outcome);
  message.is_upstream_busy = is_upstream_busy;
  complete_request home_message = message;
  home_message.idempotency_key = idempotency_key_;
  const bool is_complete = IsCompleteAnswer(outcome);
  if (HasIdempotencyKey() && is_complete && answer_) {
    home_message.answer = ToStored(*answer_, std::exchange(answer_body_, {}));
    home_message.answer->is_complete = is_body_stored_;
  }
  if (grant_.lease.empty()) {
    home_message.lease = grant_.admission;  // Identifies the attempt in the idempotency record.
  }
  if (grant_region_ == routed_.home_region) {
    SendComplete(grant_region_, std::move(home_message), done);
    return;
  }
  SendComplete(grant_region_, std::move(message), {});
  SendComplete(routed_.home_region, std::move(home_message), done);
}

// Abandons the idempotency record that the home coordinator began before the coordinator of another
// region refused the request.
void proxied_request::AbandonRecord() {
  if (!HasIdempotencyKey() || grant_.admission.empty()) {
    return;
  }
  complete_request message = MakeComplete(attempt_result::kNotSent);
  message.lease = grant_.admission;  // Identifies the attempt in the idempotency record.
  message.idempotency_key = idempotency_key_;
  SendComplete(routed_.home_region, std::move(message), {});
}

void proxied_request::SendComplete(const std::string& region,
                                   complete_request message,
                                   const std::function<void()>& done) {
  coordinator_client* coordinator = worker_.FindCoordinator(region);
  if (!coordinator) {
    return;
  }
  ++context_.pending_completes;
  auto encoded = std::make_shared<const std::string>(Encode(message));
  coordinator->Call<empty_message>(
      {"coordinator.complete", [encoded] { return *encoded; }, kCompleteTryTimeout,
       context_.clock.Now() + kCompleteTimeout},
      [&context = context_, region, lease = message.lease, id = message.request_id, done](
          const rpc_result<empty_message>& reply, steady_time) {
        --context.pending_completes;
        context.leases.Remove(region, lease);
        if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
          log_event(log_level::kWarning, "outcome_not_reported")
              .Field("request_id", id)
              .Field("region", region)
              .Field("cause", failure->detail);
        }
        if (done) {
          done();
        }
      });
}

}  // namespace corianderhoist
