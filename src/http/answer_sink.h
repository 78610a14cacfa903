/// The way back to a caller for the answer to one request.
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

/// Lives on the thread of its connection. Exactly one `Begin` and one `End` or `Abort` follow each
/// other; calls after that, or after the caller has left, have no effect.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  virtual void Begin(const answer_head& head) = 0;
  virtual void Append(std::string_view part) = 0;
  /// The body is whole. A body shorter than announced is aborted instead.
  virtual void End() = 0;
  /// Resets the connection, so that the caller cannot take a part for the whole answer.
  virtual void Abort() = 0;
  /// Bytes that the caller has not taken yet.
  virtual std::size_t Unsent() const = 0;

  std::function<void()> on_left;     ///< The caller has closed the connection.
  std::function<void()> on_drained;  ///< Some of the unsent bytes have gone out.
};

/// Why a request is refused.
struct refusal {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::optional<std::chrono::milliseconds> retry_after;  ///< In place of the table's value.
};

/// Answers with a head and a whole body.
void SendWhole(answer_sink& sink, answer_head head, std::string_view body);

/// Answers with the JSON form of a refusal.
void SendRefusal(answer_sink& sink, const refusal& why, std::string_view request_id);

}  // namespace corianderhoist
