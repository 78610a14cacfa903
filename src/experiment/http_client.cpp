#include "experiment/http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>

namespace corianderhoist {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadChunkBytes = 16'384;
constexpr std::uint64_t kMaxBodyBytes = 67'108'864;  // 64 MiB

// Waits until the socket is ready for `events`. Returns false at the deadline or on an error.
bool WaitUntilReady(int socket, short events, steady_time deadline) {
  for (;;) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - SystemClock().Now());
    pollfd descriptor{socket, events, 0};
    const int ready =
        ::poll(&descriptor, 1, static_cast<int>(std::max<std::int64_t>(0, left.count())));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

bool SendAll(int socket, const std::string& bytes, steady_time deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    const bool is_full = errno == EAGAIN || errno == EINTR;
    if (!is_full || !WaitUntilReady(socket, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

std::string FormatRequest(const endpoint& address, const http_call& call) {
  std::string text =
      call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + FormatEndpoint(address) + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

http_reply MakeFailure(std::string cause) {
  http_reply reply;
  reply.failure = std::move(cause);
  return reply;
}

}  // namespace

std::string http_reply::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

http_client::http_client(endpoint address) : address_(std::move(address)) {}

http_client::~http_client() {
  Close();
}

void http_client::Close() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
  socket_ = -1;
  received_.clear();
}

bool http_client::IsStale() const {
  char byte = 0;
  const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool http_client::Connect(std::chrono::milliseconds timeout, std::string& failure) {
  if (socket_ >= 0 && !IsStale()) {
    return true;
  }
  Close();
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address_.port);
  if (socket_ < 0 || ::inet_pton(AF_INET, address_.ip.c_str(), &target.sin_addr) != 1) {
    failure = "no IPv4 address: " + FormatEndpoint(address_);
    return false;
  }
  const int on = 1;
  ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int status = ::connect(socket_, reinterpret_cast<sockaddr*>(&target), sizeof target);
  if (status != 0 && errno == EINPROGRESS) {
    int pending = ETIMEDOUT;
    socklen_t size = sizeof pending;
    if (WaitUntilReady(socket_, POLLOUT, SystemClock().Now() + timeout)) {
      ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &pending, &size);
    }
    errno = pending;
    status = pending == 0 ? 0 : -1;
  }
  if (status != 0) {
    failure = std::string("cannot connect: ") + std::strerror(errno);
    Close();
    return false;
  }
  return true;
}

http_reply http_client::Call(const http_call& call, std::chrono::milliseconds timeout) {
  const auto deadline = SystemClock().Now() + timeout;
  std::string failure;
  if (!Connect(timeout, failure)) {
    return MakeFailure(std::move(failure));
  }
  if (!SendAll(socket_, FormatRequest(address_, call), deadline)) {
    Close();
    return MakeFailure("connection ended while the request was sent");
  }
  http_reply reply = Receive(deadline, call.method == "HEAD");
  if (reply.status == 0 || LowerCase(reply.Header("connection")) == "close") {
    Close();
  }
  return reply;
}

http_reply http_client::Receive(steady_time deadline, bool is_head) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.eager(true);
  parser.skip(is_head);
  while (!parser.is_done()) {
    boost::system::error_code status;
    const std::size_t used = parser.put(boost::asio::buffer(received_), status);
    received_.erase(0, used);
    if (status && status != http::error::need_more) {
      return MakeFailure("answer is invalid: " + status.message());
    }
    if (parser.is_done()) {
      break;
    }
    if (!WaitUntilReady(socket_, POLLIN, deadline)) {
      return MakeFailure("timeout");
    }
    std::array<char, kReadChunkBytes> chunk{};
    const ssize_t count = ::recv(socket_, chunk.data(), chunk.size(), 0);
    if (count > 0) {
      received_.append(chunk.data(), static_cast<std::size_t>(count));
      continue;
    }
    boost::system::error_code end;
    if (parser.got_some()) {
      parser.put_eof(end);
    }
    if (count < 0 || end || !parser.is_done()) {
      return MakeFailure(count < 0 ? "connection reset" : "connection closed");
    }
  }
  http_reply reply;
  reply.status = static_cast<int>(parser.get().result_int());
  reply.body = parser.get().body();
  for (const auto& field : parser.get()) {
    reply.headers[LowerCase(std::string_view(
        field.name_string().data(), field.name_string().size()))] = std::string(field.value());
  }
  return reply;
}

http_reply CallOnce(const endpoint& address,
                    const http_call& call,
                    std::chrono::milliseconds timeout) {
  return http_client(address).Call(call, timeout);
}

}  // namespace corianderhoist
