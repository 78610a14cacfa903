// Implements `coordinator.acquire`. Checks, in order: leader lease, configuration, API key, blocked
// requests, idempotency record and rate limit. Then allocates a slot and, for a request with an
// idempotency key, commits the begin of its record.
#include "coordinator/coordinator_core.h"
#include "coordinator/lease_id.h"
#include "observe/metrics.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxTokenWait(50);
// A reservation redeemed later than this would exceed the rate, together with the tokens accrued
// since.
constexpr milliseconds kMaxReservationLateness(10);
constexpr milliseconds kSuspectRetryInterval(10);
// A caller that has its answer may repeat a request before the outcome of the first one is
// committed. The repeated request waits this long for the outcome before it is refused as still
// running.
constexpr milliseconds kMaxResendWait(500);
constexpr milliseconds kResendRetryInterval(10);
constexpr milliseconds kRecordEndRetryInterval(2);
constexpr char kAdmissionSeparator = '\x1e';

std::string FormatAdmission(const std::string& region,
                            std::uint64_t term,
                            std::uint64_t number,
                            const acquire_request& request) {
  std::string text = region;
  for (const std::string& each : {std::to_string(term), std::to_string(number), request.request_id,
                                  request.workspace, request.service}) {
    text += kAdmissionSeparator;
    text += each;
  }
  return text;
}

// Checks that the admission was issued for this request. This only detects requests mixed up by an
// entry VM; the entry VM itself is authenticated by its certificate.
bool MatchesAdmission(const std::string& admission, const acquire_request& request) {
  std::string ending;
  for (const std::string* each : {&request.request_id, &request.workspace, &request.service}) {
    ending += kAdmissionSeparator;
    ending += *each;
  }
  return admission.ends_with(ending);
}

bool NeedsIdempotencyRecord(const acquire_request& request, bool is_keyed) {
  return is_keyed && !request.idempotency_key.empty();
}

rpc_failure Failure(error_kind kind, std::string detail) {
  return {kind, std::move(detail), {}};
}

const std::vector<place>* PlacesOf(const configuration& config, const acquire_request& request) {
  if (request.workspace.empty()) {
    const auto route = config.Rules().routes.find(request.route_id);
    return route != config.Rules().routes.end() && route->second.access == route_access::kOpen
               ? &route->second.places.Value()
               : nullptr;
  }
  const auto workspace = config.Rules().workspaces.find(request.workspace);
  return workspace == config.Rules().workspaces.end() ? nullptr : &workspace->second.places.Value();
}

}  // namespace

void coordinator_core::Acquire(acquire_request request, rpc_callback<acquire_reply> reply) {
  if (!EnsureStarted()) {
    reply(NotLeader());
    return;
  }
  if (is_draining_) {
    reply(rpc_failure{error_kind::kNotLeader, "this coordinator is shutting down", {}});
    return;
  }
  auto subject = std::make_shared<call>();
  subject->term = term_.load();
  subject->started = clock_.Now();
  subject->deadline = subject->started + request.remaining;
  subject->request = std::move(request);
  subject->reply = std::move(reply);
  if (std::optional<rpc_failure> failure = CheckRules(*subject)) {
    Refuse(subject, std::move(*failure));
    return;
  }
  const std::string session = subject->request.entry_vm + '/' + subject->request.session;
  sessions_.WithLockedShard(session,
                            [&](session_table& table) { table.Touch(session, subject->started); });
  if (AttachToPendingCall(subject) || AnswerWithRunningLease(subject)) {
    return;
  }
  if (subject->is_home) {
    CheckBlockAndRecord(subject);
    return;
  }
  const std::string& admission = subject->request.admission;
  const bool is_fresh = admissions_.WithLockedShard(admission, [&](used_admission_set& admissions) {
    return admissions.Use(admission, subject->started);
  });
  if (!is_fresh || !MatchesAdmission(admission, subject->request)) {
    Refuse(subject, Failure(error_kind::kForbidden, "the admission is not valid for this request"));
    return;
  }
  RequestSlot(subject);
}

