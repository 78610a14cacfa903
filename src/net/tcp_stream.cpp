#include "net/tcp_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QTimer>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::size_t kReadBlockBytes = 64UL << 10U;
// Sent bytes before `pending_start_` are erased once they exceed this size.
constexpr std::size_t kCompactThresholdBytes = 64UL << 10U;
// A peer that has lost power sends neither acknowledgements nor resets. The connection ends after
// about this time without acknowledgement of sent bytes or of keepalive probes when idle.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout(4000);
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kMaxKeepaliveProbes = 2;
constexpr int kListenBacklog = 1024;

template <class Value>
void SetOption(int descriptor, int level, int option, Value value) {
  ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

void Configure(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned int>(kUnacknowledgedTimeout.count()));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxKeepaliveProbes);
}

bool ToSocketAddress(const endpoint& address, sockaddr_in& out) {
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  return ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) == 1;
}

}  // namespace

tcp_stream::tcp_stream(int descriptor, events handlers)
    : descriptor_(descriptor), events_(std::move(handlers)) {}

tcp_stream::~tcp_stream() {
  *is_alive_ = false;
  read_notifier_.reset();
  write_notifier_.reset();
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

std::unique_ptr<tcp_stream> tcp_stream::Adopt(int descriptor, events handlers) {
  std::unique_ptr<tcp_stream> stream(new tcp_stream(descriptor, std::move(handlers)));
  Configure(descriptor);
  stream->is_connected_ = true;
  stream->CreateNotifiers();
  return stream;
}

std::unique_ptr<tcp_stream> tcp_stream::Connect(const endpoint& address, events handlers) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::unique_ptr<tcp_stream> stream(new tcp_stream(descriptor, std::move(handlers)));
  sockaddr_in target{};
  bool is_started = descriptor >= 0 && ToSocketAddress(address, target);
  if (is_started) {
    Configure(descriptor);
    is_started =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0 ||
        errno == EINPROGRESS;
  }
  if (!is_started) {
    // Reported from the event loop, like every other event.
    QTimer::singleShot(0, [raw = stream.get(), alive = stream->is_alive_] {
      if (*alive) {
        raw->End(stream_end::kConnectFailed);
      }
    });
    return stream;
  }
  stream->write_notifier_ = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Write);
  QObject::connect(stream->write_notifier_.get(), &QSocketNotifier::activated,
                   stream->write_notifier_.get(), [raw = stream.get()] { raw->OnWritable(); });
  return stream;
}

void tcp_stream::CreateNotifiers() {
  read_notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  QObject::connect(read_notifier_.get(), &QSocketNotifier::activated, read_notifier_.get(),
                   [this] { OnReadable(); });
  if (!write_notifier_) {
    write_notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
    QObject::connect(write_notifier_.get(), &QSocketNotifier::activated, write_notifier_.get(),
                     [this] { OnWritable(); });
  }
  write_notifier_->setEnabled(false);
}

// Reads one block per event: the notifier fires again while bytes are left, after the events of
// other connections, so that a peer that sends without pause does not hold up the others.
void tcp_stream::OnReadable() {
  static thread_local std::array<char, kReadBlockBytes> block;
  const ssize_t count = ::recv(descriptor_, block.data(), block.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    End(count == 0 ? end_seen_by_send_.value_or(stream_end::kFinished) : stream_end::kReset);
    return;
  }
  if (events_.on_bytes) {
    // Copies the callback, because it may call `SetEvents`.
    const auto on_bytes = events_.on_bytes;
    on_bytes(std::string_view(block.data(), static_cast<std::size_t>(count)));
  }
}

void tcp_stream::OnWritable() {
  if (!is_connected_) {
    int failure = 0;
    socklen_t size = sizeof(failure);
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0) {
      End(stream_end::kConnectFailed);
      return;
    }
    is_connected_ = true;
    CreateNotifiers();
    const auto alive = is_alive_;
    if (events_.on_connected) {
      const auto on_connected = events_.on_connected;
      on_connected();
    }
    if (*alive && !has_ended_) {
      Flush();
      hold_.Set(pending_.size());
    }
    return;
  }
  Flush();
  hold_.Set(pending_.size());
  if (Unsent() == 0 && !has_ended_ && events_.on_drained) {
    const auto on_drained = events_.on_drained;
    on_drained();
  }
}

