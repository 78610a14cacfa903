#include "entry/entry_vm.h"

#include "base/hash.h"
#include "base/log.h"
#include "entry/announcement_handler.h"
#include "entry/config_follower.h"
#include "entry/entry_context.h"
#include "entry/proxied_request.h"
#include "entry/request_headers.h"
#include "entry/session_renewer.h"
#include "http/caller_server.h"
#include "observe/metrics.h"
#include "status/status_server.h"
#include "wire/rpc.h"

#include <QTimer>

#include <utility>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxAnnouncementBodyBytes = 16UL << 10U;
constexpr std::size_t kSessionIdBytes = 8;
constexpr milliseconds kPoolSweepInterval(500);
constexpr milliseconds kDrainPollInterval(50);
// A caller closes its connection within this time after its last answer.
constexpr milliseconds kConnectionCloseTime(1000);

caller_limits AnnouncementLimits(caller_limits limits) {
  limits.request.body_bytes = kMaxAnnouncementBodyBytes;
  return limits;
}

}  // namespace

struct entry_vm::state {
  state(entry_settings settings, std::function<void(exit_code)> callback)
      : on_stopped(std::move(callback)) {
    context.settings = std::move(settings);
    context.session = ToHex(RandomBytes(kSessionIdBytes));
  }

  // An event loop with its worker and a timer that closes expired idle connections.
  struct worker_thread {
    worker_thread(const std::string& name, entry_context& context) : loop(name) {
      loop.RunAndWait([&] {
        worker = std::make_unique<entry_worker>(loop, context);
        sweep = std::make_unique<QTimer>();
        QObject::connect(sweep.get(), &QTimer::timeout, sweep.get(),
                         [this] { worker->pool.Sweep(); });
        sweep->start(kPoolSweepInterval);
      });
    }
    ~worker_thread() {
      loop.RunAndWait([&] {
        sweep.reset();
        worker.reset();
      });
    }

    io_loop loop;
    std::unique_ptr<entry_worker> worker;
    std::unique_ptr<QTimer> sweep;
  };

  void StartThreads();
  result<void> OpenPorts();
  void StartControlLoop();
  void AddStateSections();
  /// Calls `task(worker)` on the thread of each worker.
  template <class Task>
  void ForEachWorker(Task task) {
    for (const auto& thread : threads) {
      thread->loop.RunAndWait([&] { task(*thread->worker); });
    }
  }
  void BeginDrain();
  void PollDrain();
  void StopActiveRequests();
  void FinishShutdown(exit_code code);
  void CloseConnections(exit_code code);
  bool IsDrained() const {
    return context.active_request_count == 0 && context.pending_completes == 0 &&
           callers->ConnectionCount() == 0;
  }

  entry_context context;
  std::function<void(exit_code)> on_stopped;
  std::vector<std::unique_ptr<worker_thread>> threads;
  std::unique_ptr<io_loop> control_loop;
  session_renewer::clients control_clients;
  std::unique_ptr<config_follower> follower;
  std::unique_ptr<session_renewer> sessions;
  std::unique_ptr<caller_server> callers;
  std::unique_ptr<caller_server> announcements;
  std::unique_ptr<status_server> status;
  std::unique_ptr<QTimer> drain_timer;
  std::unique_ptr<QTimer> close_timer;
  steady_time drain_started_at;
  std::uint16_t callers_port = 0;
  std::uint16_t announcements_port = 0;
  std::atomic<bool> is_draining = false;
  std::atomic<bool> are_sessions_ended = false;
  bool is_finishing_shutdown = false;
  steady_time connections_close_by;
};

entry_vm::entry_vm(entry_settings settings, std::function<void(exit_code)> on_stopped)
    : state_(std::make_unique<state>(std::move(settings), std::move(on_stopped))) {}

entry_vm::~entry_vm() {
  state_->drain_timer.reset();
  state_->close_timer.reset();
  state_->status.reset();
  state_->announcements.reset();
  state_->callers.reset();
  if (state_->control_loop) {
    state_->control_loop->RunAndWait([this] {
      state_->sessions.reset();
      state_->follower.reset();
      state_->control_clients.clear();
    });
  }
  state_->threads.clear();
}