std::optional<rpc_failure> coordinator_core::CheckRules(call& subject) const {
  const acquire_request& request = subject.request;
  subject.is_keyed = !request.workspace.empty();
  return state_.WithConfig([&](const configuration& config) -> std::optional<rpc_failure> {
    if (request.config_version < config.RoutingVersion()) {
      return Failure(error_kind::kConfigBehind,
                     "the routes changed in version " + std::to_string(config.RoutingVersion()));
    }
    if (subject.is_keyed && request.admission.empty()) {
      const key_record* key = config.FindKey(request.key_hash);
      if (key == nullptr || key->workspace != request.workspace) {
        return Failure(error_kind::kKeyUnknown, "the key is unknown or withdrawn");
      }
    }
    const std::vector<place>* places = PlacesOf(config, request);
    if (places == nullptr || places->empty()) {
      return Failure(error_kind::kNoPlace, "no rule allows this request a place");
    }
    subject.places = *places;
    if (subject.is_keyed) {
      const workspace_rule& rule = config.Rules().workspaces.at(request.workspace);
      if (!rule.services.empty() && !rule.services.contains(request.service)) {
        return Failure(error_kind::kServiceForbidden,
                       "the workspace may not use service '" + request.service + "'");
      }
      subject.limit = {rule.rate_per_second, rule.burst};
    }
    subject.is_home = request.admission.empty();
    if (subject.is_home && subject.places.front().region != region_) {
      return Failure(error_kind::kConfigBehind,
                     "the home region of the request is '" + subject.places.front().region + "'");
    }
    return std::nullopt;
  });
}

// An entry VM repeats a call that has no answer for some seconds, for example because the request
// is queued. The repeated call takes over the reply of the pending one, so that the request keeps
// its token and its position in the queue.
bool coordinator_core::AttachToPendingCall(const call_ptr& subject) {
  const std::string& id = subject->request.request_id;
  rpc_callback<acquire_reply> former;
  const bool is_joined = pending_calls_.WithLockedShard(id, [&](auto& open) {
    std::weak_ptr<call>& known = open[id];
    const call_ptr waiting = known.lock();
    if (!waiting || waiting->term != subject->term || !waiting->reply) {
      known = subject;
      return false;
    }
    former = std::exchange(waiting->reply, std::move(subject->reply));
    return true;
  });
  if (former) {
    former(Failure(error_kind::kTimeout, "the call was sent again"));
  }
  return is_joined;
}

// Ends the pending call. A later call with the same request id is a new one.
rpc_callback<acquire_reply> coordinator_core::TakeReply(const call_ptr& subject) {
  const std::string& id = subject->request.request_id;
  return pending_calls_.WithLockedShard(id, [&](auto& open) {
    const auto found = open.find(id);
    if (found != open.end() && found->second.lock() == subject) {
      open.erase(found);
    }
    return std::exchange(subject->reply, nullptr);
  });
}

// Answers a call with the open lease of its request, so that a call repeated after a lost reply
// takes no second slot and no second token.
bool coordinator_core::AnswerWithRunningLease(const call_ptr& subject) {
  std::optional<slot_lease> running;
  std::string address;
  WithAllocator(subject->request.service, [&](slot_allocator& allocator, allocator_effects&) {
    const slot_lease* found = allocator.FindLeaseOfRequest(subject->request.request_id);
    if (found != nullptr) {
      running = *found;
      address = allocator.AddressOf(found->upstream);
    }
  });
  if (!running) {
    return false;
  }
  OnSlotOutcome(subject, slot_grant{std::move(*running), std::move(address)});
  return true;
}

