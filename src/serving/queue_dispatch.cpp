#include "serving/queue_dispatch.h"

#include "base/log.h"
#include "observe/metrics.h"
#include "serving/serving_context.h"

#include <QJsonObject>

#include <algorithm>
#include <random>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double kFailingProbability = 0.5;
constexpr milliseconds kMaxRoomStateAge(1500);
// Priorities above this share a metric, which bounds the number of metrics.
constexpr std::uint32_t kMaxPriorityInMetrics = 3;

void Count(const char* what, const queue_rank& rank) {
  metrics::Instance()
      .Counter("service_queue." + std::string(what) + ".rank_" +
               std::to_string(std::min(rank.workspace_priority, kMaxPriorityInMetrics)) + "_" +
               std::to_string(std::min(rank.route_priority, kMaxPriorityInMetrics)))
      .Add();
}

std::string RankText(const queue_rank& rank) {
  return std::to_string(rank.workspace_priority) + "." + std::to_string(rank.route_priority);
}

}  // namespace

queue_dispatch::queue_dispatch(serving_context& context)
    : context_(context), queues_(context.settings.queues) {
  dispatch_timer_.setSingleShot(true);
  QObject::connect(&dispatch_timer_, &QTimer::timeout, &dispatch_timer_, [this] { Dispatch(); });
  if (queues_.IsEnabled()) {
    context.tracker.on_end = [this](upstream_handle upstream) { OnAttemptEnd(upstream); };
  }
}

bool queue_dispatch::IsStateStale() const {
  return context_.clock.Now() - context_.view.FreshAt() > kMaxRoomStateAge;
}

room_candidate queue_dispatch::RoomCandidateOf(const known_upstream& upstream,
                                               const placement_candidate& known) const {
  const upstream_handle handle = upstream.entry.handle;
  room_candidate candidate;
  candidate.slots = known.slots;
  candidate.running = known.running;
  candidate.own_running = context_.tracker.RunningHere(handle);
  candidate.relative_latency = known.relative_latency;
  candidate.is_failing = known.failure > kFailingProbability;
  candidate.is_trial_due = known.is_trial_due;
  candidate.opens_in = context_.statements.TimeUntilOpen(IncarnationOf(upstream.entry));
  if (candidate.opens_in) {
    candidate.opens_in = std::max(*candidate.opens_in, context_.limits.TimeUntilOpen(handle));
  }
  return candidate;
}

std::vector<rank_waiting> queue_dispatch::WaitingFor(const std::string& service) const {
  std::vector<rank_waiting> waiting;
  for (const service_waiting& each : context_.view.Limits().waiting) {
    if (each.service == service) {
      waiting.push_back({{each.workspace_priority, each.route_priority}, each.vms});
    }
  }
  return waiting;
}

service_room queue_dispatch::RoomOf(const std::string& service, const queue_rank& rank) const {
  std::vector<room_candidate> candidates;
  for (const known_upstream* upstream : context_.view.UpstreamsOf(service)) {
    candidates.push_back(RoomCandidateOf(*upstream, context_.tracker.CandidateOf(*upstream, true)));
  }
  return ComputeRoom(candidates, {context_.view.Limits().active_vms, WaitingFor(service), rank,
                                  IsStateStale(), draw_});
}

queue_verdict queue_dispatch::Enter(const std::string& service,
                                    waiting_request& request,
                                    queue_ticket ticket) {
  if (!IsEnabled()) {
    return queue_verdict::kSend;
  }
  const steady_time now = context_.clock.Now();
  const service_room room = RoomOf(service, request.rank);
  request.id = next_id_++;
  const queue_decision decision =
      queues_.Enter(service, request, room, context_.view.Limits().active_vms, now);
  if (decision.verdict == queue_verdict::kSend) {
    return decision.verdict;
  }
  LogEntered(service, request, ticket, decision, room);
  if (decision.verdict != queue_verdict::kWait) {
    Count("refused", request.rank);
    return decision.verdict;
  }
  Count("entered", request.rank);
  tickets_.emplace(request.id, waiting_ticket{std::move(ticket), service, request.rank, now});
  Schedule(milliseconds(0));
  if (decision.displaced) {
    if (const auto displaced = Take(*decision.displaced, "displaced")) {
      displaced->on_refused(error_kind::kQueueFull, "the queue is full of requests of higher rank");
    }
  }
  return decision.verdict;
}

void queue_dispatch::LogEntered(const std::string& service,
                                const waiting_request& request,
                                const queue_ticket& ticket,
                                const queue_decision& decision,
                                const service_room& room) const {
  const steady_time now = context_.clock.Now();
  log_event(log_level::kInfo,
            decision.verdict == queue_verdict::kWait ? "queue_entered" : "queue_refused")
      .Field("request_id", ticket.request_id)
      .Field("attempt_id", ticket.attempt_id)
      .Field("service", service)
      .Field("workspace", request.workspace)
      .Field("rank", RankText(request.rank))
      .Field("is_returning", static_cast<int>(request.is_returning))
      .Field("is_full", static_cast<int>(decision.verdict == queue_verdict::kFull))
      .Field("ahead", std::uint64_t(decision.ahead))
      .Field("expected_wait_ms", duration_cast<milliseconds>(decision.expected_wait).count())
      .Field("likely_response_ms", std::int64_t(request.likely_response.count()))
      .Field("left_ms", duration_cast<milliseconds>(request.deadline - now).count())
      .Field("room", std::uint64_t(room.share))
      .Field("free", std::uint64_t(room.free))
      .Field("state_age_ms", duration_cast<milliseconds>(now - context_.view.FreshAt()).count());
}

