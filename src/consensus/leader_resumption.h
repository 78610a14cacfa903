/// Decides when a restarted former leader may be elected before the election timeout has passed.
///
/// A voter normally refuses all votes for one election timeout after its last contact with a
/// leader or its own start (leader stickiness), because a leader may hold a lease that counts on
/// it. A replica that led the current term when it stopped holds no lease any more, and a term has
/// only one leader. A voter in the same term may therefore grant its vote to this replica at once:
/// leases of earlier terms had ended when the replica was elected, and the lease of this term was
/// the replica's own.
///
/// Pure functions without I/O or a clock. Nothing fails; when in doubt the stickiness remains.
/// Load: all core VMs lose power and return within seconds, or the leader alone is restarted.
#pragma once

#include "consensus/message.h"
#include "storage/records.h"

#include <chrono>
#include <cstdint>

namespace corianderhoist {

/// Upper bound of the random delay between the start of a former leader and its first pre-vote.
inline constexpr std::chrono::milliseconds kMaxResumptionDelay(50);

/// Interval of the pre-votes of a former leader: longer than a round trip between regions, short
/// beside the election timeout. Voters may start later than it and lose the first requests.
inline constexpr std::chrono::milliseconds kResumptionInterval(100);

/// The term that the replica with this recovered state led when it stopped; 0 if it was not the
/// leader of its current term or if this is unknown.
std::uint64_t LedTerm(const hard_state& recovered);

/// Whether a voter in `state` may grant the (pre-)vote `request` in spite of its stickiness: the
/// candidate led the voter's current term before it restarted, and the voter durably knows that it
/// has followed no other leader in that term and that its vote in that term, if it did not follow
/// the candidate, went to the candidate. False for requests without `led_term`.
bool IsResumption(const hard_state& state, const raft_message& request);

}  // namespace corianderhoist