void coordinator_core::CheckBlockAndRecord(const call_ptr& subject) {
  const acquire_request& request = subject->request;
  if (state_.IsBlocked(request.fingerprint)) {
    Refuse(subject, Failure(error_kind::kRequestBlocked,
                            "requests with this content have crashed upstreams"));
    return;
  }
  const steady_time now = clock_.Now();
  bool may_start = true;
  crashes_.WithLockedShard(ShardKey(request.fingerprint), [&](crash_registry& crashes) {
    subject->is_suspect = crashes.IsSuspect(request.fingerprint, now);
    may_start = crashes.TryStart(request.fingerprint, request.request_id, now, subject->deadline);
  });
  if (!may_start) {
    if (now + kSuspectRetryInterval >= subject->deadline) {
      Refuse(subject, Failure(error_kind::kQueueTimeout,
                              "another request with this content is running alone"));
      return;
    }
    after_(kSuspectRetryInterval,
           [self = shared_from_this(), subject] { self->CheckBlockAndRecord(subject); });
    return;
  }
  if (NeedsIdempotencyRecord(request, subject->is_keyed)) {
    const begin_result result = state_.CheckRecord(
        {request.workspace, request.idempotency_key, request.body_digest, request.request_id, {}});
    // An entry VM may try the next upstream before the end of its previous attempt is committed.
    if (result.verdict == record_verdict::kStillRunning &&
        IsRecordEndPending(request.workspace, request.idempotency_key) &&
        now + kRecordEndRetryInterval < subject->deadline) {
      after_(kRecordEndRetryInterval,
             [self = shared_from_this(), subject] { self->CheckBlockAndRecord(subject); });
      return;
    }
    if (result.verdict == record_verdict::kStillRunning &&
        now < std::min(subject->started + kMaxResendWait, subject->deadline)) {
      after_(kResendRetryInterval,
             [self = shared_from_this(), subject] { self->CheckBlockAndRecord(subject); });
      return;
    }
    if (result.verdict != record_verdict::kBegin) {
      rpc_result<acquire_reply> reply = ReplyFor(result);
      if (auto* failure = std::get_if<rpc_failure>(&reply)) {
        Refuse(subject, std::move(*failure));
      } else {
        SendReply(subject, std::move(std::get<acquire_reply>(reply)));
      }
      return;
    }
  }
  AcquireToken(subject);
}

rpc_result<acquire_reply> coordinator_core::ReplyFor(const begin_result& result) {
  switch (result.verdict) {
    case record_verdict::kMismatch:
      return Failure(error_kind::kIdempotencyMismatch,
                     "the idempotency key was used with other content");
    case record_verdict::kStillRunning:
      return Failure(error_kind::kStillRunning, "the first request with this key is running");
    case record_verdict::kNotStored:
      return Failure(error_kind::kAnswerNotStored, "the request was run, its answer is not kept");
    case record_verdict::kReplay: {
      acquire_reply reply;
      reply.replay = result.answer;
      return reply;
    }
    case record_verdict::kUnknown:
    case record_verdict::kBegin:
      break;
  }
  return Failure(error_kind::kOutcomeUnknown, "the first request with this key has no outcome");
}

void coordinator_core::AcquireToken(const call_ptr& subject) {
  if (!subject->is_keyed) {
    RequestSlot(subject);
    return;
  }
  const std::string& workspace = subject->request.workspace;
  const steady_time now = clock_.Now();
  subject->token_requested_at = subject->token_requested_at.value_or(now);
  const auto waited = now - *subject->token_requested_at;
  const std::chrono::nanoseconds longest =
      std::max(std::chrono::nanoseconds(0),
               std::min<std::chrono::nanoseconds>(kMaxTokenWait - waited, subject->deadline - now));
  std::vector<guarantee_change> changes;
  const take_result taken =
      bucket_tables_.WithLockedShard(workspace, [&](token_bucket_table& table) {
        token_bucket& bucket = table.Bucket(
            workspace, subject->limit,
            [&](const std::string& name) { return state_.Guarantee(name); }, now);
        const take_result outcome = bucket.TryTake(now, longest);
        if (const auto tokens = bucket.ProposeGuarantee(now, false)) {
          changes.push_back({workspace, *tokens});
        }
        return outcome;
      });
  if (!changes.empty()) {
    ProposeGuarantees(std::move(changes));
  }
  switch (taken.status) {
    case take_status::kTaken:
      ProceedWithToken(subject, now);
      return;
    case take_status::kReserved:
      after_(taken.wait,
             [self = shared_from_this(), subject, epoch = taken.epoch, ready = now + taken.wait] {
               self->RedeemReservation(subject, epoch, ready);
             });
      return;
    case take_status::kCheckpoint:
      if (taken.wait <= longest) {
        after_(taken.wait, [self = shared_from_this(), subject] { self->AcquireToken(subject); });
        return;
      }
      break;
    case take_status::kRefused:
      break;
  }
  Refuse(subject,
         Failure(error_kind::kOverRate, "the workspace is over its rate of " +
                                            std::to_string(subject->limit.rate_per_second) + "/s"));
}

