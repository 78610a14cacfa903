/// The faults that a simulated upstream can be told to show.
#pragma once

#include <QJsonObject>

#include <chrono>
#include <string>

namespace corianderhoist {

/// How an answer is spoilt. Every mode but `kCloseAfterHeaders` executes the request.
enum class answer_fault {
  kNone,
  kCloseAfterHeaders,  ///< Closes when the request's headers have arrived; not executed.
  kCloseAfterBody,     ///< Closes instead of answering.
  kCloseMidAnswer,     ///< Closes after half of the answer's body.
  kLate,               ///< Answers after `late_by`.
  kTwice,              ///< Sends the answer twice in a row.
  kFormerAnswer,       ///< Sends the former answer of the connection in place of the own one.
  kShortBody,          ///< Announces 10 bytes more than it sends, then closes.
  kEarlyBytes,         ///< Sends a whole answer 20 ms after each answer, before being asked.
  kReset,              ///< Resets the connection instead of answering.
};

/// All faults together; the default shows none.
struct upstream_faults {
  answer_fault answer = answer_fault::kNone;
  double answer_share = 1.0;             ///< Share of the real work that `answer` spoils.
  double fail_share = 0.0;               ///< Share of the real work answered with 500.
  std::chrono::milliseconds late_by{0};  ///< Used by `kLate`.
  std::chrono::milliseconds slow_by{0};  ///< Added to the service time.
  /// When positive, the upstream fails all real work in every second period of this length.
  std::chrono::milliseconds flap_period{0};
  bool is_shedding = false;  ///< Declines all real work.
  int health_status = 0;     ///< When set, the health endpoint answers with it.
  double load = -1;          ///< When not negative, the load endpoint reports it.
  bool is_silent = false;    ///< Sends no announcements.
  std::string crash_header;  ///< The process exits on a request with this header.
  std::string crash_body;    ///< The process exits on a request whose body contains it.
};

/// Changes the members that `change` names; returns an error text for unknown names and values.
std::string ApplyFaults(upstream_faults& faults, const QJsonObject& change);

}  // namespace corianderhoist
