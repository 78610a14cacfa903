#include "fleet/answer_pacing.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A load is out of date after about the duration of a request, a quarter of a second.
constexpr milliseconds kHintInterval(100);
constexpr milliseconds kDistantHintInterval(250);
// An answer takes about 0.4 ms on a core VM of 0.6 cores, so this uses a fifth of it.
constexpr int kMaxHintAnswersPerSecond = 300;

}  // namespace

pending_news NewsFor(const watch_request& known, const core_versions& current) {
  if (known.core_incarnation != current.incarnation ||
      known.policy_version < current.policy_version || known.roster_index < current.roster_index ||
      known.limits_revision < current.limits_revision) {
    return pending_news::kUrgent;
  }
  const bool has_roster = current.roster_index >= known.roster_index;
  if ((known.awaits_state && has_roster && current.has_recent_state) ||
      (known.awaits_limits && current.is_counting)) {
    return pending_news::kUrgent;
  }
  const auto urgent = current.urgent_revisions.find(known.data_centre);
  if (urgent != current.urgent_revisions.end() && known.conditions_revision < urgent->second) {
    return pending_news::kUrgent;
  }
  return known.conditions_revision < current.conditions_revision ? pending_news::kHints
                                                                 : pending_news::kNone;
}

milliseconds HintInterval(bool is_same_data_centre, std::size_t watchers) {
  const milliseconds for_all(watchers * 1000 / kMaxHintAnswersPerSecond);
  return std::max(is_same_data_centre ? kHintInterval : kDistantHintInterval, for_all);
}

bool IsAnswerDue(pending_news news,
                 milliseconds waited,
                 milliseconds hint_interval,
                 milliseconds hold) {
  if (waited >= hold) {
    return true;
  }
  switch (news) {
    case pending_news::kNone:
      return false;
    case pending_news::kHints:
      return waited >= hint_interval;
    case pending_news::kUrgent:
      return true;
  }
  return true;
}

}  // namespace corianderhoist
