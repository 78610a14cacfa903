// Single steps of the consensus core.
#include "consensus/core.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

constexpr std::uint64_t kGroup = 9;
constexpr std::uint64_t kOwnId = 1;
const steady_time kStart(std::chrono::hours(1));

// A follower in term 3 that holds the founding entry.
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

struct former_term_row {
  std::string name;
  message_kind kind;
};

// Guards against a leader that takes the late answer to a message of a former term for a
// confirmation of its present lease or of a read (seed 7726 without the check of leases by voters).
const test_table kFormerTerm(
    "consensus core",
    std::vector<former_term_row>{
        {"a late append confirms neither lease nor read", message_kind::kAppend},
        {"a late snapshot confirms neither lease nor read", message_kind::kSnapshot},
    },
    std::function([](const former_term_row& row) {
      consensus_core core = MakeFollower();
      core.Receive(MakeRequest(row.kind, 2), kStart);
      const core_output output = core.Take();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), output.messages.size());
      const raft_message& answer = output.messages.front();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), answer.term);
      CPPUNIT_ASSERT(!answer.is_granted);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), answer.sent_at);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), answer.read_round);
    }));

// Guards against a vote that takes the majority of a leader away during its lease.
const test_table kSticky("consensus core", "a member that has heard a leader grants no vote", [] {
  consensus_core core = MakeFollower();
  const auto later = kStart + std::chrono::seconds(1);
  core.Receive(MakeRequest(message_kind::kAppend, 3), later);
  (void)core.Take();
  raft_message request = MakeRequest(message_kind::kVote, 4);
  request.from_id = 3;
  request.from = "vm-3";
  request.index = 5;
  request.index_term = 3;
  core.Receive(request, later + std::chrono::milliseconds(699));
  CPPUNIT_ASSERT(!core.Take().messages.front().is_granted);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), core.Term());
  core.Receive(request, later + std::chrono::milliseconds(701));
  const core_output granted = core.Take();
  CPPUNIT_ASSERT_MESSAGE("the answer waits for the disk", granted.messages.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), granted.write->state->voted_for);
  core.WriteDone(granted.write->sequence, later + std::chrono::milliseconds(702));
  CPPUNIT_ASSERT(core.Take().messages.front().is_granted);
});

// Guards against a replica on an empty disk that answers for the one before it.
const test_table kOtherId("consensus core", "a message for a former replica id is ignored", [] {
  consensus_core core = MakeFollower();
  raft_message request = MakeRequest(message_kind::kVote, 4);
  request.to_id = kOwnId + 100;
  request.index = 5;
  request.index_term = 3;
  core.Receive(request, kStart + std::chrono::seconds(1));
  CPPUNIT_ASSERT(core.Take().messages.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), core.Term());
});

}  // namespace
}  // namespace corianderhoist
