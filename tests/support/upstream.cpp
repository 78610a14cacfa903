#include "support/upstream.h"

#include "base/hash.h"
#include "support/upstream_connection.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr int kCrashExitCode = 70;
constexpr milliseconds kDrainCheckInterval{20};
// Below the default announcement period, so that pending announcements cannot accumulate.
constexpr int kAnnounceTimeoutMs = 900;
// Factor on the service time during the cold start.
constexpr int kColdStartFactor = 4;

std::string ToText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string HeaderValue(const upstream_request& request, const char* name) {
  return std::string(request[name]);
}

QString StateName(upstream_state state) {
  switch (state) {
    case upstream_state::kStarting:
      return QStringLiteral("starting");
    case upstream_state::kReady:
      return QStringLiteral("ready");
    case upstream_state::kLeaving:
      return QStringLiteral("leaving");
  }
  return {};
}

QJsonObject ToJson(const announcement& announced) {
  return {{"upstream", QString::fromStdString(announced.upstream)},
          {"incarnation", QString::fromStdString(announced.incarnation)},
          {"started_at_ms", static_cast<qint64>(announced.started_at_ms)},
          {"service", QString::fromStdString(announced.service)},
          {"region", QString::fromStdString(announced.region)},
          {"data_centre", QString::fromStdString(announced.data_centre)},
          {"address", QString::fromStdString(announced.address)},
          {"slots", static_cast<qint64>(announced.slots)},
          {"state", StateName(announced.state)}};
}

QJsonObject CountsToJson(const std::map<std::string, int>& counts) {
  QJsonObject object;
  for (const auto& [name, count] : counts) {
    object[QString::fromStdString(name)] = count;
  }
  return object;
}

// Entry VMs reuse a connection only when its last answer contains the id of its request.
std::string RequestIdHeader(const upstream_request& request) {
  const std::string id = HeaderValue(request, "Corianderhoist-Request-Id");
  return id.empty() ? std::string() : "Corianderhoist-Request-Id: " + id + "\r\n";
}

std::int64_t UnixNowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string FormatAnswer(const upstream_request& request,
                         int status,
                         const std::string& body,
                         const std::string& extra_header) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + ' ' +
      std::string(http::obsolete_reason(static_cast<http::status>(status))) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n" + RequestIdHeader(request) + extra_header +
      (request.keep_alive() ? "" : "Connection: close\r\n") + "\r\n";
  return request.method() == http::verb::head ? text : text + body;
}

simulated_upstream::simulated_upstream(upstream_settings settings, std::function<void(int)> exit)
    : settings_(std::move(settings)),
      exit_(std::move(exit)),
      random_(settings_.seed),
      started_(std::chrono::steady_clock::now()) {
  announcement& announced = settings_.announced;
  announced.incarnation = ToHex(RandomBytes(8));
  announced.started_at_ms = UnixNowMs();
  announced.state =
      settings_.cold_start > milliseconds(0) ? upstream_state::kStarting : upstream_state::kReady;
  QObject::connect(&announce_timer_, &QTimer::timeout, &server_, [this] { Announce(); });
  QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
    while (QTcpSocket* socket = server_.nextPendingConnection()) {
      new upstream_connection(*this, socket);
    }
  });
}

std::uint16_t simulated_upstream::Listen(const endpoint& address) {
  if (!server_.listen(QHostAddress(QString::fromStdString(address.ip)), address.port)) {
    return 0;
  }
  settings_.announced.address = FormatEndpoint({address.ip, server_.serverPort()});
  if (settings_.announced.state == upstream_state::kStarting) {
    QTimer::singleShot(settings_.cold_start, &server_, [this] {
      if (settings_.announced.state == upstream_state::kStarting) {
        settings_.announced.state = upstream_state::kReady;
        Announce();
      }
    });
  }
  announce_timer_.start(settings_.announce_every);
  Announce();
  return server_.serverPort();
}

void simulated_upstream::Announce() {
  if (faults_.is_silent) {
    return;
  }
  const QByteArray body = QJsonDocument(ToJson(settings_.announced)).toJson();
  for (const endpoint& target : settings_.announce_to) {
    QNetworkRequest request(QUrl(QString::fromStdString(
        "http://" + FormatEndpoint(target) + "/v1/upstreams/" + settings_.announced.upstream)));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(kAnnounceTimeoutMs);
    QNetworkReply* reply = announcer_.put(request, body);
    QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
  }
}

void simulated_upstream::Drain() {
  settings_.announced.state = upstream_state::kLeaving;
  Announce();
  ExitAfterDrain();
}

void simulated_upstream::ExitAfterDrain() {
  QTimer::singleShot(settings_.drain_grace, &server_, [this] {
    auto* check = new QTimer(&server_);
    QObject::connect(check, &QTimer::timeout, check, [this] {
      if (running_ == 0) {
        exit_(0);
      }
    });
    check->start(kDrainCheckInterval);
  });
}

bool simulated_upstream::DrawAnswerFault() {
  return faults_.answer != answer_fault::kNone &&
         std::uniform_real_distribution<>(0, 1)(random_) < faults_.answer_share;
}