void coordinator_core::RedeemReservation(const call_ptr& subject,
                                         std::uint64_t epoch,
                                         steady_time ready) {
  // Timers have millisecond resolution and may fire early.
  if (const steady_time now = clock_.Now(); now < ready) {
    after_(ready - now, [self = shared_from_this(), subject, epoch, ready] {
      self->RedeemReservation(subject, epoch, ready);
    });
    return;
  }
  const std::uint64_t current =
      bucket_tables_.WithLockedShard(subject->request.workspace, [&](token_bucket_table& table) {
        const token_bucket* bucket = table.Find(subject->request.workspace);
        return bucket == nullptr ? epoch + 1 : bucket->Epoch();
      });
  if (current == epoch && clock_.Now() - ready <= kMaxReservationLateness) {
    ProceedWithToken(subject, ready);
    return;
  }
  // The rate was lowered or the process was suspended meanwhile, so the reservation is void and a
  // new token is needed.
  Refund(subject->request.workspace);
  AcquireToken(subject);
}

void coordinator_core::ProceedWithToken(const call_ptr& subject, steady_time at) {
  subject->has_token = true;
  if (token_observer_) {
    token_observer_(subject->request.request_id, at);
  }
  RequestSlot(subject);
}

void coordinator_core::RequestSlot(const call_ptr& subject) {
  if (!IsCurrent(subject->term)) {
    Refuse(subject, NotLeader());
    return;
  }
  std::vector<place> own_places;
  std::string other_region;
  for (const place& each : subject->places) {
    if (each.region == region_) {
      own_places.push_back(each);
    } else if (other_region.empty()) {
      other_region = each.region;
    }
  }
  slot_request wanted;
  wanted.term = subject->term;
  wanted.number = next_number_.fetch_add(1);
  wanted.admission = subject->request.admission;
  wanted.request_id = subject->request.request_id;
  wanted.session = subject->request.entry_vm + '/' + subject->request.session;
  wanted.workspace = subject->request.workspace;
  if (NeedsIdempotencyRecord(subject->request, subject->is_keyed) && subject->is_home) {
    wanted.idempotency_key = subject->request.idempotency_key;
  }
  wanted.fingerprint = subject->request.fingerprint;
  wanted.places = std::move(own_places);
  wanted.avoid = subject->request.avoid;
  wanted.deadline = subject->deadline;
  wanted.is_idempotent = subject->request.is_idempotent;
  wanted.is_suspect = subject->is_suspect;
  wanted.done = [self = shared_from_this(), subject](slot_outcome outcome) {
    self->OnSlotOutcome(subject, std::move(outcome));
  };
  const steady_time now = clock_.Now();
  bool must_redirect = false;
  const bool is_known = WithAllocator(
      subject->request.service, [&](slot_allocator& allocator, allocator_effects& effects) {
        must_redirect = subject->is_home && !other_region.empty() &&
                        (wanted.places.empty() ||
                         (allocator.IsWarm(now) && !allocator.HasUpstream(wanted.places, now)));
        if (!must_redirect) {
          allocator.Acquire(std::move(wanted), now, effects);
        }
      });
  if (!is_known) {
    Refuse(subject, Failure(error_kind::kNoUpstream,
                            "no rule names service '" + subject->request.service + "'"));
  } else if (must_redirect) {
    RedirectToRegion(subject, other_region);
  }
}

void coordinator_core::RedirectToRegion(const call_ptr& subject, const std::string& region) {
  acquire_reply reply;
  reply.admission =
      FormatAdmission(region_, subject->term, next_number_.fetch_add(1), subject->request);
  reply.next_region = region;
  if (!NeedsIdempotencyRecord(subject->request, subject->is_keyed)) {
    SendReply(subject, std::move(reply));
    return;
  }
  const std::string attempt = reply.admission;
  CommitRecordBegin(subject, attempt, std::move(reply));
}

