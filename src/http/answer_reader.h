/// Incremental parser for an upstream's answer.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderhoist {

/// How an answer is treated whose body is delimited by the close of the connection (RFC 9112, 6.3).
enum class close_delimited_answers {
  kRefused,   ///< For connections that cannot tell a crash of the upstream from a regular close.
  kAccepted,  ///< The owner tells a regular close from a reset and calls `FinishAtClose`.
};

/// Parses bytes supplied by its owner and does no I/O. One object reads one answer.
class answer_reader {
 public:
  /// `is_head_request`: the answer has no body, regardless of its header fields.
  explicit answer_reader(
      bool is_head_request,
      close_delimited_answers close_delimited = close_delimited_answers::kRefused);
  ~answer_reader();

  /// Called once when the head is complete, before the body. Interim answers (1xx) are skipped.
  std::function<void(answer_head)> on_head;
  std::function<void(std::string_view)> on_body;

  /// Consumes bytes from the front of `buffer`. Returns whether the answer is complete; bytes that
  /// remain in `buffer` then are not part of it. Fails with `kUpstreamBroken`.
  result<bool> Read(std::string& buffer);

  /// Call after a regular close of the connection. Returns whether the close completes the answer.
  bool FinishAtClose();

  /// Whether the upstream keeps the connection open after this answer.
  bool IsKeepAlive() const { return is_keep_alive_; }
  /// Whether any byte of the answer has arrived.
  bool HasStarted() const { return has_started_; }

 private:
  struct parser;
  result<bool> ReadHead(std::string& buffer);
  result<void> AcceptHead();
  result<bool> ReadBody(std::string& buffer);

  const bool is_head_request_;
  const close_delimited_answers close_delimited_;
  std::unique_ptr<parser> parser_;
  bool has_started_ = false;
  bool is_head_complete_ = false;
  bool is_keep_alive_ = false;
  bool is_close_delimited_ = false;
  int interim_answers_ = 0;
};

}  // namespace corianderhoist
