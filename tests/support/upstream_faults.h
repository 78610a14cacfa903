/// Faults that the simulated upstream injects on demand.
#pragma once

#include <QJsonObject>

#include <chrono>
#include <string>

namespace corianderhoist {

/// Fault of an answer. The request is executed in all modes except `kCloseAfterHeaders`.
enum class answer_fault {
  kNone,
  kCloseAfterHeaders,  ///< Closes when the request's headers have arrived; not executed.
  kCloseAfterBody,     ///< Closes instead of answering.
  kCloseMidAnswer,     ///< Closes after half of the answer's body.
  kLate,               ///< Answers after `late_by`.
  kTwice,              ///< Sends the answer twice in a row.
  kFormerAnswer,       ///< Sends the previous answer of the connection instead of the current one.
  kShortBody,          ///< Sends 10 bytes less than Content-Length, then closes.
  kEarlyBytes,         ///< Sends a whole answer 20 ms after each answer, without a request.
  kReset,              ///< Resets the connection instead of answering.
};

/// All faults of an upstream; the default is none.
struct upstream_faults {
  answer_fault answer = answer_fault::kNone;
  double answer_share = 1.0;             ///< Share of the work that `answer` applies to.
  double fail_share = 0.0;               ///< Share of the work answered with 500.
  std::chrono::milliseconds late_by{0};  ///< Used by `kLate`.
  std::chrono::milliseconds slow_by{0};  ///< Added to the service time.
  /// When positive, the upstream fails all work in every second period of this length.
  std::chrono::milliseconds flap_period{0};
  bool is_shedding = false;  ///< Sheds all work.
  int health_status = 0;     ///< When not 0, the status of the health endpoint.
  double load = -1;          ///< When not negative, the load endpoint reports it.
  bool is_silent = false;    ///< Sends no announcements.
  std::string crash_header;  ///< The process exits on a request with this header.
  std::string crash_body;    ///< The process exits on a request whose body contains it.
};

/// Sets the members that `change` contains; returns an error text for an unknown name or an invalid
/// value.
std::string ApplyFaults(upstream_faults& faults, const QJsonObject& change);

}  // namespace corianderhoist
