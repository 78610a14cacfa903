#include "entry/proxied_request.h"

#include "base/log.h"
#include "entry/request_headers.h"
#include "observe/metrics.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// An older decision may come from a leader that was suspended and has since been replaced.
constexpr milliseconds kMaxDecisionAge(2000);
// Delay before the next acquire call when this VM's configuration is too old for the coordinator.
constexpr milliseconds kConfigRetryDelay(30);
constexpr const char* kTooLateDetail = "the proxy stops before the request could be answered";

// Returns whether a coordinator's error is passed on to callers under its own kind.
bool IsReportedToCallers(error_kind kind) {
  return (kind >= error_kind::kBadRequest && kind <= error_kind::kUpstreamShedding) ||
         kind == error_kind::kOutcomeUnknown || kind == error_kind::kAnswerNotStored;
}

}  // namespace

proxied_request::proxied_request(entry_worker& worker,
                                 http_request request,
                                 std::shared_ptr<answer_sink> sink)
    : worker_(worker),
      context_(worker.context),
      request_(std::move(request)),
      sink_(std::move(sink)),
      started_at_(context_.clock.Now()) {
  ++context_.active_request_count;
}

proxied_request::~proxied_request() {
  --context_.active_request_count;
}

void proxied_request::Start() {
  context_.retries.OnRequest();
  sink_->on_caller_disconnected = [this] { OnCallerDisconnected(); };
  sink_->on_drained = [this] {
    if (exchange_) {
      exchange_->Resume();
    }
  };
  if (!TryPrepare()) {
    return;
  }
  if (!MayStart()) {
    Refuse(error_kind::kShuttingDown, kTooLateDetail);
    return;
  }
  StartDeadlineTimer();
  Acquire(routed_.home_region, {});
}

bool proxied_request::TryPrepare() {
  return Recover(
      [&]() -> result<bool> {
        BOOST_LEAF_CHECK(Prepare());
        return true;
      },
      [&](const error& failure) {
        Refuse(failure.kind, failure.detail);
        return false;
      });
}

result<void> proxied_request::Prepare() {
  BOOST_LEAF_AUTO(key, ParseWorkspaceKey(request_.headers));
  if (key) {
    key_hash_ = Sha256(*key);
  }
  BOOST_LEAF_ASSIGN(routed_, context_.routes.Route(request_.method, request_.path, key_hash_));
  if (routed_.route->run == route_run::kOnce) {
    BOOST_LEAF_ASSIGN(idempotency_key_, ParseIdempotencyKey(request_.headers));
  }
  BOOST_LEAF_AUTO(caller_timeout, ParseCallerTimeout(request_.headers));
  const milliseconds timeout = routed_.route->timeout;
  deadline_ = worker_.drain.AnswerDeadline(
      started_at_ + (caller_timeout ? std::min(*caller_timeout, timeout) : timeout));
  BOOST_LEAF_ASSIGN(upstream_headers_, HeadersForUpstream(request_, key));
  fingerprint_ = FingerprintOf(routed_.workspace, request_);
  body_digest_ = BodyDigestOf(request_);
  return {};
}

void proxied_request::StartDeadlineTimer() {
  deadline_timer_ = std::make_unique<QTimer>();
  deadline_timer_->setSingleShot(true);
  deadline_timer_->setTimerType(Qt::PreciseTimer);
  QObject::connect(deadline_timer_.get(), &QTimer::timeout, deadline_timer_.get(),
                   [this] { OnDeadline(); });
  deadline_timer_->start(std::max(Remaining(), milliseconds(1)));
}

milliseconds proxied_request::Remaining() const {
  return duration_cast<milliseconds>(deadline_ - context_.clock.Now());
}

bool proxied_request::MayStart() const {
  if (!worker_.drain.HasBegun()) {
    return true;
  }
  const milliseconds unknown = routed_.route->timeout;
  const auto known = worker_.answer_times.find(routed_.route->Id());
  const answer_estimate expected = known == worker_.answer_times.end()
                                       ? answer_estimate{unknown, unknown}
                                       : known->second.Estimate(unknown, unknown);
  return worker_.drain.MayStart(context_.clock.Now(), deadline_, expected);
}

void proxied_request::NoteAnswerTime() {
  worker_.answer_times[routed_.route->Id()].Add(
      duration_cast<microseconds>(context_.clock.Now() - started_at_));
}

