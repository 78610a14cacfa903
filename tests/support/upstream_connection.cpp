#include "support/upstream_connection.h"

#include <sys/socket.h>

#include <QTimer>

#include <limits>
#include <utility>

namespace corianderhoist {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kEarlyBytesDelay{20};
constexpr std::uint64_t kMaxBodyBytes = 67'108'864;  // 64 MiB

}  // namespace

upstream_connection::upstream_connection(simulated_upstream& upstream, QTcpSocket* socket)
    : QObject(socket), upstream_(upstream), socket_(socket) {
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket, &QTcpSocket::readyRead, this, [this] { Parse(); });
  // A running request continues after its connection is closed, as in most real services.
  connect(socket, &QTcpSocket::disconnected, this, [this] {
    if (!is_holding_slot_) {
      socket_->deleteLater();
    }
  });
  Parse();
}

void upstream_connection::Parse() {
  const QByteArray bytes = socket_->readAll();
  received_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
  if (is_busy_ || received_.empty()) {
    return;
  }
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kMaxBodyBytes);
  }
  boost::system::error_code status;
  const std::size_t used = parser_->put(boost::asio::buffer(received_), status);
  received_.erase(0, used);
  if (status && status != http::error::need_more) {
    socket_->disconnectFromHost();
    return;
  }
  if (parser_->is_header_done() && upstream_.Faults().answer == answer_fault::kCloseAfterHeaders &&
      simulated_upstream::IsWork(parser_->get()) && upstream_.DrawAnswerFault()) {
    socket_->abort();
    return;
  }
  if (parser_->is_done()) {
    request_ = parser_->release();
    parser_.reset();
    Serve();
  }
}

void upstream_connection::Serve() {
  is_busy_ = true;
  if (!simulated_upstream::IsWork(request_)) {
    Write(upstream_.ControlAnswer(request_));
    FinishRequest();
    return;
  }
  upstream_.CrashIfMarked(request_);
  if (!upstream_.BeginWork(request_)) {
    Write(upstream_.ShedAnswer(request_));
    FinishRequest();
    return;
  }
  is_holding_slot_ = true;
  RunWork();
}

void upstream_connection::RunWork() {
  const upstream_faults& faults = upstream_.Faults();
  const answer_fault fault = upstream_.DrawAnswerFault() ? faults.answer : answer_fault::kNone;
  auto delay = upstream_.ServiceTime();
  if (fault == answer_fault::kLate) {
    delay += faults.late_by;
  }
  QTimer::singleShot(delay, Qt::PreciseTimer, this, [this, fault] {
    upstream_.EndWork();
    is_holding_slot_ = false;
    if (socket_->state() == QAbstractSocket::ConnectedState) {
      SendAnswer(fault);
    } else {
      socket_->deleteLater();
    }
  });
}

void upstream_connection::SendAnswer(answer_fault fault) {
  const std::string answer = upstream_.WorkAnswer(request_);
  const std::size_t body = answer.find("\r\n\r\n") + 4;
  switch (fault) {
    case answer_fault::kCloseAfterHeaders:
    case answer_fault::kCloseAfterBody:
      socket_->disconnectFromHost();
      return;
    case answer_fault::kCloseMidAnswer:
      Write(answer.substr(0, body + (answer.size() - body) / 2));
      socket_->disconnectFromHost();
      return;
    case answer_fault::kShortBody:
      Write(answer.substr(0, answer.size() > body + 10 ? answer.size() - 10 : body));
      socket_->disconnectFromHost();
      return;
    case answer_fault::kReset:
      Reset();
      return;
    case answer_fault::kTwice:
      Write(answer + answer);
      break;
    case answer_fault::kFormerAnswer:
      Write(previous_answer_.empty() ? answer : previous_answer_);
      break;
    case answer_fault::kEarlyBytes:
      Write(answer);
      QTimer::singleShot(kEarlyBytesDelay, this, [this, answer] { Write(answer); });
      break;
    case answer_fault::kNone:
    case answer_fault::kLate:
      Write(answer);
      break;
  }
  previous_answer_ = answer;
  FinishRequest();
}

void upstream_connection::Write(const std::string& answer) {
  socket_->write(answer.data(), static_cast<qint64>(answer.size()));
}

void upstream_connection::FinishRequest() {
  is_busy_ = false;
  if (!request_.keep_alive()) {
    socket_->disconnectFromHost();
    return;
  }
  if (!received_.empty()) {
    QTimer::singleShot(0, this, [this] { Parse(); });
  }
}

void upstream_connection::Reset() {
  // A linger time of 0 makes the kernel send RST instead of FIN.
  const linger immediate{1, 0};
  ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &immediate,
               sizeof immediate);
  socket_->abort();
}

}  // namespace corianderhoist
