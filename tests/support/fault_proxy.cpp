#include "support/fault_proxy.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kTick{2};
// What one direction holds back at most, so that a slow link pushes back on its sender.
constexpr std::size_t kHeldBytes = 4'194'304;

void ResetSocket(QTcpSocket& socket) {
  const linger immediate{1, 0};
  if (socket.socketDescriptor() >= 0) {
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &immediate,
                 sizeof immediate);
  }
  socket.abort();
}

// One direction of one connection: bytes wait until their delay has passed, the link is not cut
// and its bandwidth allows them.
class pipe_direction {
 public:
  pipe_direction(QTcpSocket& from, QTcpSocket& to, const link_faults& faults)
      : from_(from), to_(to), faults_(faults) {}

  // Returns the number of bytes passed on.
  std::size_t Pump(steady::time_point now) {
    Take(now);
    return faults_.is_cut ? 0 : Give(now);
  }
  bool IsEmpty() const { return held_.empty(); }

 private:
  struct chunk {
    QByteArray bytes;
    steady::time_point due;
  };

  void Take(steady::time_point now) {
    if (from_.bytesAvailable() > 0 && held_bytes_ < kHeldBytes) {
      QByteArray bytes = from_.readAll();
      held_bytes_ += static_cast<std::size_t>(bytes.size());
      held_.push_back({std::move(bytes), now + faults_.delay});
    }
  }

  std::size_t Give(steady::time_point now) {
    std::size_t allowed = Allowance(now);
    std::size_t given = 0;
    while (!held_.empty() && held_.front().due <= now && allowed > 0 &&
           to_.state() == QAbstractSocket::ConnectedState) {
      QByteArray& bytes = held_.front().bytes;
      const auto count = std::min<std::size_t>(allowed, static_cast<std::size_t>(bytes.size()));
      to_.write(bytes.constData(), static_cast<qint64>(count));
      bytes.remove(0, static_cast<qsizetype>(count));
      allowed -= count;
      given += count;
      if (bytes.isEmpty()) {
        held_.pop_front();
      }
    }
    held_bytes_ -= given;
    return given;
  }

  std::size_t Allowance(steady::time_point now) {
    const auto passed = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    if (faults_.bytes_per_second == 0) {
      return kHeldBytes * 2;
    }
    const auto rate = static_cast<double>(faults_.bytes_per_second);
    credit_ = std::min(credit_ + passed * rate, rate);
    const auto whole = static_cast<std::size_t>(credit_);
    credit_ -= static_cast<double>(whole);
    return whole;
  }

  QTcpSocket& from_;
  QTcpSocket& to_;
  const link_faults& faults_;
  std::deque<chunk> held_;
  std::size_t held_bytes_ = 0;
  double credit_ = 0;
  steady::time_point last_ = steady::now();
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
    QObject::connect(&target_, &QTcpSocket::connected, &target_, [this] {
      target_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
      Pump();
    });
    for (QTcpSocket* socket : {caller_.get(), &target_}) {
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { Pump(); });
      QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { Pump(); });
      QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { Pump(); });
    }
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Pump(); });
    target_.connectToHost(QHostAddress(QString::fromStdString(proxy.target_.ip)),
                          proxy.target_.port);
  }

  // The sockets report their end while they are destroyed, when other members are gone already.
  ~connection() {
    caller_->disconnect();
    target_.disconnect();
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void End(bool by_reset) {
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
        timer_.start(kTick);
      }
    } else {
      timer_.stop();
    }
    PassEnd();
  }

 private:
  // Passes the end of one side on to the other once all bytes of its direction have gone; the end
  // of a cut direction stays unknown to the other side.
  void PassEnd() {
    const bool caller_ended = caller_->state() == QAbstractSocket::UnconnectedState;
    const bool target_ended = target_.state() == QAbstractSocket::UnconnectedState;
    if (caller_ended && !target_ended && !proxy_.forward_.is_cut && forward_.IsEmpty()) {
      target_.disconnectFromHost();
    }
    if (target_ended && !caller_ended && !proxy_.backward_.is_cut && backward_.IsEmpty()) {
      caller_->disconnectFromHost();
    }
    if (caller_ended && target_ended && !is_ending_) {
      is_ending_ = true;
      timer_.stop();
      proxy_.loop_.Post([&proxy = proxy_, self = this] { proxy.connections_.erase(self); });
    }
  }

  fault_proxy& proxy_;
  std::unique_ptr<QTcpSocket> caller_;
  QTcpSocket target_;
  pipe_direction forward_;
  pipe_direction backward_;
  QTimer timer_;
  bool is_pumping_ = false;
  bool is_ending_ = false;
};

fault_proxy::fault_proxy(io_loop& loop, endpoint target)
    : loop_(loop), target_(std::move(target)) {}

fault_proxy::~fault_proxy() {
  loop_.RunAndWait([this] {
    server_.reset();
    auto connections = std::move(connections_);
    connections_.clear();
  });
  // Ends of connections that were posted before the lines above are run before this returns.
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
    auto made = std::make_unique<connection>(*this, socket);
    connection* key = made.get();
    connections_.emplace(key, std::move(made));
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
      each->End(by_reset);
    }
  });
}

std::uint64_t fault_proxy::ForwardedBytes() {
  std::uint64_t bytes = 0;
  loop_.RunAndWait([&] { bytes = bytes_; });
  return bytes;
}

}  // namespace corianderhoist
