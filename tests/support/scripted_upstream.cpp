#include "support/scripted_upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

namespace corianderhoist {
namespace {

constexpr int kPollTimeoutMs = 20;

// Waits for bytes; false when the connection is closed or the test ends.
bool ReadMore(int descriptor, std::string& buffer, const std::atomic<bool>& is_stopping) {
  while (!is_stopping) {
    pollfd readable{descriptor, POLLIN, 0};
    if (::poll(&readable, 1, kPollTimeoutMs) <= 0) {
      continue;
    }
    std::array<char, 65536> block{};
    const ssize_t count = ::recv(descriptor, block.data(), block.size(), 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(block.data(), static_cast<std::size_t>(count));
    return true;
  }
  return false;
}

// Sends `repeated` again and again. Returns whether the peer closed the connection, false when the
// test ends.
bool SendUntilClosed(int descriptor,
                     const std::string& repeated,
                     const std::atomic<bool>& is_stopping) {
  constexpr std::size_t kBlockBytes = 64UL << 10U;
  std::string block;
  while (block.size() < kBlockBytes) {
    block += repeated;
  }
  std::size_t at = 0;
  while (!is_stopping) {
    pollfd writable{descriptor, POLLOUT, 0};
    if (::poll(&writable, 1, kPollTimeoutMs) <= 0) {
      continue;
    }
    const ssize_t sent =
        ::send(descriptor, block.data() + at, block.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
      return true;
    }
    at = (at + static_cast<std::size_t>(std::max<ssize_t>(sent, 0))) % block.size();
  }
  return false;
}

// Removes a chunked body from the front of the buffer; false when it is incomplete.
bool TakeChunkedBody(std::string& buffer, std::string& body) {
  std::size_t at = 0;
  std::string decoded;
  while (true) {
    const std::size_t line = buffer.find("\r\n", at);
    if (line == std::string::npos) {
      return false;
    }
    const std::size_t size = std::stoul(buffer.substr(at, line - at), nullptr, 16);
    if (buffer.size() < line + 2 + size + 2) {
      return false;
    }
    decoded += buffer.substr(line + 2, size);
    at = line + 2 + size + 2;
    if (size == 0) {
      buffer.erase(0, at);
      body = decoded;
      return true;
    }
  }
}

}  // namespace

std::string scripted_request::Header(const std::string& name) const {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

scripted_upstream::scripted_upstream(std::function<scripted_answer(const scripted_request&)> script)
    : script_(std::move(script)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(listener_, 64) != 0 ||
      ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

scripted_upstream::~scripted_upstream() {
  is_stopping_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  ::close(listener_);
}

void scripted_upstream::UseSlowLink() {
  constexpr int kSegmentBytes = 536;
  constexpr int kReceiveBytes = 4096;
  // Accepted sockets inherit both from the listener.
  ::setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
}

std::vector<scripted_request> scripted_upstream::Requests() const {
  const std::lock_guard guard(lock_);
  return requests_;
}

void scripted_upstream::Accept() {
  std::size_t connections = 0;
  while (!is_stopping_) {
    pollfd readable{listener_, POLLIN, 0};
    if (::poll(&readable, 1, kPollTimeoutMs) <= 0) {
      continue;
    }
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
      threads_.emplace_back([this, descriptor, number = connections++] {
        Serve(descriptor, number);
        ::close(descriptor);
        ++ended_;
      });
    }
  }
}

bool scripted_upstream::ReadRequest(int descriptor,
                                    std::string& buffer,
                                    scripted_request& request) const {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(descriptor, buffer, is_stopping_)) {
      return false;
    }
  }
  request.head = buffer.substr(0, end + 4);
  buffer.erase(0, end + 4);
  if (early_bytes_) {
    const std::string early = early_bytes_(request);
    const std::size_t first =
        early_pause_.count() == 0 || early.empty() ? early.size() : early.size() - 1;
    ::send(descriptor, early.data(), first, MSG_NOSIGNAL);
    std::this_thread::sleep_for(early_pause_);
    ::send(descriptor, early.data() + first, early.size() - first, MSG_NOSIGNAL);
  }
  if (is_early_ && is_early_(request)) {
    return true;
  }
  if (request.Header("Transfer-Encoding") == "chunked") {
    while (!TakeChunkedBody(buffer, request.body)) {
      if (!ReadMore(descriptor, buffer, is_stopping_)) {
        return false;
      }
    }
    return true;
  }
  const std::string length = request.Header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer.size() < size) {
    if (!ReadMore(descriptor, buffer, is_stopping_)) {
      return false;
    }
  }
  request.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

void scripted_upstream::Serve(int descriptor, std::size_t connection) {
  std::string buffer;
  while (!is_stopping_) {
    scripted_request request;
    request.connection = connection;
    if (!ReadRequest(descriptor, buffer, request)) {
      return;
    }
    {
      const std::lock_guard guard(lock_);
      requests_.push_back(request);
    }
    const scripted_answer answer = script_(request);
    std::this_thread::sleep_for(answer.delay);
    ::send(descriptor, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
    if (!answer.late_bytes.empty()) {
      std::this_thread::sleep_for(answer.late_by);
      ::send(descriptor, answer.late_bytes.data(), answer.late_bytes.size(), MSG_NOSIGNAL);
    }
    switch (answer.after) {
      case after_answer::kKeep:
        break;
      case after_answer::kClose:
        return;
      case after_answer::kFinishAndReset:
        ::shutdown(descriptor, SHUT_WR);
        [[fallthrough]];
      case after_answer::kReset: {
        const linger reset{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        return;
      }
      case after_answer::kHang:
        while (ReadMore(descriptor, buffer, is_stopping_)) {
        }
        abandoned_ += is_stopping_ ? 0 : 1;
        return;
      case after_answer::kFlood:
        abandoned_ += SendUntilClosed(descriptor, answer.repeated, is_stopping_) ? 1 : 0;
        return;
    }
  }
}

std::string SignedAnswer(const scripted_request& request,
                         int status,
                         const std::string& body,
                         const std::string& more_headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Attempt-Id: " + request.Header("X-Attempt-Id") + "\r\nX-Signature: s\r\n" +
         more_headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace corianderhoist