result<void> entry_vm::Start() {
  BOOST_LEAF_ASSIGN(state_->context.identity,
                    tls_identity::Load(state_->context.settings.process.tls));
  state_->StartThreads();
  BOOST_LEAF_CHECK(state_->OpenPorts());
  state_->StartControlLoop();
  return {};
}

void entry_vm::Shutdown() {
  if (state_->is_draining) {
    state_->StopActiveRequests();
    return;
  }
  state_->BeginDrain();
}

std::uint16_t entry_vm::CallersPort() const {
  return state_->callers_port;
}

std::uint16_t entry_vm::AnnouncementsPort() const {
  return state_->announcements_port;
}

void entry_vm::state::StartThreads() {
  for (int i = 0; i < context.settings.process.threads; ++i) {
    threads.push_back(std::make_unique<worker_thread>("entry" + std::to_string(i), context));
  }
}

result<void> entry_vm::state::OpenPorts() {
  const entry_settings& settings = context.settings;
  std::optional<QSslConfiguration> tls;
  if (settings.callers_tls) {
    BOOST_LEAF_ASSIGN(tls, LoadCallersTls(*settings.callers_tls));
  }
  std::vector<io_loop*> loops;
  for (const auto& thread : threads) {
    loops.push_back(&thread->loop);
  }
  callers = std::make_unique<caller_server>(
      loops, settings.limits, tls,
      [this](std::size_t index, http_request request, std::shared_ptr<answer_sink> sink) {
        entry_worker& worker = *threads[index]->worker;
        auto active =
            std::make_shared<proxied_request>(worker, std::move(request), std::move(sink));
        worker.active_requests.emplace(active.get(), active);
        active->Start();
      });
  // Refuses a request without a route or a valid key before its body is read.
  callers->SetHeadCheck([this](const http_request& request) -> result<void> {
    BOOST_LEAF_AUTO(key, ParseWorkspaceKey(request.headers));
    const auto hash = key ? std::optional(Sha256(*key)) : std::nullopt;
    BOOST_LEAF_CHECK(context.routes.Route(request.method, request.path, hash));
    return {};
  });
  announcements =
      std::make_unique<caller_server>(loops, AnnouncementLimits(settings.limits), std::nullopt,
                                      [this](std::size_t index, const http_request& request,
                                             const std::shared_ptr<answer_sink>& sink) {
                                        HandleAnnouncement(*threads[index]->worker, request, sink);
                                      });
  status = std::make_unique<status_server>();
  AddStateSections();
  BOOST_LEAF_AUTO(status_port, status->Listen(settings.process.status_listen));
  LogListening("status", status_port);
  BOOST_LEAF_ASSIGN(announcements_port, announcements->Listen(settings.announcements_listen));
  LogListening("announcements", announcements_port);
  BOOST_LEAF_ASSIGN(callers_port, callers->Listen(settings.callers_listen));
  LogListening("callers", callers_port);
  return {};
}

void entry_vm::state::StartControlLoop() {
  control_loop = std::make_unique<io_loop>("control");
  control_loop->RunAndWait([this] {
    for (const coordinator_group& group : context.settings.coordinators) {
      control_clients.emplace(group.region, std::make_unique<coordinator_client>(
                                                *control_loop, context.identity, group));
    }
    follower = std::make_unique<config_follower>(*control_loop, context,
                                                 *control_clients.at(context.settings.region));
    follower->Start();
    sessions = std::make_unique<session_renewer>(context, control_clients);
    sessions->Start();
  });
}

