#include "support/fault_proxy.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kPumpInterval{2};
// A direction with this many buffered bytes reads no more, which applies back pressure to the
// sender.
constexpr std::size_t kMaxBufferedBytes = 4'194'304;

// Tells whether the peer reset a connection, which QTcpSocket reports as a close. Its descriptor
// keeps the connection open until `Release`.
class reset_watch {
 public:
  reset_watch() = default;
  ~reset_watch() { Release(); }
  reset_watch(const reset_watch&) = delete;
  reset_watch& operator=(const reset_watch&) = delete;

  void Watch(const QTcpSocket& socket) {
    descriptor_ = ::fcntl(static_cast<int>(socket.socketDescriptor()), F_DUPFD_CLOEXEC, 0);
  }
  bool IsReset() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
  }
  void Release() {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }

 private:
  int descriptor_ = -1;
};

void ResetSocket(QTcpSocket& socket) {
  const linger immediate{1, 0};
  if (socket.socketDescriptor() >= 0) {
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &immediate,
                 sizeof immediate);
  }
  socket.abort();
}

// One direction of one connection. Buffers bytes until their delay has passed, the link is not cut
// and its bandwidth allows them.
class pipe_direction {
 public:
  pipe_direction(QTcpSocket& from, QTcpSocket& to, const link_faults& faults)
      : from_(from), to_(to), faults_(faults) {}

  // Returns the number of forwarded bytes.
  std::size_t Pump(steady::time_point now) {
    ReadAvailable(now);
    return faults_.is_cut ? 0 : ForwardDue(now);
  }
  bool IsEmpty() const { return buffered_.empty(); }

 private:
  struct chunk {
    QByteArray bytes;
    steady::time_point due;
  };

  void ReadAvailable(steady::time_point now) {
    if (from_.bytesAvailable() > 0 && buffered_bytes_ < kMaxBufferedBytes) {
      QByteArray bytes = from_.readAll();
      buffered_bytes_ += static_cast<std::size_t>(bytes.size());
      buffered_.push_back({std::move(bytes), now + faults_.delay});
    }
  }

  std::size_t ForwardDue(steady::time_point now) {
    std::size_t allowed = TakeAllowedBytes(now);
    std::size_t forwarded = 0;
    while (!buffered_.empty() && buffered_.front().due <= now && allowed > 0 &&
           to_.state() == QAbstractSocket::ConnectedState) {
      QByteArray& bytes = buffered_.front().bytes;
      const auto count = std::min<std::size_t>(allowed, static_cast<std::size_t>(bytes.size()));
      to_.write(bytes.constData(), static_cast<qint64>(count));
      bytes.remove(0, static_cast<qsizetype>(count));
      allowed -= count;
      forwarded += count;
      if (bytes.isEmpty()) {
        buffered_.pop_front();
      }
    }
    buffered_bytes_ -= forwarded;
    return forwarded;
  }

  std::size_t TakeAllowedBytes(steady::time_point now) {
    const auto elapsed_seconds = std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    if (faults_.bytes_per_second == 0) {
      return kMaxBufferedBytes * 2;
    }
    const auto rate = static_cast<double>(faults_.bytes_per_second);
    byte_credit_ = std::min(byte_credit_ + elapsed_seconds * rate, rate);
    const auto whole_bytes = static_cast<std::size_t>(byte_credit_);
    byte_credit_ -= static_cast<double>(whole_bytes);
    return whole_bytes;
  }

  QTcpSocket& from_;
  QTcpSocket& to_;
  const link_faults& faults_;
  std::deque<chunk> buffered_;
  std::size_t buffered_bytes_ = 0;
  double byte_credit_ = 0;
  steady::time_point last_refill_ = steady::now();
};

}  // namespace