void coordinator_core::OnSlotOutcome(const call_ptr& subject, slot_outcome outcome) {
  if (const auto* refusal = std::get_if<slot_refusal>(&outcome)) {
    Refuse(subject, refusal->kind == error_kind::kNotLeader
                        ? NotLeader()
                        : Failure(refusal->kind, refusal->detail));
    return;
  }
  const slot_grant& grant = std::get<slot_grant>(outcome);
  acquire_reply reply;
  reply.lease = grant.lease.id;
  reply.upstream = grant.lease.upstream.name;
  reply.incarnation = grant.lease.upstream.incarnation;
  reply.address = grant.address;
  reply.place = grant.lease.place;
  reply.idle_connections = IdleConnections(grant.lease.session, reply.upstream);
  sessions_.WithLockedShard(grant.lease.session, [&](session_table& table) {
    table.AddLease(grant.lease.session, reply.lease, clock_.Now());
  });
  if (subject->is_home && NeedsIdempotencyRecord(subject->request, subject->is_keyed)) {
    const std::string attempt = reply.lease;
    CommitRecordBegin(subject, attempt, std::move(reply));
    return;
  }
  SendReply(subject, std::move(reply));
}

void coordinator_core::CommitRecordBegin(const call_ptr& subject,
                                         const std::string& attempt,
                                         acquire_reply reply) {
  const acquire_request& request = subject->request;
  writer_->Begin(
      {request.workspace, request.idempotency_key, request.body_digest, request.request_id,
       attempt},
      [self = shared_from_this(), subject, reply = std::move(reply)](
          const rpc_result<begin_result>& begun) { self->OnRecordBegun(subject, begun, reply); });
}

void coordinator_core::OnRecordBegun(const call_ptr& subject,
                                     const rpc_result<begin_result>& begun,
                                     acquire_reply reply) {
  if (std::holds_alternative<rpc_failure>(begun)) {
    Refuse(subject, NotLeader(), reply.lease);
    return;
  }
  const auto& result = std::get<begin_result>(begun);
  if (result.verdict == record_verdict::kBegin) {
    SendReply(subject, std::move(reply));
    return;
  }
  // Another request with the key committed its begin first.
  rpc_result<acquire_reply> answer = ReplyFor(result);
  if (auto* failure = std::get_if<rpc_failure>(&answer)) {
    Refuse(subject, std::move(*failure), reply.lease);
    return;
  }
  complete_request unused;
  unused.lease = reply.lease;
  EndLease(unused, subject->request.service);
  SendReply(subject, std::move(std::get<acquire_reply>(answer)));
}

// Checks the leader lease again, because the process may have been suspended since the first check.
void coordinator_core::SendReply(const call_ptr& subject, acquire_reply reply) {
  if (!IsCurrent(subject->term)) {
    Refuse(subject, NotLeader(), reply.lease);
    return;
  }
  static counter& granted = metrics::Instance().Counter("acquire_granted");
  static latency_metric& latency = metrics::Instance().Latency("acquire_decision");
  granted.Add();
  latency.Add(
      std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() - subject->started));
  TakeReply(subject)(std::move(reply));
}

// Returns the slot or the token of the request, which was not run.
void coordinator_core::Refuse(const call_ptr& subject,
                              rpc_failure failure,
                              const std::string& lease) {
  const acquire_request& request = subject->request;
  if (!lease.empty()) {
    complete_request unused;
    unused.lease = lease;
    EndLease(unused, request.service);
  } else if (subject->has_token) {
    Refund(request.workspace);
  }
  if (subject->is_suspect) {
    crashes_.WithLockedShard(ShardKey(request.fingerprint), [&](crash_registry& crashes) {
      crashes.End(request.fingerprint, request.request_id);
    });
  }
  metrics::Instance().Counter("acquire_refused_" + std::string(AnswerFor(failure.kind).name)).Add();
  TakeReply(subject)(std::move(failure));
}

}  // namespace corianderhoist
