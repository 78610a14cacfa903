// Upstream directory, slot leases, sessions and crash registry: the cases in which a message is
// late, lost, repeated or from a former life of its sender.
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

announcement News(const std::string& incarnation,
                  std::int64_t started,
                  upstream_state state = upstream_state::kReady) {
  announcement news;
  news.upstream = "u1";
  news.incarnation = incarnation;
  news.started_at_ms = started;
  news.address = "127.0.0.1:1";
  news.slots = 4;
  news.state = state;
  return news;
}

struct directory_step {
  milliseconds at;
  announcement news;
};

struct directory_case {
  std::string name;
  std::vector<directory_step> steps;
  milliseconds asked_at;
  std::string incarnation;  ///< That is known at the end.
  bool is_ready;
};

constexpr auto kLeaving = upstream_state::kLeaving;
constexpr auto kStarting = upstream_state::kStarting;
constexpr auto kReady = upstream_state::kReady;

const test_table kDirectory(
    "upstream directory",
    std::vector<directory_case>{
        {"an announcement is fresh for less than 3 s",
         {{milliseconds(0), News("a", 1)}},
         milliseconds(2'999),
         "a",
         true},
        {"an upstream is not ready after 3 s",
         {{milliseconds(0), News("a", 1)}},
         milliseconds(3'000),
         "a",
         false},
        {"a starting upstream gets no work",
         {{milliseconds(0), News("a", 1, kStarting)}},
         milliseconds(1),
         "a",
         false},
        {"leaving is final for an incarnation",
         {{milliseconds(0), News("a", 1, kLeaving)}, {milliseconds(1), News("a", 1, kReady)}},
         milliseconds(2),
         "a",
         false},
        {"a late starting announcement does not undo ready",
         {{milliseconds(0), News("a", 1)}, {milliseconds(1), News("a", 1, kStarting)}},
         milliseconds(2),
         "a",
         true},
        {"a newer incarnation replaces the older at once",
         {{milliseconds(0), News("a", 1)}, {milliseconds(1), News("b", 2)}},
         milliseconds(2),
         "b",
         true},
        {"an older incarnation does not return",
         {{milliseconds(0), News("a", 1)},
          {milliseconds(1), News("b", 2)},
          {milliseconds(2), News("a", 1)}},
         milliseconds(3),
         "b",
         true},
        {"a replaced incarnation does not return even when its successor is silent",
         {{milliseconds(0), News("a", 1)},
          {milliseconds(1), News("b", 2)},
          {milliseconds(5'000), News("a", 1)}},
         milliseconds(5'001),
         "b",
         false},
        {"an unknown older incarnation is ignored beside a fresh one",
         {{milliseconds(0), News("b", 2)}, {milliseconds(1), News("a", 1)}},
         milliseconds(2),
         "b",
         true},
        {"a restart on a VM whose clock jumped back is accepted once the former life is silent",
         {{milliseconds(0), News("b", 2)}, {milliseconds(3'001), News("c", 1)}},
         milliseconds(3'002),
         "c",
         true},
        {"a restart after a drain is accepted at once",
         {{milliseconds(0), News("b", 2, kLeaving)}, {milliseconds(1), News("c", 1)}},
         milliseconds(2),
         "c",
         true},
    },
    std::function([](const directory_case& row) {
      upstream_directory directory;
      for (const directory_step& step : row.steps) {
        directory.Announce(step.news, kStart + step.at);
      }
      const upstream_entry& entry = directory.Entries().at("u1");
      CPPUNIT_ASSERT_EQUAL(row.incarnation, entry.last.incarnation);
      CPPUNIT_ASSERT_EQUAL(row.is_ready, entry.IsReady(kStart + row.asked_at));
    }));

const test_table kAddress("upstream directory", "a new upstream at an address takes it over", [] {
  upstream_directory directory;
  directory.Announce(News("a", 1), kStart);
  announcement other = News("x", 2);
  other.upstream = "u2";
  directory.Announce(other, kStart);
  CPPUNIT_ASSERT(!directory.Entries().at("u1").IsReady(kStart));
  CPPUNIT_ASSERT(directory.Entries().at("u2").IsReady(kStart));
});

slot_lease Lease(const std::string& id, const std::string& session = "e/1") {
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

const test_table kComplete("slot table", "a repeated completion frees nothing further", [] {
  slot_table slots;
  slots.Open(Lease("1"));
  slots.Open(Lease("2"));
  CPPUNIT_ASSERT(slots.Complete("1", false, kStart).has_value());
  CPPUNIT_ASSERT(!slots.Complete("1", false, kStart).has_value());
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
});

const test_table kBusy("slot table",
                       "a slot stays taken while the upstream may still be working",
                       [] {
                         slot_table slots;
                         slots.Open(Lease("1"));
                         CPPUNIT_ASSERT(slots.Complete("1", true, kStart).has_value());
                         slots.Sweep(kStart + milliseconds(999), kAlive);
                         CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
                         CPPUNIT_ASSERT(slots.Sweep(kStart + milliseconds(1'000), kAlive).empty());
                         CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), slots.InUse({"u1", "a"}));
                       });

const test_table kSession("slot table",
                          "the slot of a lapsed session is held for deadline and 1 s",
                          [] {
                            slot_table slots;
                            slots.Open(Lease("1"));
                            slots.Sweep(kStart + seconds(3), kLapsed);
                            CPPUNIT_ASSERT(
                                slots.Sweep(kStart + milliseconds(10'999), kLapsed).empty());
                            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
                            CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                                 slots.Sweep(kStart + seconds(11), kLapsed).size());
                            CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), slots.InUse({"u1", "a"}));
                          });

const test_table kThawed("slot table", "a session that is renewed again keeps its slots", [] {
  slot_table slots;
  slots.Open(Lease("1"));
  slots.Sweep(kStart + seconds(3), kLapsed);
  slots.Sweep(kStart + seconds(4), kAlive);
  CPPUNIT_ASSERT(slots.Sweep(kStart + seconds(20), kAlive).empty());
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slots.InUse({"u1", "a"}));
});

const test_table kRenewal("session table", "a lease that a renewal misses ends after 2 s", [] {
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

const test_table kLeaseId("lease id", "parts survive formatting and other texts are refused", [] {
  const lease_parts parts{7, 9, "orders", "north-1", {"u1", "a/b"}};
  const auto parsed = ParseLease(FormatLease(parts));
  CPPUNIT_ASSERT(parsed && parsed->term == 7 && parsed->number == 9 &&
                 parsed->service == "orders" && parsed->admission == "north-1" &&
                 parsed->upstream == parts.upstream);
  for (const char* text : {"", "7",
                           "x\x1f"
                           "9\x1fs\x1f\x1fu\x1fi",
                           "7\x1f"
                           "9\x1fs\x1f\x1fu"}) {
    CPPUNIT_ASSERT_MESSAGE(text, !ParseLease(text));
  }
});

const digest kPrint = Sha256("request");

const test_table kTwoCrashes("crash registry", "two incarnations must crash before a block", [] {
  crash_registry crashes;
  CPPUNIT_ASSERT(!crashes.OnCrash(kPrint, {"u1", "a"}, kStart));
  CPPUNIT_ASSERT_MESSAGE("one crash counted twice", !crashes.OnCrash(kPrint, {"u1", "a"}, kStart));
  CPPUNIT_ASSERT(crashes.OnCrash(kPrint, {"u1", "b"}, kStart));
});

const test_table kCleared("crash registry",
                          "a whole answer clears a request that met a bad upstream",
                          [] {
                            crash_registry crashes;
                            crashes.OnCrash(kPrint, {"u1", "a"}, kStart);
                            crashes.OnAnswered(kPrint);
                            CPPUNIT_ASSERT(!crashes.IsSuspect(kPrint, kStart));
                            CPPUNIT_ASSERT(!crashes.OnCrash(kPrint, {"u2", "a"}, kStart));
                          });

const test_table kExpiry("crash registry", "crashes are forgotten after 10 min", [] {
  crash_registry crashes;
  crashes.OnCrash(kPrint, {"u1", "a"}, kStart);
  CPPUNIT_ASSERT(crashes.IsSuspect(kPrint, kStart + minutes(10) - milliseconds(1)));
  CPPUNIT_ASSERT(!crashes.IsSuspect(kPrint, kStart + minutes(10)));
  CPPUNIT_ASSERT(!crashes.OnCrash(kPrint, {"u2", "a"}, kStart + minutes(10)));
});

const test_table kAlone("crash registry", "suspected requests run one at a time", [] {
  crash_registry crashes;
  const steady_time deadline = kStart + seconds(10);
  CPPUNIT_ASSERT(crashes.TryStart(kPrint, "r1", kStart, deadline));
  crashes.OnCrash(kPrint, {"u1", "a"}, kStart);
  CPPUNIT_ASSERT(crashes.TryStart(kPrint, "r2", kStart, deadline));
  CPPUNIT_ASSERT(!crashes.TryStart(kPrint, "r3", kStart, deadline));
  CPPUNIT_ASSERT(crashes.TryStart(kPrint, "r2", kStart, deadline));
  crashes.End(kPrint, "r2");
  CPPUNIT_ASSERT(crashes.TryStart(kPrint, "r3", kStart, deadline));
  CPPUNIT_ASSERT_MESSAGE("a lost request blocked its successors for ever",
                         crashes.TryStart(kPrint, "r4", deadline + seconds(1), deadline));
});

}  // namespace
}  // namespace corianderhoist