class fault_proxy::connection {
 public:
  connection(fault_proxy& proxy, QTcpSocket* caller)
      : proxy_(proxy),
        caller_(caller),
        forward_(*caller, target_, proxy.forward_),
        backward_(target_, *caller, proxy.backward_) {
    caller_->setParent(nullptr);
    caller_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    caller_watch_.Watch(*caller_);
    QObject::connect(&target_, &QTcpSocket::connected, &target_, [this] {
      target_watch_.Watch(target_);
      target_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
      Pump();
    });
    for (QTcpSocket* socket : {caller_.get(), &target_}) {
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { Pump(); });
      QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { Pump(); });
      QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
        reset_watch& watch = socket == &target_ ? target_watch_ : caller_watch_;
        was_reset_ |= watch.IsReset();
        watch.Release();
        Pump();
      });
    }
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Pump(); });
    target_.connectToHost(QHostAddress(QString::fromStdString(proxy.target_.ip)),
                          proxy.target_.port);
  }

  // The sockets emit signals in their destructors, after the other members have been destroyed.
  ~connection() {
    caller_->disconnect();
    target_.disconnect();
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void Close(bool by_reset) {
    for (QTcpSocket* socket : {caller_.get(), &target_}) {
      if (by_reset) {
        ResetSocket(*socket);
      } else {
        socket->disconnectFromHost();
      }
    }
  }

  void Pump() {
    if (is_pumping_) {
      return;
    }
    is_pumping_ = true;
    const auto now = steady::now();
    proxy_.bytes_ += forward_.Pump(now) + backward_.Pump(now);
    is_pumping_ = false;
    if (!forward_.IsEmpty() || !backward_.IsEmpty()) {
      if (!timer_.isActive()) {
        timer_.start(kPumpInterval);
      }
    } else {
      timer_.stop();
    }
    PropagateClose();
  }

 private:
  // Closes one side once the other is closed and all buffered bytes of that direction are
  // forwarded; resets it if the other was reset. A cut direction does not propagate the close.
  void PropagateClose() {
    const bool is_caller_closed = caller_->state() == QAbstractSocket::UnconnectedState;
    const bool is_target_closed = target_.state() == QAbstractSocket::UnconnectedState;
    if (is_caller_closed && !is_target_closed && !proxy_.forward_.is_cut && forward_.IsEmpty()) {
      CloseAs(target_);
    }
    if (is_target_closed && !is_caller_closed && !proxy_.backward_.is_cut && backward_.IsEmpty()) {
      CloseAs(*caller_);
    }
    if (is_caller_closed && is_target_closed && !is_removing_) {
      is_removing_ = true;
      timer_.stop();
      proxy_.loop_.Post([&proxy = proxy_, self = this] { proxy.connections_.erase(self); });
    }
  }

  void CloseAs(QTcpSocket& socket) {
    if (!was_reset_) {
      return socket.disconnectFromHost();
    }
    // A reset drops bytes that are not sent yet.
    socket.flush();
    if (socket.bytesToWrite() == 0) {
      ResetSocket(socket);
    } else if (!timer_.isActive()) {
      timer_.start(kPumpInterval);
    }
  }

  fault_proxy& proxy_;
  std::unique_ptr<QTcpSocket> caller_;
  QTcpSocket target_;
  reset_watch caller_watch_;
  reset_watch target_watch_;
  pipe_direction forward_;
  pipe_direction backward_;
  QTimer timer_;
  bool is_pumping_ = false;
  bool is_removing_ = false;
  bool was_reset_ = false;
};

fault_proxy::fault_proxy(io_loop& loop, endpoint target)
    : loop_(loop), target_(std::move(target)) {}

fault_proxy::~fault_proxy() {
  loop_.RunAndWait([this] {
    server_.reset();
    auto connections = std::move(connections_);
    connections_.clear();
  });
  // Runs the removals of connections that were posted before the task above.
  loop_.RunAndWait([] {});
}

std::uint16_t fault_proxy::Listen(const endpoint& address) {
  loop_.RunAndWait([&] {
    server_ = std::make_unique<QTcpServer>();
    QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(),
                     [this] { Accept(); });
    if (server_->listen(QHostAddress(QString::fromStdString(address.ip)), address.port)) {
      port_ = server_->serverPort();
    }
  });
  return port_;
}

void fault_proxy::Accept() {
  while (QTcpSocket* socket = server_->nextPendingConnection()) {
    if (is_refusing_) {
      ResetSocket(*socket);
      socket->deleteLater();
      continue;
    }
    auto accepted = std::make_unique<connection>(*this, socket);
    connection* key = accepted.get();
    connections_.emplace(key, std::move(accepted));
  }
}

void fault_proxy::SetForward(link_faults faults) {
  loop_.RunAndWait([&] {
    forward_ = faults;
    for (auto& [key, each] : connections_) {
      each->Pump();
    }
  });
}

void fault_proxy::SetBackward(link_faults faults) {
  loop_.RunAndWait([&] {
    backward_ = faults;
    for (auto& [key, each] : connections_) {
      each->Pump();
    }
  });
}

void fault_proxy::Cut() {
  SetForward({.is_cut = true});
  SetBackward({.is_cut = true});
}

void fault_proxy::Heal() {
  SetForward({});
  SetBackward({});
}

void fault_proxy::SetRefusing(bool is_refusing) {
  loop_.RunAndWait([&] { is_refusing_ = is_refusing; });
}

void fault_proxy::CloseConnections(bool by_reset) {
  loop_.RunAndWait([&] {
    for (auto& [key, each] : connections_) {
      each->Close(by_reset);
    }
  });
}

std::uint64_t fault_proxy::ForwardedBytes() {
  std::uint64_t bytes = 0;
  loop_.RunAndWait([&] { bytes = bytes_; });
  return bytes;
}

}  // namespace corianderhoist