std::string proxied_request::AttemptId() const {
  return request_.id + "/" + std::to_string(acquire_number_);
}

acquire_request proxied_request::MakeAcquire(const std::string& admission) const {
  acquire_request message;
  message.request_id = AttemptId();
  message.entry_vm = context_.settings.process.name;
  message.session = context_.session;
  message.workspace = routed_.workspace;
  message.key_hash = key_hash_.value_or(digest{});
  message.route_id = routed_.route->Id();
  message.service = routed_.route->service;
  message.places = routed_.places;
  message.config_version = routed_.config_version;
  message.fingerprint = fingerprint_;
  message.idempotency_key = idempotency_key_;
  message.body_digest = body_digest_;
  message.is_idempotent = routed_.route->run == route_run::kIdempotent;
  message.remaining = Remaining();
  message.admission = admission;
  message.avoid = tried_upstreams_;
  return message;
}

void proxied_request::Acquire(const std::string& region, std::string admission) {
  coordinator_client* coordinator = worker_.FindCoordinator(region);
  if (!coordinator) {
    Refuse(error_kind::kNoPlace, "region " + region + " has no coordinators in the settings");
    return;
  }
  context_.leases.AddRegion(region);
  // The request may end during the call, by its deadline or because the caller disconnects. The
  // reply is still needed then, to release the slot.
  const auto self = shared_from_this();
  coordinator->Call<acquire_reply>(
      {"coordinator.acquire",
       [self, admission = std::move(admission)] { return Encode(self->MakeAcquire(admission)); },
       kMaxDecisionAge, deadline_},
      [self, region](const rpc_result<acquire_reply>& reply, steady_time sent_at) {
        self->OnAcquired(region, reply, sent_at);
      });
}

void proxied_request::OnAcquired(const std::string& region,
                                 const rpc_result<acquire_reply>& reply,
                                 steady_time sent_at) {
  static latency_metric& admission = metrics::Instance().Latency("requests.admission");
  admission.Add(
      std::chrono::duration_cast<std::chrono::microseconds>(context_.clock.Now() - sent_at));
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    OnAcquireFailed(*failure);
    return;
  }
  grant_ = std::get<acquire_reply>(reply);
  grant_region_ = region;
  granted_call_sent_at_ = sent_at;
  if (!grant_.lease.empty()) {
    context_.leases.Add(region, grant_.lease);
  }
  if (has_ended_) {
    if (!grant_.replay) {
      Complete(attempt_result::kNotSent, false);
    }
    return;
  }
  if (grant_.replay) {
    Replay(*grant_.replay);
  } else if (context_.clock.Now() - sent_at > kMaxDecisionAge) {
    OnOutdatedDecision();
  } else if (grant_.lease.empty()) {
    Acquire(grant_.next_region, grant_.admission);
  } else if (!MayStart()) {
    Complete(attempt_result::kNotSent, false);
    Refuse(error_kind::kShuttingDown, kTooLateDetail);
  } else {
    StartAttempt();
  }
}

// Releases the granted slot and calls the home coordinator again.
void proxied_request::OnOutdatedDecision() {
  metrics::Instance().Counter("requests.outdated_decisions").Add();
  Complete(attempt_result::kNotSent, false, [self = shared_from_this()] {
    if (!self->has_ended_) {
      self->Reacquire();
    }
  });
}

// Uses a new attempt id, since a call with the same id would return the first decision.
void proxied_request::Reacquire() {
  ++acquire_number_;
  grant_ = {};
  Acquire(routed_.home_region, {});
}

// Retries after a delay; `config_follower` fetches the newer configuration independently.
void proxied_request::OnConfigBehind() {
  QTimer::singleShot(kConfigRetryDelay, worker_.loop.Context(), [self = shared_from_this()] {
    if (!self->has_ended_ && self->TryPrepare()) {
      self->Reacquire();
    }
  });
}

void proxied_request::OnAcquireFailed(const rpc_failure& failure) {
  AbandonRecord();
  if (has_ended_) {
    return;
  }
  if (failure.kind == error_kind::kConfigBehind && Remaining() > kConfigRetryDelay) {
    OnConfigBehind();
    return;
  }
  const error_kind kind =
      IsReportedToCallers(failure.kind) ? failure.kind : error_kind::kCoordinatorUnavailable;
  Refuse(kind, failure.detail);
}

