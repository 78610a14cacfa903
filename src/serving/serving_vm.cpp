#include "serving/serving_vm.h"

#include "base/log.h"
#include "observe/metrics.h"

#include <QJsonArray>

#include <algorithm>
#include <map>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Connection timeouts are checked at this interval.
constexpr milliseconds kConnectionSweepInterval(100);
constexpr milliseconds kUpstreamSweepInterval(1000);
// The VM is ready only if its fleet state is younger. A leader election takes less time.
constexpr milliseconds kMaxReadyStateAge(3500);

QJsonObject DumpStateWait(const serving_context& context, steady_time now) {
  const auto expected = std::chrono::duration_cast<milliseconds>(
      context.waits.ExpectedArrival(state_wait_reason::kNoPolicy, now) - now);
  const bool is_missing = !context.admission_control.IsStateRecent();
  return {{"waiting", static_cast<qint64>(context.waits.Size())},
          {"max_requests", static_cast<qint64>(context.settings.state_wait.max_requests)},
          {"expected_ms", static_cast<qint64>(is_missing ? expected.count() : 0)}};
}

}  // namespace

serving_vm::serving_vm(serving_vm_settings settings,
                       policy_decoder decoder,
                       const clock_source& clock)
    : settings_(std::move(settings)), clock_(clock), loop_("serving") {
  view_ = std::make_unique<fleet_view>(std::move(decoder));
}

serving_vm::~serving_vm() {
  loop_.RunAndWait([this] {
    sweep_timer_.reset();
    listener_.reset();
    connections_.clear();
    if (context_) {
      for (auto* flows : {&context_->flows, &context_->ended_flows}) {
        for (const auto& [key, flow] : *flows) {
          flow->Abandon();
        }
        flows->clear();
      }
    }
  });
  // Tasks that were posted during the destruction above still refer to the remaining members.
  loop_.RunAndWait([] {});
  loop_.RunAndWait([this] {
    context_.reset();
    link_.reset();
    front_.reset();
  });
}

result<std::uint16_t> serving_vm::Start() {
  error failure;
  std::uint16_t port = 0;
  loop_.RunAndWait([&] {
    link_ = std::make_unique<fleet_link>(loop_, settings_.link, *view_, clock_);
    link_->on_update = [this] {
      UpdateReady();
      ReviewWaiting(*context_);
      context_->queues.OnStateUpdate();
    };
    context_ = std::make_unique<serving_context>(settings_.serving, *view_, *link_, clock_);
    front_ = std::make_unique<front_context>(front_context{
        .clock = clock_,
        .limits = [this] { return Limits(); },
        .is_idempotent =
            [this](const http_request& request) {
              const policy_ptr& policy = view_->Policy();
              const std::string* host = FindHeader(request.headers, "Host");
              const policy_route* route =
                  policy && host != nullptr ? policy->FindRoute(*host, request.path) : nullptr;
              return route != nullptr && route->is_idempotent;
            },
        .on_request =
            [this](http_request request, std::shared_ptr<request_body> body,
                   std::shared_ptr<answer_sink> sink) {
              std::make_shared<request_flow>(*context_, std::move(request), std::move(body),
                                             std::move(sink))
                  ->Start();
            },
        .buffers = &context_->buffers,
    });
    listener_ = std::make_unique<tcp_listener>([this](int descriptor) { Accept(descriptor); });
    Recover(
        [&]() -> result<void> {
          BOOST_LEAF_ASSIGN(port, listener_->Listen(settings_.listen));
          return {};
        },
        [&](const error& cause) { failure = cause; });
    sweep_timer_ = std::make_unique<QTimer>();
    QObject::connect(sweep_timer_.get(), &QTimer::timeout, sweep_timer_.get(), [this] { Sweep(); });
    sweep_timer_->start(kConnectionSweepInterval);
    link_->Start();
  });
  if (port == 0) {
    return Fail(failure.kind, failure.detail);
  }
  return port;
}

