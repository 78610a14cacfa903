// Upstream roster: delayed and duplicated announcements, also those of other upstreams, must
// neither restore an incarnation that has ended nor hide the current one.
#include "fleet/upstream_roster.h"
#include "fleet/fleet_state.h"
#include "support/test_table.h"

#include <random>

namespace corianderhoist {
namespace {

upstream_notice Notice(std::string id,
                       std::int64_t born,
                       std::string address,
                       std::int64_t sequence,
                       upstream_state state = upstream_state::kReady) {
  return {std::move(id), born, std::move(address), "orders", "dc1", 4, state, sequence};
}

upstream_notice Deregistration(std::string id, std::int64_t born) {
  upstream_notice notice;
  notice.id = std::move(id);
  notice.incarnation_start_ms = born;
  notice.state = upstream_state::kGone;
  return notice;
}

// The upstreams that may get requests, as "id@address".
std::string ReadyUpstreams(const upstream_roster& roster) {
  std::string ready;
  for (const auto& [handle, entry] : roster.Entries()) {
    if (entry.state == upstream_state::kReady) {
      ready += (ready.empty() ? "" : " ") + entry.id + "@" + entry.address;
    }
  }
  return ready;
}

struct roster_case {
  std::string name;
  std::vector<upstream_notice> notices;
  std::string ready;
};

constexpr auto kDraining = upstream_state::kDraining;

const test_table kCases(
    "roster",
    std::vector<roster_case>{
        {"an announcement", {Notice("a", 1, "10.0.0.1:80", 0)}, "a@10.0.0.1:80"},
        {"two upstreams",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("b", 1, "10.0.0.2:80", 0)},
         "a@10.0.0.1:80 b@10.0.0.2:80"},
        {"a draining upstream gets no requests",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("a", 1, "10.0.0.1:80", 1, kDraining)},
         ""},
        {"a delayed announcement does not end a drain",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("a", 1, "10.0.0.1:80", 5, kDraining),
          Notice("a", 1, "10.0.0.1:80", 4)},
         ""},
        {"a newer announcement does not end a drain",
         {Notice("a", 1, "10.0.0.1:80", 5, kDraining), Notice("a", 1, "10.0.0.1:80", 6)},
         ""},
        {"a deregistration without a drain",
         {Notice("a", 1, "10.0.0.1:80", 0), Deregistration("a", 1)},
         ""},
        {"a deregistration without a start time",
         {Notice("a", 1, "10.0.0.1:80", 0), Deregistration("a", 0)},
         ""},
        {"a late announcement after a deregistration",
         {Notice("a", 1, "10.0.0.1:80", 0), Deregistration("a", 1),
          Notice("a", 1, "10.0.0.1:80", 9)},
         ""},
        {"a deregistration that arrives before the first announcement",
         {Deregistration("a", 1), Notice("a", 1, "10.0.0.1:80", 0)},
         ""},
        {"a restart with the same id",
         {Notice("a", 1, "10.0.0.1:80", 9, kDraining), Notice("a", 2, "10.0.0.1:80", 0)},
         "a@10.0.0.1:80"},
        {"a restart whose sequence begins again",
         {Notice("a", 1, "10.0.0.1:80", 9), Notice("a", 2, "10.0.0.1:80", 0)},
         "a@10.0.0.1:80"},
        {"a late announcement of the former incarnation",
         {Notice("a", 2, "10.0.0.1:80", 0), Notice("a", 1, "10.0.0.9:80", 50)},
         "a@10.0.0.1:80"},
        {"a late deregistration of the former incarnation",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("a", 2, "10.0.0.1:80", 0),
          Deregistration("a", 1)},
         "a@10.0.0.1:80"},
        {"an address taken over by another upstream",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("b", 2, "10.0.0.1:80", 0)},
         "b@10.0.0.1:80"},
        {"a late announcement of the former upstream at the address",
         {Notice("b", 2, "10.0.0.1:80", 0), Notice("a", 1, "10.0.0.1:80", 7)},
         "b@10.0.0.1:80"},
        {"a late announcement of a known former upstream at the address",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("b", 2, "10.0.0.1:80", 0),
          Notice("a", 1, "10.0.0.1:80", 7)},
         "b@10.0.0.1:80"},
        {"a deregistration with an address",
         {Notice("b", 2, "10.0.0.1:80", 0),
          Notice("a", 1, "10.0.0.1:80", 7, upstream_state::kGone)},
         "b@10.0.0.1:80"},
        {"a restart at an address taken over by another upstream",
         {Notice("a", 1, "10.0.0.2:80", 0), Notice("b", 3, "10.0.0.1:80", 0),
          Notice("a", 2, "10.0.0.1:80", 0)},
         "b@10.0.0.1:80"},
        {"a change of address",
         {Notice("a", 1, "10.0.0.1:80", 0), Notice("a", 1, "10.0.0.2:80", 1)},
         "a@10.0.0.2:80"},
    },
    std::function([](const roster_case& row) {
      upstream_roster roster;
      std::uint64_t index = 0;
      for (const upstream_notice& notice : row.notices) {
        const bool would_change = roster.WouldChange(notice);
        CPPUNIT_ASSERT_EQUAL(would_change, roster.Apply(notice, ++index));
        CPPUNIT_ASSERT_MESSAGE("applied twice", !roster.Apply(notice, index));
      }
      CPPUNIT_ASSERT_EQUAL(row.ready, ReadyUpstreams(roster));
    }));

