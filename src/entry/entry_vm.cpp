#include "entry/entry_vm.h"

#include "base/hash.h"
#include "base/log.h"
#include "entry/announcement_intake.h"
#include "entry/config_follower.h"
#include "entry/entry_context.h"
#include "entry/request_parts.h"
#include "entry/request_run.h"
#include "entry/session_keeper.h"
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

constexpr std::size_t kAnnouncementBytes = 16UL << 10U;
constexpr std::size_t kSessionBytes = 8;
constexpr milliseconds kPoolSweep(500);
constexpr milliseconds kDrainPoll(50);

caller_limits AnnouncementLimits(caller_limits limits) {
  limits.request.body_bytes = kAnnouncementBytes;
  return limits;
}

}  // namespace

struct entry_vm::state {
  state(entry_settings settings, std::function<void(exit_code)> callback)
      : on_stopped(std::move(callback)) {
    context.settings = std::move(settings);
    context.session = ToHex(RandomBytes(kSessionBytes));
  }

  // One thread: its loop, its state and a timer that closes idle connections.
  struct worker_thread {
    worker_thread(const std::string& name, entry_context& context) : loop(name) {
      loop.RunAndWait([&] {
        worker = std::make_unique<entry_worker>(loop, context);
        sweep = std::make_unique<QTimer>();
        QObject::connect(sweep.get(), &QTimer::timeout, sweep.get(),
                         [this] { worker->pool.Sweep(); });
        sweep->start(kPoolSweep);
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
  void StartControl();
  void AddStateSections();
  void BeginDrain();
  void PollDrain();
  void StopRuns();
  void Leave(exit_code code);
  bool IsDrained() const {
    return context.running == 0 && context.pending_completes == 0 &&
           callers->ConnectionCount() == 0;
  }

  entry_context context;
  std::function<void(exit_code)> on_stopped;
  std::vector<std::unique_ptr<worker_thread>> threads;
  std::unique_ptr<io_loop> control_loop;
  session_keeper::clients control_clients;
  std::unique_ptr<config_follower> follower;
  std::unique_ptr<session_keeper> sessions;
  std::unique_ptr<caller_server> callers;
  std::unique_ptr<caller_server> announcements;
  std::unique_ptr<status_server> status;
  std::unique_ptr<QTimer> drain_timer;
  steady_time drain_started_at;
  std::uint16_t callers_port = 0;
  std::uint16_t announcements_port = 0;
  std::atomic<bool> is_draining = false;
  bool has_left = false;
};

entry_vm::entry_vm(entry_settings settings, std::function<void(exit_code)> on_stopped)
    : state_(std::make_unique<state>(std::move(settings), std::move(on_stopped))) {}

entry_vm::~entry_vm() {
  state_->drain_timer.reset();
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
  state_->StartControl();
  return {};
}

void entry_vm::Shutdown() {
  if (state_->is_draining) {
    state_->StopRuns();
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
        auto run = std::make_shared<request_run>(worker, std::move(request), std::move(sink));
        worker.runs.emplace(run.get(), run);
        run->Start();
      });
  // A caller without a route or key is refused before its body is read.
  callers->SetHeadCheck([this](const http_request& request) -> result<void> {
    BOOST_LEAF_AUTO(key, KeyOf(request.headers));
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

void entry_vm::state::StartControl() {
  control_loop = std::make_unique<io_loop>("control");
  control_loop->RunAndWait([this] {
    for (const region_members& group : context.settings.coordinators) {
      control_clients.emplace(group.region, std::make_unique<coordinator_client>(
                                                *control_loop, context.identity, group));
    }
    follower = std::make_unique<config_follower>(*control_loop, context,
                                                 *control_clients.at(context.settings.region));
    follower->Start();
    sessions = std::make_unique<session_keeper>(context, control_clients);
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
        {"running_requests", static_cast<qint64>(context.running)},
        {"pending_completes", static_cast<qint64>(context.pending_completes)},
        {"caller_connections", static_cast<qint64>(callers->ConnectionCount())},
        {"idle_upstream_connections", static_cast<qint64>(context.idle_connections.Total())},
        {"leases", leases},
        {"is_draining", is_draining.load()},
    };
  });
}

void entry_vm::state::BeginDrain() {
  is_draining = true;
  drain_started_at = context.clock.Now();
  log_event(log_level::kInfo, "drain_started")
      .Field("running_requests", std::uint64_t(context.running));
  callers->AskCallersToLeave();
  drain_timer = std::make_unique<QTimer>();
  QObject::connect(drain_timer.get(), &QTimer::timeout, drain_timer.get(), [this] { PollDrain(); });
  drain_timer->start(kDrainPoll);
}

void entry_vm::state::PollDrain() {
  const auto elapsed = context.clock.Now() - drain_started_at;
  if (elapsed >= context.settings.drain_deadline) {
    StopRuns();
    return;
  }
  if (elapsed < context.settings.drain_delay) {
    return;
  }
  callers->StopAccepting();
  if (IsDrained()) {
    Leave(exit_code::kStopped);
  }
}

// Ends the remaining requests with truthful refusals, which get a moment to reach their callers.
void entry_vm::state::StopRuns() {
  log_event(log_level::kWarning, "drain_cut_short")
      .Field("running_requests", std::uint64_t(context.running));
  for (const auto& thread : threads) {
    thread->loop.RunAndWait([&thread] {
      std::vector<std::shared_ptr<request_run>> runs;
      for (const auto& [key, run] : thread->worker->runs) {
        runs.push_back(run);
      }
      for (const auto& run : runs) {
        run->Stop();
      }
    });
  }
  Leave(exit_code::kDrainDeadline);
}

void entry_vm::state::Leave(exit_code code) {
  if (std::exchange(has_left, true)) {
    return;
  }
  if (drain_timer) {
    drain_timer->stop();
  }
  const auto finish = [this, code] {
    log_event(log_level::kInfo, "stopped").Field("exit_code", static_cast<int>(code));
    on_stopped(code);
  };
  control_loop->Post([this, finish] { sessions->Leave(finish); });
}

}  // namespace corianderhoist