void serving_vm::SetSeeds(std::vector<endpoint> seeds) {
  loop_.Post([this, seeds = std::move(seeds)] { link_->SetSeeds(seeds); });
}

front_limits serving_vm::Limits() const {
  front_limits limits;
  if (const policy_ptr& policy = view_->Policy()) {
    const caller_bounds& bounds = policy->Policy().bounds;
    limits.request.header_bytes = bounds.header_bytes;
    limits.request.body_bytes = bounds.body_bytes;
    limits.header_timeout = bounds.header_timeout;
    limits.idle_timeout = bounds.idle_timeout;
  }
  return limits;
}

void serving_vm::Accept(int descriptor) {
  connections_while_draining_ += context_->drain.HasBegun() ? 1 : 0;
  auto connection = std::make_shared<front_connection>(
      *front_, [this](front_connection* ended) { connections_.erase(ended); });
  connections_.emplace(connection.get(), connection);
  connection->Start(descriptor);
}

void serving_vm::Sweep() {
  const steady_time now = clock_.Now();
  std::vector<std::shared_ptr<front_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  for (const auto& connection : all) {
    connection->CheckTimeouts(now);
  }
  UpdateReady();
  ReviewWaiting(*context_);
  GiveUpSlowCallers();
  context_->queues.Sweep();
  if (now >= next_upstream_sweep_) {
    next_upstream_sweep_ = now + kUpstreamSweepInterval;
    context_->connections.Sweep([this](upstream_handle handle) {
      const known_upstream* upstream = view_->Find(handle);
      return upstream != nullptr && !context_->statements.IsLeaving(IncarnationOf(upstream->entry));
    });
    context_->tracker.Sweep();
    context_->statements.Sweep();
    context_->limits.Sweep();
  }
  if (context_->drain.HasBegun() && !has_drained_) {
    ContinueDrain();
  }
}

// Frees buffers for other requests once they are full: the callers that have not read their answers
// for longest lose them.
void serving_vm::GiveUpSlowCallers() {
  if (!context_->buffers.IsExhausted()) {
    return;
  }
  std::multimap<steady_time, std::shared_ptr<request_flow>> waiting;
  for (const auto& [key, flow] : context_->flows) {
    if (const auto since = flow->WaitingForCallerSince()) {
      waiting.emplace(*since, flow);
    }
  }
  const std::size_t excess = context_->buffers.Used() - context_->buffers.Capacity() + 1;
  std::size_t freed = 0;
  std::uint64_t ended = 0;
  for (const auto& [since, flow] : waiting) {
    if (freed >= excess) {
      break;
    }
    freed += flow->GiveUpSlowCaller();
    ++ended;
  }
  log_event(log_level::kWarning, "buffers_full")
      .Field("capacity", std::uint64_t(context_->buffers.Capacity()))
      .Field("excess", std::uint64_t(excess))
      .Field("waiting", std::uint64_t(waiting.size()))
      .Field("ended", ended);
}

void serving_vm::UpdateReady() {
  const bool is_draining = context_->drain.HasBegun();
  const bool is_ready =
      !is_draining && view_->Policy() && clock_.Now() - view_->FreshAt() < kMaxReadyStateAge;
  if (is_ready_.exchange(is_ready) != is_ready) {
    log_event(log_level::kInfo, is_ready ? "ready" : "not_ready")
        .Field("is_draining", static_cast<int>(is_draining))
        .Field("state_age_ms",
               std::chrono::duration_cast<milliseconds>(clock_.Now() - view_->FreshAt()).count());
  }
}