const test_table kExpiry("roster", "an upstream that expired because of silence returns", [] {
  upstream_roster roster;
  roster.Apply(Notice("a", 1, "10.0.0.1:80", 3), 1);
  roster.Expire(roster.Find("a")->handle, 2);
  CPPUNIT_ASSERT_EQUAL(std::string(), ReadyUpstreams(roster));
  roster.Apply(Notice("a", 1, "10.0.0.1:80", 4), 3);
  CPPUNIT_ASSERT_EQUAL(std::string("a@10.0.0.1:80"), ReadyUpstreams(roster));
});

// Schedule 9: the deregistration of an expired upstream was not stored, and a late announcement
// restored the upstream.
const test_table
    kDeregistrationAfterExpiry("roster", "a deregistration after the expiry is final", [] {
      upstream_roster roster;
      roster.Apply(Notice("a", 1, "10.0.0.1:80", 3), 1);
      roster.Expire(roster.Find("a")->handle, 2);
      CPPUNIT_ASSERT(roster.Apply(Deregistration("a", 1), 3));
      CPPUNIT_ASSERT(!roster.Apply(Notice("a", 1, "10.0.0.1:80", 4), 4));
      CPPUNIT_ASSERT_EQUAL(std::string(), ReadyUpstreams(roster));
    });

const test_table kHandles("roster", "each incarnation has its own handle", [] {
  upstream_roster roster;
  roster.Apply(Notice("a", 1, "10.0.0.1:80", 0), 1);
  const upstream_handle first = roster.Find("a")->handle;
  roster.Apply(Notice("a", 2, "10.0.0.1:80", 0), 2);
  CPPUNIT_ASSERT(roster.Find("a")->handle != first);
  CPPUNIT_ASSERT(roster.Find(first)->state == upstream_state::kGone);
});

// Delayed and duplicated messages in any order: the upstream with the latest start time at an
// address gets the requests there, unless it is draining or gone.
const test_table
    kAnyOrder("roster", "200 shuffled histories have the same result (seeds 1 to 200)", [] {
      const std::vector<upstream_notice> history = {Notice("a", 1, "10.0.0.1:80", 0),
                                                    Notice("a", 1, "10.0.0.1:80", 1),
                                                    Notice("a", 1, "10.0.0.1:80", 2, kDraining),
                                                    Notice("a", 3, "10.0.0.2:80", 0),
                                                    Notice("b", 2, "10.0.0.1:80", 0),
                                                    Notice("b", 2, "10.0.0.1:80", 1)};
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::vector<upstream_notice> shuffled = history;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(seed));
        upstream_roster roster;
        std::uint64_t index = 0;
        for (const upstream_notice& notice : shuffled) {
          roster.Apply(notice, ++index);
        }
        std::string ready = ReadyUpstreams(roster);
        if (ready.starts_with("b")) {
          ready = "a@10.0.0.2:80 b@10.0.0.1:80";  // Handles are assigned in order of arrival.
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                     std::string("a@10.0.0.2:80 b@10.0.0.1:80"), ready);
      }
    });

std::string PutPolicy(std::uint64_t version, const std::string& text) {
  fleet_command command;
  command.policy = {version, PackText(text)};
  return Encode(command);
}

const test_table kVersions("fleet state", "the highest version stays in force", [] {
  fleet_state state;
  state.Apply(1, PutPolicy(5, "five"));
  state.Apply(2, PutPolicy(4, "four"));
  state.Apply(3, PutPolicy(5, "other content"));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), state.PolicyVersion());
  CPPUNIT_ASSERT_EQUAL(std::string("five"),
                       Recover([&] { return UnpackText(state.Policy().packed_text); },
                               [](const error&) { return std::string("unreadable"); }));
  state.Apply(4, PutPolicy(9, "nine"));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), state.PolicyVersion());
});

const test_table kSnapshot("fleet state", "a snapshot restores policy, roster and handles", [] {
  fleet_state state;
  state.Apply(1, PutPolicy(5, "five"));
  fleet_command command;
  command.notices = {Notice("a", 1, "10.0.0.1:80", 0), Notice("b", 1, "10.0.0.2:80", 0)};
  state.Apply(2, Encode(command));
  fleet_state restored;
  restored.Restore(state.Snapshot());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), restored.PolicyVersion());
  CPPUNIT_ASSERT(restored.Upstreams() == state.Upstreams());
  CPPUNIT_ASSERT_EQUAL(state.AppliedIndex(), restored.AppliedIndex());
  // The next handle must be restored too, so that no handle is assigned twice.
  command.notices = {Notice("c", 1, "10.0.0.3:80", 0)};
  state.Apply(3, Encode(command));
  restored.Apply(3, Encode(command));
  CPPUNIT_ASSERT(restored.Upstreams() == state.Upstreams());
});

const test_table kChanges("fleet state", "a reader gets exactly the changes it lacks", [] {
  fleet_state state;
  state.Apply(1, PutPolicy(5, "five"));
  fleet_command command;
  command.notices = {Notice("a", 1, "10.0.0.1:80", 0)};
  state.Apply(2, Encode(command));
  CPPUNIT_ASSERT(state.ChangesSince(0, 0).is_whole_roster);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), state.ChangesSince(4, 1).policy.version);
  const fleet_changes none = state.ChangesSince(5, 2);
  CPPUNIT_ASSERT(none.policy.version == 0 && none.upstreams.empty() && !none.is_whole_roster);
  command.notices = {Deregistration("a", 1)};
  state.Apply(3, Encode(command));
  const fleet_changes left = state.ChangesSince(5, 2);
  CPPUNIT_ASSERT(left.upstreams.size() == 1 && left.upstreams[0].state == upstream_state::kGone);
});

const test_table kUnreadable("fleet state", "an unreadable log entry changes nothing", [] {
  fleet_state state;
  state.Apply(1, PutPolicy(5, "five"));
  state.Apply(2, "not a command");
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), state.PolicyVersion());
});

}  // namespace
}  // namespace corianderhoist
