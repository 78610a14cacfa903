#include "soak/blocking_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace corianderhoist::soak {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr const char* kLineEnd = "\r\n";

// Reads from the connection until `needle` is in its buffer after `from` and returns its position.
class answer_reader {
 public:
  answer_reader(blocking_connection& connection, milliseconds timeout)
      : connection_(connection), deadline_(steady::now() + timeout) {}

  bool ReadMore() {
    last_ = connection_.Read(std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline_ - steady::now())));
    return last_ == read_result::kBytes;
  }
  bool TakeUntil(const std::string& needle, std::string& taken) {
    std::string& buffer = connection_.Buffer();
    std::size_t at = 0;
    while ((at = buffer.find(needle)) == std::string::npos) {
      if (!ReadMore()) {
        return false;
      }
    }
    taken = buffer.substr(0, at + needle.size());
    buffer.erase(0, taken.size());
    return true;
  }
  bool TakeBytes(std::size_t count, std::string& body) {
    std::string& buffer = connection_.Buffer();
    while (buffer.size() < count) {
      if (!ReadMore()) {
        return false;
      }
    }
    body.append(buffer, 0, count);
    buffer.erase(0, count);
    return true;
  }
  bool TakeChunks(std::string& body) {
    std::string line;
    while (TakeUntil(kLineEnd, line)) {
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      std::string end;
      if (size == 0) {
        return TakeUntil(kLineEnd, end);
      }
      if (!TakeBytes(size, body) || !TakeUntil(kLineEnd, end)) {
        return false;
      }
    }
    return false;
  }
  bool TakeUntilClose(std::string& body) {
    while (ReadMore()) {
    }
    body = std::move(connection_.Buffer());
    connection_.Buffer().clear();
    return last_ == read_result::kClosed;
  }
  bool HasTimedOut() const { return last_ == read_result::kTimeout; }

 private:
  blocking_connection& connection_;
  const steady::time_point deadline_;
  read_result last_ = read_result::kBytes;
};

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}  // namespace

blocking_connection::~blocking_connection() {
  Close();
}

void blocking_connection::Close() {
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
  descriptor_ = -1;
  buffer_.clear();
}

bool blocking_connection::Connect(const endpoint& address, milliseconds timeout) {
  Close();
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
  const int on = 1;
  ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(descriptor_, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
    pollfd writable{descriptor_, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof failure;
    if (errno != EINPROGRESS || ::poll(&writable, 1, static_cast<int>(timeout.count())) <= 0 ||
        ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
      Close();
      return false;
    }
  }
  return true;
}

bool blocking_connection::Send(const std::string& bytes) const {
  constexpr int kSendTimeoutMs = 10000;
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t sent =
        ::send(descriptor_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      at += static_cast<std::size_t>(sent);
      continue;
    }
    pollfd writable{descriptor_, POLLOUT, 0};
    if (errno != EAGAIN || ::poll(&writable, 1, kSendTimeoutMs) <= 0) {
      return false;
    }
  }
  return true;
}

read_result blocking_connection::Read(milliseconds timeout) {
  pollfd readable{descriptor_, POLLIN, 0};
  if (::poll(&readable, 1, static_cast<int>(timeout.count())) <= 0) {
    return read_result::kTimeout;
  }
  std::array<char, 65536> block{};
  const ssize_t count = ::recv(descriptor_, block.data(), block.size(), 0);
  if (count <= 0) {
    return count == 0 ? read_result::kClosed : read_result::kReset;
  }
  buffer_.append(block.data(), static_cast<std::size_t>(count));
  return read_result::kBytes;
}

std::string received_answer::Header(const std::string& name) const {
  const std::string needle = kLineEnd + name + ":";
  const auto found =
      std::search(head.begin(), head.end(), needle.begin(), needle.end(),
                  [](char left, char right) { return ToLower(left) == ToLower(right); });
  if (found == head.end()) {
    return {};
  }
  const auto begin = static_cast<std::size_t>(found - head.begin()) + needle.size();
  const std::string value = head.substr(begin, head.find(kLineEnd, begin) - begin);
  return value.starts_with(" ") ? value.substr(1) : value;
}

received_answer ReadAnswer(blocking_connection& connection, milliseconds timeout) {
  received_answer answer;
  answer_reader reader(connection, timeout);
  constexpr int kFirstFinalStatus = 200;
  constexpr std::size_t kStatusAt = 9;  // After "HTTP/1.1 ".
  while (answer.status < kFirstFinalStatus) {
    if (!reader.TakeUntil("\r\n\r\n", answer.head)) {
      answer.status = 0;
      answer.has_timed_out = reader.HasTimedOut();
      return answer;
    }
    answer.status = answer.head.size() > kStatusAt ? std::atoi(answer.head.c_str() + kStatusAt) : 0;
    if (!answer.head.starts_with("HTTP/1.1 ") || answer.status == 0) {
      return answer;
    }
  }
  const std::string length = answer.Header("Content-Length");
  if (answer.Header("Transfer-Encoding") == "chunked") {
    answer.is_complete = reader.TakeChunks(answer.body);
  } else if (!length.empty()) {
    answer.is_complete = reader.TakeBytes(std::stoul(length), answer.body);
  } else {
    answer.is_complete = reader.TakeUntilClose(answer.body);
  }
  answer.has_timed_out = !answer.is_complete && reader.HasTimedOut();
  answer.closes_connection = answer.Header("Connection") == "close" || length.empty();
  if (answer.Header("Transfer-Encoding") == "chunked") {
    answer.closes_connection = answer.Header("Connection") == "close";
  }
  return answer;
}

received_answer CallOnNewConnection(const endpoint& address,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    milliseconds timeout) {
  blocking_connection connection;
  if (!connection.Connect(address, timeout) ||
      !connection.Send(method + " " + path + " HTTP/1.1\r\nHost: " + address.ip +
                       "\r\nConnection: close\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
    return {};
  }
  return ReadAnswer(connection, timeout);
}

}  // namespace corianderhoist::soak
