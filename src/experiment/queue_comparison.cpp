#include "experiment/queue_comparison.h"

#include "coordinator/fair_queue.h"
#include "experiment/event_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds kDuration(60);
constexpr milliseconds kInTime(1000);
constexpr int kSlots = 16;
constexpr double kServiceSeconds = 0.025;
constexpr double kSpread = 0.6;
constexpr double kQuietRate = 10;
constexpr int kQuietWorkspaces = 7;
constexpr std::size_t kQueueCapacity = 1024;
constexpr std::uint32_t kQuantumMilliseconds = 10;
constexpr std::uint32_t kCostMilliseconds = 25;
constexpr int kBurst = 400;
constexpr seconds kBurstInterval(5);

struct load_shape {
  const char* name;
  double rate;  // Of the large workspace, per second.
  bool has_bursts;
};
constexpr double kCapacity = kSlots / kServiceSeconds;
constexpr load_shape kLoads[] = {{"half of the capacity", kCapacity * 0.5, false},
                                 {"110 % of the capacity", kCapacity * 1.1, false},
                                 {"bursts of 400", kCapacity * 0.3, true}};

struct waiting {
  int workspace;  // 0 is the large one.
  steady_time arrived;
};

class queue_run {
 public:
  queue_run(queue_order order, const load_shape& load, std::uint32_t seed)
      : order_(order),
        load_(load),
        random_(seed),
        fair_(kQueueCapacity, kQuantumMilliseconds),
        served_(1 + kQuietWorkspaces),
        arrived_(1 + kQuietWorkspaces) {}

  queue_measure Run() {
    const steady_time start = events_.Now();
    for (int i = 0; i <= kQuietWorkspaces; ++i) {
      Schedule(i, i == 0 ? load_.rate : kQuietRate);
    }
    if (load_.has_bursts) {
      Burst();
    }
    events_.RunUntil(start + kDuration);
    return Measure();
  }

 private:
  void Schedule(int workspace, double rate) {
    const std::chrono::duration<double> wait(std::exponential_distribution<>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this, workspace, rate] {
      Arrive(workspace);
      Schedule(workspace, rate);
    });
  }

  void Burst() {
    for (int i = 0; i < kBurst; ++i) {
      Arrive(0);
    }
    events_.After(kBurstInterval, [this] { Burst(); });
  }

  void Arrive(int workspace) {
    const steady_time now = events_.Now();
    ++arrived_[static_cast<std::size_t>(workspace)];
    const waiting entry{workspace, now};
    if (order_ == queue_order::kDeficitRoundRobin) {
      fair_.Push(std::to_string(workspace), now + kInTime, kCostMilliseconds, entry);
    } else if (fifo_.size() < kQueueCapacity) {
      fifo_.push_back(entry);
    }
    Dispatch();
  }

  std::optional<waiting> Next() {
    const steady_time now = events_.Now();
    if (order_ == queue_order::kDeficitRoundRobin) {
      fair_.TakeExpired(now);
      return fair_.Pop(now, [](const waiting&) { return true; });
    }
    while (!fifo_.empty()) {
      const waiting first = fifo_.front();
      fifo_.pop_front();
      if (now < first.arrived + kInTime) {
        return first;
      }
    }
    return std::nullopt;
  }

  void Dispatch() {
    while (running_ < kSlots) {
      const std::optional<waiting> next = Next();
      if (!next) {
        return;
      }
      ++running_;
      std::lognormal_distribution<> spread(std::log(kServiceSeconds) - kSpread * kSpread / 2,
                                           kSpread);
      const std::chrono::duration<double> time(spread(random_));
      if (next->workspace > 0) {
        waits_ms_.push_back(
            std::chrono::duration<double, std::milli>(events_.Now() - next->arrived).count());
      }
      events_.After(duration_cast<nanoseconds>(time), [this, entry = *next] {
        --running_;
        if (events_.Now() - entry.arrived <= kInTime) {
          ++served_[static_cast<std::size_t>(entry.workspace)];
        }
        Dispatch();
      });
    }
  }

  queue_measure Measure() {
    queue_measure measure;
    measure.order = order_;
    measure.load = load_.name;
    measure.noisy_served = served_[0] / arrived_[0];
    for (std::size_t i = 1; i < served_.size(); ++i) {
      measure.worst_served = std::min(measure.worst_served, served_[i] / arrived_[i]);
    }
    std::sort(waits_ms_.begin(), waits_ms_.end());
    measure.quiet_p99_ms = waits_ms_[static_cast<std::size_t>(0.99 * double(waits_ms_.size() - 1))];
    return measure;
  }

  const queue_order order_;
  const load_shape& load_;
  std::mt19937_64 random_;
  event_queue events_;
  fair_queue<waiting> fair_;
  std::deque<waiting> fifo_;
  std::vector<double> served_;
  std::vector<double> arrived_;
  std::vector<double> waits_ms_;
  int running_ = 0;
};

}  // namespace

std::string OrderName(queue_order order) {
  return order == queue_order::kFirstComeFirstServed ? "first come, first served"
                                                     : "deficit round robin";
}

std::vector<queue_measure> CompareQueues(std::uint32_t seed) {
  std::vector<queue_measure> measures;
  for (const load_shape& load : kLoads) {
    for (const queue_order order :
         {queue_order::kFirstComeFirstServed, queue_order::kDeficitRoundRobin}) {
      measures.push_back(queue_run(order, load, seed).Run());
    }
  }
  return measures;
}

}  // namespace corianderhoist
