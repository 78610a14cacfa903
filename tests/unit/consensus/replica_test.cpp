// Tests of replicas with real sockets and folders: a group elects a leader, keeps accepted commands
// when members fail and restart, and lagging members catch up.
#include "support/replica_group.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

void WaitForCommands(replica_group& group, std::size_t index, std::size_t count) {
  WaitUntil(group.At(index).name + " has " + std::to_string(count) + " commands",
            [&] { return group.At(index).application->Commands().size() >= count; });
}

// Submits `count` concurrent proposals, waits for all, and returns the number accepted.
std::size_t ProposeMany(replica_group& group, std::size_t at, int first, int count) {
  std::atomic<int> left = count;
  std::atomic<std::size_t> accepted = 0;
  std::promise<void> finished;
  for (int i = first; i < first + count; ++i) {
    group.At(at).member->Propose(std::to_string(i), [&](const rpc_result<std::string>& reply) {
      accepted += std::holds_alternative<std::string>(reply) ? 1 : 0;
      if (--left == 0) {
        finished.set_value();
      }
    });
  }
  finished.get_future().wait();
  return accepted;
}

std::vector<std::string> CommandRange(int first, int count) {
  std::vector<std::string> texts;
  for (int i = first; i < first + count; ++i) {
    texts.push_back(std::to_string(i));
  }
  return texts;
}

rpc_result<std::string> Await(const std::function<void(replica::proposal_callback)>& call) {
  std::promise<rpc_result<std::string>> promise;
  call([&](rpc_result<std::string> reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

bool IsAccepted(const rpc_result<std::string>& reply) {
  return std::holds_alternative<std::string>(reply);
}

const test_table kOrder("replica", "1000 proposals are applied once and in order everywhere", [] {
  replica_group group(3);
  group.StartAll();
  const std::size_t leader = group.WaitForLeader();
  CPPUNIT_ASSERT_EQUAL(std::size_t(1000), ProposeMany(group, leader, 0, 1000));
  for (std::size_t i = 0; i < 3; ++i) {
    WaitForCommands(group, i, 1000);
    CPPUNIT_ASSERT(group.At(i).application->Commands() == CommandRange(0, 1000));
  }
});

// Guards against a group that becomes unavailable with its leader, and against a restart that loses
// or repeats commands.
const test_table
    kLeaderLoss("replica", "a failed leader is replaced and catches up after a restart", [] {
      replica_group group(3);
      group.StartAll();
      const std::size_t first = group.WaitForLeader();
      CPPUNIT_ASSERT_EQUAL(std::size_t(50), ProposeMany(group, first, 0, 50));
      group.Stop(first);
      const std::size_t second = group.WaitForLeader();
      CPPUNIT_ASSERT(second != first);
      CPPUNIT_ASSERT_EQUAL(std::size_t(50), ProposeMany(group, second, 50, 50));
      group.Start(first);
      WaitForCommands(group, first, 100);
      CPPUNIT_ASSERT(group.At(first).application->Commands() == CommandRange(0, 100));
    });

// Guards against commands that are acknowledged before they are durable.
const test_table kGroupRestart("replica", "a whole group restarts with all accepted commands", [] {
  replica_group group(3);
  group.StartAll();
  CPPUNIT_ASSERT_EQUAL(std::size_t(1500), ProposeMany(group, group.WaitForLeader(), 0, 1500));
  for (std::size_t i = 0; i < 3; ++i) {
    group.Stop(i);
  }
  group.StartAll();
  group.WaitForLeader();
  for (std::size_t i = 0; i < 3; ++i) {
    WaitForCommands(group, i, 1500);
    CPPUNIT_ASSERT(group.At(i).application->Commands() == CommandRange(0, 1500));
  }
});

// Guards against a member that cannot catch up once the entries it lacks have been compacted.
const test_table
    kSnapshotTransfer("replica", "a member that lacks compacted entries receives a snapshot", [] {
      replica_group group(3);
      group.StartAll();
      const std::size_t leader = group.WaitForLeader();
      const std::size_t lagging = (leader + 1) % 3;
      group.Stop(lagging);
      for (int i = 0; i < 5; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), ProposeMany(group, leader, 1000 * i, 1000));
      }
      CPPUNIT_ASSERT(group.At(leader).member->Status().snapshot_index >= 4000);
      group.Start(lagging);
      WaitForCommands(group, lagging, 5000);
      CPPUNIT_ASSERT(group.At(lagging).application->Commands() == CommandRange(0, 5000));
      CPPUNIT_ASSERT(group.At(lagging).member->Status().snapshot_index >= 4000);
    });

// Guards against proposals that are lost, applied twice or answered incorrectly when all members
// receive proposals concurrently.
const test_table kConcurrentProposals(
    "replica",
    "concurrent proposals at all members are each applied at most once",
    [] {
      replica_group group(3);
      group.StartAll();
      group.WaitForLeader();
      std::mutex lock;
      std::multiset<std::string> accepted;
      std::atomic<int> left = 600;
      std::promise<void> finished;
      for (int i = 0; i < 600; ++i) {
        const std::string command = std::to_string(i);
        group.At(static_cast<std::size_t>(i % 3))
            .member->Propose(command, [&, command](const rpc_result<std::string>& reply) {
              if (std::holds_alternative<std::string>(reply)) {
                const std::lock_guard guard(lock);
                accepted.insert(command);
              }
              if (--left == 0) {
                finished.set_value();
              }
            });
      }
      finished.get_future().wait();
      CPPUNIT_ASSERT_EQUAL(std::size_t(200), accepted.size());
      WaitForCommands(group, 0, 200);
      const std::vector<std::string> applied = group.At(0).application->Commands();
      CPPUNIT_ASSERT(std::multiset<std::string>(applied.begin(), applied.end()) == accepted);
    });

// Guards against a member with a wiped disk that votes, and against a second bootstrap of a group.
const test_table
    kWipedMember("replica", "a wiped member has no vote until it is removed and added again", [] {
      replica_group group(3);
      group.StartAll();
      group.ProposeUntilAccepted("a");
      const std::size_t leader = group.WaitForLeader();
      const std::size_t wiped = (leader + 1) % 3;
      const std::size_t other = (leader + 2) % 3;
      group.Stop(wiped);
      group.Wipe(wiped);
      group.Start(wiped);
      group.ProposeUntilAccepted("b");
      CPPUNIT_ASSERT_EQUAL(std::string("joining"), group.At(wiped).member->Status().role);
      group.Stop(leader);
      std::this_thread::sleep_for(milliseconds(3000));
      CPPUNIT_ASSERT(!group.At(other).member->HasLease());
      CPPUNIT_ASSERT(!group.At(wiped).member->HasLease());
      group.Start(leader);
      const std::size_t next = group.WaitForLeader();
      const auto& member = group.At(next).member;
      const std::string name = group.At(wiped).name;
      CPPUNIT_ASSERT(IsAccepted(Await([&](auto done) { member->Remove(name, done); })));
      CPPUNIT_ASSERT(
          IsAccepted(Await([&](auto done) { member->AddLearner(group.MemberOf(wiped), done); })));
      WaitForCommands(group, wiped, 2);
      WaitUntil("the learner is promoted",
                [&] { return IsAccepted(Await([&](auto done) { member->Promote(name, done); })); });
      group.Stop(next == leader ? other : leader);
      group.ProposeUntilAccepted("c");
      WaitForCommands(group, wiped, 3);
    });

// Guards against a loss of quorum when further members fail after the group was extended.
const test_table
    kAddMembers("replica", "two members join and the group survives the loss of two others", [] {
      replica_group group(3, 2);
      group.StartAll();
      const std::size_t leader = group.WaitForLeader();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1200), ProposeMany(group, leader, 0, 1200));
      for (std::size_t added = 3; added < 5; ++added) {
        group.Start(added);
        const auto& member = group.At(leader).member;
        CPPUNIT_ASSERT(
            IsAccepted(Await([&](auto done) { member->AddLearner(group.MemberOf(added), done); })));
        WaitForCommands(group, added, 1200);
        WaitUntil("the learner is promoted", [&] {
          return IsAccepted(Await([&](auto done) { member->Promote(group.At(added).name, done); }));
        });
      }
      group.Stop(leader);
      group.Stop((leader + 1) % 3);
      group.ProposeUntilAccepted("last");
      WaitForCommands(group, 4, 1201);
    });

