// The wait of a request for capacity of its service: members of `request_flow`.
#include "base/log.h"
#include "serving/request_flow.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

answer_estimate request_flow::ExpectedAnswer() const {
  return EstimateOf(*route_, duration_cast<milliseconds>(deadline_ - arrived_));
}

// Requests without a workspace are of the lowest priority of all workspaces, so that a flood of
// them does not displace those of the customers.
queue_rank request_flow::Rank() const {
  queue_rank rank;
  rank.route_priority = route_ != nullptr ? route_->priority : 0;
  if (workspace_ != nullptr) {
    rank.workspace_priority = workspace_->priority;
  } else if (policy_) {
    for (const policy_workspace& each : policy_->Policy().workspaces) {
      rank.workspace_priority = std::max(rank.workspace_priority, each.priority);
    }
  }
  return rank;
}

queue_verdict request_flow::EnterQueue(bool is_returning) {
  if (!context_.queues.IsEnabled()) {
    return queue_verdict::kSend;
  }
  waiting_request request;
  request.rank = Rank();
  request.workspace = workspace_ != nullptr ? workspace_->name : std::string();
  request.is_returning = is_returning;
  request.deadline = context_.drain.AnswerDeadline(deadline_);
  request.objective_at = arrived_ + route_->objective;
  const answer_estimate expected = ExpectedAnswer();
  request.likely_response = expected.likely;
  request.typical_response = expected.typical;
  const std::weak_ptr<request_flow> weak = weak_from_this();
  queue_ticket ticket{request_.id, attempt_id_,
                      [weak] {
                        if (const auto self = weak.lock()) {
                          self->OnTurn();
                        }
                      },
                      [weak](error_kind kind, const std::string& detail) {
                        const auto self = weak.lock();
                        if (self && !self->is_complete_) {
                          self->Refuse(kind, detail);
                        }
                      }};
  const queue_verdict verdict = context_.queues.Enter(service_, request, std::move(ticket));
  if (verdict == queue_verdict::kWait) {
    queue_id_ = request.id;
    queued_at_ = context_.clock.Now();
  }
  return verdict;
}

void request_flow::StartOrWait() {
  switch (EnterQueue(false)) {
    case queue_verdict::kSend:
      if (!StartNextAttempt(false)) {
        Refuse(error_kind::kNoUpstream, "no upstream of the service is known or accepts requests");
      }
      return;
    case queue_verdict::kWait:
      return;
    case queue_verdict::kTooLate:
      Refuse(error_kind::kQueueFull, "the queue is too long for the deadline");
      return;
    case queue_verdict::kFull:
      Refuse(error_kind::kQueueFull, "the queue is full");
      return;
  }
}

// Of a request that several upstreams have shed, nothing has run, and capacity may become free
// before its deadline.
bool request_flow::ReturnToQueue() {
  const bool was_only_shed = possible_runs_ == 0 && sent_attempts_ > 0 && !failure_head_;
  if (!was_only_shed || has_returned_ || !is_body_replayable_ || !MayStart() ||
      EnterQueue(true) != queue_verdict::kWait) {
    return false;
  }
  has_returned_ = true;
  tried_upstreams_.clear();
  return true;
}

// While the request waited, its key may have been withdrawn, its route changed, or the drain begun.
void request_flow::OnTurn() {
  const auto keep_alive = shared_from_this();
  if (is_complete_) {
    return;
  }
  waited_ += duration_cast<milliseconds>(context_.clock.Now() - queued_at_);
  const admission_decision decision = Decide();
  if (decision.refusal) {
    Refuse(*decision.refusal, decision.detail);
  } else if (context_.view.IsBlocked(fingerprint_)) {
    Refuse(error_kind::kRequestHeldBack, "requests like this one have ended upstreams");
  } else if (!MayStart()) {
    Refuse(error_kind::kShuttingDown, "the VM is shutting down");
  } else if (sent_attempts_ > 0) {
    if (!TakeRepeat(repeat_cause::kFailure) || !StartNextAttempt(true)) {
      FinishWithoutAnswer();
    }
  } else if (!StartNextAttempt(false)) {
    Refuse(error_kind::kNoUpstream, "no upstream of the service is known or accepts requests");
  }
}

}  // namespace corianderhoist
