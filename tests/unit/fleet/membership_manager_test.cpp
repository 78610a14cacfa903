// Automatic membership changes: a member with a lost disk is removed at once, a silent voter only
// if a learner that holds the log can replace it.
#include "fleet/membership_manager.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

struct member_row {
  std::string name;
  std::uint64_t id;
  bool is_voter;
  milliseconds silence;
  bool is_caught_up = true;
};

struct membership_case {
  std::string name;
  std::vector<member_row> members;  ///< The first one is the leader.
  std::vector<member_candidate> candidates;
  std::string expected;  ///< "step name", empty for none.
};

constexpr milliseconds kRecent(50);
constexpr milliseconds kSilent(10'000);

std::vector<member_row> FiveVoters() {
  return {{"a", 1, true, kRecent},
          {"b", 2, true, kRecent},
          {"c", 3, true, kRecent},
          {"d", 4, true, kRecent},
          {"e", 5, true, kRecent}};
}

std::vector<member_row> WithMembers(std::vector<member_row> members, std::vector<member_row> more) {
  for (const member_row& row : more) {
    const auto found = std::find_if(members.begin(), members.end(), [&](const member_row& member) {
      return member.name == row.name;
    });
    if (found == members.end()) {
      members.push_back(row);
    } else {
      *found = row;
    }
  }
  return members;
}

const test_table kCases(
    "membership manager",
    std::vector<membership_case>{
        {"five healthy voters", FiveVoters(), {}, ""},
        {"a machine requests to join",
         {{"a", 1, true, kRecent}},
         {{"f", "10.0.0.6:1", 6}},
         "add f"},
        {"a learner without the log waits",
         {{"a", 1, true, kRecent}, {"f", 6, false, kRecent, false}},
         {},
         ""},
        {"a learner with the log is promoted if a voter is missing",
         {{"a", 1, true, kRecent}, {"f", 6, false, kRecent}},
         {},
         "promote f"},
        {"a learner does not become a sixth voter",
         WithMembers(FiveVoters(), {{"f", 6, false, kRecent}}),
         {},
         ""},
        {"a lost disk is removed at once", FiveVoters(), {{"d", "10.0.0.4:1", 44}}, "remove d"},
        {"two lost disks, one after the other",
         FiveVoters(),
         {{"d", "10.0.0.4:1", 44}, {"e", "10.0.0.5:1", 55}},
         "remove d"},
        {"a member that requests to join with its own disk",
         FiveVoters(),
         {{"d", "10.0.0.4:1", 4}},
         ""},
        {"a silent voter without a replacement stays",
         WithMembers(FiveVoters(), {{"e", 5, true, kSilent}}),
         {},
         ""},
        {"a silent voter is replaced by a learner",
         WithMembers(FiveVoters(), {{"e", 5, true, kSilent}, {"f", 6, false, kRecent}}),
         {},
         "remove e"},
        {"a silent voter is not replaced by a silent learner",
         WithMembers(FiveVoters(), {{"e", 5, true, kSilent}, {"f", 6, false, milliseconds(3000)}}),
         {},
         ""},
        {"a silent voter is not replaced by a learner without the log",
         WithMembers(FiveVoters(), {{"e", 5, true, kSilent}, {"f", 6, false, kRecent, false}}),
         {},
         ""},
        {"a voter that is silent for a short time stays",
         WithMembers(FiveVoters(), {{"e", 5, true, milliseconds(1500)}, {"f", 6, false, kRecent}}),
         {},
         ""},
        {"a silent learner is removed",
         WithMembers(FiveVoters(), {{"f", 6, false, kSilent}}),
         {},
         "remove f"},
        {"a removed member requests to join again",
         {{"a", 1, true, kRecent}, {"b", 2, true, kRecent}},
         {{"e", "10.0.0.5:1", 5}},
         "add e"},
    },
    std::function([](const membership_case& row) {
      manual_clock clock;
      clock.Advance(std::chrono::minutes(1));
      replica_status status;
      status.replica_id = row.members.front().id;
      for (const member_row& member : row.members) {
        status.members.push_back({member.name, member.id, "10.0.0.1:1", member.is_voter});
        (member.is_voter ? status.voters : status.learners).push_back(member.name);
        if (member.id != status.replica_id) {
          status.progress.push_back({member.id, clock.Now() - member.silence, member.is_caught_up});
        }
      }
      membership_manager manager(5);
      for (const member_candidate& candidate : row.candidates) {
        manager.RecordCandidate(candidate, clock.Now());
      }
      const auto change = manager.NextChange(status, clock.Now());
      const std::string found =
          !change ? std::string()
                  : std::string(change->step == member_step::kAddLearner ? "add"
                                : change->step == member_step::kPromote  ? "promote"
                                                                         : "remove") +
                        " " + change->subject.name;
      CPPUNIT_ASSERT_EQUAL(row.expected, found);
    }));

const test_table
    kElected("membership manager", "a new leader waits before it treats a member as silent", [] {
      manual_clock clock;
      replica_status status;
      status.replica_id = 1;
      status.members = {{"a", 1, "", true}, {"b", 2, "", true}, {"f", 6, "", false}};
      status.voters = {"a", "b"};
      status.learners = {"f"};
      status.progress = {{2, {}, false}, {6, clock.Now(), true}};
      membership_manager manager(2);
      manager.OnElected(clock.Now());
      CPPUNIT_ASSERT(!manager.NextChange(status, clock.Now()));
      clock.Advance(milliseconds(3000));
      status.progress[1].acknowledged_at = clock.Now();
      CPPUNIT_ASSERT(manager.NextChange(status, clock.Now())->step == member_step::kRemove);
    });

const test_table kForgotten("membership manager",
                            "a candidate that stops its requests is forgotten",
                            [] {
                              manual_clock clock;
                              membership_manager manager(5);
                              manager.RecordCandidate({"f", "10.0.0.6:1", 6}, clock.Now());
                              clock.Advance(milliseconds(5000));
                              replica_status status;
                              status.replica_id = 1;
                              status.members = {{"a", 1, "", true}};
                              status.voters = {"a"};
                              CPPUNIT_ASSERT(!manager.NextChange(status, clock.Now()));
                            });

}  // namespace
}  // namespace corianderhoist
