#include "upstream/upstream_exchange.h"

#include <QHostAddress>
#include <QNetworkProxy>

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::size_t kReservedHeadBytes = 512;
constexpr qint64 kReadBufferBytes = 128LL << 10;
constexpr std::string_view kRequestIdHeader = "Corianderhoist-Request-Id";
constexpr std::string_view kShedHeader = "Corianderhoist-Shed";
constexpr int kServiceUnavailable = 503;
constexpr int kMinServerErrorStatus = 500;

std::string FormatRequest(const exchange_request& exchange) {
  const http_request& request = *exchange.request;
  std::string text;
  text.reserve(kReservedHeadBytes + request.body.size());
  text += request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const header_field& field : exchange.headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  if (exchange.idle_connections == 0) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  text += request.body;
  return text;
}

}  // namespace

upstream_exchange::upstream_exchange(upstream_connection_pool& pool,
                                     exchange_request request,
                                     events handlers)
    : pool_(pool),
      request_(std::move(request)),
      events_(std::move(handlers)),
      reader_(request_.request->method == "HEAD") {
  reader_.on_head = [this](answer_head head) { OnHead(std::move(head)); };
  reader_.on_body = [this](std::string_view part) {
    if (!has_ended_) {
      events_.on_body(part);
    }
  };
}

upstream_exchange::~upstream_exchange() {
  has_ended_ = true;
  if (socket_) {
    socket_->disconnect();
  }
}

void upstream_exchange::Start() {
  if (request_.may_reuse) {
    socket_ = pool_.Take(request_.upstream);
  }
  is_reused_ = socket_ != nullptr;
  if (is_reused_) {
    ConnectSignals();
    Send();
    return;
  }
  socket_ = std::make_unique<QTcpSocket>();
  socket_->setProxy(QNetworkProxy::NoProxy);
  socket_->setReadBufferSize(kReadBufferBytes);
  ConnectSignals();
  QObject::connect(socket_.get(), &QTcpSocket::connected, socket_.get(), [this] {
    connect_timer_.reset();
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    Send();
  });
  connect_timer_ = std::make_unique<QTimer>();
  connect_timer_->setSingleShot(true);
  QObject::connect(connect_timer_.get(), &QTimer::timeout, socket_.get(), [this] {
    Finish(attempt_result::kConnectFailed, "no connection to the upstream in time");
  });
  connect_timer_->start(request_.connect_timeout);
  const endpoint& address = request_.upstream.address;
  socket_->connectToHost(QHostAddress(QString::fromStdString(address.ip)), address.port);
}

void upstream_exchange::ConnectSignals() {
  QObject* scope = socket_.get();
  QObject::connect(socket_.get(), &QTcpSocket::readyRead, scope, [this] { OnReadable(); });
  QObject::connect(socket_.get(), &QTcpSocket::errorOccurred, scope,
                   [this] { OnClosed(socket_->errorString().toStdString()); });
  QObject::connect(socket_.get(), &QTcpSocket::disconnected, scope, [this] { OnClosed("closed"); });
}

void upstream_exchange::Send() {
  if (socket_->bytesAvailable() > 0) {
    Finish(attempt_result::kConnectFailed, "the upstream sent bytes before the request");
    return;
  }
  is_sent_ = true;
  const std::string text = FormatRequest(request_);
  socket_->write(text.data(), static_cast<qint64>(text.size()));
  socket_->flush();
}

void upstream_exchange::OnReadable() {
  const auto keep_alive = shared_from_this();
  if (!is_sent_ && !has_ended_ && socket_->bytesAvailable() > 0) {
    Finish(attempt_result::kConnectFailed, "the upstream sent bytes before the request");
  }
  while (!has_ended_ && !is_paused_ && socket_->bytesAvailable() > 0) {
    const QByteArray bytes = socket_->readAll();
    incoming_.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    const bool is_complete = Recover([&] { return reader_.Read(incoming_); },
                                     [&](const error& failure) {
                                       Finish(attempt_result::kBrokenAnswer, failure.detail);
                                       return false;
                                     });
    if (is_complete && !has_ended_) {
      Finish(result_, {});
    }
  }
}

void upstream_exchange::OnHead(answer_head head) {
  const bool has_other_id =
      std::any_of(head.headers.begin(), head.headers.end(), [this](const header_field& field) {
        return IsSameName(field.name, kRequestIdHeader) && field.value != request_.request->id;
      });
  is_id_echoed_ = !has_other_id && FindHeader(head.headers, kRequestIdHeader) != nullptr;
  // An upstream that echoes request ids but returns another id has mixed up its answers.
  if (has_other_id || (is_reused_ && !is_id_echoed_)) {
    Finish(attempt_result::kBrokenAnswer, "the answer belongs to another request");
    return;
  }
  if (head.status == kServiceUnavailable && FindHeader(head.headers, kShedHeader)) {
    result_ = attempt_result::kShed;
  } else if (head.status >= kMinServerErrorStatus) {
    result_ = attempt_result::kServerError;
  }
  events_.on_head(std::move(head));
}

void upstream_exchange::OnClosed(const std::string& cause) {
  if (has_ended_) {
    return;
  }
  has_closed_ = true;
  if (is_paused_ && socket_->bytesAvailable() > 0) {
    return;  // `Resume` reads the rest and then reports the end.
  }
  const auto keep_alive = shared_from_this();
  OnReadable();
  if (has_ended_ || (is_paused_ && socket_->bytesAvailable() > 0)) {
    return;
  }
  if (!is_sent_) {
    Finish(attempt_result::kConnectFailed, "connection to the upstream failed: " + cause);
  } else if (reader_.HasStarted()) {
    Finish(attempt_result::kBrokenAnswer, "the answer ended early: " + cause);
  } else {
    Finish(attempt_result::kConnectionLost, "no answer before the end of the connection: " + cause);
  }
}

void upstream_exchange::Resume() {
  if (!std::exchange(is_paused_, false) || has_ended_) {
    return;
  }
  OnReadable();
  if (has_closed_) {
    OnClosed("closed");
  }
}

void upstream_exchange::Cancel() {
  if (!std::exchange(has_ended_, true)) {
    Release(false);
  }
}

void upstream_exchange::Finish(attempt_result result, std::string detail) {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  const bool is_complete = detail.empty();
  Release(is_complete && is_id_echoed_ && reader_.IsKeepAlive() && incoming_.empty());
  events_.on_end({result, std::move(detail)});
}

// The socket and the timer may be in use further up the stack, so they are deleted by the event
// loop.
void upstream_exchange::Release(bool is_reusable) {
  if (connect_timer_) {
    connect_timer_->stop();
    connect_timer_.release()->deleteLater();
  }
  if (!socket_) {
    return;
  }
  socket_->disconnect();
  if (is_reusable && socket_->bytesToWrite() == 0) {
    pool_.Put(request_.upstream, std::move(socket_), request_.idle_connections);
    return;
  }
  socket_->abort();
  socket_.release()->deleteLater();
}

}  // namespace corianderhoist
