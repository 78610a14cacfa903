// Hedges of a request: members of `request_flow`. `hedge_policy` decides.
#include "base/log.h"
#include "observe/metrics.h"
#include "serving/request_flow.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double kRelativeLatencyScale = 100;

milliseconds ObjectiveOf(const policy_route& route) {
  return std::max(route.objective, milliseconds(1));
}

}  // namespace

void request_flow::StartSlowTimer() {
  const milliseconds objective = ObjectiveOf(*route_);
  hedge_delay_ =
      context_.hedges.DelayFor(service_, route_->name, objective, context_.view.Digests());
  slow_timer_.start(FirstSlowStep(hedge_delay_, objective));
}

// Called when the response is late compared to those of healthy upstreams.
void request_flow::OnSlowTimer() {
  if (is_complete_ || streaming_ || attempts_.empty()) {
    return;
  }
  const auto keep_alive = shared_from_this();
  const attempt_ptr newest = attempts_.back();
  const slow_step step =
      SlowStepAt(context_.clock.Now() - newest->started, hedge_delay_, ObjectiveOf(*route_));
  if (step.next) {
    slow_timer_.start(*step.next);
  }
  if (step.has_no_response) {
    NoteSilence(newest);
  }
  if (step.is_repeat_due) {
    SendHedge(*newest, step.cause);
  }
}

// Reports once that the upstream has not responded in time. It cannot respond while the caller is
// still sending the body.
void request_flow::NoteSilence(const attempt_ptr& late) {
  const bool is_waiting_for_caller =
      body_target_ == late && !body_->IsComplete() && late->call->Unsent() == 0;
  if (late->call->IsSent() && !is_waiting_for_caller &&
      !std::exchange(late->is_silence_reported, true)) {
    NoteEvidence(*late, attempt_evidence::kTimedOut, false);
  }
}

void request_flow::SendHedge(const attempt& slow, repeat_cause cause) {
  slow_request request;
  request.service = service_;
  request.route = route_->name;
  request.cause = cause;
  request.may_repeat = IsIdempotent() && MayRepeat();
  request.is_body_replayable = is_body_replayable_;
  request.running_attempts = attempts_.size();
  request.is_whole_request_sent = slow.call->IsSent() && body_target_.get() != &slow;
  request.has_answer_begun = slow.call->HasAnswerBegun();
  request.is_budget_low = context_.view.IsRepeatBudgetLow(service_, context_.clock.Now());
  if (IsHedged() && cause == repeat_cause::kSlowness) {
    request.can_end_before_drain = !context_.drain.HasBegun() || MayStart();
    request.admitted_share =
        workspace_ != nullptr ? context_.view.AdmittedShare(workspace_->name) : 1;
    request.has_free_slot = HasFreeSlot();
  }
  if (const auto skipped = context_.hedges.TryTake(request)) {
    NoteSkippedHedge(slow, *skipped);
    return;
  }
  if (!TakeRepeat(cause) || !StartNextAttempt(true)) {
    return;
  }
  const bool is_hedge = IsHedged() && cause == repeat_cause::kSlowness;
  attempts_.back()->is_hedge = is_hedge;
  if (is_hedge) {
    LogHedge(slow);
  }
}

void request_flow::LogHedge(const attempt& slow) const {
  static counter& sent = metrics::Instance().Counter("hedges.sent");
  sent.Add();
  const bool has_digest = hedge_delay_.source == hedge_delay_source::kDigest;
  log_event(log_level::kInfo, "hedge_sent")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("route", route_->name)
      .Field("service", service_)
      .Field("slow_upstream", slow.upstream_id)
      .Field("upstream", attempts_.back()->upstream_id)
      .Field("delay_ms", std::int64_t(hedge_delay_.delay.count()))
      .Field("source", has_digest ? "digest" : "objective")
      .Field("digest_age_ms", std::int64_t(hedge_delay_.digest_age.count()))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - slow.started).count());
}

