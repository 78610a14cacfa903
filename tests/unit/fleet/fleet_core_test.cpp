// Core VMs bootstrap a replication group, admit members and replace lost ones without an operator.
// Uses real sockets and files.
#include "support/core_group.h"
#include "support/test_table.h"

#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

void StartFive(core_group& group) {
  for (int number = 1; number <= 5; ++number) {
    group.Start(number, true);
  }
  group.WaitUntilOrThrow("five voters", [&] { return group.VoterCount() == 5; });
}

upstream_notice Notice(const std::string& id, upstream_state state, std::int64_t sequence) {
  return {id, 1, "10.0.0.1:80", "s", "dc1", 4, state, sequence};
}

const test_table kBootstrap("core group",
                            "three seeds bootstrap the group and the others join",
                            [] {
                              core_group group;
                              StartFive(group);
                              group.PutPolicy(3);
                              for (int number = 1; number <= 5; ++number) {
                                CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                                                     group.ReadPolicyVersionAt(number));
                              }
                            });

const test_table kNoBootstrap("core group",
                              "seeds without may_found wait for an existing group",
                              [] {
                                core_group group;
                                for (int number = 1; number <= 3; ++number) {
                                  group.Start(number, false);
                                }
                                std::this_thread::sleep_for(milliseconds(1500));
                                CPPUNIT_ASSERT_EQUAL(0, group.Leader());
                                CPPUNIT_ASSERT(!group.PutPolicyAt(1, 3));
                                CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                                                     group.ReadPolicyVersionAt(2));
                              });

const test_table kOldVersion("core group", "a version that is not higher is ignored", [] {
  core_group group;
  StartFive(group);
  group.PutPolicy(5);
  CPPUNIT_ASSERT(group.PutPolicyAt(2, 5));
  CPPUNIT_ASSERT(group.PutPolicyAt(4, 4));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), group.ReadPolicyVersionAt(1));
});

const test_table kLeaderLost("core group",
                             "the group stays available after the loss of its leader",
                             [] {
                               core_group group;
                               StartFive(group);
                               group.PutPolicy(5);
                               const int leader = group.Leader();
                               group.Stop(leader);
                               group.PutPolicy(6);
                               for (int number = 1; number <= 5; ++number) {
                                 if (number != leader) {
                                   group.WaitUntilOrThrow("read", [&] {
                                     return group.ReadPolicyVersionAt(number) == 6;
                                   });
                                 }
                               }
                             });

struct lost_case {
  std::string name;
  std::vector<int> lost;  ///< Core VMs that lose their disks; 0 stands for the leader.
};

// Two disks are lost while all core VMs restart. Everything acknowledged must survive, and the
// group must return to five voters.
const test_table kDisksLost("core group",
                            std::vector<lost_case>{
                                {"two lost disks and a restart of all", {4, 5}},
                                {"the disks of two seeds and a restart of all", {1, 2}},
                                {"the disk of the leader and a restart of all", {0, 3}},
                            },
                            std::function([](const lost_case& row) {
                              core_group group;
                              StartFive(group);
                              group.PutPolicy(7);
                              std::vector<int> lost = row.lost;
                              for (int& number : lost) {
                                number = number == 0 ? group.Leader() : number;
                              }
                              for (int number = 1; number <= 5; ++number) {
                                group.Stop(number);
                              }
                              for (const int number : lost) {
                                group.Wipe(number);
                              }
                              for (int number = 1; number <= 5; ++number) {
                                group.Start(number, false);
                              }
                              group.WaitUntilOrThrow("five voters",
                                                     [&] { return group.VoterCount() == 5; });
                              for (int number = 1; number <= 5; ++number) {
                                group.WaitUntilOrThrow("version 7", [&] {
                                  return group.ReadPolicyVersionAt(number) == 7;
                                });
                              }
                              group.PutPolicy(8);
                            }));

const test_table kReplaced("core group",
                           "a lost voter is replaced by a member at another address",
                           [] {
                             core_group group;
                             StartFive(group);
                             group.PutPolicy(7);
                             group.Stop(2);
                             group.Start(6, false);
                             group.WaitUntilOrThrow("replacement of the lost voter", [&] {
                               const int leader = group.Leader();
                               if (leader == 0) {
                                 return false;
                               }
                               const auto voters = group.Core(leader).Status().voters;
                               return voters.size() == 5 &&
                                      std::find(voters.begin(), voters.end(), "core-6") !=
                                          voters.end() &&
                                      std::find(voters.begin(), voters.end(), "core-2") ==
                                          voters.end();
                             });
                             CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), group.ReadPolicyVersionAt(6));
                           });

