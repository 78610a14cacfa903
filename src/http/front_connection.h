/// A caller's connection on which requests may be sent ahead of the answers.
///
/// Idempotent requests that follow each other run side by side; their answers leave in the order of
/// the requests. Any other request waits until those before it are answered: when an answer closes
/// the connection, callers send what they had sent behind it again.
#pragma once

#include "base/clock.h"
#include "http/answer_sink.h"
#include "http/request_reader.h"
#include "net/tcp_stream.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace corianderhoist {

/// The body of a request on its way. Reading from the caller stops while unread bytes are held.
class request_body {
 public:
  /// Returns and removes what has arrived.
  std::string Take();
  /// Whether nothing follows after what `Take` returns.
  bool IsComplete() const { return is_complete_; }
  /// Whether the body will never be complete.
  bool IsBroken() const { return is_broken_; }
  /// Length as announced; empty for a chunked body.
  std::optional<std::uint64_t> Length() const { return length_; }

  std::function<void()> on_news;  ///< More bytes, the end, or a break.

 private:
  friend class front_connection;
  std::function<void()> on_taken_;
  std::string bytes_;
  std::optional<std::uint64_t> length_;
  bool is_complete_ = false;
  bool is_broken_ = false;
};

/// Bounds of time and size for one connection.
struct front_limits {
  request_limits request;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds stall_timeout{30'000};  ///< Without progress of a body or an answer.
};

/// What a connection shares with its server.
struct front_context {
  const clock_source& clock = SystemClock();
  /// Read for each request, so that a change applies to open connections.
  std::function<front_limits()> limits;
  /// Whether a request may run beside others of its connection.
  std::function<bool(const http_request&)> may_run_ahead;
  /// A request whose header has arrived. `body` may still be on its way.
  std::function<
      void(http_request, std::shared_ptr<request_body> body, std::shared_ptr<answer_sink> sink)>
      on_request;
  bool is_closing = false;  ///< Answers ask callers to connect elsewhere.
};

/// Lives on the thread of its event loop.
class front_connection : public std::enable_shared_from_this<front_connection> {
 public:
  front_connection(front_context& context, std::function<void(front_connection*)> on_end);
  ~front_connection();
  front_connection(const front_connection&) = delete;
  front_connection& operator=(const front_connection&) = delete;

  /// Takes over an accepted descriptor.
  void Start(int descriptor);
  /// Ends what has taken too long.
  void CheckTime(steady_time now);
  /// Ends the connection unless a request has begun to arrive or is being answered.
  void CloseIfIdle();
  /// Whether a request is being read or answered.
  bool IsBusy() const;

 private:
  class sink;

  void OnBytes(std::string_view bytes);
  void OnEnd();
  void Advance();
  bool ReadOne();
  bool StartParsed();
  void DiscardBody();
  void Refuse(const error& failure);
  void PumpAnswers();
  void OnAnswerProgress();
  void UpdateReading();
  void Linger();
  void End();
  bool IsLastAnswer(const sink& answer) const;

  front_context& context_;
  std::function<void(front_connection*)> on_end_;
  std::unique_ptr<tcp_stream> stream_;
  std::unique_ptr<request_reader> reader_;
  std::shared_ptr<request_body> body_;         ///< Of the request that is being read.
  std::optional<http_request> waiting_;        ///< Header is known; must not run beside others.
  std::deque<std::shared_ptr<sink>> answers_;  ///< In the order of the requests.
  front_limits limits_;
  std::string incoming_;
  std::string request_id_;
  steady_time last_progress_;
  steady_time head_started_;
  std::uint64_t discarded_bytes_ = 0;
  bool is_head_seen_ = false;
  bool is_discarding_ = false;
  bool is_advancing_ = false;
  bool is_last_request_ = false;  ///< Nothing is read after the present request.
  bool is_lingering_ = false;
  bool has_ended_ = false;
};

}  // namespace corianderhoist
