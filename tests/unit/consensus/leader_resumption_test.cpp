// Tests of the early vote for a restarted former leader, and of interoperation with replicas that
// do not record leaders.
#include "consensus/leader_resumption.h"

#include "consensus/core.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kGroup = 9;
constexpr std::uint64_t kOwnId = 1;
constexpr std::uint64_t kTerm = 3;
const steady_time kStart(std::chrono::hours(1));

stored_state MakeStored(std::uint64_t voted_for, leader_record leader) {
  membership members;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    members.members.push_back({"vm-" + std::to_string(id), id, "", true});
  }
  stored_state stored;
  stored.state = {.replica_id = kOwnId,
                  .group = kGroup,
                  .term = kTerm,
                  .voted_for = voted_for,
                  .has_log = true,
                  .leader = leader};
  stored.entries = {{1, 1, entry_kind::kMembership, Encode(members)}};
  return stored;
}

consensus_core MakeCore(const stored_state& stored) {
  core_settings settings;
  settings.name = "vm-1";
  return {settings, stored, kStart};
}

raft_message MakeRequest(message_kind kind, std::uint64_t term, std::uint64_t led_term) {
  raft_message request;
  request.kind = kind;
  request.group = kGroup;
  request.from = "vm-2";
  request.from_id = 2;
  request.to_id = kOwnId;
  request.term = term;
  request.index = 5;
  request.index_term = kTerm;
  request.led_term = led_term;
  return request;
}

struct vote_row {
  std::string name;
  std::uint64_t voted_for = 0;
  leader_record leader = leader_record::kNone;
  std::uint64_t led_term = 0;
  bool is_granted = false;
};

// Guards against an early vote while another leader may hold a lease that counts on the voter.
const test_table kVotes(
    "leader resumption",
    std::vector<vote_row>{
        {"the leader that the voter followed gets its vote", 2, leader_record::kVotedFor, 3, true},
        {"a leader that the voter elected and never heard gets its vote", 2, leader_record::kNone,
         3, true},
        {"another leader was followed", 3, leader_record::kVotedFor, 3, false},
        {"another candidate was elected", 3, leader_record::kNone, 3, false},
        {"no vote was given in the term", 0, leader_record::kNone, 3, false},
        {"the candidate led an earlier term", 2, leader_record::kVotedFor, 2, false},
        {"the candidate led a later term", 2, leader_record::kVotedFor, 4, false},
        {"the candidate does not state a term", 2, leader_record::kVotedFor, 0, false},
        {"the state of the former version does not name the leader", 2, leader_record::kUnknown, 3,
         false},
    },
    std::function([](const vote_row& row) {
      for (const auto kind : {message_kind::kPreVote, message_kind::kVote}) {
        consensus_core core = MakeCore(MakeStored(row.voted_for, row.leader));
        core.Receive(MakeRequest(kind, kTerm + 1, row.led_term), kStart + milliseconds(10));
        core_output output = core.TakeOutput();
        if (output.write) {
          core.WriteDone(output.write->sequence, kStart + milliseconds(11));
          output = core.TakeOutput();
        }
        CPPUNIT_ASSERT_EQUAL(row.is_granted, output.messages.front().is_granted);
      }
    }));

// Guards against an acknowledgement that a leader counts for its lease before it is on disk which
// leader was followed, for a voter that voted for another candidate in the term.
const test_table kRecorded("leader resumption",
                           "the leader is recorded durably before its append is acknowledged",
                           [] {
                             consensus_core core = MakeCore(MakeStored(3, leader_record::kNone));
                             core.Receive(MakeRequest(message_kind::kAppend, kTerm, 0), kStart);
                             const core_output output = core.TakeOutput();
                             CPPUNIT_ASSERT(output.messages.empty());
                             CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), output.write->state->voted_for);
                             CPPUNIT_ASSERT(output.write->state->leader ==
                                            leader_record::kVotedFor);
                             core.WriteDone(output.write->sequence, kStart);
                             CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                                  core.TakeOutput().messages.size());
                           });

struct candidate_row {
  std::string name;
  std::uint64_t voted_for = 0;
  leader_record leader = leader_record::kNone;
  std::uint64_t expected_led_term = 0;  ///< 0: no pre-vote before the election timeout.
};

// Guards against a replica that claims a term in which it was only a candidate or a follower.
const test_table kCandidates(
    "leader resumption",
    std::vector<candidate_row>{
        {"a former leader requests pre-votes at once", kOwnId, leader_record::kVotedFor, kTerm},
        {"a former candidate waits", kOwnId, leader_record::kNone, 0},
        {"a candidate of the former version waits", kOwnId, leader_record::kUnknown, 0},
        {"a former follower waits", 2, leader_record::kVotedFor, 0},
    },
    std::function([](const candidate_row& row) {
      consensus_core core = MakeCore(MakeStored(row.voted_for, row.leader));
      core.Tick(kStart + kMaxResumptionDelay);
      const core_output output = core.TakeOutput();
      CPPUNIT_ASSERT_EQUAL(row.expected_led_term == 0, output.messages.empty());
      for (const raft_message& request : output.messages) {
        CPPUNIT_ASSERT_EQUAL(row.expected_led_term, request.led_term);
        CPPUNIT_ASSERT_EQUAL(kTerm + 1, request.term);
      }
    }));

// The fields of a vote request before `led_term` was added.
struct former_vote_request {
  message_kind kind = message_kind::kIdentify;
  std::uint64_t from_id = 0;
  std::uint64_t term = 0;
  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.kind);
    visit(5, self.from_id);
    visit(8, self.term);
  }
};

// Guards against an upgrade during which replicas of two versions reject each other's messages.
const test_table kVersions("leader resumption", "vote requests are read by both versions", [] {
  const raft_message sent = MakeRequest(message_kind::kVote, kTerm + 1, kTerm);
  const auto former = Expect([&] { return Decode<former_vote_request>(Encode(sent)); });
  CPPUNIT_ASSERT_EQUAL(sent.term, former.term);
  const auto received = Expect([&] { return Decode<raft_message>(Encode(former)); });
  CPPUNIT_ASSERT_EQUAL(sent.from_id, received.from_id);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), received.led_term);
});

}  // namespace
}  // namespace corianderhoist
