#include "consensus/leader_resumption.h"

namespace corianderhoist {

std::uint64_t LedTerm(const hard_state& recovered) {
  const bool has_led = recovered.replica_id != 0 && recovered.voted_for == recovered.replica_id &&
                       recovered.leader == leader_record::kVotedFor;
  return has_led ? recovered.term : 0;
}

bool IsResumption(const hard_state& state, const raft_message& request) {
  // `voted_for` names the leader once one has been followed, so one comparison covers both cases.
  return request.led_term != 0 && request.led_term == state.term &&
         request.from_id == state.voted_for && state.leader != leader_record::kUnknown;
}

}  // namespace corianderhoist