void proxied_request::Replay(const stored_answer& stored) {
  if (!stored.is_complete) {
    Refuse(error_kind::kAnswerNotStored, "the request has run; its answer was too large to keep");
    return;
  }
  metrics::Instance().Counter("requests.replayed").Add();
  answer_head head = FromStored(stored);
  head.headers.push_back({"Corianderhoist-Replayed", "true"});
  head.headers.push_back({"Corianderhoist-Request-Id", request_.id});
  SendCompleteAnswer(*sink_, std::move(head), stored.body);
  Finish();
}

void proxied_request::OnCallerDisconnected() {
  is_caller_disconnected_ = true;
  if (has_ended_) {
    return;
  }
  // A request with an idempotency record continues, so that a retry by the caller is answered from
  // the record.
  if (HasIdempotencyKey() && exchange_) {
    exchange_->Resume();
    return;
  }
  metrics::Instance().Counter("requests.left_by_caller").Add();
  if (exchange_) {
    const bool is_sent = exchange_->IsSent();
    exchange_->Cancel();
    Complete(is_sent ? attempt_result::kCancelled : attempt_result::kNotSent, is_sent);
  }
  Finish();
}

void proxied_request::OnDeadline() {
  if (has_ended_) {
    return;
  }
  if (!exchange_) {
    Refuse(error_kind::kQueueTimeout, "no slot before the deadline of the request");
    return;
  }
  const bool is_sent = exchange_->IsSent();
  if (is_sent) {
    NoteAnswerTime();
  }
  exchange_->Cancel();
  Complete(is_sent ? attempt_result::kTimeout : attempt_result::kConnectFailed, is_sent);
  if (answer_) {
    sink_->Abort();
    Finish();
  } else if (is_sent) {
    Refuse(error_kind::kUpstreamTimeout, "no answer before the deadline of the request");
  } else {
    Refuse(error_kind::kUpstreamUnreachable, "no connection before the deadline of the request");
  }
}

void proxied_request::OnDrainProgress() {
  const bool is_sent = exchange_ && exchange_->IsSent();
  if (!has_ended_ && !is_sent && !MayStart()) {
    Stop();
  }
}

void proxied_request::Stop() {
  if (has_ended_) {
    return;
  }
  const bool is_sent = exchange_ && exchange_->IsSent();
  if (exchange_) {
    exchange_->Cancel();
    Complete(is_sent ? attempt_result::kCancelled : attempt_result::kNotSent, is_sent);
  }
  if (answer_) {
    sink_->Abort();
    Finish();
  } else if (is_sent) {
    Refuse(error_kind::kOutcomeUnknown, "the proxy stops while an upstream runs the request");
  } else {
    Refuse(error_kind::kShuttingDown, "the proxy stops");
  }
}

void proxied_request::Refuse(error_kind kind,
                             std::string detail,
                             std::optional<std::chrono::seconds> retry_after) {
  if (has_ended_) {
    return;
  }
  refusal why{kind, std::move(detail), retry_after};
  // An earlier attempt may have run, so the outcome "not run" would be wrong.
  if (unknown_outcome_refusal_ && AnswerFor(kind).outcome == request_outcome::kNotRun) {
    why = *unknown_outcome_refusal_;
  }
  const error_answer& answer = AnswerFor(why.kind);
  metrics::Instance().Counter("requests.refused." + std::string(answer.name)).Add();
  log_event(log_level::kInfo, "request_refused")
      .Field("request_id", request_.id)
      .Field("workspace", routed_.workspace)
      .Field("error", answer.name)
      .Field("cause", why.detail)
      .Field("upstream", grant_.upstream);
  SendRefusal(*sink_, why, request_.id);
  Finish();
}

void proxied_request::Finish() {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  static latency_metric& latency = metrics::Instance().Latency("requests.latency");
  latency.Add(duration_cast<microseconds>(context_.clock.Now() - started_at_));
  if (deadline_timer_) {
    deadline_timer_->stop();
  }
  if (attempt_timer_) {
    attempt_timer_->stop();
  }
  sink_->on_caller_disconnected = nullptr;
  sink_->on_drained = nullptr;
  // This may be called from inside the exchange or a timer, so destruction is deferred.
  worker_.loop.Post([self = shared_from_this()] {
    self->exchange_.reset();
    self->sink_.reset();
    self->worker_.active_requests.erase(self.get());
  });
}

}  // namespace corianderhoist
