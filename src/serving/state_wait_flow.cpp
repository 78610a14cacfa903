// Requests that wait for the state of the fleet: members of `request_flow`.
#include "base/log.h"
#include "observe/metrics.h"
#include "serving/request_flow.h"

#include <utility>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// What the request has to wait for, if anything.
std::optional<state_wait_reason> ReasonToWait(const serving_context& context,
                                              const admission_decision& decision) {
  if (!decision.refusal) {
    const bool has_rate = decision.workspace != nullptr && decision.workspace->rate_per_second > 0;
    const bool has_limits = context.view.LimitsReceivedAt() != steady_time();
    return has_rate && !has_limits ? std::optional(state_wait_reason::kRatesUnknown) : std::nullopt;
  }
  if (*decision.refusal != error_kind::kStateUnconfirmed) {
    return std::nullopt;
  }
  if (!decision.policy) {
    return state_wait_reason::kNoPolicy;
  }
  const bool is_name_known = decision.route != nullptr;
  return is_name_known && !context.admission_control.HasValidLease()
             ? state_wait_reason::kLeaseExpired
             : state_wait_reason::kNameUnknown;
}

state_knowledge KnowledgeOf(const serving_context& context) {
  return {context.view.FreshAt(), context.link.RepliedAt(),
          context.admission_control.IsStateRecent()};
}

std::shared_ptr<request_flow> FindWaiting(const serving_context& context,
                                          state_wait::waiter_id id) {
  const auto found = context.waiting_flows.find(id);
  return found == context.waiting_flows.end() ? nullptr : found->second.lock();
}

std::string_view NameOf(wait_outcome outcome) {
  switch (outcome) {
    case wait_outcome::kAdmitted:
      return "admitted";
    case wait_outcome::kRefused:
      return "refused";
    case wait_outcome::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace

// What the policy says is used as far as it is known; the decision itself may be a refusal.
state_waiter request_flow::MakeWaiter(const admission_decision& decision) const {
  state_waiter waiter;
  waiter.reason = ReasonToWait(context_, decision);
  const auto limit = TimeLimit(decision.route);
  waiter.deadline = context_.drain.UpstreamDeadline(arrived_ + limit.value_or(milliseconds(0)));
  if (decision.route != nullptr) {
    waiter.response_time = EstimateOf(*decision.route, limit.value_or(milliseconds(0))).likely;
    waiter.route_priority = decision.route->priority;
  }
  if (decision.workspace != nullptr) {
    waiter.workspace_priority = decision.workspace->priority;
  }
  return waiter;
}

bool request_flow::WaitForState(const admission_decision& decision) {
  if (waiter_id_ != 0 || !context_.waits.IsEnabled()) {
    return false;
  }
  const state_waiter waiter = MakeWaiter(decision);
  if (!waiter.reason) {
    return false;
  }
  const steady_time now = context_.clock.Now();
  context_.waits.Update(KnowledgeOf(context_), now);
  const auto id = context_.waits.TryStart(waiter, now);
  if (!id) {
    return false;
  }
  waiter_id_ = *id;
  context_.waiting_flows.emplace(*id, weak_from_this());
  static counter& waiting = metrics::Instance().Counter("state_wait.waiting");
  waiting.Add();
  log_event(log_level::kInfo, "state_wait_started")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("reason", NameOf(*waiter.reason))
      .Field("state_age_ms", std::int64_t(decision.state_age.count()))
      .Field("expected_ms",
             duration_cast<milliseconds>(context_.waits.ExpectedArrival(*waiter.reason, now) - now)
                 .count())
      .Field("left_ms", duration_cast<milliseconds>(waiter.deadline - now).count())
      .Field("waiting", std::uint64_t(context_.waits.Size()));
  deadline_ = arrived_ + TimeLimit(decision.route).value_or(milliseconds(0));
  return true;
}

void request_flow::RenewWait() {
  context_.waits.Renew(waiter_id_, MakeWaiter(Decide()));
}

void request_flow::OnStateArrived() {
  const auto keep_alive = shared_from_this();
  if (!Admit()) {
    return;  // Refused, which has ended the wait.
  }
  EndWait(wait_outcome::kAdmitted);
  StartTimeLimit();
  OnBodyEvent();
}

void request_flow::RefuseWaiting() {
  const auto keep_alive = shared_from_this();
  if (context_.drain.HasBegun()) {
    Refuse(error_kind::kShuttingDown, "the VM is shutting down");
  } else {
    Refuse(error_kind::kStateUnconfirmed, "the state of the fleet is not expected in time");
  }
}

void request_flow::EndWait(wait_outcome outcome) {
  const auto id = std::exchange(waiter_id_, 0);
  if (id == 0) {
    return;
  }
  context_.waits.End(id);
  context_.waiting_flows.erase(id);
  metrics::Instance().Counter("state_wait." + std::string(NameOf(outcome))).Add();
  const steady_time now = context_.clock.Now();
  log_event(log_level::kInfo, "state_wait_ended")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("outcome", NameOf(outcome))
      .Field("waited_ms", duration_cast<milliseconds>(now - arrived_).count())
      .Field("left_ms", duration_cast<milliseconds>(deadline_ - now).count())
      .Field("state_age_ms", duration_cast<milliseconds>(now - context_.view.FreshAt()).count())
      .Field("waiting", std::uint64_t(context_.waits.Size()));
}

// Each request passes through admission again from the beginning, so that none is served by the
// state that it found when it arrived.
void ReviewWaiting(serving_context& context) {
  if (!context.waits.IsEnabled()) {
    return;
  }
  const steady_time now = context.clock.Now();
  context.waits.Update(KnowledgeOf(context), now);
  for (const auto& [id, weak] : context.waiting_flows) {
    if (const auto flow = weak.lock()) {
      flow->RenewWait();
    }
  }
  for (const state_wait::waiter_id id : context.waits.Late(now)) {
    if (const auto flow = FindWaiting(context, id)) {
      flow->RefuseWaiting();
    }
  }
  for (const state_wait::waiter_id id : context.waits.Ready()) {
    if (const auto flow = FindWaiting(context, id)) {
      flow->OnStateArrived();
    }
  }
}

}  // namespace corianderhoist