void tcp_stream::Write(std::string_view bytes) {
  if (has_ended_ || end_seen_by_send_) {
    return;
  }
  pending_.append(bytes);
  if (is_connected_ && !write_notifier_->isEnabled()) {
    Flush();
  }
  hold_.Set(pending_.size());
}

void tcp_stream::Flush() {
  while (Unsent() > 0) {
    const ssize_t sent = ::send(descriptor_, pending_.data() + pending_start_, Unsent(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK;
      if (!is_full) {
        // `OnReadable` reports the end after the remaining incoming bytes. The failed `send` has
        // cleared the error of the socket, so that `recv` then returns 0 as after a regular close.
        // The error is `EPIPE` only if a regular close was received before the reset.
        end_seen_by_send_ = errno == EPIPE ? stream_end::kFinished : stream_end::kReset;
        pending_.clear();
        pending_start_ = 0;
      }
      write_notifier_->setEnabled(is_full);
      return;
    }
    pending_start_ += static_cast<std::size_t>(sent);
    if (pending_start_ > kCompactThresholdBytes) {
      pending_.erase(0, pending_start_);
      pending_start_ = 0;
    }
  }
  pending_.clear();
  pending_start_ = 0;
  write_notifier_->setEnabled(false);
  if (is_finishing_) {
    ::shutdown(descriptor_, SHUT_WR);
  }
}

void tcp_stream::PauseReading(bool is_paused) {
  if (read_notifier_ && !has_ended_) {
    read_notifier_->setEnabled(!is_paused);
  }
}

void tcp_stream::FinishWriting() {
  is_finishing_ = true;
  if (is_connected_ && Unsent() == 0 && !has_ended_) {
    ::shutdown(descriptor_, SHUT_WR);
  }
}

void tcp_stream::ResetOnClose() {
  if (descriptor_ >= 0) {
    SetOption(descriptor_, SOL_SOCKET, SO_LINGER, linger{1, 0});
  }
}

void tcp_stream::End(stream_end reason) {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  if (read_notifier_) {
    read_notifier_->setEnabled(false);
  }
  if (write_notifier_) {
    write_notifier_->setEnabled(false);
  }
  if (events_.on_end) {
    const auto on_end = events_.on_end;
    on_end(reason);
  }
}

tcp_listener::tcp_listener(std::function<void(int)> on_descriptor)
    : on_descriptor_(std::move(on_descriptor)) {}

tcp_listener::~tcp_listener() {
  Close();
}

result<std::uint16_t> tcp_listener::Listen(const endpoint& address) {
  sockaddr_in local_address{};
  if (!ToSocketAddress(address, local_address)) {
    return Fail(error_kind::kUnreachable, FormatEndpoint(address) + " is not an IPv4 address");
  }
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetOption(descriptor_, SOL_SOCKET, SO_REUSEADDR, 1);
  socklen_t size = sizeof(local_address);
  if (descriptor_ < 0 ||
      ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&local_address),
             sizeof(local_address)) != 0 ||
      ::listen(descriptor_, kListenBacklog) != 0 ||
      ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local_address), &size) != 0) {
    const std::string cause = std::strerror(errno);
    Close();
    return Fail(error_kind::kUnreachable,
                "cannot listen on " + FormatEndpoint(address) + ": " + cause);
  }
  notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                   [this] { Accept(); });
  return ntohs(local_address.sin_port);
}

void tcp_listener::Accept() {
  // Accepts one connection per event; the notifier fires again while more are pending.
  const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    on_descriptor_(accepted);
  }
}

void tcp_listener::Close() {
  notifier_.reset();
  if (descriptor_ >= 0) {
    ::close(descriptor_);
    descriptor_ = -1;
  }
}

}  // namespace corianderhoist