void entry_vm::state::AddStateSections() {
  status->SetReadiness([this] { return !is_draining && context.routes.Version() > 0; });
  status->AddSection("entry", [this] {
    QJsonObject leases;
    for (const auto& [region, held] : context.leases.Snapshot()) {
      leases[QString::fromStdString(region)] = static_cast<qint64>(held.size());
    }
    return QJsonObject{
        {"name", QString::fromStdString(context.settings.process.name)},
        {"region", QString::fromStdString(context.settings.region)},
        {"data_centre", QString::fromStdString(context.settings.data_centre)},
        {"session", QString::fromStdString(context.session)},
        {"config_version", static_cast<qint64>(context.routes.Version())},
        {"routing_version", static_cast<qint64>(context.routes.RoutingVersion())},
        {"routes", static_cast<qint64>(context.routes.RouteCount())},
        {"running_requests", static_cast<qint64>(context.active_request_count)},
        {"pending_completes", static_cast<qint64>(context.pending_completes)},
        {"caller_connections", static_cast<qint64>(callers->ConnectionCount())},
        {"idle_upstream_connections", static_cast<qint64>(context.idle_connections.Total())},
        {"leases", leases},
        {"is_draining", is_draining.load()},
    };
  });
}

void entry_vm::state::BeginDrain() {
  // Before the VM says that it is not ready: callers that have seen it rely on the closed
  // connections.
  callers->AnnounceClose();
  is_draining = true;
  drain_started_at = context.clock.Now();
  log_event(log_level::kInfo, "drain_started")
      .Field("running_requests", std::uint64_t(context.active_request_count));
  ForEachWorker([this](entry_worker& worker) { worker.drain.Begin(drain_started_at); });
  drain_timer = std::make_unique<QTimer>();
  QObject::connect(drain_timer.get(), &QTimer::timeout, drain_timer.get(), [this] { PollDrain(); });
  drain_timer->start(kDrainPollInterval);
}

void entry_vm::state::PollDrain() {
  const auto elapsed = context.clock.Now() - drain_started_at;
  if (elapsed >= context.settings.drain_deadline) {
    StopActiveRequests();
    return;
  }
  ForEachWorker([](entry_worker& worker) {
    for (const auto& request : worker.ActiveRequests()) {
      request->OnDrainProgress();
    }
  });
  if (elapsed < context.settings.drain_delay) {
    return;
  }
  callers->StopAccepting();
  if (IsDrained()) {
    FinishShutdown(exit_code::kStopped);
  }
}

// Refuses the remaining requests. The refusals are sent while the sessions are being ended.
void entry_vm::state::StopActiveRequests() {
  log_event(log_level::kWarning, "drain_cut_short")
      .Field("running_requests", std::uint64_t(context.active_request_count));
  ForEachWorker([this](entry_worker& worker) {
    worker.drain.End(context.clock.Now());
    for (const auto& request : worker.ActiveRequests()) {
      request->Stop();
    }
  });
  FinishShutdown(exit_code::kDrainDeadline);
}

void entry_vm::state::FinishShutdown(exit_code code) {
  if (std::exchange(is_finishing_shutdown, true)) {
    return;
  }
  connections_close_by = context.clock.Now() + kConnectionCloseTime;
  drain_timer->stop();
  close_timer = std::make_unique<QTimer>();
  QObject::connect(close_timer.get(), &QTimer::timeout, close_timer.get(),
                   [this, code] { CloseConnections(code); });
  control_loop->Post([this] { sessions->EndSessions([this] { are_sessions_ended = true; }); });
  close_timer->start(kDrainPollInterval);
}

// Requests that arrive meanwhile are refused. Ends the shutdown when all answers are delivered.
void entry_vm::state::CloseConnections(exit_code code) {
  for (const auto& server : {callers.get(), announcements.get()}) {
    server->AnnounceClose();
    server->StopAccepting();
    server->RefuseIncomplete({error_kind::kShuttingDown, "the proxy stops"});
  }
  const std::size_t open = callers->ConnectionCount() + announcements->ConnectionCount();
  if (are_sessions_ended && (open == 0 || context.clock.Now() >= connections_close_by)) {
    close_timer->stop();
    log_event(log_level::kInfo, "stopped")
        .Field("exit_code", static_cast<int>(code))
        .Field("connections", std::uint64_t(open));
    on_stopped(code);
  }
}

}  // namespace corianderhoist
