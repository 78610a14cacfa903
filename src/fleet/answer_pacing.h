/// Decides when a core VM answers a watch call of an entry VM.
///
/// Some news must reach an entry VM at once: the policy, the roster, the shared limits, and
/// failures and trials of upstreams in its own data centre, to which most of its requests go; a
/// trial that comes late leaves healthy capacity unused. All else are hints that improve
/// placements: loads, latencies, and the condition of other upstreams. They change with nearly
/// every request of the fleet, so they are collected and sent at intervals, which grow with the
/// number of entry VMs at a core VM. Answers at the end of the hold and with urgent news come on
/// top; neither has a bound that holds for every size of the fleet.
#pragma once

#include "fleet/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace corianderhoist {

/// Versions of what a core VM knows.
struct core_versions {
  std::uint64_t incarnation = 0;
  std::uint64_t policy_version = 0;
  std::uint64_t roster_index = 0;
  std::uint64_t limits_revision = 0;
  std::uint64_t conditions_revision = 0;
  bool has_recent_state = false;  ///< A policy, and policy and roster are known to be complete.
  bool is_counting = false;       ///< The limits are reliable.
  /// By data centre: the conditions revision of the newest urgent change of an upstream there.
  std::map<std::string, std::uint64_t> urgent_revisions;
};

/// The most pressing news that an entry VM lacks.
enum class pending_news : std::uint8_t { kNone, kHints, kUrgent };

/// Returns the most pressing news for an entry VM that knows what its watch call states.
pending_news NewsFor(const watch_request& known, const core_versions& current);

/// Returns the interval at which hints are sent to an entry VM. It is longer in another data
/// centre, where bytes have a price, and grows with the number of entry VMs that watch the same
/// core VM.
std::chrono::milliseconds HintInterval(bool is_same_data_centre, std::size_t watchers);

/// Returns whether a watch call that has waited for `waited` is answered now. `hold` is the longest
/// wait.
bool IsAnswerDue(pending_news news,
                 std::chrono::milliseconds waited,
                 std::chrono::milliseconds hint_interval,
                 std::chrono::milliseconds hold);

}  // namespace corianderhoist
