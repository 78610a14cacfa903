/// Incremental parser for a caller's request, with size limits.
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

/// Size limits for one request.
struct request_limits {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 1UL << 20U;
};

/// Parses bytes supplied by its owner and does no I/O. One object reads one request.
class request_reader {
 public:
  enum class progress {
    kNeedMore,  ///< More bytes are needed.
    kComplete,  ///< `Take` returns the request; remaining bytes belong to the next one.
  };

  explicit request_reader(request_limits limits);
  ~request_reader();

  /// Called once when the header is complete, before the body is read. A failure refuses the
  /// request.
  std::function<result<void>(const http_request&)> on_head;

  /// Receives the body in parts. If empty, the body is collected in the request.
  std::function<void(std::string_view)> on_body;

  /// Consumes bytes from the front of `buffer`. Fails with the error kind of the refusal; the
  /// connection must then be closed, because the start of the next request is unknown.
  result<progress> Read(std::string& buffer);

  bool IsHeadComplete() const { return is_head_complete_; }
  /// Returns whether the caller expects "100 Continue" and clears the flag. It is set when the head
  /// is accepted.
  bool TakeExpectation();
  /// Whether any byte of the request has arrived.
  bool HasStarted() const { return has_started_; }
  /// Announced length of the body; empty for a chunked body.
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
