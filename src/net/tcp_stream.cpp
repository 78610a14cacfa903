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

constexpr std::size_t kReadBytes = 64UL << 10U;
constexpr int kReadsPerEvent = 4;
// The bytes before `pending_start_` are dropped once they exceed this.
constexpr std::size_t kCompactBytes = 64UL << 10U;
// A peer that has lost its power does not answer: sent bytes that stay unacknowledged, or probes on
// a quiet connection, end it after about this time.
constexpr std::chrono::milliseconds kPathTimeout(4000);
constexpr int kProbeIdleSeconds = 2;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;
constexpr int kBacklog = 1024;

template <class Value>
void SetOption(int descriptor, int level, int option, Value value) {
  ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

void Configure(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned int>(kPathTimeout.count()));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
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
  std::unique_ptr<tcp_stream> made(new tcp_stream(descriptor, std::move(handlers)));
  Configure(descriptor);
  made->is_connected_ = true;
  made->Watch();
  return made;
}

std::unique_ptr<tcp_stream> tcp_stream::Connect(const endpoint& address, events handlers) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::unique_ptr<tcp_stream> made(new tcp_stream(descriptor, std::move(handlers)));
  sockaddr_in target{};
  bool is_started = descriptor >= 0 && ToSocketAddress(address, target);
  if (is_started) {
    Configure(descriptor);
    is_started =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0 ||
        errno == EINPROGRESS;
  }
  if (!is_started) {
    // Reported from the event loop, like every other outcome.
    QTimer::singleShot(0, [raw = made.get(), alive = made->is_alive_] {
      if (*alive) {
        raw->End(stream_end::kConnectFailed);
      }
    });
    return made;
  }
  made->write_notifier_ = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Write);
  QObject::connect(made->write_notifier_.get(), &QSocketNotifier::activated,
                   made->write_notifier_.get(), [raw = made.get()] { raw->OnWritable(); });
  return made;
}

void tcp_stream::Watch() {
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

void tcp_stream::OnReadable() {
  const auto alive = is_alive_;
  static thread_local std::array<char, kReadBytes> block;
  for (int i = 0; i < kReadsPerEvent; ++i) {
    const ssize_t count = ::recv(descriptor_, block.data(), block.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      return;
    }
    if (count <= 0) {
      End(count == 0 ? stream_end::kFinished : stream_end::kReset);
      return;
    }
    if (events_.on_bytes) {
      // A copy of the callback, because it may replace the events of this stream.
      const auto on_bytes = events_.on_bytes;
      on_bytes(std::string_view(block.data(), static_cast<std::size_t>(count)));
    }
    if (!*alive || has_ended_ || !read_notifier_->isEnabled() ||
        static_cast<std::size_t>(count) < block.size()) {
      return;
    }
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
    Watch();
    const auto alive = is_alive_;
    if (events_.on_connected) {
      const auto on_connected = events_.on_connected;
      on_connected();
    }
    if (*alive && !has_ended_) {
      Flush();
    }
    return;
  }
  Flush();
  if (Unsent() == 0 && !has_ended_ && events_.on_drained) {
    const auto on_drained = events_.on_drained;
    on_drained();
  }
}

void tcp_stream::Write(std::string_view bytes) {
  if (has_ended_) {
    return;
  }
  pending_.append(bytes);
  if (is_connected_ && !write_notifier_->isEnabled()) {
    Flush();
  }
}

void tcp_stream::Flush() {
  while (Unsent() > 0) {
    const ssize_t sent = ::send(descriptor_, pending_.data() + pending_start_, Unsent(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      // A broken connection is reported by the next read, after the bytes that still arrive.
      const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK;
      if (!is_full) {
        pending_.clear();
        pending_start_ = 0;
      }
      write_notifier_->setEnabled(is_full);
      return;
    }
    pending_start_ += static_cast<std::size_t>(sent);
    if (pending_start_ > kCompactBytes) {
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

void tcp_stream::End(stream_end how) {
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
    on_end(how);
  }
}

tcp_listener::tcp_listener(std::function<void(int)> on_descriptor)
    : on_descriptor_(std::move(on_descriptor)) {}

tcp_listener::~tcp_listener() {
  Close();
}

result<std::uint16_t> tcp_listener::Listen(const endpoint& address) {
  sockaddr_in own{};
  if (!ToSocketAddress(address, own)) {
    return Fail(error_kind::kUnreachable, FormatEndpoint(address) + " is not an IPv4 address");
  }
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetOption(descriptor_, SOL_SOCKET, SO_REUSEADDR, 1);
  socklen_t size = sizeof(own);
  if (descriptor_ < 0 ||
      ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 ||
      ::listen(descriptor_, kBacklog) != 0 ||
      ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&own), &size) != 0) {
    const std::string cause = std::strerror(errno);
    Close();
    return Fail(error_kind::kUnreachable,
                "cannot listen on " + FormatEndpoint(address) + ": " + cause);
  }
  notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                   [this] { Accept(); });
  return ntohs(own.sin_port);
}

void tcp_listener::Accept() {
  // One at a time: the notifier fires again while connections wait.
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
