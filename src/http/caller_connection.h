/// A caller's connection that reads one request at a time and writes its answer.
#pragma once

#include "base/clock.h"
#include "http/answer_sink.h"
#include "http/request_reader.h"
#include "wire/io_loop.h"

#include <QSslConfiguration>
#include <QTcpSocket>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace corianderhoist {

/// Timeouts, size limits and the maximum number of connections.
struct caller_limits {
  request_limits request;
  std::size_t connections = 10'000;                  ///< Further connections are refused.
  std::chrono::milliseconds header_timeout{10'000};  ///< From first byte to end of header.
  std::chrono::milliseconds body_timeout{30'000};    ///< From end of header to end of body.
};

/// State that a server shares with its connections.
struct caller_context {
  const clock_source& clock = SystemClock();
  caller_limits limits;
  std::optional<QSslConfiguration> tls;
  std::atomic<bool> is_closing = false;      ///< Answers carry `Connection: close`.
  std::atomic<std::size_t> connections = 0;  ///< Open connections.
  /// Checks a header before the body is read; may be empty.
  std::function<result<void>(const http_request&)> on_head;
};

/// Used only on the thread of its event loop.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  using request_handler = std::function<void(http_request, std::shared_ptr<answer_sink>)>;

  caller_connection(io_loop& loop,
                    caller_context& context,
                    request_handler on_request,
                    std::function<void(caller_connection*)> on_end);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  /// Takes ownership of an accepted descriptor. `is_over_limit`: sends a refusal and closes.
  void Start(qintptr descriptor, bool is_over_limit);
  /// Refuses the request or resets the connection when its current phase has timed out.
  void CheckTimeouts(steady_time now);
  /// Closes the connection unless a request has been started, is being answered, or may be in
  /// transit on a connection that was in use shortly before.
  void CloseIfIdle(steady_time now);
  /// Refuses a request that has not been read completely.
  void RefuseIncomplete(const error& failure);
  /// Resets the connection.
  void Abort();

 private:
  class sink;
  enum class phase { kIdle, kHead, kBody, kAnswering, kLingering, kEnded };

  bool IsIdle() const;
  void OnReadable();
  void ReadRequest();
  void Dispatch();
  void Refuse(const error& failure);
  void Write(std::string_view bytes);
  void FinishAnswer();
  void Linger();
  void End();
  void EnterPhase(phase next, std::chrono::milliseconds timeout);
  bool ShouldClose() const { return is_last_answer_ || context_.is_closing; }

  io_loop& loop_;
  caller_context& context_;
  request_handler on_request_;
  std::function<void(caller_connection*)> on_end_;
  std::unique_ptr<QTcpSocket> socket_;
  std::unique_ptr<request_reader> reader_;
  std::shared_ptr<sink> answer_;
  std::string incoming_;
  std::string request_id_;
  phase phase_ = phase::kIdle;
  steady_time phase_started_;
  steady_time phase_deadline_;
  steady_time last_progress_;
  std::size_t lingered_bytes_ = 0;
  bool is_head_method_ = false;
  bool is_last_answer_ = false;
  bool is_reading_ = false;
};

}  // namespace corianderhoist
