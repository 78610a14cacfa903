#include "status/status_server.h"

#include "observe/metrics.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QThread>

#include <cassert>
#include <map>

namespace corianderhoist {
namespace {

QHttpServerResponse JsonAnswer(const QJsonObject& object) {
  return {QByteArrayLiteral("application/json"),
          QJsonDocument(object).toJson(QJsonDocument::Indented)};
}

}  // namespace

struct status_server::state {
  std::map<std::string, std::function<QJsonObject()>> sections;
  std::function<bool()> is_ready = [] { return true; };
  QThread thread;
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
  std::unique_ptr<QHttpServer> server;

  void AddRoutes() {
    server->route("/state", [this] {
      QJsonObject all;
      for (const auto& [name, read] : sections) {
        all[QString::fromStdString(name)] = read();
      }
      return JsonAnswer(all);
    });
    server->route("/state/<arg>", [this](const QString& name) {
      const auto found = sections.find(name.toStdString());
      return found == sections.end()
                 ? QHttpServerResponse(QHttpServerResponse::StatusCode::NotFound)
                 : JsonAnswer(found->second());
    });
    server->route("/metrics", [] { return JsonAnswer(metrics::Instance().Dump()); });
    server->route("/ready", [this] {
      return QHttpServerResponse(is_ready() ? QHttpServerResponse::StatusCode::Ok
                                            : QHttpServerResponse::StatusCode::ServiceUnavailable);
    });
  }
};

status_server::status_server() : state_(std::make_unique<state>()) {
  state_->context->moveToThread(&state_->thread);
  state_->thread.start();
}

status_server::~status_server() {
  QMetaObject::invokeMethod(
      state_->context.get(), [this] { state_->server.reset(); }, Qt::BlockingQueuedConnection);
  state_->thread.quit();
  state_->thread.wait();
}

void status_server::AddSection(std::string name, std::function<QJsonObject()> read) {
  assert(!state_->server && "sections must be added before listening");
  state_->sections.emplace(std::move(name), std::move(read));
}

void status_server::SetReadiness(std::function<bool()> is_ready) {
  state_->is_ready = std::move(is_ready);
}

result<std::uint16_t> status_server::Listen(const endpoint& address) {
  quint16 port = 0;
  QMetaObject::invokeMethod(
      state_->context.get(),
      [&] {
        state_->server = std::make_unique<QHttpServer>();
        state_->AddRoutes();
        port =
            state_->server->listen(QHostAddress(QString::fromStdString(address.ip)), address.port);
      },
      Qt::BlockingQueuedConnection);
  if (port == 0) {
    return Fail(error_kind::kUnreachable, "cannot listen on " + FormatEndpoint(address));
  }
  return port;
}

}  // namespace corianderhoist