const test_table
    kReadBarrier("replica", "a read barrier succeeds only at a leader with a majority", [] {
      replica_group group(3);
      group.StartAll();
      const std::size_t leader = group.WaitForLeader();
      CPPUNIT_ASSERT(
          IsAccepted(Await([&](auto done) { group.At(leader).member->ReadBarrier(done); })));
      const auto refused =
          Await([&](auto done) { group.At((leader + 1) % 3).member->ReadBarrier(done); });
      CPPUNIT_ASSERT(std::get<rpc_failure>(refused).kind == error_kind::kNotLeader);
      group.Stop((leader + 1) % 3);
      group.Stop((leader + 2) % 3);
      const auto alone = Await([&](auto done) { group.At(leader).member->ReadBarrier(done); });
      CPPUNIT_ASSERT(!IsAccepted(alone));
    });

// A folder in the place of the temporary state file refuses each write of the state. A write in
// progress, for example of the leader record, ends first.
void RefuseStateWrites(replica_group& group, std::size_t index, bool is_refused) {
  const auto path = group.At(index).folder / "state.new";
  if (is_refused) {
    WaitUntil("no state is being written", [&] {
      std::error_code failure;
      return std::filesystem::create_directory(path, failure);
    });
  } else {
    std::filesystem::remove(path);
  }
}

const test_table kRefusedWrites(
    "replica",
    "a replica whose writes were refused takes part again without a restart, round after round",
    [] {
      replica_group group(3);
      group.StartAll();
      int proposed = 0;
      for (int round = 0; round < 3; ++round) {
        const std::size_t leader = group.WaitForLeader();
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), ProposeMany(group, leader, proposed, 20));
        proposed += 20;
        const std::size_t refused = (leader + 1) % 3;
        RefuseStateWrites(group, refused, true);
        group.Stop(leader);  // The election makes the others write their state.
        WaitUntil("the replica has failed",
                  [&] { return group.At(refused).member->Status().role == "failed"; });
        CPPUNIT_ASSERT(!IsAccepted(group.ProposeAt(refused, "never")));
        CPPUNIT_ASSERT(!group.At(refused).member->HasLease());
        RefuseStateWrites(group, refused, false);
        const std::size_t next = group.WaitForLeader();
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), ProposeMany(group, next, proposed, 20));
        proposed += 20;
        WaitForCommands(group, refused, static_cast<std::size_t>(proposed));
        CPPUNIT_ASSERT(group.At(refused).application->Commands() == CommandRange(0, proposed));
        CPPUNIT_ASSERT(group.At(refused).member->Status().failure.empty());
        group.Start(leader);
        WaitForCommands(group, leader, static_cast<std::size_t>(proposed));
      }
    });

}  // namespace
}  // namespace corianderhoist
