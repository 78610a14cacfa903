/// A client or server HTTP/2 session (nghttp2) over a TCP or TLS socket that buffers one complete
/// message per stream.
#pragma once

#include <nghttp2/nghttp2.h>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace corianderhoist {

/// Must be used on the thread of its socket. The stream of a request or answer whose body exceeds
/// 64 MiB is reset.
class http2_session {
 public:
  enum class side { kClient, kServer };

  /// `on_message(stream, head, body)`: a complete request (server) or answer (client) has arrived.
  /// `head` is the `:path` of a request or the `:status` of an answer.
  /// `on_stream_closed(stream)`: a stream has ended, with or without a message.
  /// `on_error(cause)`: the session has ended or failed; called once, from the event loop.
  struct events {
    std::function<void(std::int32_t stream, std::string head, std::string body)> on_message;
    std::function<void(std::int32_t stream)> on_stream_closed;
    std::function<void(const std::string& cause)> on_error;
  };

  http2_session(QTcpSocket& socket, side session_side, events handlers);
  ~http2_session();
  http2_session(const http2_session&) = delete;
  http2_session& operator=(const http2_session&) = delete;

  /// Client: submits a request and returns its stream, or a negative nghttp2 error code.
  std::int32_t SubmitRequest(const std::string& path, std::string body);
  /// Server: submits the answer of a stream. Does nothing if the stream no longer exists.
  void SubmitAnswer(std::int32_t stream, int status, std::string body);
  /// Whether part of a submitted message has not been passed to the kernel.
  bool HasUnsent() const;
  /// Number of bytes received so far. If it does not increase, the connection may be lost.
  std::uint64_t ReceivedBytes() const { return received_bytes_; }
  /// Resets a stream whose result is no longer needed.
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
  void HandleSessionError(const std::string& cause);

  QTcpSocket& socket_;
  const side side_;
  events events_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, stream_state> streams_;
  bool has_failed_ = false;
  bool is_receiving_ = false;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace corianderhoist
