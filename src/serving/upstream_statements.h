/// What upstreams state about themselves in their answers: that they leave, or that they accept no
/// requests for some time.
#pragma once

#include "base/clock.h"
#include "fleet/upstream_roster.h"
#include "http/message.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace corianderhoist {

/// Names of the header fields that carry statements.
struct statement_header_names {
  std::string leaving;      ///< "1" in every answer of an upstream that leaves.
  std::string retry_after;  ///< In a 503: seconds for which the upstream accepts no requests.
  std::string limit;        ///< Requests a second that the upstream takes from all VMs together.
};

/// The statements of one answer.
struct upstream_statement {
  bool is_leaving = false;
  std::chrono::milliseconds closed_for{};  ///< Zero: the upstream accepts requests.
  /// Requests per 1,000 s that the upstream takes from all VMs together, as long as it says so.
  std::optional<std::uint64_t> limit_per_kilosecond;
  /// Values that are not valid; they are ignored.
  std::vector<std::string> invalid_values;

  /// Whether it says nothing about the upstream itself. The limit is not part of that.
  bool IsEmpty() const { return !is_leaving && closed_for.count() == 0 && invalid_values.empty(); }
};

/// A longer time is cut to this one, so that a nonsensical value neither overflows a time point nor
/// excludes an upstream for longer than an operator takes to notice it.
inline constexpr std::chrono::hours kMaxClosedTime(24);

/// Reads the statements of an answer. Of several values the longest time and the lowest limit are
/// taken.
upstream_statement ReadStatement(const answer_head& head, const statement_header_names& names);

/// One run of an upstream's process, independent of its place in the roster. A roster handle does
/// not suffice: the roster may drop and list an incarnation again, and a core group that was
/// bootstrapped anew assigns its handles from the beginning.
struct upstream_incarnation {
  std::string id;
  std::chrono::sys_time<std::chrono::milliseconds> started;
  upstream_handle handle = 0;  ///< Only if the start is unknown.

  auto operator<=>(const upstream_incarnation&) const = default;
};
upstream_incarnation IncarnationOf(const upstream_entry& entry);

/// Keeps the statements of each incarnation. A statement that an upstream leaves is final; a time
/// without requests ends by itself and cannot be shortened. Not thread safe.
class upstream_statements {
 public:
  /// What is known about an incarnation that has made a statement.
  struct record {
    bool is_leaving = false;
    /// From then on this VM sends requests again; includes a random delay.
    steady_time opens_at{};
    steady_time first_heard{};
    steady_time last_heard{};
    std::uint64_t kept_away = 0;  ///< Attempts that went elsewhere or were not made.
    std::uint64_t invalid_values = 0;

    bool IsClosed(steady_time now) const { return is_leaving || now < opens_at; }
  };
  /// Limit of the number of records. The least recently heard incarnation is dropped first.
  static constexpr std::size_t kMaxRecords = 2048;

  upstream_statements(const clock_source& clock, std::uint64_t seed);

  /// Returns whether the statement changes what is known.
  bool Note(const upstream_incarnation& incarnation, const upstream_statement& statement);
  /// Whether a request may be sent to the upstream now.
  bool MaySend(const upstream_incarnation& incarnation) const;
  /// Counts an attempt that is not made because of a statement.
  void NoteKeptAway(const upstream_incarnation& incarnation);
  bool IsLeaving(const upstream_incarnation& incarnation) const;
  /// Time until requests are accepted: zero if they are now, nothing if they never will be.
  std::optional<std::chrono::milliseconds> TimeUntilOpen(
      const upstream_incarnation& incarnation) const;
  /// Drops records of which nothing is left to obey.
  void Sweep();
  const std::map<upstream_incarnation, record>& Records() const { return records_; }

 private:
  void DropOldest();

  const clock_source& clock_;
  std::mt19937_64 random_;
  std::map<upstream_incarnation, record> records_;
};

}  // namespace corianderhoist
