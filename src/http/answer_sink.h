/// Interface for sending the answer to one request back to its caller.
#pragma once

#include "base/error.h"
#include "http/message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Used only on the thread of its connection. Call `Begin` once, then `End` or `Abort` once; later
/// calls, and calls after the caller has disconnected, have no effect.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// Starts the answer with its head.
  virtual void Begin(const answer_head& head) = 0;
  /// Adds the next part of the body.
  virtual void Append(std::string_view part) = 0;
  /// Completes the answer. Aborts it if the body is not as long as its announced length.
  virtual void End() = 0;
  /// Resets the connection, so that the caller cannot mistake a partial answer for a complete one.
  virtual void Abort() = 0;
  /// Number of buffered bytes that have not been sent to the caller yet.
  virtual std::size_t Unsent() const = 0;

  std::function<void()> on_caller_disconnected;  ///< The connection ended before the answer did.
  std::function<void()> on_drained;              ///< Buffered bytes have been sent.
};

/// The reason for refusing a request.
struct refusal {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::optional<std::chrono::milliseconds> retry_after;  ///< Overrides the default.
};

/// Sends a complete answer with `body` and its length.
void SendCompleteAnswer(answer_sink& sink, answer_head head, std::string_view body);

/// Sends a refusal as a JSON document, with the status of its error kind.
void SendRefusal(answer_sink& sink, const refusal& why, std::string_view request_id);

}  // namespace corianderhoist
