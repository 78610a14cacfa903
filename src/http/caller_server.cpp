#include "http/caller_server.h"

#include "wire/tcp_acceptor.h"

#include <QTimer>

#include <cassert>
#include <unordered_map>

namespace corianderhoist {
namespace {

// Granularity of the timeouts of connections.
constexpr std::chrono::milliseconds kTimeoutCheckInterval(100);

struct worker {
  explicit worker(const clock_source& time) : clock(time) {}

  const clock_source& clock;
  io_loop* loop = nullptr;
  std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections;
  std::unique_ptr<QTimer> timeout_timer;

  // Iterates over a copy, because `visit` may erase connections.
  template <class Visitor>
  void ForEach(Visitor&& visit) {
    std::vector<std::shared_ptr<caller_connection>> all;
    all.reserve(connections.size());
    for (const auto& [key, connection] : connections) {
      all.push_back(connection);
    }
    for (const auto& connection : all) {
      visit(*connection);
    }
  }

  void StartTimeoutChecks() {
    timeout_timer = std::make_unique<QTimer>();
    QObject::connect(timeout_timer.get(), &QTimer::timeout, timeout_timer.get(), [this] {
      const auto now = clock.Now();
      ForEach([now](caller_connection& connection) { connection.CheckTimeouts(now); });
    });
    timeout_timer->start(kTimeoutCheckInterval);
  }
};

}  // namespace

struct caller_server::state {
  caller_context context;
  handler on_request;
  std::vector<std::unique_ptr<worker>> workers;
  std::size_t next_worker = 0;
  tcp_acceptor acceptor{[this](qintptr descriptor) { Accept(descriptor); }};

  void Accept(qintptr descriptor) {
    const std::size_t index = next_worker++ % workers.size();
    worker& chosen = *workers[index];
    chosen.loop->Post([this, &chosen, index, descriptor] {
      const bool is_over_limit = context.connections >= context.limits.connections;
      auto connection = std::make_shared<caller_connection>(
          *chosen.loop, context,
          [this, index](http_request request, std::shared_ptr<answer_sink> sink) {
            on_request(index, std::move(request), std::move(sink));
          },
          [&chosen](caller_connection* ended) { chosen.connections.erase(ended); });
      chosen.connections.emplace(connection.get(), connection);
      connection->Start(descriptor, is_over_limit);
    });
  }
};

caller_server::caller_server(std::vector<io_loop*> loops,
                             caller_limits limits,
                             std::optional<QSslConfiguration> tls,
                             handler on_request)
    : state_(std::make_unique<state>()) {
  state_->context.limits = limits;
  state_->context.tls = std::move(tls);
  state_->on_request = std::move(on_request);
  for (io_loop* loop : loops) {
    state_->workers.push_back(std::make_unique<worker>(state_->context.clock));
    worker* new_worker = state_->workers.back().get();
    new_worker->loop = loop;
    loop->RunAndWait([new_worker] { new_worker->StartTimeoutChecks(); });
  }
}

caller_server::~caller_server() {
  state_->acceptor.Close();
  for (const auto& each : state_->workers) {
    // The second call runs after the tasks that aborted connections post; they use the worker.
    each->loop->RunAndWait([&each] {
      each->timeout_timer.reset();
      each->ForEach([](caller_connection& connection) { connection.Abort(); });
    });
    each->loop->RunAndWait([&each] { each->connections.clear(); });
  }
}

void caller_server::SetHeadCheck(std::function<result<void>(const http_request&)> check) {
  assert(!state_->acceptor.IsListening() && "the check must be set before listening");
  state_->context.on_head = std::move(check);
}

result<std::uint16_t> caller_server::Listen(const endpoint& address) {
  return state_->acceptor.Listen(address);
}

void caller_server::AnnounceClose() {
  state_->context.is_closing = true;
}

void caller_server::StopAccepting() {
  state_->acceptor.Close();
  const steady_time now = state_->context.clock.Now();
  for (const auto& each : state_->workers) {
    each->loop->RunAndWait(
        [&] { each->ForEach([now](caller_connection& c) { c.CloseIfIdle(now); }); });
  }
}

void caller_server::RefuseIncomplete(const error& failure) {
  for (const auto& each : state_->workers) {
    each->loop->RunAndWait([&] {
      each->ForEach([&](caller_connection& connection) { connection.RefuseIncomplete(failure); });
    });
  }
}

void caller_server::AbortAll() {
  for (const auto& each : state_->workers) {
    each->loop->RunAndWait([&each] { each->ForEach([](caller_connection& c) { c.Abort(); }); });
  }
}

std::size_t caller_server::ConnectionCount() const {
  return state_->context.connections;
}

}  // namespace corianderhoist
