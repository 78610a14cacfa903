// Tests the fairness of the queue: a noisy workspace neither delays nor displaces a small one.
#include "coordinator/fair_queue.h"
#include "support/test_table.h"

#include <map>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

const steady_time kStart{std::chrono::hours(1)};
const steady_time kLate = kStart + milliseconds(10'000);
constexpr auto kAll = [](const std::string&) { return true; };

using text_queue = fair_queue<std::string>;

const test_table kNoisyFlow("fair queue",
                            "a small workspace waits for one round, not for the whole queue",
                            [] {
                              text_queue queue(100, 1);
                              for (int i = 0; i < 90; ++i) {
                                CPPUNIT_ASSERT(!queue.Push("noisy", kLate, 1, "n"));
                              }
                              CPPUNIT_ASSERT(!queue.Push("small", kLate, 1, "s"));
                              int position = 1;
                              while (*queue.Pop(kStart, kAll) != "s") {
                                ++position;
                              }
                              CPPUNIT_ASSERT(position <= 2);
                            });

const test_table kFullQueue("fair queue", "a full queue drops from its longest flow", [] {
  text_queue queue(10, 1);
  for (int i = 0; i < 10; ++i) {
    queue.Push("noisy", kStart + milliseconds(100 + i), 1, std::to_string(i));
  }
  CPPUNIT_ASSERT_EQUAL(std::string("9"), queue.Push("small", kLate, 1, "s").value());
  CPPUNIT_ASSERT_EQUAL(std::string("new"), queue.Push("noisy", kLate, 1, "new").value());
  CPPUNIT_ASSERT_EQUAL(std::size_t(10), queue.Size());
});

const test_table kDeadlines("fair queue",
                            "the earliest deadline within a workspace is served first",
                            [] {
                              text_queue queue(10, 1);
                              queue.Push("w", kStart + milliseconds(30), 1, "late");
                              queue.Push("w", kStart + milliseconds(10), 1, "early");
                              queue.Push("w", kStart + milliseconds(20), 1, "middle");
                              CPPUNIT_ASSERT_EQUAL(std::string("early"), *queue.Pop(kStart, kAll));
                              const auto expired = queue.TakeExpired(kStart + milliseconds(20));
                              CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
                              CPPUNIT_ASSERT_EQUAL(std::string("middle"), expired[0]);
                              CPPUNIT_ASSERT_MESSAGE("an entry past its deadline was served",
                                                     !queue.Pop(kStart + milliseconds(30), kAll));
                            });

const test_table kCosts("fair queue", "workspaces share slot time equally, not request counts", [] {
  text_queue queue(4000, 10);
  std::map<std::string, int> cost{{"slow", 40}, {"quick", 5}};
  for (int i = 0; i < 1000; ++i) {
    queue.Push("slow", kLate, 40, "slow");
    queue.Push("quick", kLate, 5, "quick");
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 450; ++i) {
    const std::string flow = *queue.Pop(kStart, kAll);
    served[flow] += cost[flow];
  }
  CPPUNIT_ASSERT(std::abs(served["slow"] - served["quick"]) <= 100);
});

const test_table kIneligibleEntry("fair queue", "an ineligible entry does not block others", [] {
  text_queue queue(10, 1);
  queue.Push("a", kLate, 1, "blocked");
  queue.Push("b", kLate, 1, "free");
  const auto popped = queue.Pop(kStart, [](const std::string& each) { return each == "free"; });
  CPPUNIT_ASSERT_EQUAL(std::string("free"), popped.value());
  CPPUNIT_ASSERT(!queue.Pop(kStart, [](const std::string& each) { return each == "free"; }));
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.Size());
});

const test_table kRandomSchedules(
    "fair queue",
    "every entry is removed exactly once in 200 random schedules",
    [] {
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        fair_queue<int> queue(20, 10);
        std::set<int> inside;
        steady_time now = kStart;
        const auto remove = [&](int entry) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(1),
                                       inside.erase(entry));
        };
        for (int i = 0; i < 500; ++i) {
          now += milliseconds(random() % 3);
          switch (random() % 3) {
            case 0:
              inside.insert(i);
              if (const auto removed =
                      queue.Push(std::to_string(random() % 4), now + milliseconds(random() % 30),
                                 static_cast<std::uint32_t>(random() % 50), i)) {
                remove(*removed);
              }
              break;
            case 1:
              if (const auto popped =
                      queue.Pop(now, [&](int entry) { return (entry + i) % 3 != 0; })) {
                remove(*popped);
              }
              break;
            default:
              for (const int entry : queue.TakeExpired(now)) {
                remove(entry);
              }
          }
          CPPUNIT_ASSERT_EQUAL(inside.size(), queue.Size());
        }
      }
    });

}  // namespace
}  // namespace corianderhoist
