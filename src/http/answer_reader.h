/// Reads one upstream's answer from a stream of bytes.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderhoist {

/// What becomes of an answer whose end only the close of its connection shows.
enum class close_ended_answers {
  kRefused,  ///< For connections on which a crash of the upstream looks like a regular close.
  kTaken,    ///< The caller tells a regular close from a reset and calls `FinishAtClose`.
};

/// Incremental; needs no socket. One object reads one answer.
class answer_reader {
 public:
  /// `is_head_request`: the answer has no body whatever its header says.
  explicit answer_reader(bool is_head_request,
                         close_ended_answers close_ended = close_ended_answers::kRefused);
  ~answer_reader();

  /// The head is complete. Called once, before the body. Interim answers (1xx) are skipped.
  std::function<void(answer_head)> on_head;
  std::function<void(std::string_view)> on_body;

  /// Uses bytes from the front of `buffer` and removes them. Returns whether the answer is
  /// complete; bytes left in `buffer` then do not belong to it. Fails with `kUpstreamBroken`.
  result<bool> Read(std::string& buffer);

  /// The connection has been closed regularly. Returns whether that completes the answer.
  bool FinishAtClose();

  /// Whether the upstream will keep the connection after this answer.
  bool IsKeepAlive() const { return is_keep_alive_; }
  /// Whether any byte of the answer has arrived.
  bool HasStarted() const { return has_started_; }

 private:
  struct parser;
  result<bool> ReadHead(std::string& buffer);
  result<void> AcceptHead();
  result<bool> ReadBody(std::string& buffer);

  const bool is_head_request_;
  const close_ended_answers close_ended_;
  std::unique_ptr<parser> parser_;
  bool has_started_ = false;
  bool is_head_complete_ = false;
  bool is_keep_alive_ = false;
  bool is_close_ended_ = false;
  int interim_answers_ = 0;
};

}  // namespace corianderhoist
