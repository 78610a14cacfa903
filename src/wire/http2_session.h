/// One HTTP/2 session (nghttp2) over a TCP or TLS socket, as client or server, with whole messages
/// per stream.
#pragma once

#include <nghttp2/nghttp2.h>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace corianderhoist {

/// Lives on the thread of its socket. A request or answer whose body exceeds 64 MiB resets its
/// stream.
class http2_session {
 public:
  enum class side { kClient, kServer };

  /// `on_message(stream, head, body)`: a whole request (server) or answer (client) has arrived.
  /// `head` is the path of a request or the status of an answer.
  /// `on_stream_closed(stream)`: a stream has ended, with or without a message.
  /// `on_broken(cause)`: the session cannot go on; called once, from the event loop.
  struct events {
    std::function<void(std::int32_t stream, std::string head, std::string body)> on_message;
    std::function<void(std::int32_t stream)> on_stream_closed;
    std::function<void(const std::string& cause)> on_broken;
  };

  http2_session(QTcpSocket& socket, side which, events handlers);
  ~http2_session();
  http2_session(const http2_session&) = delete;
  http2_session& operator=(const http2_session&) = delete;

  /// Client: starts a call and returns its stream, or a negative nghttp2 error.
  std::int32_t SubmitRequest(const std::string& path, std::string body);
  /// Server: answers a stream. A stream that is gone is ignored.
  void SubmitAnswer(std::int32_t stream, int status, std::string body);
  /// Bytes received so far; a session whose count stands still may have lost its connection.
  std::uint64_t ReceivedBytes() const { return received_bytes_; }
  /// Ends a stream that is no longer wanted.
  void Cancel(std::int32_t stream);

 private:
  struct stream_state {
    std::string head;
    std::string incoming;
    std::string outgoing;
    std::size_t sent = 0;
  };
  struct callbacks;

  void Receive();
  void Flush();
  void Break(const std::string& cause);

  QTcpSocket& socket_;
  const side side_;
  events events_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, stream_state> streams_;
  bool is_broken_ = false;
  bool is_receiving_ = false;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace corianderhoist
