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

constexpr milliseconds kConnectTime(1);
constexpr milliseconds kFailedConnect(50);
constexpr milliseconds kFastFailure(5);
constexpr milliseconds kFlapPeriod(3000);
constexpr milliseconds kStarting(5000);
constexpr milliseconds kCold(10'000);
constexpr milliseconds kCrashDown(3000);
constexpr milliseconds kRestartDown(1000);
constexpr int kColdFactor = 4;
constexpr double kShedShare = 0.5;
// Spread of service times (standard deviation of the logarithm).
constexpr double kSpread = 0.6;

}  // namespace

void sim_service::Run(const sim_request& request,
                      const sim_decision& decision,
                      std::function<void(attempt_result)> done) {
  auto running = std::make_shared<attempt>(attempt{std::move(done)});
  const std::size_t upstream = decision.upstream;
  const int vm_region = world_.vm_regions[request.vm];
  const int place = world_.upstreams[upstream].region;
  const auto* bad_link = world_.Active(fault_kind::kBadLink, static_cast<int>(request.vm));
  const bool is_lost = bad_link != nullptr && world_.Chance(bad_link->percent / 100.0);
  if (world_.IsCut(vm_region, place) || (is_lost && world_.Chance(0.5))) {
    End(running, attempt_result::kConnectFailed, kFailedConnect);
    return;
  }
  // The entry VM gives up at the deadline; the upstream honours the end of the connection.
  const auto left = std::max<nanoseconds>(request.deadline - world_.events.Now(), nanoseconds(0));
  End(running, attempt_result::kTimeout, left);
  world_.events.After(left + world_.Link(vm_region, place),
                      [this, upstream, running] { Free(upstream, running); });
  if (is_lost) {
    // The request arrives, its answer does not.
    auto unheard = std::make_shared<attempt>(attempt{[](attempt_result) {}});
    End(running, attempt_result::kConnectionLost, kFailedConnect);
    running = unheard;
  }
  const bool is_gone = decision.id != world_.upstreams[upstream].Id();
  world_.events.After(world_.Link(vm_region, place) + kConnectTime,
                      [this, request, upstream, running, is_gone, vm_region, place] {
                        if (running->is_finished) {
                          return;
                        }
                        if (is_gone || world_.upstreams[upstream].is_down) {
                          End(running, attempt_result::kConnectFailed,
                              world_.Link(vm_region, place));
                          return;
                        }
                        Execute(request, upstream, running);
                      });
}

void sim_service::Execute(const sim_request& request,
                          std::size_t upstream,
                          const attempt_ptr& running) {
  sim_upstream& subject = world_.upstreams[upstream];
  const auto way_back = world_.Link(subject.region, world_.vm_regions[request.vm]);
  const auto* shedding = world_.Active(fault_kind::kShedding);
  const bool is_shedding =
      shedding != nullptr && world_.IsHit(*shedding, upstream) && world_.Chance(kShedShare);
  if (is_shedding || subject.running >= subject.slots) {
    End(running, attempt_result::kShed, way_back);
    return;
  }
  CountExecution(request);
  ++subject.running;
  attempts_[upstream].push_back(running);
  if (request.is_poison) {
    Crash(upstream);
    return;
  }
  const bool is_failing = Fails(upstream);
  const auto time = is_failing ? nanoseconds(kFastFailure) : ServiceTime(upstream);
  const std::uint32_t incarnation = subject.incarnation;
  world_.events.After(time, [this, upstream, running, is_failing, way_back, incarnation] {
    if (world_.upstreams[upstream].incarnation != incarnation || !Free(upstream, running)) {
      return;
    }
    End(running, is_failing ? attempt_result::kServerError : attempt_result::kSuccess, way_back);
  });
}

// False when the work has ended before: it was cancelled, or the upstream crashed.
bool sim_service::Free(std::size_t upstream, const attempt_ptr& running) {
  if (std::erase(attempts_[upstream], running) == 0) {
    return false;
  }
  --world_.upstreams[upstream].running;
  return true;
}

void sim_service::CountExecution(const sim_request& request) {
  const int count = ++executions_[request.id];
  if (count == 2 && !request.is_idempotent) {
    ++doubles_;
  }
}

void sim_service::End(const attempt_ptr& running, attempt_result outcome, nanoseconds delay) {
  world_.events.After(delay, [running, outcome] {
    if (!std::exchange(running->is_finished, true)) {
      running->done(outcome);
    }
  });
}

void sim_service::Crash(std::size_t upstream) {
  ++crashes_;
  Restart(upstream, kCrashDown);
}

void sim_service::Restart(std::size_t upstream, milliseconds down) {
  sim_upstream& subject = world_.upstreams[upstream];
  for (const attempt_ptr& each : std::exchange(attempts_[upstream], {})) {
    End(each, attempt_result::kConnectionLost, kLinkInRegion);
  }
  subject.is_down = true;
  subject.running = 0;
  world_.events.After(down, [this, upstream] {
    sim_upstream& started = world_.upstreams[upstream];
    started.is_down = false;
    ++started.incarnation;
    started.state = upstream_state::kStarting;
    started.warm_at = world_.events.Now() + kStarting + kCold;
    world_.events.After(kStarting, [this, upstream, incarnation = started.incarnation] {
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
      if (world_.IsHit(fault, i)) {
        world_.events.After(fault.start, [this, i] { Restart(i, kRestartDown); });
      }
    }
  }
}

nanoseconds sim_service::ServiceTime(std::size_t upstream) {
  const double mean = std::chrono::duration<double>(world_.plan.service_time).count();
  std::lognormal_distribution<> spread(std::log(mean) - kSpread * kSpread / 2, kSpread);
  double time = spread(world_.service_random);
  if (const auto* slow = world_.Active(fault_kind::kSlow, static_cast<int>(upstream))) {
    time *= slow->factor;
  }
  if (world_.events.Now() < world_.upstreams[upstream].warm_at) {
    time *= kColdFactor;
  }
  return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(time));
}

bool sim_service::Fails(std::size_t upstream) {
  const int index = static_cast<int>(upstream);
  if (const auto* gray = world_.Active(fault_kind::kGray, index)) {
    return world_.Chance(gray->percent / 100.0);
  }
  const auto* flapping = world_.Active(fault_kind::kFlapping, index);
  const auto age = world_.events.Now() - world_.started;
  return flapping != nullptr && (age - flapping->start) / kFlapPeriod % 2 == 0;
}

}  // namespace corianderhoist
