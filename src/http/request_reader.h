/// Reads one caller's request from a stream of bytes, within limits.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Bounds on what one caller may send.
struct request_limits {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 1UL << 20U;
};

/// Incremental; needs no socket. One object reads one request.
class request_reader {
 public:
  enum class progress {
    kNeedMore,  ///< All bytes are used; more are needed.
    kComplete,  ///< `Take` returns the request; unused bytes belong to the next one.
  };

  explicit request_reader(request_limits limits);
  ~request_reader();

  /// Is called once the header is known and before the body is read; a failure refuses the request.
  std::function<result<void>(const http_request&)> on_head;

  /// Receives the body in parts; without it the body is collected in the request.
  std::function<void(std::string_view)> on_body;

  /// Uses bytes from the front of `buffer` and removes them. Fails with the error kind of the
  /// refusal; the connection must then be closed, because the next request cannot be found.
  result<progress> Read(std::string& buffer);

  bool IsHeadComplete() const { return is_head_complete_; }
  /// Whether the caller waits for "100 Continue"; true once, after the head has been accepted.
  bool TakeExpectation();
  /// Whether any byte of the request has arrived.
  bool HasStarted() const { return has_started_; }
  /// Length of the body that the header announces; empty for a chunked one.
  std::optional<std::uint64_t> BodyLength() const { return body_length_; }
  http_request Take() { return std::move(request_); }

 private:
  struct parser;
  result<bool> ReadHead(std::string& buffer);
  result<void> AcceptHead(std::string_view head);
  result<progress> ReadBody(std::string& buffer);

  const request_limits limits_;
  std::unique_ptr<parser> parser_;
  http_request request_;
  std::optional<std::uint64_t> body_length_;
  std::size_t raw_body_bytes_ = 0;
  bool has_started_ = false;
  bool is_head_complete_ = false;
  bool is_continue_expected_ = false;
};

}  // namespace corianderhoist
