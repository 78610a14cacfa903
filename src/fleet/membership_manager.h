/// Automatic membership changes of the group that replicates the log.
#pragma once

#include "base/clock.h"
#include "consensus/replica.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corianderhoist {

/// A machine that requests to join the group.
struct member_candidate {
  std::string name;
  std::string address;  ///< Address of its RPC server, in the format of `FormatEndpoint`.
  std::uint64_t replica_id = 0;
};

enum class member_step : std::uint8_t { kAddLearner, kPromote, kRemove };

struct member_change {
  member_step step = member_step::kAddLearner;
  member_candidate subject;  ///< Only the name is set, except for `kAddLearner`.
  std::string reason;        ///< For the log event.
};

/// Runs on the leader. A group of 2f+1 voters tolerates the loss of f disks, but only while every
/// voter can return. Therefore a member with a lost disk (its machine requests to join with a new
/// replica id) is removed at once, and a silent voter as soon as a learner that has caught up
/// with the log can replace it. Without such a learner no silent voter is removed. Not thread safe.
class membership_manager {
 public:
  explicit membership_manager(std::size_t target_voters) : target_voters_(target_voters) {}

  /// Records a join request. The machine repeats it while it has no contact with the leader.
  void RecordCandidate(const member_candidate& candidate, steady_time now);
  /// Called when this member becomes leader: silence is measured from `now` on.
  void OnElected(steady_time now);

  /// Returns the next membership change, if one is due. `status` is the status of this leader.
  std::optional<member_change> NextChange(const replica_status& status, steady_time now);

  /// A voter that has not responded for this long is replaced if a learner has caught up.
  static constexpr std::chrono::milliseconds kVoterSilenceTimeout{2500};
  /// A learner that has not responded for this long is removed.
  static constexpr std::chrono::milliseconds kLearnerSilenceTimeout{8000};

 private:
  struct candidate_record {
    member_candidate candidate;
    steady_time requested_at;
  };

  std::chrono::nanoseconds SilenceOf(const replica_status& status,
                                     std::uint64_t replica_id,
                                     steady_time now) const;
  bool HoldsLog(const replica_status& status, std::uint64_t replica_id) const;
  const group_member* FindReadyLearner(const replica_status& status, steady_time now) const;
  std::optional<member_change> RemoveMemberWithLostDisk(const replica_status& status) const;
  std::optional<member_change> AddCandidate(const replica_status& status) const;
  std::optional<member_change> FillVacancy(const replica_status& status, steady_time now) const;
  std::optional<member_change> RemoveSilentLearner(const replica_status& status,
                                                   steady_time now) const;

  const std::size_t target_voters_;
  std::map<std::string, candidate_record> candidates_;
  steady_time leading_since_{};
};

}  // namespace corianderhoist
