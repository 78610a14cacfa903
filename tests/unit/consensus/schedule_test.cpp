// Runs the consensus core in randomized schedules with network, disk and clock faults. Checks that
// each term has at most one leader, committed entries are never lost or changed, at most one member
// holds the lease and none once a later term has had a leader, and commands are applied once and in
// order.
//
// CORIANDERHOIST_SCHEDULE_SEED=N replays one schedule with a trace. CORIANDERHOIST_SCHEDULES=N sets
// the number of schedules.
#include "support/consensus_schedule.h"
#include "support/test_table.h"

#include <unistd.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

namespace corianderhoist {
namespace {

constexpr std::uint64_t kDefaultSchedules = 5000;
constexpr std::size_t kThreads = 4;
constexpr std::uint64_t kMeasuredRestarts = 200;

thread_local std::uint64_t running_seed = 0;

// Prints the seed of the current schedule when an assertion in the core aborts the process.
void PrintSeedOnAbort(int) {
  const std::string text = "aborted in schedule seed " + std::to_string(running_seed) + "\n";
  (void)!::write(STDERR_FILENO, text.data(), text.size());
}

std::uint64_t ReadEnvironmentNumber(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

void Add(schedule_counts& sum, const schedule_counts& counts) {
  sum.committed += counts.committed;
  sum.elections += counts.elections;
  sum.crashes += counts.crashes;
  sum.wipes += counts.wipes;
  sum.disk_failures += counts.disk_failures;
  sum.membership_changes += counts.membership_changes;
  sum.snapshots_restored += counts.snapshots_restored;
  sum.reads += counts.reads;
  sum.lease_checks += counts.lease_checks;
  sum.freshness_checks += counts.freshness_checks;
  sum.group_restarts += counts.group_restarts;
  sum.resumptions += counts.resumptions;
}

void Print(std::uint64_t schedules, const schedule_counts& sum) {
  std::cout << schedules << " schedules: " << sum.committed << " committed entries, "
            << sum.elections << " elections, " << sum.crashes << " crashes, " << sum.wipes
            << " lost disks, " << sum.disk_failures << " refused writes, " << sum.membership_changes
            << " membership changes, " << sum.snapshots_restored << " installed snapshots, "
            << sum.reads << " confirmed reads, " << sum.lease_checks << " lease checks, "
            << sum.freshness_checks << " freshness checks, " << sum.group_restarts
            << " restarts of the leader or of several members, " << sum.resumptions
            << " leaders elected before their election timeout" << std::endl;
}

const test_table kSchedules("consensus", "preserves its invariants in seeded schedules", [] {
  std::signal(SIGABRT, PrintSeedOnAbort);
  if (const std::uint64_t seed = ReadEnvironmentNumber("CORIANDERHOIST_SCHEDULE_SEED", 0)) {
    running_seed = seed;
    Print(1, consensus_schedule(seed, true).Run());
    return;
  }
  const std::uint64_t count = ReadEnvironmentNumber("CORIANDERHOIST_SCHEDULES", kDefaultSchedules);
  std::atomic<std::uint64_t> next_seed = 1;
  std::mutex lock;
  schedule_counts sum;
  std::vector<std::string> failures;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      while ((running_seed = next_seed++) <= count) {
        try {
          const schedule_counts counts = consensus_schedule(running_seed).Run();
          const std::lock_guard guard(lock);
          Add(sum, counts);
        } catch (const schedule_failure& failure) {
          const std::lock_guard guard(lock);
          failures.emplace_back(failure.what());
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  Print(count, sum);
  std::string text = std::to_string(failures.size()) + " schedules failed";
  for (std::size_t i = 0; i < std::min<std::size_t>(failures.size(), 10); ++i) {
    text += "\n" + failures[i];
  }
  CPPUNIT_ASSERT_MESSAGE(text, failures.empty());
});

struct restart_row {
  std::string name;
  std::chrono::milliseconds start_spread;
};

// Prints the distribution and returns the 95th percentile.
std::chrono::milliseconds Summarize(const std::string& label,
                                    std::vector<std::chrono::milliseconds> times) {
  std::sort(times.begin(), times.end());
  const auto percentile_95 = times[times.size() * 95 / 100];
  std::cout << "\n"
            << label << ": median " << times[times.size() / 2].count() << " ms, 95th percentile "
            << percentile_95.count() << " ms, longest " << times.back().count() << " ms"
            << std::endl;
  return percentile_95;
}

// Guards against a rule that does not shorten the election, also when voters start after the former
// leader, and against followers that wait for a heartbeat (250 ms) before their state counts as
// fresh. Times are simulated.
const test_table kRestartTimes(
    "consensus",
    std::vector<restart_row>{
        {"a group that starts at once elects its former leader", std::chrono::milliseconds(0)},
        {"a group that starts within 300 ms elects a leader", std::chrono::milliseconds(300)},
    },
    std::function([](const restart_row& row) {
      for (const bool resumes : {false, true}) {
        std::vector<std::chrono::milliseconds> leased;
        std::vector<std::chrono::milliseconds> fresh_after_lease;
        for (std::uint64_t seed = 1; seed <= kMeasuredRestarts; ++seed) {
          const restart_times times =
              consensus_schedule(seed).MeasureRestart({resumes, row.start_spread});
          leased.push_back(times.leased);
          fresh_after_lease.push_back(times.fresh - times.leased);
        }
        const std::string label = resumes ? "with resumption" : "without resumption";
        CPPUNIT_ASSERT_EQUAL(
            resumes, Summarize(label + ", lease", leased) < core_settings().election_timeout);
        CPPUNIT_ASSERT(Summarize(label + ", all members fresh after the lease", fresh_after_lease) <
                       std::chrono::milliseconds(250) + row.start_spread);
      }
    }));

}  // namespace
}  // namespace corianderhoist
