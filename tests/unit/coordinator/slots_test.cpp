// Tests the upstream directory, slot table, session table, lease ids and crash registry with
// messages that are late, lost, repeated or from a former incarnation of their sender.
#include "coordinator/crash_registry.h"
#include "coordinator/lease_id.h"
#include "coordinator/session_table.h"
#include "coordinator/slot_table.h"
#include "coordinator/upstream_directory.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const steady_time kStart{std::chrono::hours(1)};

announcement MakeAnnouncement(const std::string& incarnation,
                              std::int64_t started,
                              upstream_state state = upstream_state::kReady) {
  announcement update;
  update.upstream = "u1";
  update.incarnation = incarnation;
  update.started_at_ms = started;
  update.address = "127.0.0.1:1";
  update.slots = 4;
  update.state = state;
  return update;
}

struct directory_step {
  milliseconds at;
  announcement update;
};

struct directory_case {
  std::string name;
  std::vector<directory_step> steps;
  milliseconds asked_at;
  std::string incarnation;  ///< Expected current incarnation at the end.
  bool is_ready;
};

constexpr auto kLeaving = upstream_state::kLeaving;
constexpr auto kStarting = upstream_state::kStarting;
constexpr auto kReady = upstream_state::kReady;

const test_table kDirectory(
    "upstream directory",
    std::vector<directory_case>{
        {"an announcement is fresh for less than 3 s",
         {{milliseconds(0), MakeAnnouncement("a", 1)}},
         milliseconds(2'999),
         "a",
         true},
        {"an upstream is not ready after 3 s",
         {{milliseconds(0), MakeAnnouncement("a", 1)}},
         milliseconds(3'000),
         "a",
         false},
        {"a starting upstream is not ready",
         {{milliseconds(0), MakeAnnouncement("a", 1, kStarting)}},
         milliseconds(1),
         "a",
         false},
        {"leaving is final for an incarnation",
         {{milliseconds(0), MakeAnnouncement("a", 1, kLeaving)},
          {milliseconds(1), MakeAnnouncement("a", 1, kReady)}},
         milliseconds(2),
         "a",
         false},
        {"a late starting announcement does not undo ready",
         {{milliseconds(0), MakeAnnouncement("a", 1)},
          {milliseconds(1), MakeAnnouncement("a", 1, kStarting)}},
         milliseconds(2),
         "a",
         true},
        {"a newer incarnation replaces the older at once",
         {{milliseconds(0), MakeAnnouncement("a", 1)}, {milliseconds(1), MakeAnnouncement("b", 2)}},
         milliseconds(2),
         "b",
         true},
        {"an older incarnation does not return",
         {{milliseconds(0), MakeAnnouncement("a", 1)},
          {milliseconds(1), MakeAnnouncement("b", 2)},
          {milliseconds(2), MakeAnnouncement("a", 1)}},
         milliseconds(3),
         "b",
         true},
        {"a replaced incarnation does not return even when its successor is silent",
         {{milliseconds(0), MakeAnnouncement("a", 1)},
          {milliseconds(1), MakeAnnouncement("b", 2)},
          {milliseconds(5'000), MakeAnnouncement("a", 1)}},
         milliseconds(5'001),
         "b",
         false},
        {"an unknown older incarnation is ignored beside a fresh one",
         {{milliseconds(0), MakeAnnouncement("b", 2)}, {milliseconds(1), MakeAnnouncement("a", 1)}},
         milliseconds(2),
         "b",
         true},
        {"a restart on a VM whose clock jumped back is accepted once the former incarnation is "
         "silent",
         {{milliseconds(0), MakeAnnouncement("b", 2)},
          {milliseconds(3'001), MakeAnnouncement("c", 1)}},
         milliseconds(3'002),
         "c",
         true},
        {"a restart after a drain is accepted at once",
         {{milliseconds(0), MakeAnnouncement("b", 2, kLeaving)},
          {milliseconds(1), MakeAnnouncement("c", 1)}},
         milliseconds(2),
         "c",
         true},
    },
    std::function([](const directory_case& row) {
      upstream_directory directory;
      for (const directory_step& step : row.steps) {
        directory.Announce(step.update, kStart + step.at);
      }
      const upstream_entry& entry = directory.Entries().at("u1");
      CPPUNIT_ASSERT_EQUAL(row.incarnation, entry.last.incarnation);
      CPPUNIT_ASSERT_EQUAL(row.is_ready, entry.IsReady(kStart + row.asked_at));
    }));

const test_table kReusedAddress("upstream directory",
                                "a new upstream at an address replaces the former one",
                                [] {
                                  upstream_directory directory;
                                  directory.Announce(MakeAnnouncement("a", 1), kStart);
                                  announcement other = MakeAnnouncement("x", 2);
                                  other.upstream = "u2";
                                  directory.Announce(other, kStart);
                                  CPPUNIT_ASSERT(!directory.Entries().at("u1").IsReady(kStart));
                                  CPPUNIT_ASSERT(directory.Entries().at("u2").IsReady(kStart));
                                });

slot_lease MakeLease(const std::string& id, const std::string& session = "e/1") {
  slot_lease lease;
  lease.id = id;
  lease.upstream = {"u1", "a"};
  lease.session = session;
  lease.request_id = "r-" + id;
  lease.opened = kStart;
  lease.deadline = kStart + seconds(10);
  return lease;
}

const auto kAlive = [](const std::string&) { return true; };
const auto kLapsed = [](const std::string&) { return false; };

const test_table
    kRepeatedCompletion("slot table", "a repeated completion releases no second slot", [] {
      slot_table slots;
      slots.Open(MakeLease("1"));
      slots.Open(MakeLease("2"));
      CPPUNIT_ASSERT(slots.Complete("1", false, kStart).has_value());
      CPPUNIT_ASSERT(!slots.Complete("1", false, kStart).has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
    });

const test_table kBusyUpstream("slot table",
                               "a slot stays taken while the upstream may still be working",
                               [] {
                                 slot_table slots;
                                 slots.Open(MakeLease("1"));
                                 CPPUNIT_ASSERT(slots.Complete("1", true, kStart).has_value());
                                 slots.Sweep(kStart + milliseconds(999), kAlive);
                                 CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
                                 CPPUNIT_ASSERT(
                                     slots.Sweep(kStart + milliseconds(1'000), kAlive).empty());
                                 CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), slots.InUse({"u1", "a"}));
                               });

const test_table kLapsedSession(
    "slot table",
    "the slot of a lapsed session is held until 1 s after the deadline",
    [] {
      slot_table slots;
      slots.Open(MakeLease("1"));
      slots.Sweep(kStart + seconds(3), kLapsed);
      CPPUNIT_ASSERT(slots.Sweep(kStart + milliseconds(10'999), kLapsed).empty());
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), slots.Sweep(kStart + seconds(11), kLapsed).size());
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), slots.InUse({"u1", "a"}));
    });

const test_table kResumedSession("slot table",
                                 "a session that is renewed after a lapse keeps its slots",
                                 [] {
                                   slot_table slots;
                                   slots.Open(MakeLease("1"));
                                   slots.Sweep(kStart + seconds(3), kLapsed);
                                   slots.Sweep(kStart + seconds(4), kAlive);
                                   CPPUNIT_ASSERT(
                                       slots.Sweep(kStart + seconds(20), kAlive).empty());
                                   CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
                                 });

const test_table
    kMissingLease("session table", "a lease that renewals do not list ends after 2 s", [] {
      session_table sessions;
      sessions.Touch("e/1", kStart);
      sessions.AddLease("e/1", "used", kStart);
      sessions.AddLease("e/1", "lost", kStart);
      CPPUNIT_ASSERT(sessions.Renew("e/1", {"used"}, kStart + seconds(2)).ended.empty());
      const auto renewal = sessions.Renew("e/1", {"used"}, kStart + milliseconds(2'001));
      CPPUNIT_ASSERT(renewal.ended == std::vector<std::string>{"lost"});
      CPPUNIT_ASSERT(sessions.IsAlive("e/1", kStart + milliseconds(4'000)));
      CPPUNIT_ASSERT(!sessions.IsAlive("e/1", kStart + milliseconds(4'001)));
    });

const test_table
    kNewLeader("session table", "a new leader learns running leases from renewals", [] {
      session_table sessions;
      CPPUNIT_ASSERT(sessions.Renew("e/1", {"old"}, kStart).unknown ==
                     std::vector<std::string>{"old"});
      CPPUNIT_ASSERT(sessions.Renew("e/1", {"old"}, kStart + seconds(1)).unknown.empty());
    });

const test_table kLeaseId("lease id",
                          "parts round-trip through formatting and malformed texts are rejected",
                          [] {
                            const lease_parts parts{7, 9, "orders", "north-1", {"u1", "a/b"}};
                            const auto parsed = ParseLease(FormatLease(parts));
                            CPPUNIT_ASSERT(parsed && parsed->term == 7 && parsed->number == 9 &&
                                           parsed->service == "orders" &&
                                           parsed->admission == "north-1" &&
                                           parsed->upstream == parts.upstream);
                            for (const char* text : {"", "7",
                                                     "x\x1f"
                                                     "9\x1fs\x1f\x1fu\x1fi",
                                                     "7\x1f"
                                                     "9\x1fs\x1f\x1fu"}) {
                              CPPUNIT_ASSERT_MESSAGE(text, !ParseLease(text));
                            }
                          });

const digest kFingerprint = Sha256("request");

const test_table kTwoCrashes("crash registry", "two incarnations must crash before a block", [] {
  crash_registry crashes;
  CPPUNIT_ASSERT(!crashes.OnCrash(kFingerprint, {"u1", "a"}, kStart));
  CPPUNIT_ASSERT_MESSAGE("one crash counted twice",
                         !crashes.OnCrash(kFingerprint, {"u1", "a"}, kStart));
  CPPUNIT_ASSERT(crashes.OnCrash(kFingerprint, {"u1", "b"}, kStart));
});

const test_table
    kClearedByAnswer("crash registry", "a complete answer clears the suspicion of a request", [] {
      crash_registry crashes;
      crashes.OnCrash(kFingerprint, {"u1", "a"}, kStart);
      crashes.OnAnswered(kFingerprint);
      CPPUNIT_ASSERT(!crashes.IsSuspect(kFingerprint, kStart));
      CPPUNIT_ASSERT(!crashes.OnCrash(kFingerprint, {"u2", "a"}, kStart));
    });

const test_table kCrashExpiry("crash registry", "crashes expire after 10 min", [] {
  crash_registry crashes;
  crashes.OnCrash(kFingerprint, {"u1", "a"}, kStart);
  CPPUNIT_ASSERT(crashes.IsSuspect(kFingerprint, kStart + minutes(10) - milliseconds(1)));
  CPPUNIT_ASSERT(!crashes.IsSuspect(kFingerprint, kStart + minutes(10)));
  CPPUNIT_ASSERT(!crashes.OnCrash(kFingerprint, {"u2", "a"}, kStart + minutes(10)));
});

const test_table kSuspectsRunAlone("crash registry", "suspected requests run one at a time", [] {
  crash_registry crashes;
  const steady_time deadline = kStart + seconds(10);
  CPPUNIT_ASSERT(crashes.TryStart(kFingerprint, "r1", kStart, deadline));
  crashes.OnCrash(kFingerprint, {"u1", "a"}, kStart);
  CPPUNIT_ASSERT(crashes.TryStart(kFingerprint, "r2", kStart, deadline));
  CPPUNIT_ASSERT(!crashes.TryStart(kFingerprint, "r3", kStart, deadline));
  CPPUNIT_ASSERT(crashes.TryStart(kFingerprint, "r2", kStart, deadline));
  crashes.End(kFingerprint, "r2");
  CPPUNIT_ASSERT(crashes.TryStart(kFingerprint, "r3", kStart, deadline));
  CPPUNIT_ASSERT_MESSAGE("a lost request blocked later requests permanently",
                         crashes.TryStart(kFingerprint, "r4", deadline + seconds(1), deadline));
});

}  // namespace
}  // namespace corianderhoist
