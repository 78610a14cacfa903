#include "http/caller_connection.h"

#include "base/log.h"
#include "http/answer_head_text.h"
#include "observe/metrics.h"

#include <QHostAddress>
#include <QSslError>
#include <QSslSocket>

#include <sys/socket.h>

#include <cassert>
#include <cstdio>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout(75'000);
constexpr milliseconds kLingerTimeout(1000);
constexpr milliseconds kSendStallTimeout(30'000);
// Several round trips between a caller and its nearest VM.
constexpr milliseconds kRequestTransitTime(250);
constexpr std::size_t kMaxLingerBytes = 4UL << 20U;
constexpr qint64 kReadBufferBytes = 64LL << 10;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

// Frames the answer and writes it to the connection. Detaches from the connection at the end of the
// answer; later calls have no effect.
class caller_connection::sink final : public answer_sink {
 public:
  explicit sink(caller_connection& connection) : connection_(&connection) {}
  // Resets the connection if the answer was not completed, so that it does not look complete.
  ~sink() override { Abort(); }

  void Detach() { connection_ = nullptr; }

  void Begin(const answer_head& head) override {
    if (!connection_) {
      return;
    }
    length_ = head.length;
    is_body_sent_ = HasBody(head.status) && !connection_->is_head_method_;
    connection_->is_last_answer_ = connection_->ShouldClose();
    pending_ = FormatHead(head, connection_->is_last_answer_);
    has_begun_ = true;
  }

  void Append(std::string_view part) override {
    if (!connection_ || !is_body_sent_ || part.empty()) {
      return;
    }
    appended_bytes_ += part.size();
    if (length_) {
      pending_ += part;
    } else {
      std::array<char, 24> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
      pending_ += size.data();
      pending_ += part;
      pending_ += "\r\n";
    }
    if (length_ != appended_bytes_) {  // `End` sends the last part.
      Flush();
    }
  }

  void End() override {
    if (!connection_) {
      return;
    }
    if (!has_begun_ || (is_body_sent_ && length_ && *length_ != appended_bytes_)) {
      Abort();
      return;
    }
    if (is_body_sent_ && !length_) {
      pending_ += "0\r\n\r\n";
    }
    Flush();
    std::exchange(connection_, nullptr)->FinishAnswer();
  }

  void Abort() override {
    if (connection_) {
      std::exchange(connection_, nullptr)->Abort();
    }
  }

  std::size_t Unsent() const override {
    return connection_ && connection_->socket_
               ? static_cast<std::size_t>(connection_->socket_->bytesToWrite())
               : 0;
  }

 private:
  void Flush() { connection_->Write(std::exchange(pending_, {})); }

  caller_connection* connection_;
  std::string pending_;
  std::optional<std::uint64_t> length_;
  std::uint64_t appended_bytes_ = 0;
  bool has_begun_ = false;
  bool is_body_sent_ = true;
};

caller_connection::caller_connection(io_loop& loop,
                                     caller_context& context,
                                     request_handler on_request,
                                     std::function<void(caller_connection*)> on_end)
    : loop_(loop),
      context_(context),
      on_request_(std::move(on_request)),
      on_end_(std::move(on_end)) {
  ++context_.connections;
}

caller_connection::~caller_connection() {
  phase_ = phase::kEnded;
  if (answer_) {
    answer_->Detach();
  }
  --context_.connections;
}

void caller_connection::Start(qintptr descriptor, bool is_over_limit) {
  QSslSocket* encrypted = nullptr;
  if (context_.tls) {
    auto socket = std::make_unique<QSslSocket>();
    encrypted = socket.get();
    socket_ = std::move(socket);
  } else {
    socket_ = std::make_unique<QTcpSocket>();
  }
  QObject* scope = socket_.get();
  QObject::connect(socket_.get(), &QTcpSocket::readyRead, scope, [this] { OnReadable(); });
  QObject::connect(socket_.get(), &QTcpSocket::disconnected, scope, [this] { End(); });
  QObject::connect(socket_.get(), &QTcpSocket::errorOccurred, scope, [this] { End(); });
  QObject::connect(socket_.get(), &QTcpSocket::bytesWritten, scope, [this] {
    last_progress_ = context_.clock.Now();
    if (answer_ && answer_->on_drained) {
      answer_->on_drained();
    } else if (phase_ == phase::kLingering) {
      Linger();
    }
  });
  if (!socket_->setSocketDescriptor(descriptor)) {
    End();
    return;
  }
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket_->setReadBufferSize(kReadBufferBytes);
  EnterPhase(phase::kIdle, context_.tls ? context_.limits.header_timeout : kIdleTimeout);
  if (encrypted) {
    encrypted->setSslConfiguration(*context_.tls);
    encrypted->startServerEncryption();
  }
  if (is_over_limit) {
    Refuse({error_kind::kQueueFull, "too many connections"});
  }
}

bool caller_connection::IsIdle() const {
  if (phase_ != phase::kIdle || !incoming_.empty() || !socket_ || socket_->bytesAvailable() > 0) {
    return false;
  }
  char byte = 0;
  const auto descriptor = static_cast<int>(socket_->socketDescriptor());
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void caller_connection::CloseIfIdle(steady_time now) {
  if (IsIdle() && now >= phase_started_ + kRequestTransitTime) {
    Linger();
  }
}

void caller_connection::RefuseIncomplete(const error& failure) {
  if (phase_ == phase::kHead || phase_ == phase::kBody) {
    Refuse(failure);
  }
}

void caller_connection::CheckTimeouts(steady_time now) {
  if (phase_ == phase::kAnswering) {
    // A caller that does not read its answer must not occupy a slot of the upstream.
    if (socket_->bytesToWrite() > 0 && now > last_progress_ + kSendStallTimeout) {
      Abort();
    }
    return;
  }
  if (phase_ == phase::kEnded || now < phase_deadline_) {
    return;
  }
  if (phase_ == phase::kHead || phase_ == phase::kBody) {
    Refuse({error_kind::kRequestTimeout, phase_ == phase::kHead ? "header did not arrive in time"
                                                                : "body did not arrive in time"});
    return;
  }
  Abort();
}

void caller_connection::OnReadable() {
  if (phase_ == phase::kLingering) {
    lingered_bytes_ += static_cast<std::size_t>(socket_->readAll().size());
    if (lingered_bytes_ > kMaxLingerBytes) {
      Abort();
    }
    return;
  }
  // While an answer is being sent, further requests stay in the bounded read buffer of the socket.
  if (phase_ != phase::kAnswering && phase_ != phase::kEnded && !is_reading_) {
    is_reading_ = true;
    ReadRequest();
    is_reading_ = false;
  }
}

// Reads and dispatches requests until an answer is pending or more bytes are needed. Uses a loop
// instead of recursion, because many buffered requests may be answered synchronously.
void caller_connection::ReadRequest() {
  const auto keep_alive = shared_from_this();
  while (phase_ == phase::kIdle || phase_ == phase::kHead || phase_ == phase::kBody) {
    const QByteArray bytes = socket_->readAll();
    incoming_.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    if (incoming_.empty()) {
      return;
    }
    if (phase_ == phase::kIdle) {
      reader_ = std::make_unique<request_reader>(context_.limits.request);
      reader_->on_head = context_.on_head;
      request_id_ = NewRequestId();
      EnterPhase(phase::kHead, context_.limits.header_timeout);
    }
    const auto progress = Recover(
        [&]() -> result<std::optional<request_reader::progress>> {
          BOOST_LEAF_AUTO(reached, reader_->Read(incoming_));
          return std::optional(reached);
        },
        [&](const error& failure) {
          Refuse(failure);
          return std::optional<request_reader::progress>();
        });
    if (!progress) {
      return;
    }
    if (phase_ == phase::kHead && reader_->IsHeadComplete()) {
      EnterPhase(phase::kBody, context_.limits.body_timeout);
    }
    if (reader_->TakeExpectation()) {
      Write(kContinue);
    }
    if (*progress == request_reader::progress::kNeedMore) {
      if (socket_->bytesAvailable() == 0) {
        return;
      }
      continue;
    }
    Dispatch();
  }
}

void caller_connection::Dispatch() {
  http_request request = reader_->Take();
  reader_.reset();
  request.id = request_id_;
  is_head_method_ = request.method == "HEAD";
  is_last_answer_ = !request.is_keep_alive;
  EnterPhase(phase::kAnswering, {});
  answer_ = std::make_shared<sink>(*this);
  on_request_(std::move(request), answer_);
}

void caller_connection::Refuse(const error& failure) {
  log_event(log_level::kInfo, "request_refused")
      .Field("request_id", request_id_)
      .Field("error", AnswerFor(failure.kind).name)
      .Field("cause", failure.detail);
  metrics::Instance().Counter("callers.refused_input").Add();
  reader_.reset();
  is_head_method_ = false;
  is_last_answer_ = true;
  EnterPhase(phase::kAnswering, {});
  answer_ = std::make_shared<sink>(*this);
  const auto answer = answer_;
  SendRefusal(*answer, {failure.kind, failure.detail, {}}, request_id_);
}

void caller_connection::Write(std::string_view bytes) {
  if (!socket_ || phase_ == phase::kEnded) {
    return;
  }
  if (socket_->bytesToWrite() == 0) {
    last_progress_ = context_.clock.Now();
  }
  socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
  socket_->flush();
}

void caller_connection::FinishAnswer() {
  const auto answer = std::exchange(answer_, nullptr);
  if (!socket_ || phase_ == phase::kEnded) {
    return;
  }
  if (is_last_answer_) {
    Linger();
    return;
  }
  EnterPhase(phase::kIdle, kIdleTimeout);
  if (!is_reading_ && (!incoming_.empty() || socket_->bytesAvailable() > 0)) {
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnReadable();
      }
    });
  }
}