// Ends the wait of a request; its ticket is for the caller to use.
std::optional<queue_ticket> queue_dispatch::Take(std::uint64_t id, std::string_view outcome) {
  const auto found = tickets_.find(id);
  if (found == tickets_.end()) {
    return std::nullopt;
  }
  waiting_ticket taken = std::move(found->second);
  tickets_.erase(found);
  queues_.Remove(id);
  log_event(log_level::kInfo, "queue_left")
      .Field("request_id", taken.ticket.request_id)
      .Field("attempt_id", taken.ticket.attempt_id)
      .Field("service", taken.service)
      .Field("rank", RankText(taken.rank))
      .Field("outcome", outcome)
      .Field("waited_ms",
             duration_cast<milliseconds>(context_.clock.Now() - taken.entered_at).count());
  Count(outcome == "sent" ? "sent" : outcome == "ended" ? "ended" : "refused", taken.rank);
  return std::move(taken.ticket);
}

void queue_dispatch::Leave(std::uint64_t id) {
  Take(id, "ended");
}

void queue_dispatch::OnAttemptEnd(upstream_handle upstream) {
  const known_upstream* known = context_.view.Find(upstream);
  if (known != nullptr && queues_.IsWaiting(known->entry.service)) {
    allowances_[known->entry.service].OnAttemptEnd();
    Schedule(milliseconds(0));
  }
}

void queue_dispatch::OnStateUpdate() {
  draw_ = std::uniform_real_distribution<>(0, 1)(context_.random);
  for (auto& [service, allowance] : allowances_) {
    allowance.OnStateUpdate();
  }
  if (!tickets_.empty()) {
    Schedule(milliseconds(0));
  }
}

void queue_dispatch::Sweep() {
  if (!IsEnabled()) {
    return;
  }
  if (!tickets_.empty()) {
    Dispatch();
  }
  ReportWaiting();
}

// Requests are sent from the event loop and not from within the event, which may be part of the end
// of another request.
void queue_dispatch::Schedule(milliseconds delay) {
  if (!dispatch_timer_.isActive() || dispatch_timer_.remainingTimeAsDuration() > delay) {
    dispatch_timer_.start(delay);
  }
}

void queue_dispatch::Dispatch() {
  RefuseExpired();
  for (const std::string& service : queues_.WaitingServices()) {
    DispatchService(service);
  }
  ReportWaiting();
}

void queue_dispatch::ReportWaiting() {
  std::vector<service_waiting> waiting;
  for (const auto& [service, queue] : queues_.Queues()) {
    if (const auto rank = queue.HighestRank()) {
      waiting.push_back({service, 1, rank->workspace_priority, rank->route_priority});
    }
  }
  context_.link.NoteWaiting(std::move(waiting));
}

void queue_dispatch::RefuseExpired() {
  for (const waiting_request& request : queues_.TakeExpired(context_.clock.Now())) {
    if (const auto ticket = Take(request.id, "expired")) {
      ticket->on_refused(error_kind::kQueueTimeout, "no upstream had capacity in time");
    }
  }
}

void queue_dispatch::DispatchService(const std::string& service) {
  const steady_time now = context_.clock.Now();
  const service_room room =
      RoomOf(service, queues_.Queues().at(service).HighestRank().value_or(queue_rank()));
  const std::uint32_t active_vms = context_.view.Limits().active_vms;
  send_allowance& allowance = allowances_[service];
  // Without a sound upstream there is no capacity to wait for: the requests go as without a queue.
  const bool is_hopeless = room.sound_upstreams == 0 && !room.opens_in;
  std::size_t count = is_hopeless ? queues_.Size() : allowance.Left(room, IsStateStale(), now);
  for (; count > 0; --count) {
    const auto next = queues_.Pop(service, room, active_vms, now);
    if (!next) {
      return;
    }
    allowance.OnSent();
    if (const auto ticket = Take(next->id, "sent")) {
      ticket->on_turn();
    }
  }
  if (room.opens_in && queues_.IsWaiting(service)) {
    Schedule(std::max(*room.opens_in, milliseconds(1)));
  }
}

QJsonArray queue_dispatch::Dump() const {
  const steady_time now = context_.clock.Now();
  QJsonArray queues;
  for (const auto& [service, queue] : queues_.Queues()) {
    QJsonObject waiting;
    for (const auto& [rank, count] : queue.CountByRank()) {
      waiting[QString::fromStdString(RankText(rank))] = static_cast<qint64>(count);
    }
    const service_room room = RoomOf(service, queue.HighestRank().value_or(queue_rank()));
    std::uint32_t waiting_vms = 0;
    for (const rank_waiting& each : WaitingFor(service)) {
      waiting_vms += each.vms;
    }
    const auto interval = queues_.BacklogOf(service, {}, now)->interval;
    queues.push_back(QJsonObject{
        {"service", QString::fromStdString(service)},
        {"waiting", waiting},
        {"interval_ms", static_cast<qint64>(duration_cast<milliseconds>(interval).count())},
        {"room", static_cast<qint64>(room.share)},
        {"free", static_cast<qint64>(room.free)},
        {"waiting_vms", static_cast<qint64>(waiting_vms)}});
  }
  return queues;
}

}  // namespace corianderhoist
