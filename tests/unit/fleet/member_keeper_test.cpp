// Membership without an operator: lost disks are replaced at once, silent voters only by a learner
// that holds the log, and nobody is removed without a replacement.
#include "fleet/member_keeper.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

struct member_row {
  std::string name;
  std::uint64_t id;
  bool is_voter;
  milliseconds silence;
  bool holds_log = true;
};

struct keeper_case {
  std::string name;
  std::vector<member_row> members;  ///< The first one leads.
  std::vector<member_candidate> candidates;
  std::string expected;  ///< "step name", empty for none.
};

constexpr milliseconds kNow(50);
constexpr milliseconds kLong(10'000);

std::vector<member_row> Five() {
  return {{"a", 1, true, kNow},
          {"b", 2, true, kNow},
          {"c", 3, true, kNow},
          {"d", 4, true, kNow},
          {"e", 5, true, kNow}};
}

std::vector<member_row> With(std::vector<member_row> members, std::vector<member_row> more) {
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
    "member keeper",
    std::vector<keeper_case>{
        {"all is well", Five(), {}, ""},
        {"a machine asks to take part", {{"a", 1, true, kNow}}, {{"f", "10.0.0.6:1", 6}}, "add f"},
        {"a learner without the log waits",
         {{"a", 1, true, kNow}, {"f", 6, false, kNow, false}},
         {},
         ""},
        {"a learner with the log fills a free place",
         {{"a", 1, true, kNow}, {"f", 6, false, kNow}},
         {},
         "promote f"},
        {"a learner does not make a sixth voter", With(Five(), {{"f", 6, false, kNow}}), {}, ""},
        {"a lost disk is removed at once", Five(), {{"d", "10.0.0.4:1", 44}}, "remove d"},
        {"two lost disks, one after the other",
         Five(),
         {{"d", "10.0.0.4:1", 44}, {"e", "10.0.0.5:1", 55}},
         "remove d"},
        {"a member that asks again with its own disk", Five(), {{"d", "10.0.0.4:1", 4}}, ""},
        {"a silent voter without a replacement stays",
         With(Five(), {{"e", 5, true, kLong}}),
         {},
         ""},
        {"a silent voter gives its place to a learner",
         With(Five(), {{"e", 5, true, kLong}, {"f", 6, false, kNow}}),
         {},
         "remove e"},
        {"not to a silent learner",
         With(Five(), {{"e", 5, true, kLong}, {"f", 6, false, milliseconds(3000)}}),
         {},
         ""},
        {"not to a learner without the log",
         With(Five(), {{"e", 5, true, kLong}, {"f", 6, false, kNow, false}}),
         {},
         ""},
        {"a voter that is silent for a moment stays",
         With(Five(), {{"e", 5, true, milliseconds(1500)}, {"f", 6, false, kNow}}),
         {},
         ""},
        {"a silent learner is dropped", With(Five(), {{"f", 6, false, kLong}}), {}, "remove f"},
        {"a removed member asks to return",
         {{"a", 1, true, kNow}, {"b", 2, true, kNow}},
         {{"e", "10.0.0.5:1", 5}},
         "add e"},
    },
    std::function([](const keeper_case& row) {
      manual_clock clock;
      clock.Advance(std::chrono::minutes(1));
      replica_status status;
      status.replica_id = row.members.front().id;
      for (const member_row& member : row.members) {
        status.members.push_back({member.name, member.id, "10.0.0.1:1", member.is_voter});
        (member.is_voter ? status.voters : status.learners).push_back(member.name);
        if (member.id != status.replica_id) {
          status.progress.push_back({member.id, clock.Now() - member.silence, member.holds_log});
        }
      }
      member_keeper keeper(5);
      for (const member_candidate& candidate : row.candidates) {
        keeper.NoteCandidate(candidate, clock.Now());
      }
      const auto change = keeper.Next(status, clock.Now());
      const std::string found =
          !change ? std::string()
                  : std::string(change->step == member_step::kAddLearner ? "add"
                                : change->step == member_step::kPromote  ? "promote"
                                                                         : "remove") +
                        " " + change->subject.name;
      CPPUNIT_ASSERT_EQUAL(row.expected, found);
    }));

const test_table
    kRestart("member keeper", "a new leader waits before it calls a member silent", [] {
      manual_clock clock;
      replica_status status;
      status.replica_id = 1;
      status.members = {{"a", 1, "", true}, {"b", 2, "", true}, {"f", 6, "", false}};
      status.voters = {"a", "b"};
      status.learners = {"f"};
      status.progress = {{2, {}, false}, {6, clock.Now(), true}};
      member_keeper keeper(2);
      keeper.Restart(clock.Now());
      CPPUNIT_ASSERT(!keeper.Next(status, clock.Now()));
      clock.Advance(milliseconds(3000));
      status.progress[1].acknowledged = clock.Now();
      CPPUNIT_ASSERT(keeper.Next(status, clock.Now())->step == member_step::kRemove);
    });

const test_table kForgotten("member keeper", "a machine that stopped asking is forgotten", [] {
  manual_clock clock;
  member_keeper keeper(5);
  keeper.NoteCandidate({"f", "10.0.0.6:1", 6}, clock.Now());
  clock.Advance(milliseconds(5000));
  replica_status status;
  status.replica_id = 1;
  status.members = {{"a", 1, "", true}};
  status.voters = {"a"};
  CPPUNIT_ASSERT(!keeper.Next(status, clock.Now()));
});

}  // namespace
}  // namespace corianderhoist
