#include "experiment/sim_service.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kConnectLatency(1);
constexpr milliseconds kConnectFailureLatency(50);
constexpr milliseconds kErrorLatency(5);
constexpr milliseconds kFlapPeriod(3000);
constexpr milliseconds kStartupTime(5000);
constexpr milliseconds kWarmUpTime(10'000);
constexpr milliseconds kCrashDowntime(3000);
constexpr milliseconds kRestartDowntime(1000);
constexpr int kColdSlowdownFactor = 4;
constexpr double kShedProbability = 0.5;
// Standard deviation of the logarithm of service times, which are log-normal.
constexpr double kServiceTimeLogSigma = 0.6;

}  // namespace

void sim_service::Run(const sim_request& request,
                      const sim_decision& decision,
                      std::function<void(attempt_result)> done) {
  auto running = std::make_shared<attempt>(attempt{std::move(done)});
  const std::size_t upstream = decision.upstream;
  const int vm_region = world_.vm_regions[request.vm];
  const int upstream_region = world_.upstreams[upstream].region;
  const auto* bad_link = world_.ActiveFault(fault_kind::kBadLink, static_cast<int>(request.vm));
  const bool is_lost = bad_link != nullptr && world_.SampleBernoulli(bad_link->percent / 100.0);
  if (world_.IsPartitioned(vm_region, upstream_region) ||
      (is_lost && world_.SampleBernoulli(0.5))) {
    FinishAfter(running, attempt_result::kConnectFailed, kConnectFailureLatency);
    return;
  }
  // The entry VM closes the connection at the deadline; the upstream then cancels the request.
  const auto left = std::max<nanoseconds>(request.deadline - world_.events.Now(), nanoseconds(0));
  FinishAfter(running, attempt_result::kTimeout, left);
  world_.events.After(left + world_.LinkLatency(vm_region, upstream_region),
                      [this, upstream, running] { ReleaseSlot(upstream, running); });
  if (is_lost) {
    // The upstream runs the request, but its response is lost.
    auto lost_response = std::make_shared<attempt>(attempt{[](attempt_result) {}});
    FinishAfter(running, attempt_result::kConnectionLost, kConnectFailureLatency);
    running = lost_response;
  }
  const bool is_stale_incarnation = decision.id != world_.upstreams[upstream].Id();
  world_.events.After(
      world_.LinkLatency(vm_region, upstream_region) + kConnectLatency,
      [this, request, upstream, running, is_stale_incarnation, vm_region, upstream_region] {
        if (running->is_finished) {
          return;
        }
        if (is_stale_incarnation || world_.upstreams[upstream].is_down) {
          FinishAfter(running, attempt_result::kConnectFailed,
                      world_.LinkLatency(vm_region, upstream_region));
          return;
        }
        Execute(request, upstream, running);
      });
}

void sim_service::Execute(const sim_request& request,
                          std::size_t upstream,
                          const attempt_ptr& running) {
  sim_upstream& target = world_.upstreams[upstream];
  const auto return_latency = world_.LinkLatency(target.region, world_.vm_regions[request.vm]);
  const auto* shedding = world_.ActiveFault(fault_kind::kShedding);
  const bool is_shedding = shedding != nullptr && world_.IsAffected(*shedding, upstream) &&
                           world_.SampleBernoulli(kShedProbability);
  if (is_shedding || target.running >= target.slots) {
    FinishAfter(running, attempt_result::kShed, return_latency);
    return;
  }
  CountExecution(request);
  ++target.running;
  attempts_[upstream].push_back(running);
  if (request.is_poison) {
    Crash(upstream);
    return;
  }
  const bool is_failing = ShouldFail(upstream);
  const auto time = is_failing ? nanoseconds(kErrorLatency) : SampleServiceTime(upstream);
  const std::uint32_t incarnation = target.incarnation;
  world_.events.After(time, [this, upstream, running, is_failing, return_latency, incarnation] {
    if (world_.upstreams[upstream].incarnation != incarnation || !ReleaseSlot(upstream, running)) {
      return;
    }
    FinishAfter(running, is_failing ? attempt_result::kServerError : attempt_result::kSuccess,
                return_latency);
  });
}

bool sim_service::ReleaseSlot(std::size_t upstream, const attempt_ptr& running) {
  if (std::erase(attempts_[upstream], running) == 0) {
    return false;
  }
  --world_.upstreams[upstream].running;
  return true;
}

void sim_service::CountExecution(const sim_request& request) {
  const int count = ++executions_[request.id];
  if (count == 2 && !request.is_idempotent) {
    ++duplicate_executions_;
  }
}

void sim_service::FinishAfter(const attempt_ptr& running,
                              attempt_result outcome,
                              nanoseconds delay) {
  world_.events.After(delay, [running, outcome] {
    if (!std::exchange(running->is_finished, true)) {
      running->done(outcome);
    }
  });
}

void sim_service::Crash(std::size_t upstream) {
  ++crashes_;
  Restart(upstream, kCrashDowntime);
}

void sim_service::Restart(std::size_t upstream, milliseconds downtime) {
  sim_upstream& target = world_.upstreams[upstream];
  for (const attempt_ptr& each : std::exchange(attempts_[upstream], {})) {
    FinishAfter(each, attempt_result::kConnectionLost, kIntraRegionLatency);
  }
  target.is_down = true;
  target.running = 0;
  world_.events.After(downtime, [this, upstream] {
    sim_upstream& started = world_.upstreams[upstream];
    started.is_down = false;
    ++started.incarnation;
    started.state = upstream_state::kStarting;
    started.warm_at = world_.events.Now() + kStartupTime + kWarmUpTime;
    world_.events.After(kStartupTime, [this, upstream, incarnation = started.incarnation] {
      if (world_.upstreams[upstream].incarnation == incarnation) {
        world_.upstreams[upstream].state = upstream_state::kReady;
      }
    });
  });
}

void sim_service::ScheduleRestarts() {
  for (const scenario_fault& fault : world_.plan.faults) {
    if (fault.kind != fault_kind::kColdWave) {
      continue;
    }
    for (std::size_t i = 0; i < world_.upstreams.size(); ++i) {
      if (world_.IsAffected(fault, i)) {
        world_.events.After(fault.start, [this, i] { Restart(i, kRestartDowntime); });
      }
    }
  }
}

nanoseconds sim_service::SampleServiceTime(std::size_t upstream) {
  const double mean = std::chrono::duration<double>(world_.plan.service_time).count();
  std::lognormal_distribution<> spread(
      std::log(mean) - kServiceTimeLogSigma * kServiceTimeLogSigma / 2, kServiceTimeLogSigma);
  double time = spread(world_.service_random);
  if (const auto* slow = world_.ActiveFault(fault_kind::kSlow, static_cast<int>(upstream))) {
    time *= slow->factor;
  }
  if (world_.events.Now() < world_.upstreams[upstream].warm_at) {
    time *= kColdSlowdownFactor;
  }
  return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(time));
}

bool sim_service::ShouldFail(std::size_t upstream) {
  const int index = static_cast<int>(upstream);
  if (const auto* gray = world_.ActiveFault(fault_kind::kGray, index)) {
    return world_.SampleBernoulli(gray->percent / 100.0);
  }
  const auto* flapping = world_.ActiveFault(fault_kind::kFlapping, index);
  const auto age = world_.events.Now() - world_.started;
  return flapping != nullptr && (age - flapping->start) / kFlapPeriod % 2 == 0;
}

}  // namespace corianderhoist
