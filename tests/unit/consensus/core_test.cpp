// Unit tests of single steps of the consensus core.
#include "consensus/core.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

constexpr std::uint64_t kGroup = 9;
constexpr std::uint64_t kOwnId = 1;
const steady_time kStart(std::chrono::hours(1));

// Creates a follower in term 3 whose log holds the bootstrap entry.
consensus_core MakeFollower() {
  membership members;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    members.members.push_back({"vm-" + std::to_string(id), id, "", true});
  }
  stored_state stored;
  stored.state = {.replica_id = kOwnId, .group = kGroup, .term = 3, .has_log = true};
  stored.entries = {{1, 1, entry_kind::kMembership, Encode(members)}};
  core_settings settings;
  settings.name = "vm-1";
  return {settings, stored, kStart};
}

raft_message MakeRequest(message_kind kind, std::uint64_t term) {
  raft_message request;
  request.kind = kind;
  request.group = kGroup;
  request.from = "vm-2";
  request.from_id = 2;
  request.to_id = kOwnId;
  request.term = term;
  request.sent_at = 5'000;
  request.read_round = 7;
  return request;
}

struct earlier_term_row {
  std::string name;
  message_kind kind;
};

// Guards against a leader that counts a delayed answer to a message of an earlier term as a
// confirmation of its current lease or of a read.
const test_table kEarlierTerm(
    "consensus core",
    std::vector<earlier_term_row>{
        {"an append of an earlier term confirms neither lease nor read", message_kind::kAppend},
        {"a snapshot of an earlier term confirms neither lease nor read", message_kind::kSnapshot},
    },
    std::function([](const earlier_term_row& row) {
      consensus_core core = MakeFollower();
      core.Receive(MakeRequest(row.kind, 2), kStart);
      const core_output output = core.TakeOutput();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), output.messages.size());
      const raft_message& answer = output.messages.front();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), answer.term);
      CPPUNIT_ASSERT(!answer.is_granted);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), answer.sent_at);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), answer.read_round);
    }));

// Guards against a vote that lets another leader be elected during the lease of the current one.
const test_table kLeaderStickiness(
    "consensus core",
    "a member in recent contact with a leader grants no vote",
    [] {
      consensus_core core = MakeFollower();
      const auto later = kStart + std::chrono::seconds(1);
      core.Receive(MakeRequest(message_kind::kAppend, 3), later);
      core.WriteDone(core.TakeOutput().write->sequence, later);  // The record of the leader.
      (void)core.TakeOutput();
      raft_message request = MakeRequest(message_kind::kVote, 4);
      request.from_id = 3;
      request.from = "vm-3";
      request.index = 5;
      request.index_term = 3;
      core.Receive(request, later + std::chrono::milliseconds(699));
      CPPUNIT_ASSERT(!core.TakeOutput().messages.front().is_granted);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), core.Term());
      core.Receive(request, later + std::chrono::milliseconds(701));
      const core_output granted = core.TakeOutput();
      CPPUNIT_ASSERT_MESSAGE("the answer is deferred until the vote is durable",
                             granted.messages.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), granted.write->state->voted_for);
      core.WriteDone(granted.write->sequence, later + std::chrono::milliseconds(702));
      CPPUNIT_ASSERT(core.TakeOutput().messages.front().is_granted);
    });

// Guards against a vote right after a restart. The member may have answered a leader before the
// restart, and that leader may still hold its lease because of the answer.
const test_table kRestarted("consensus core", "a member that has just started grants no vote", [] {
  consensus_core core = MakeFollower();
  raft_message request = MakeRequest(message_kind::kVote, 4);
  request.index = 5;
  request.index_term = 3;
  core.Receive(request, kStart + std::chrono::milliseconds(699));
  CPPUNIT_ASSERT(!core.TakeOutput().messages.front().is_granted);
  core.Receive(request, kStart + std::chrono::milliseconds(701));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), core.TakeOutput().write->state->voted_for);
});

// Guards against a replica with a wiped disk that answers messages for its old replica id.
const test_table kOldReplicaId("consensus core", "a message for an old replica id is ignored", [] {
  consensus_core core = MakeFollower();
  raft_message request = MakeRequest(message_kind::kVote, 4);
  request.to_id = kOwnId + 100;
  request.index = 5;
  request.index_term = 3;
  core.Receive(request, kStart + std::chrono::seconds(1));
  CPPUNIT_ASSERT(core.TakeOutput().messages.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), core.Term());
});

}  // namespace
}  // namespace corianderhoist
