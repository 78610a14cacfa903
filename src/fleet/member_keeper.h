/// Decides, without an operator, which machines are members of the group that holds the log.
#pragma once

#include "base/clock.h"
#include "consensus/replica.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corianderhoist {

/// A machine that asks to take part.
struct member_candidate {
  std::string name;
  std::string address;  ///< Of its calls, as `FormatEndpoint` writes it.
  std::uint64_t replica_id = 0;
};

enum class member_step : std::uint8_t { kAddLearner, kPromote, kRemove };

struct member_change {
  member_step step = member_step::kAddLearner;
  member_candidate subject;  ///< Only the name is set, except for `kAddLearner`.
  std::string reason;
};

/// Runs on the leader. A group of 2f+1 voters bears the loss of f disks, but only while no place is
/// held by a member that will not return: a lost disk (its machine asks again with another replica
/// id) is replaced at once, and a silent voter as soon as a learner that holds the log can take its
/// place. Without such a learner nobody is removed. Not thread safe.
class member_keeper {
 public:
  explicit member_keeper(std::size_t target_voters) : target_voters_(target_voters) {}

  /// A machine has asked to take part; it repeats this while it hears no leader.
  void NoteCandidate(const member_candidate& candidate, steady_time now);
  /// Forgets silence measured before, after a change of leader.
  void Restart(steady_time now);

  /// The next change, if one is due. `status` is that of this leader.
  std::optional<member_change> Next(const replica_status& status, steady_time now);

  /// A voter that has not answered for this long gives its place to a waiting learner.
  static constexpr std::chrono::milliseconds kSilence{2500};
  /// A learner that has not answered for this long is dropped.
  static constexpr std::chrono::milliseconds kLearnerSilence{8000};

 private:
  struct seen_candidate {
    member_candidate what;
    steady_time at;
  };

  std::chrono::nanoseconds SilenceOf(const replica_status& status,
                                     std::uint64_t replica_id,
                                     steady_time now) const;
  bool HoldsLog(const replica_status& status, std::uint64_t replica_id) const;
  const group_member* ReadyLearner(const replica_status& status, steady_time now) const;
  std::optional<member_change> ReplaceLostDisk(const replica_status& status) const;
  std::optional<member_change> AddCandidate(const replica_status& status) const;
  std::optional<member_change> FillPlace(const replica_status& status, steady_time now) const;
  std::optional<member_change> DropLearner(const replica_status& status, steady_time now) const;

  const std::size_t target_voters_;
  std::map<std::string, seen_candidate> candidates_;
  steady_time restarted_{};
};

}  // namespace corianderhoist