bool simulated_upstream::IsWork(const upstream_request& request) {
  const std::string_view target(request.target().data(), request.target().size());
  return target != "/health" && target != "/load" && !target.starts_with("/_test/");
}

bool simulated_upstream::BeginWork(const upstream_request& request) {
  for (const auto& field : request) {
    headers_[std::string(field.name_string())].insert(std::string(field.value()));
  }
  if (faults_.is_shedding || running_ >= settings_.announced.slots) {
    ++shed_;
    return false;
  }
  ++running_;
  std::string order = HeaderValue(request, "X-Order");
  if (order.empty()) {
    order = HeaderValue(request, "Idempotency-Key");
  }
  if (!order.empty()) {
    ++orders_[order];
  }
  ++paths_[std::string(request.target())];
  return true;
}

void simulated_upstream::EndWork() {
  --running_;
}

bool simulated_upstream::DrawFailure() {
  const auto age = std::chrono::steady_clock::now() - started_;
  if (faults_.flap_period > milliseconds(0) && (age / faults_.flap_period) % 2 == 1) {
    return true;
  }
  return std::uniform_real_distribution<>(0, 1)(random_) < faults_.fail_share;
}

std::string simulated_upstream::WorkAnswer(const upstream_request& request) {
  const announcement& announced = settings_.announced;
  const bool is_failing = DrawFailure();
  const QJsonObject body{
      {"upstream", QString::fromStdString(announced.upstream)},
      {"service", QString::fromStdString(announced.service)},
      {"place", QString::fromStdString(announced.region + '/' + announced.data_centre)},
      {"target", QString::fromStdString(std::string(request.target()))},
      {"order", QString::fromStdString(HeaderValue(request, "X-Order"))},
      {"body_bytes", static_cast<qint64>(request.body().size())},
      {"failed", is_failing}};
  return FormatAnswer(request, is_failing ? 500 : 200, ToText(body),
                      "X-Upstream: " + announced.upstream + "\r\n");
}

std::string simulated_upstream::ShedAnswer(const upstream_request& request) {
  return FormatAnswer(request, 503, "{\"shed\":true}", "Corianderhoist-Shed: 1\r\n");
}

std::chrono::milliseconds simulated_upstream::ServiceTime() const {
  const bool is_cold = std::chrono::steady_clock::now() - started_ < settings_.cold_start;
  return settings_.service_time * (is_cold ? kColdStartFactor : 1) + faults_.slow_by;
}

void simulated_upstream::CrashIfMarked(const upstream_request& request) {
  const bool is_header_marked =
      !faults_.crash_header.empty() && request.count(faults_.crash_header) > 0;
  const bool is_body_marked =
      !faults_.crash_body.empty() && request.body().find(faults_.crash_body) != std::string::npos;
  if (is_header_marked || is_body_marked) {
    exit_(kCrashExitCode);
  }
}

std::string simulated_upstream::HealthAnswer(const upstream_request& request) const {
  const bool is_ready = settings_.announced.state == upstream_state::kReady;
  const int status = faults_.health_status != 0 ? faults_.health_status : is_ready ? 200 : 503;
  return FormatAnswer(request, status, "{}");
}

QJsonObject simulated_upstream::Executions() const {
  int total = 0;
  for (const auto& [path, count] : paths_) {
    total += count;
  }
  return {{"orders", CountsToJson(orders_)},
          {"paths", CountsToJson(paths_)},
          {"total", total},
          {"running", static_cast<qint64>(running_)},
          {"shed", static_cast<qint64>(shed_)}};
}

QJsonObject simulated_upstream::SeenHeaders() const {
  QJsonObject headers;
  for (const auto& [name, values] : headers_) {
    QJsonArray list;
    for (const std::string& value : values) {
      list.append(QString::fromStdString(value));
    }
    headers[QString::fromStdString(name)] = list;
  }
  return {{"headers", headers}};
}

void simulated_upstream::ResetCounts() {
  orders_.clear();
  paths_.clear();
  headers_.clear();
  shed_ = 0;
}

std::string simulated_upstream::ControlAnswer(const upstream_request& request) {
  const std::string target(request.target());
  if (target == "/health") {
    return HealthAnswer(request);
  }
  if (target == "/load") {
    const double load = faults_.load >= 0
                            ? faults_.load
                            : double(running_) / std::max(1U, settings_.announced.slots);
    return FormatAnswer(request, 200, ToText({{"load", load}}));
  }
  if (target == "/_test/executions") {
    return FormatAnswer(request, 200, ToText(Executions()));
  }
  if (target == "/_test/headers") {
    return FormatAnswer(request, 200, ToText(SeenHeaders()));
  }
  if (target == "/_test/reset") {
    ResetCounts();
    return FormatAnswer(request, 200, "{}");
  }
  if (target == "/_test/faults") {
    const auto change = QJsonDocument::fromJson(QByteArray::fromStdString(request.body()));
    const std::string fault =
        change.isObject() ? ApplyFaults(faults_, change.object()) : "no JSON object";
    return FormatAnswer(request, fault.empty() ? 200 : 400, '"' + fault + '"');
  }
  return FormatAnswer(request, 404, "{}");
}

}  // namespace corianderhoist