// Lingering close: shuts down the sending side and then discards incoming bytes. Closing a socket
// with unread bytes resets the connection, and the caller could lose the answer in transit.
void caller_connection::Linger() {
  if (phase_ != phase::kLingering) {
    EnterPhase(phase::kLingering, kLingerTimeout);
    incoming_.clear();
  }
  if (socket_->bytesToWrite() > 0) {
    phase_deadline_ = context_.clock.Now() + kSendStallTimeout;
    return;
  }
  phase_deadline_ = context_.clock.Now() + kLingerTimeout;
  if (context_.tls) {
    socket_->disconnectFromHost();
  } else {
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    OnReadable();
  }
}

void caller_connection::Abort() {
  if (!socket_ || phase_ == phase::kEnded) {
    return;
  }
  if (phase_ == phase::kAnswering) {
    // A reset instead of a regular close tells the caller that the answer is incomplete.
    const linger reset{1, 0};
    ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
  }
  socket_->abort();
  End();
}

void caller_connection::End() {
  if (phase_ == phase::kEnded) {
    return;
  }
  phase_ = phase::kEnded;
  if (const auto answer = std::exchange(answer_, nullptr)) {
    answer->Detach();
    if (answer->on_caller_disconnected) {
      answer->on_caller_disconnected();
    }
  }
  // `End` may run inside a signal handler of the socket, so destruction waits for the event loop.
  loop_.Post([self = shared_from_this()] {
    self->socket_.reset();
    self->on_end_(self.get());
  });
}

void caller_connection::EnterPhase(phase next, milliseconds timeout) {
  phase_ = next;
  phase_started_ = context_.clock.Now();
  phase_deadline_ = phase_started_ + timeout;
}

}  // namespace corianderhoist
