// Benchmarks a group of three replicas over loopback sockets and on-disk storage: proposal
// throughput, proposal latency, and restart time by number of log entries.
#include "base/log.h"
#include "support/replica_group.h"

#include <gflags/gflags.h>

#include <QCoreApplication>

#include <algorithm>
#include <condition_variable>
#include <iostream>

DEFINE_int32(proposals, 10000, "proposals per throughput measurement");
DEFINE_int32(bytes, 200, "command size in bytes");

namespace corianderhoist {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;
using milliseconds = duration<double, std::milli>;

struct rate_measurement {
  double proposals_per_second = 0;
  std::vector<double> latencies_ms;  ///< Of accepted proposals, sorted.
};

// Proposes `count` commands with at most `window` of them in flight.
rate_measurement MeasureRate(replica& leader, int count, int window) {
  std::mutex lock;
  std::condition_variable changed;
  int in_flight = 0;
  rate_measurement measured;
  const std::string command(static_cast<std::size_t>(FLAGS_bytes), 'c');
  const auto start = steady_clock::now();
  for (int i = 0; i < count; ++i) {
    std::unique_lock guard(lock);
    changed.wait(guard, [&] { return in_flight < window; });
    ++in_flight;
    guard.unlock();
    leader.Propose(command, [&, sent = steady_clock::now()](const rpc_result<std::string>& reply) {
      const std::lock_guard inner(lock);
      if (std::holds_alternative<std::string>(reply)) {
        measured.latencies_ms.push_back(milliseconds(steady_clock::now() - sent).count());
      }
      --in_flight;
      changed.notify_one();
    });
  }
  std::unique_lock guard(lock);
  changed.wait(guard, [&] { return in_flight == 0; });
  const duration<double> elapsed = steady_clock::now() - start;
  measured.proposals_per_second =
      static_cast<double>(measured.latencies_ms.size()) / elapsed.count();
  std::sort(measured.latencies_ms.begin(), measured.latencies_ms.end());
  return measured;
}

void PrintRates() {
  std::cout << "open proposals | accepted | proposals/s | p50 ms | p99 ms\n";
  for (const int window : {1, 16, 256, 2048}) {
    replica_group group(3);
    group.StartAll();
    replica& leader = *group.At(group.WaitForLeader()).member;
    const int count = window == 1 ? FLAGS_proposals / 10 : FLAGS_proposals;
    const rate_measurement measured = MeasureRate(leader, count, window);
    const auto& sorted = measured.latencies_ms;
    std::cout << window << " | " << sorted.size() << " of " << count << " | "
              << measured.proposals_per_second << " | " << sorted[sorted.size() / 2] << " | "
              << sorted[sorted.size() * 99 / 100] << std::endl;
  }
}

// Measures the restart of one follower while the leader keeps running, then the restart of the
// whole group, which includes an election.
void PrintRestarts() {
  std::cout << "entries | member holds all again, ms | group has a leader with a lease, ms\n";
  for (const int entries : {10, 100, 1000, 10'000}) {
    replica_group group(3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    MeasureRate(*group.At(leader).member, entries, 256);
    const std::size_t follower = (leader + 1) % 3;
    group.Stop(follower);
    auto start = steady_clock::now();
    group.Start(follower);
    WaitUntil("the follower has applied all entries", [&] {
      return group.At(follower).application->Commands().size() == static_cast<std::size_t>(entries);
    });
    const double member_time = milliseconds(steady_clock::now() - start).count();
    for (std::size_t i = 0; i < 3; ++i) {
      group.Stop(i);
    }
    start = steady_clock::now();
    group.StartAll();
    group.WaitForLeader();
    std::cout << entries << " | " << member_time << " | "
              << milliseconds(steady_clock::now() - start).count() << std::endl;
  }
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  corianderhoist::ConfigureLog("bench", corianderhoist::log_level::kError);
  corianderhoist::PrintRates();
  corianderhoist::PrintRestarts();
  return 0;
}
