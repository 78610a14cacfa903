// The part of `request_run` that concerns upstreams and the reports on them.
#include "base/log.h"
#include "entry/request_parts.h"
#include "entry/request_run.h"
#include "observe/metrics.h"

#include <algorithm>
#include <charconv>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout(1000);
// Shortest time in which a further attempt is worth its slot.
constexpr milliseconds kShortestAttempt(20);
constexpr int kMaxAttempts = 3;
// An answer waits in memory up to this size when the caller takes it slowly.
constexpr std::size_t kMaxUnsentBytes = 256UL << 10U;
constexpr std::size_t kMaxStoredBytes = 256UL << 10U;
constexpr milliseconds kCompleteTry(1000);
constexpr std::chrono::seconds kCompleteDeadline(10);
constexpr int kMaxRetryAfterSeconds = 3600;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

bool IsShed(const answer_head& head) {
  return head.status == kServiceUnavailable && FindHeader(head.headers, "Corianderhoist-Shed");
}

std::optional<std::chrono::seconds> RetryAfterOf(const answer_head& head) {
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

error_kind KindOf(attempt_result result) {
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

void request_run::Attempt() {
  const auto address = Recover([&] { return ParseEndpoint(grant_.address); },
                               [](const error&) { return endpoint{}; });
  if (address.port == 0) {
    Complete(attempt_result::kNotSent, false);
    Refuse(error_kind::kUpstreamUnreachable, "the upstream announced an invalid address");
    return;
  }
  exchange_request what;
  what.upstream = {grant_.upstream, grant_.incarnation, address};
  what.request = &request_;
  what.headers = upstream_headers_;
  what.headers.push_back({"Corianderhoist-Request-Id", request_.id});
  what.headers.push_back({"Corianderhoist-Deadline-Ms",
                          std::to_string(std::max(Remaining(), milliseconds(1)).count())});
  if (!routed_.workspace.empty()) {
    what.headers.push_back({"Corianderhoist-Workspace", routed_.workspace});
  }
  what.connect_timeout = std::clamp(Remaining(), milliseconds(1), kConnectTimeout);
  // The upstream may close an idle connection at the moment of its reuse; for a request that must
  // not be repeated that would leave the outcome unknown.
  what.may_reuse = routed_.route->run == route_run::kIdempotent && attempts_ == 1;
  what.idle_connections = grant_.idle_connections;
  attempt_started_at_ = context_.clock.Now();
  exchange_ = std::make_shared<upstream_exchange>(
      worker_.pool, std::move(what),
      upstream_exchange::events{[this](answer_head head) { OnHead(std::move(head)); },
                                [this](std::string_view part) { OnBody(part); },
                                [this](const exchange_end& end) { OnEnd(end); }});
  LimitAttempt();
  exchange_->Start();
}

// An attempt that can be repeated elsewhere gets half of the remaining time.
void request_run::LimitAttempt() {
  if (routed_.route->run != route_run::kIdempotent || attempts_ >= kMaxAttempts) {
    return;
  }
  if (!attempt_timer_) {
    attempt_timer_ = std::make_unique<QTimer>();
    attempt_timer_->setSingleShot(true);
    QObject::connect(attempt_timer_.get(), &QTimer::timeout, attempt_timer_.get(),
                     [this] { OnAttemptTooSlow(); });
  }
  attempt_timer_->start(std::max(Remaining() / 2, milliseconds(1)));
}

void request_run::OnAttemptTooSlow() {
  if (has_ended_ || answer_ || !exchange_ || !CanRetry(attempt_result::kTimeout) ||
      !context_.retries.TryTake()) {
    return;
  }
  const bool is_sent = exchange_->IsSent();
  exchange_->Cancel();
  if (is_sent) {
    possible_run_ =
        refusal{error_kind::kUpstreamTimeout, "no answer from the upstream in time", {}};
  }
  Retry(is_sent ? attempt_result::kTimeout : attempt_result::kConnectFailed, is_sent);
}

void request_run::OnHead(answer_head head) {
  if (IsShed(head)) {
    OnShed(head);
    return;
  }
  if (head.status >= kFirstServerError && CanRetry(attempt_result::kServerError) &&
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

void request_run::OnShed(const answer_head& head) {
  exchange_->Cancel();
  if (CanRetry(attempt_result::kShed) && context_.retries.TryTake()) {
    Retry(attempt_result::kShed, false);
    return;
  }
  Complete(attempt_result::kShed, false);
  Refuse(error_kind::kUpstreamShedding, "the upstream declined the request for load",
         RetryAfterOf(head));
}

void request_run::OnServerError() {
  exchange_->Cancel();
  possible_run_ = refusal{error_kind::kUpstreamBroken, "the upstream failed", {}};
  Retry(attempt_result::kServerError, false);
}

void request_run::OnBody(std::string_view part) {
  if (!answer_) {
    return;
  }
  if (IsOrder() && is_answer_kept_) {
    is_answer_kept_ = answer_body_.size() + part.size() <= kMaxStoredBytes;
    if (is_answer_kept_) {
      answer_body_ += part;
    }
  }
  sink_->Append(part);
  if (sink_->Unsent() > kMaxUnsentBytes) {
    exchange_->Pause();
  }
}

void request_run::OnEnd(const exchange_end& end) {
  const bool is_whole = IsWholeAnswer(end.result);
  if (!is_whole) {
    OnFailedAttempt(end);
    return;
  }
  static latency_metric& exchange = metrics::Instance().Latency("requests.exchange");
  exchange.Add(duration_cast<microseconds>(context_.clock.Now() - attempt_started_at_));
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

void request_run::OnFailedAttempt(const exchange_end& end) {
  const error_kind kind = KindOf(end.result);
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
    possible_run_ = refusal{kind, end.detail, {}};
  }
  // A connection that failed has cost no upstream any work, so the budget does not apply.
  const bool is_unsent = end.result == attempt_result::kConnectFailed;
  if (CanRetry(end.result) && (is_unsent || context_.retries.TryTake())) {
    Retry(end.result, false);
    return;
  }
  Complete(end.result, false);
  Refuse(kind, end.detail);
}

bool request_run::CanRetry(attempt_result last) const {
  const bool may_run_again = routed_.route->run == route_run::kIdempotent || WasNotRun(last);
  return may_run_again && !answer_ && !has_ended_ && !has_caller_left_ &&
         attempts_ < kMaxAttempts && Remaining() > kShortestAttempt;
}

// Reports the failed attempt and sends the request to another upstream.
void request_run::Retry(attempt_result last, bool is_upstream_busy) {
  metrics::Instance().Counter("requests.retried").Add();
  // The exchange may be the sender of the current event.
  worker_.loop.Post([old = std::exchange(exchange_, nullptr)] {});
  avoid_.push_back(grant_.upstream);
  ++attempts_;
  if (!IsOrder()) {
    Complete(last, is_upstream_busy);
    AskAgain();
    return;
  }
  // The record of an order must be abandoned before it can begin again.
  Complete(last, is_upstream_busy, [self = shared_from_this()] {
    if (!self->has_ended_) {
      self->AskAgain();
    }
  });
}

complete_request request_run::MakeComplete(attempt_result outcome) const {
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

// Reports to the coordinator that issued the lease, and to the home coordinator when that is
// another one: it keeps the record and counts crashes.
void request_run::Complete(attempt_result outcome,
                           bool is_upstream_busy,
                           const std::function<void()>& done) {
  complete_request message = MakeComplete(outcome);
  message.is_upstream_busy = is_upstream_busy;
  complete_request home_message = message;
  home_message.idempotency_key = idempotency_key_;
  const bool is_whole = IsWholeAnswer(outcome);
  if (IsOrder() && is_whole && answer_) {
    home_message.answer = ToStored(*answer_, std::exchange(answer_body_, {}));
    home_message.answer->is_complete = is_answer_kept_;
  }
  if (grant_.lease.empty()) {
    home_message.lease = grant_.admission;  // Names the attempt in the record of an order.
  }
  if (grant_region_ == routed_.home_region) {
    SendComplete(grant_region_, std::move(home_message), done);
    return;
  }
  SendComplete(grant_region_, std::move(message), {});
  SendComplete(routed_.home_region, std::move(home_message), done);
}

// The home has begun a record for an order that cannot go on in the place's region.
void request_run::AbandonRecord() {
  if (!IsOrder() || grant_.admission.empty()) {
    return;
  }
  complete_request message = MakeComplete(attempt_result::kNotSent);
  message.lease = grant_.admission;  // Names the attempt in the record.
  message.idempotency_key = idempotency_key_;
  SendComplete(routed_.home_region, std::move(message), {});
}

void request_run::SendComplete(const std::string& region,
                               complete_request message,
                               const std::function<void()>& done) {
  coordinator_client* coordinator = worker_.CoordinatorOf(region);
  if (!coordinator) {
    return;
  }
  ++context_.pending_completes;
  auto encoded = std::make_shared<const std::string>(Encode(message));
  coordinator->Call<empty_message>(
      {"coordinator.complete", [encoded] { return *encoded; }, kCompleteTry,
       context_.clock.Now() + kCompleteDeadline},
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
