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

constexpr seconds kSimulatedTime(60);
constexpr milliseconds kRequestDeadline(1000);
constexpr int kSlots = 16;
constexpr double kMeanServiceSeconds = 0.025;
constexpr double kServiceTimeLogSigma = 0.6;
constexpr double kQuietRequestsPerSecond = 10;
constexpr int kQuietWorkspaces = 7;
constexpr std::size_t kQueueCapacity = 1024;
constexpr std::uint32_t kQuantumMilliseconds = 10;
constexpr std::uint32_t kRequestCostMilliseconds = 25;
constexpr int kBurstRequests = 400;
constexpr seconds kBurstInterval(5);

struct load_spec {
  const char* name;
  double rate;  // Of the large workspace, per second.
  bool has_bursts;
};
constexpr double kCapacityPerSecond = kSlots / kMeanServiceSeconds;
constexpr load_spec kLoads[] = {{"half of the capacity", kCapacityPerSecond * 0.5, false},
                                {"110 % of the capacity", kCapacityPerSecond * 1.1, false},
                                {"bursts of 400", kCapacityPerSecond * 0.3, true}};

struct queued_request {
  int workspace;  // 0 is the large workspace.
  steady_time arrived;
};

class queue_simulation {
 public:
  queue_simulation(queue_order order, const load_spec& load, std::uint32_t seed)
      : order_(order),
        load_(load),
        random_(seed),
        fair_queue_(kQueueCapacity, kQuantumMilliseconds),
        served_counts_(1 + kQuietWorkspaces),
        arrival_counts_(1 + kQuietWorkspaces) {}

  queue_measure Run() {
    const steady_time start = events_.Now();
    for (int i = 0; i <= kQuietWorkspaces; ++i) {
      ScheduleArrival(i, i == 0 ? load_.rate : kQuietRequestsPerSecond);
    }
    if (load_.has_bursts) {
      ScheduleBursts();
    }
    events_.RunUntil(start + kSimulatedTime);
    return Measure();
  }

 private:
  void ScheduleArrival(int workspace, double rate) {
    const std::chrono::duration<double> wait(std::exponential_distribution<>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this, workspace, rate] {
      OnArrival(workspace);
      ScheduleArrival(workspace, rate);
    });
  }

  void ScheduleBursts() {
    for (int i = 0; i < kBurstRequests; ++i) {
      OnArrival(0);
    }
    events_.After(kBurstInterval, [this] { ScheduleBursts(); });
  }

  void OnArrival(int workspace) {
    const steady_time now = events_.Now();
    ++arrival_counts_[static_cast<std::size_t>(workspace)];
    const queued_request entry{workspace, now};
    if (order_ == queue_order::kDeficitRoundRobin) {
      fair_queue_.Push(std::to_string(workspace), now + kRequestDeadline, kRequestCostMilliseconds,
                       entry);
    } else if (fifo_queue_.size() < kQueueCapacity) {
      fifo_queue_.push_back(entry);
    }
    Dispatch();
  }

  std::optional<queued_request> TakeNext() {
    const steady_time now = events_.Now();
    if (order_ == queue_order::kDeficitRoundRobin) {
      fair_queue_.TakeExpired(now);
      return fair_queue_.Pop(now, [](const queued_request&) { return true; });
    }
    while (!fifo_queue_.empty()) {
      const queued_request first = fifo_queue_.front();
      fifo_queue_.pop_front();
      if (now < first.arrived + kRequestDeadline) {
        return first;
      }
    }
    return std::nullopt;
  }

  void Dispatch() {
    while (running_ < kSlots) {
      const std::optional<queued_request> next = TakeNext();
      if (!next) {
        return;
      }
      ++running_;
      std::lognormal_distribution<> spread(
          std::log(kMeanServiceSeconds) - kServiceTimeLogSigma * kServiceTimeLogSigma / 2,
          kServiceTimeLogSigma);
      const std::chrono::duration<double> time(spread(random_));
      if (next->workspace > 0) {
        waits_ms_.push_back(
            std::chrono::duration<double, std::milli>(events_.Now() - next->arrived).count());
      }
      events_.After(duration_cast<nanoseconds>(time), [this, entry = *next] {
        --running_;
        if (events_.Now() - entry.arrived <= kRequestDeadline) {
          ++served_counts_[static_cast<std::size_t>(entry.workspace)];
        }
        Dispatch();
      });
    }
  }

  queue_measure Measure() {
    queue_measure measure;
    measure.order = order_;
    measure.load = load_.name;
    measure.noisy_served = served_counts_[0] / arrival_counts_[0];
    for (std::size_t i = 1; i < served_counts_.size(); ++i) {
      measure.worst_served = std::min(measure.worst_served, served_counts_[i] / arrival_counts_[i]);
    }
    std::sort(waits_ms_.begin(), waits_ms_.end());
    measure.quiet_p99_ms = waits_ms_[static_cast<std::size_t>(0.99 * double(waits_ms_.size() - 1))];
    return measure;
  }

  const queue_order order_;
  const load_spec& load_;
  std::mt19937_64 random_;
  event_queue events_;
  fair_queue<queued_request> fair_queue_;
  std::deque<queued_request> fifo_queue_;
  std::vector<double> served_counts_;
  std::vector<double> arrival_counts_;
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
  for (const load_spec& load : kLoads) {
    for (const queue_order order :
         {queue_order::kFirstComeFirstServed, queue_order::kDeficitRoundRobin}) {
      measures.push_back(queue_simulation(order, load, seed).Run());
    }
  }
  return measures;
}

}  // namespace corianderhoist
