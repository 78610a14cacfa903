/// A caller's connection with support for HTTP/1.1 pipelining.
///
/// Consecutive idempotent requests run concurrently; their answers are sent in the order of the
/// requests. Any other request waits until all earlier requests are answered, because callers
/// resend the requests that follow an answer which closes the connection.
#pragma once

#include "base/buffer_budget.h"
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

/// Streams the body of a request. Reading from the caller pauses while the buffer is full.
class request_body {
 public:
  /// Returns and removes the buffered bytes.
  std::string Take();
  /// Whether the end of the body has been received; `Take` returns the remaining bytes.
  bool IsComplete() const { return is_complete_; }
  /// Whether the whole body has been received and `Take` has returned all of it.
  bool IsTaken() const { return is_complete_ && bytes_.empty(); }
  /// Whether the body was cut off or malformed and will not be completed.
  bool IsBroken() const { return is_broken_; }
  /// Announced length; empty for a chunked body.
  std::optional<std::uint64_t> Length() const { return length_; }

  std::function<void()> on_update;  ///< Called on more bytes, completion or failure.

 private:
  friend class front_connection;
  std::function<void()> on_taken_;
  std::string bytes_;
  std::optional<std::uint64_t> length_;
  bool is_complete_ = false;
  bool is_broken_ = false;
};

/// Timeouts and size limits of one connection.
struct front_limits {
  request_limits request;
  std::chrono::milliseconds header_timeout{10'000};  ///< From first byte to end of header.
  std::chrono::milliseconds idle_timeout{60'000};    ///< Between requests.
  std::chrono::milliseconds stall_timeout{30'000};   ///< Without progress on a body or an answer.
};

/// State that a server shares with its connections.
struct front_context {
  const clock_source& clock = SystemClock();
  /// Called for each request, so that changed limits apply to open connections.
  std::function<front_limits()> limits;
  /// Whether the request is idempotent and may run concurrently with others of its connection.
  std::function<bool(const http_request&)> is_idempotent;
  /// Handles a request whose header is complete. `body` may still be incomplete.
  std::function<
      void(http_request, std::shared_ptr<request_body> body, std::shared_ptr<answer_sink> sink)>
      on_request;
  buffer_budget* buffers = nullptr;  ///< Counts what the connections hold; none if null.
  bool is_closing = false;           ///< Answers carry `Connection: close`.
};

/// Used only on the thread of its event loop.
class front_connection : public std::enable_shared_from_this<front_connection> {
 public:
  front_connection(front_context& context, std::function<void(front_connection*)> on_end);
  ~front_connection();
  front_connection(const front_connection&) = delete;
  front_connection& operator=(const front_connection&) = delete;

  /// Takes ownership of an accepted descriptor.
  void Start(int descriptor);
  /// Refuses the request or closes the connection when a timeout has expired.
  void CheckTimeouts(steady_time now);
  /// Closes the connection unless a request has started to arrive or is being answered, or may be
  /// in transit because the connection was opened or used a moment ago.
  void CloseIfIdle(steady_time now);
  /// Whether a request is being read or answered.
  bool IsBusy() const;
  /// Bytes of answers that the caller has not taken yet.
  std::size_t Unsent() const { return stream_ ? stream_->Unsent() : 0; }

 private:
  class sink;

  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ProcessRequests();
  bool ReadRequestPart();
  bool StartWaitingRequest();
  void DropBody();
  void Refuse(const error& failure);
  void SendAnswers();
  void OnAnswerProgress();
  void UpdateReadPause();
  void Linger();
  void End();
  bool IsLastAnswer(const sink& answer) const;

  front_context& context_;
  std::function<void(front_connection*)> on_end_;
  std::unique_ptr<tcp_stream> stream_;
  std::unique_ptr<request_reader> reader_;
  std::shared_ptr<request_body> body_;           ///< Body of the request that is being read.
  std::optional<http_request> waiting_request_;  ///< Header is complete; not started yet.
  std::deque<std::shared_ptr<sink>> answers_;    ///< In the order of the requests.
  front_limits limits_;
  std::string incoming_;
  buffer_hold hold_;  ///< Of `incoming_` and the body that is being read.
  std::string request_id_;
  steady_time last_progress_;
  steady_time head_started_;
  std::uint64_t discarded_bytes_ = 0;
  bool is_head_seen_ = false;
  bool is_discarding_ = false;
  bool is_processing_ = false;
  bool is_last_request_ = false;  ///< No request is read after the current one.
  bool is_lingering_ = false;
  bool has_ended_ = false;
};

}  // namespace corianderhoist