// Eight of 48 entry VMs stayed with a core VM in another data centre, because the one in their own
// had joined after they had received the list.
const test_table kJoinedLater("core group", "a member that joins later is named to entry VMs", [] {
  core_group group;
  for (int number = 1; number <= 3; ++number) {
    group.Start(number, true);
  }
  group.WaitUntilOrThrow("three voters", [&] { return group.VoterCount() == 3; });
  const auto known = group.CoresNamedBy(1, {});
  CPPUNIT_ASSERT_EQUAL(std::size_t(3), known.size());
  CPPUNIT_ASSERT_MESSAGE("a known list is not sent again", group.CoresNamedBy(1, known).empty());
  group.Start(4, true);
  group.WaitUntilOrThrow("the fourth member is named",
                         [&] { return group.CoresNamedBy(1, known).size() == 4; });
});

// Guards against a digest that only the core VM with the reports has, or only its region.
const test_table kDigests("core group", "response times reach the core VMs of all regions", [] {
  core_group group;
  StartFive(group);
  group.PutPolicy(3);
  // Core VMs learn the region of another one from its shares, so each has something to share.
  const auto report = [&group](int number) {
    report_request request;
    request.vm = "entry-" + std::to_string(number);
    request.seen.services = {{"s", 1, 0, 0}};
    if (number == 1) {
      request.seen.latencies = {{"s", {{27, 200}}}};
    }
    return group.ReportAt(number, request);
  };
  const auto has_digest = [&group](int number) {
    const watch_reply reply = group.WatchAt(number, watch_request{.vm = "entry"});
    return !reply.limits.empty() && reply.limits.front().latency_digests.size() == 1;
  };
  group.WaitUntilOrThrow("digests at all core VMs", [&] {
    bool has_all = true;
    for (int number = 1; number <= 5; ++number) {
      has_all = report(number) && has_digest(number) && has_all;
    }
    return has_all;
  });
});

const test_table kNoQuorum("core group", "without a quorum nothing is acknowledged or read", [] {
  core_group group;
  StartFive(group);
  group.PutPolicy(7);
  CPPUNIT_ASSERT(group.AnnounceAt(1, Notice("u", upstream_state::kReady, 1)));
  for (const int number : {3, 4, 5}) {
    group.Stop(number);
  }
  std::this_thread::sleep_for(milliseconds(1500));
  CPPUNIT_ASSERT(!group.PutPolicyAt(1, 8));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), group.ReadPolicyVersionAt(1));
  CPPUNIT_ASSERT(!group.AnnounceAt(2, Notice("u", upstream_state::kDraining, 2)));
  std::this_thread::sleep_for(milliseconds(1500));
  CPPUNIT_ASSERT_MESSAGE(
      "a repeated announcement is rejected too, so that the upstream uses another core VM",
      !group.AnnounceAt(1, Notice("u", upstream_state::kReady, 3)));
});

const test_table kDrain("core group", "an acknowledged drain is known to the next leader", [] {
  core_group group;
  StartFive(group);
  group.PutPolicy(7);
  CPPUNIT_ASSERT(group.AnnounceAt(1, Notice("u", upstream_state::kReady, 1)));
  const int leader = group.Leader();
  const int other = leader == 5 ? 4 : 5;
  CPPUNIT_ASSERT(group.AnnounceAt(other, Notice("u", upstream_state::kDraining, 2)));
  group.Stop(leader);
  group.PutPolicy(8);
  // A delayed announcement from before the drain must be ignored.
  CPPUNIT_ASSERT(group.AnnounceAt(other, Notice("u", upstream_state::kReady, 1)));
  std::this_thread::sleep_for(milliseconds(300));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), group.ReadPolicyVersionAt(other));
});

// Reads at all members while versions are committed. A read must never return a version older than
// the last one acknowledged before the read began (linearizability).
const test_table
    kFreshReads("core group", "reads at any member include the last acknowledged version", [] {
      core_group group;
      StartFive(group);
      group.PutPolicy(1);
      std::atomic<std::uint64_t> acknowledged = 1;
      std::atomic<bool> is_done = false;
      std::thread writer([&] {
        for (std::uint64_t version = 2; version <= 40; ++version) {
          if (group.PutPolicyAt(static_cast<int>(version % 5) + 1, version)) {
            acknowledged = version;
          }
        }
        is_done = true;
      });
      std::string failure;
      for (int round = 0; !is_done; ++round) {
        const std::uint64_t before = acknowledged;
        const std::uint64_t read = group.ReadPolicyVersionAt(round % 5 + 1);
        if (read != 0 && read < before) {
          failure = "read " + std::to_string(read) + " after " + std::to_string(before);
        }
      }
      writer.join();
      CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    });

const test_table kStopWithReads("core group",
                                "a member that stops while reads wait does not crash",
                                [] {
                                  for (int round = 0; round < 5; ++round) {
                                    core_group group;
                                    group.Start(1, true);
                                    for (int read = 0; read < 200; ++read) {
                                      group.Core(1).ReadPolicy(
                                          [](const rpc_result<policy_document>&) {});
                                      std::this_thread::sleep_for(std::chrono::microseconds(100));
                                    }
                                    group.Stop(1);
                                  }
                                });

}  // namespace
}  // namespace corianderhoist