void request_flow::NoteSkippedHedge(const attempt& slow, hedge_skip reason) {
  if (!IsHedged()) {
    return;
  }
  metrics::Instance().Counter("hedges.skipped_" + std::string(NameOf(reason))).Add();
  const std::uint64_t count = context_.hedges.CountSkip(reason);
  if (count == 0) {
    return;
  }
  log_event(log_level::kInfo, "hedge_skipped")
      .Field("request_id", request_.id)
      .Field("attempt_id", attempt_id_)
      .Field("route", route_->name)
      .Field("service", service_)
      .Field("slow_upstream", slow.upstream_id)
      .Field("reason", NameOf(reason))
      .Field("skipped", count)
      .Field("delay_ms", std::int64_t(hedge_delay_.delay.count()))
      .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - slow.started).count());
}

bool request_flow::HasFreeSlot() const {
  const auto& upstreams = context_.view.UpstreamsOf(service_);
  return std::any_of(upstreams.begin(), upstreams.end(), [this](const known_upstream* each) {
    if (tried_upstreams_.contains(each->entry.handle) ||
        !context_.statements.MaySend(IncarnationOf(each->entry)) ||
        !context_.limits.MaySend(each->entry.handle)) {
      return false;
    }
    const placement_candidate candidate = context_.tracker.CandidateOf(*each, false);
    return candidate.running < candidate.slots;
  });
}

void request_flow::CancelLosers(const attempt_ptr& winner) {
  if (!IsHedged()) {
    return;
  }
  const bool is_race =
      winner->is_hedge || std::any_of(attempts_.begin(), attempts_.end(),
                                      [](const attempt_ptr& each) { return each->is_hedge; });
  if (is_race) {
    metrics::Instance().Counter(winner->is_hedge ? "hedges.won" : "hedges.lost").Add();
    log_event(log_level::kInfo, winner->is_hedge ? "hedge_won" : "hedge_lost")
        .Field("request_id", request_.id)
        .Field("attempt_id", attempt_id_)
        .Field("upstream", winner->upstream_id)
        .Field("taken_ms", duration_cast<milliseconds>(context_.clock.Now() - arrived_).count());
  }
  std::vector<attempt_ptr> kept;
  for (const attempt_ptr& each : std::exchange(attempts_, {})) {
    const losing_attempt loser{each->is_silence_reported, each->call->HasAnswerBegun(),
                               each->head.length, each->body.size()};
    if (each == winner || !IsCancelled(loser)) {
      kept.push_back(each);
      continue;
    }
    if (each->started <= winner->started) {
      NoteLostRace(*each);
    }
    if (body_target_ == each) {
      body_target_.reset();
    }
    context_.tracker.End(each->upstream);
    each->call->Cancel();
    metrics::Instance().Counter("hedges.cancelled").Add();
  }
  attempts_ = std::move(kept);
}

// A hedge that is overtaken by the first attempt had less time, which says nothing about its
// upstream.
void request_flow::NoteLostRace(const attempt& loser) {
  if (!loser.call->HasAnswerBegun()) {
    NoteResponseTime(loser);
  }
  if (!loser.call->IsSent() || route_->objective.count() <= 0) {
    return;
  }
  const double relative_latency =
      std::chrono::duration<double>(context_.clock.Now() - loser.started) /
      std::chrono::duration<double>(route_->objective);
  context_.link.NoteLostRace(
      {loser.upstream,
       std::max(1U, static_cast<std::uint32_t>(relative_latency * kRelativeLatencyScale))});
}

void request_flow::NoteResponseTime(const attempt& this_attempt) {
  if (!IsHedged() || this_attempt.is_repeat || !IsIdempotent() || !is_body_replayable_) {
    return;
  }
  context_.link.NoteResponseTime(service_, context_.clock.Now() - this_attempt.started);
}

}  // namespace corianderhoist