void serving_vm::Drain(std::function<void()> on_stopped) {
  loop_.Post([this, on_stopped = std::move(on_stopped)] {
    if (context_->drain.HasBegun()) {
      return;
    }
    context_->drain.Begin(clock_.Now());
    on_stopped_ = on_stopped;
    log_event(log_level::kInfo, "drain_started")
        .Field("connections", std::uint64_t(connections_.size()))
        .Field("running", std::uint64_t(context_->flows.size()));
    UpdateReady();
    // From now on each response has `Connection: close`, so that callers connect elsewhere.
    front_->is_closing = true;
    ContinueDrain();
  });
}

void serving_vm::ContinueDrain() {
  ReviewWaiting(*context_);
  const steady_time now = clock_.Now();
  std::vector<std::shared_ptr<request_flow>> flows;
  for (const auto& [key, flow] : context_->flows) {
    flows.push_back(flow);
  }
  for (const auto& flow : flows) {
    flow->OnDrainProgress();
  }
  const bool is_closing_idle = context_->drain.IsClosingIdleConnections(now);
  if (is_closing_idle) {
    std::vector<std::shared_ptr<front_connection>> all;
    for (const auto& [key, connection] : connections_) {
      all.push_back(connection);
    }
    for (const auto& connection : all) {
      connection->CloseIfIdle(now);
    }
  }
  const bool is_finished = is_closing_idle && connections_.empty() && context_->flows.empty();
  if (is_finished || context_->drain.IsOver(now)) {
    FinishDrain();
  }
}

void serving_vm::FinishDrain() {
  has_drained_ = true;
  listener_->Close();
  link_->FlushLast();
  for (const auto& [key, flow] : context_->flows) {
    flow->NoteCut();
  }
  const auto unsent = std::count_if(connections_.begin(), connections_.end(),
                                    [](const auto& each) { return each.second->Unsent() > 0; });
  log_event(log_level::kInfo, "drained")
      .Field("drain_ms", std::int64_t(context_->drain.ElapsedAt(clock_.Now()).count()))
      .Field("accepted", connections_while_draining_)
      .Field("running", std::uint64_t(context_->flows.size()))
      .Field("connections", std::uint64_t(connections_.size()))
      .Field("unsent_answers", std::int64_t(unsent));
  on_stopped_();
}

QJsonObject serving_vm::Dump() const {
  const steady_time now = clock_.Now();
  const auto age = std::chrono::duration_cast<milliseconds>(now - view_->FreshAt());
  QJsonArray statements;
  for (const auto& [incarnation, record] : context_->statements.Records()) {
    const auto until_open = std::chrono::ceil<milliseconds>(record.opens_at - now);
    const auto since = std::chrono::duration_cast<milliseconds>(now - record.first_heard);
    statements.push_back(QJsonObject{
        {"upstream", QString::fromStdString(incarnation.id)},
        {"started_ms", static_cast<qint64>(incarnation.started.time_since_epoch().count())},
        {"is_leaving", record.is_leaving},
        {"closed_ms", static_cast<qint64>(std::max(until_open, milliseconds(0)).count())},
        {"age_ms", static_cast<qint64>(since.count())},
        {"kept_away", static_cast<qint64>(record.kept_away)},
        {"invalid_values", static_cast<qint64>(record.invalid_values)}});
  }
  return {{"is_ready", is_ready_.load()},
          {"upstream_statements", statements},
          {"service_queues", context_->queues.Dump()},
          {"policy_version", static_cast<qint64>(view_->Policy() ? view_->Policy()->Version() : 0)},
          {"state_age_ms", static_cast<qint64>(age.count())},
          {"connections", static_cast<qint64>(connections_.size())},
          {"buffered_bytes", static_cast<qint64>(context_->buffers.Used())},
          {"buffer_bytes", static_cast<qint64>(context_->buffers.Capacity())},
          {"running", static_cast<qint64>(context_->flows.size())},
          {"state_wait", DumpStateWait(*context_, now)},
          {"idle_upstream_connections", static_cast<qint64>(context_->connections.Size())},
          {"active_vms", static_cast<qint64>(view_->Limits().active_vms)}};
}

}  // namespace corianderhoist
