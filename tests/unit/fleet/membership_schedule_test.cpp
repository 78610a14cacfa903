// Seeded schedules of lost machines and disks. A membership change must never cost the group its
// quorum, and lost voters must be replaced while spare machines exist.
#include "fleet/membership_manager.h"
#include "support/test_table.h"

#include <algorithm>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kTargetVoters = 5;
constexpr milliseconds kStep(100);
constexpr milliseconds kFaultPhase(60'000);
constexpr milliseconds kRecoveryPhase(20'000);

struct machine {
  std::string name;
  std::uint64_t replica_id = 0;  // Identifies the disk.
  bool is_up = true;
  bool is_caught_up = false;
  steady_time responded_at{};
  steady_time joined_at{};
};

class member_schedule {
 public:
  explicit member_schedule(std::uint64_t seed) : random_(seed), machines_(4 + random_() % 5) {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      machines_[i].name = "m" + std::to_string(i);
      machines_[i].replica_id = ++ids_;
    }
    for (std::size_t i = 0; i < 3; ++i) {
      status_.members.push_back({machines_[i].name, machines_[i].replica_id, "", true});
      machines_[i].is_caught_up = true;
    }
  }

  void Run() {
    const steady_time start = clock_.Now();
    while (clock_.Now() - start < kFaultPhase) {
      if (random_() % 10 == 0) {
        InjectFault(machines_[random_() % machines_.size()]);
      }
      Step();
    }
    for (machine& each : machines_) {
      each.is_up = true;
    }
    const steady_time recovery_start = clock_.Now();
    while (clock_.Now() - recovery_start < kRecoveryPhase) {
      Step();
    }
    const std::size_t voters = CountVoters([](const machine&) { return true; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE("voters after recovery", std::min(kTargetVoters, machines_.size()),
                                 voters);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("voters with their disks", voters, HealthyVoters());
  }

 private:
  machine* MachineOf(const group_member& member) {
    const auto found = std::find_if(machines_.begin(), machines_.end(), [&](const machine& each) {
      return each.name == member.name && each.replica_id == member.replica_id;
    });
    return found == machines_.end() ? nullptr : &*found;
  }

  // Number of voters whose machine still has its disk and meets the condition.
  template <class Condition>
  std::size_t CountVoters(Condition condition) {
    return static_cast<std::size_t>(
        std::count_if(status_.members.begin(), status_.members.end(), [&](const auto& member) {
          const machine* owner = MachineOf(member);
          return member.is_voter && owner != nullptr && condition(*owner);
        }));
  }
  std::size_t HealthyVoters() {
    return CountVoters([](const machine& each) { return each.is_up && each.is_caught_up; });
  }
  std::size_t CountAllVoters() const {
    return static_cast<std::size_t>(
        std::count_if(status_.members.begin(), status_.members.end(),
                      [](const group_member& member) { return member.is_voter; }));
  }

  // Injects a fault only if a quorum remains; the membership changes must then preserve it.
  void InjectFault(machine& chosen) {
    if (!chosen.is_up) {
      chosen.is_up = true;
      return;
    }
    const machine before = chosen;
    chosen.is_up = random_() % 3 == 0;
    if (random_() % 2 == 0) {
      chosen.replica_id = ++ids_;  // The disk is lost.
      chosen.is_caught_up = false;
    }
    if (HealthyVoters() * 2 <= CountAllVoters()) {
      chosen = before;
    }
  }

  void Step() {
    clock_.Advance(kStep);
    const steady_time now = clock_.Now();
    status_.progress.clear();
    status_.voters.clear();
    status_.learners.clear();
    ChooseLeader(now);
    for (const group_member& member : status_.members) {
      (member.is_voter ? status_.voters : status_.learners).push_back(member.name);
      machine* owner = MachineOf(member);
      if (owner != nullptr && owner->is_up) {
        owner->responded_at = now;
        owner->is_caught_up = owner->is_caught_up || now - owner->joined_at > milliseconds(700);
      }
      if (member.replica_id != status_.replica_id) {
        status_.progress.push_back({member.replica_id, LastResponse(member), HoldsLog(member)});
      }
    }
    for (const machine& each : machines_) {
      if (each.is_up && (!each.is_caught_up || !IsMember(each))) {
        membership_.RecordCandidate({each.name, "10.0.0.1:1", each.replica_id}, now);
      }
    }
    if (const auto change = membership_.NextChange(status_, now)) {
      Apply(*change);
    }
  }

  bool IsMember(const machine& each) const {
    return std::any_of(
        status_.members.begin(), status_.members.end(),
        [&](const group_member& member) { return member.replica_id == each.replica_id; });
  }
  // A member whose disk is lost never responds.
  steady_time LastResponse(const group_member& member) {
    const machine* owner = MachineOf(member);
    return owner == nullptr ? steady_time() : owner->responded_at;
  }
  bool HoldsLog(const group_member& member) {
    const machine* owner = MachineOf(member);
    return owner != nullptr && owner->is_caught_up;
  }

  void ChooseLeader(steady_time now) {
    for (const group_member& member : status_.members) {
      const machine* owner = MachineOf(member);
      if (member.is_voter && member.replica_id == status_.replica_id && owner != nullptr &&
          owner->is_up) {
        return;
      }
    }
    for (const group_member& member : status_.members) {
      const machine* owner = MachineOf(member);
      if (member.is_voter && owner != nullptr && owner->is_up && owner->is_caught_up) {
        status_.replica_id = member.replica_id;
        membership_.OnElected(now);
        return;
      }
    }
    CPPUNIT_FAIL("no voter can become leader");
  }

  void Apply(const member_change& change) {
    const auto found = std::find_if(
        status_.members.begin(), status_.members.end(),
        [&](const group_member& member) { return member.name == change.subject.name; });
    switch (change.step) {
      case member_step::kAddLearner:
        CPPUNIT_ASSERT_MESSAGE("member added twice", found == status_.members.end());
        status_.members.push_back({change.subject.name, change.subject.replica_id, "", false});
        for (machine& each : machines_) {
          each.joined_at = each.name == change.subject.name ? clock_.Now() : each.joined_at;
        }
        break;
      case member_step::kPromote:
        CPPUNIT_ASSERT(found != status_.members.end() && !found->is_voter);
        CPPUNIT_ASSERT_MESSAGE("learner promoted without the log", HoldsLog(*found));
        found->is_voter = true;
        CPPUNIT_ASSERT_MESSAGE("more voters than the target", CountAllVoters() <= kTargetVoters);
        break;
      case member_step::kRemove:
        CPPUNIT_ASSERT(found != status_.members.end());
        CheckRemoval(*found);
        status_.members.erase(found);
        break;
    }
    CPPUNIT_ASSERT_MESSAGE("no quorum after " + change.reason,
                           HealthyVoters() * 2 > CountAllVoters());
  }

  void CheckRemoval(const group_member& member) {
    const machine* owner = MachineOf(member);
    if (owner == nullptr || !member.is_voter) {
      return;  // Members with a lost disk and learners may always be removed.
    }
    CPPUNIT_ASSERT_MESSAGE(
        "voter removed although it responds",
        clock_.Now() - owner->responded_at > membership_manager::kVoterSilenceTimeout);
    CPPUNIT_ASSERT_MESSAGE(
        "voter removed without a replacement",
        std::any_of(status_.members.begin(), status_.members.end(),
                    [&](const group_member& each) { return !each.is_voter && HoldsLog(each); }));
  }

  std::mt19937_64 random_;
  manual_clock clock_;
  std::uint64_t ids_ = 0;
  std::vector<machine> machines_;
  replica_status status_;
  membership_manager membership_{kTargetVoters};
};

const test_table kSchedules("membership manager", "300 schedules (seeds 1 to 300)", [] {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    try {
      member_schedule(seed).Run();
    } catch (const CppUnit::Exception& failure) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure.what());
    }
  }
});

}  // namespace
}  // namespace corianderhoist
