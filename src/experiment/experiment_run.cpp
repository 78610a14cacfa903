#include "experiment/experiment_run.h"

#include "base/error.h"
#include "experiment/fleet_policy.h"
#include "experiment/sim_service.h"
#include "experiment/sim_world.h"
#include "experiment/vm_policy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kRequestDeadline(1000);
// Every upstream has announced itself and the coordinators are warm by then.
constexpr seconds kTrafficStartDelay(4);
// Time for requests in flight at the end of the load to complete.
constexpr seconds kCompletionTime(5);
constexpr milliseconds kCallerLatency(1);
constexpr milliseconds kTickInterval(20);
constexpr milliseconds kAnnounceInterval(1000);
constexpr milliseconds kPoisonInterval(1000);
constexpr double kNonIdempotentShare = 0.4;
constexpr std::size_t kPoisonWorkspaceIndex = 1;

std::unique_ptr<sim_policy> MakePolicy(policy_kind kind, sim_world& world) {
  switch (kind) {
    case policy_kind::kFleet:
      return std::make_unique<fleet_policy>(world);
    case policy_kind::kRoundRobin:
      return std::make_unique<vm_policy>(world, vm_policy_options{});
    case policy_kind::kConsecutiveErrors:
      return std::make_unique<vm_policy>(
          world, vm_policy_options{.errors_until_ejection = 5, .uses_reported_load = true});
  }
  return nullptr;
}

// Token bucket over all arrivals of a workspace that classifies them as within or above the rate.
// Tokens accrue continuously.
class reference_bucket {
 public:
  reference_bucket(const rate_limit& limit, steady_time now)
      : limit_(limit), tokens_(double(limit.burst)), updated_at_(now) {}

  bool TryTake(steady_time now) {
    const double elapsed = std::chrono::duration<double>(now - updated_at_).count();
    updated_at_ = now;
    tokens_ = std::min(double(limit_.burst), tokens_ + elapsed * double(limit_.rate_per_second));
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  rate_limit limit_;
  double tokens_;
  steady_time updated_at_;
};

class scenario_runner {
 public:
  scenario_runner(const scenario& plan, policy_kind kind)
      : world_(plan),
        service_(world_),
        policy_(MakePolicy(kind, world_)),
        arrival_random_(plan.seed) {
    world_.on_ejection = [this](std::size_t upstream, int) { OnEjection(upstream); };
    for (const sim_workspace& workspace : world_.workspaces) {
      reference_buckets_.emplace_back(workspace.limit, world_.events.Now());
      measure_.workspaces[workspace.name];
    }
  }

  run_measure Run() {
    StartAnnouncements();
    Tick();
    world_.events.After(kTrafficStartDelay, [this] {
      for (std::size_t i = 0; i < world_.workspaces.size(); ++i) {
        ScheduleArrival(i);
      }
    });
    SchedulePoison();
    service_.ScheduleRestarts();
    for (const scenario_fault& fault : world_.plan.faults) {
      measure_.has_faulty_upstream |= MakesUpstreamFaulty(fault.kind);
      if (fault.kind == fault_kind::kNoisy) {
        const auto target = static_cast<std::size_t>(fault.target);
        measure_.workspaces[world_.workspaces.at(target).name].is_noisy = true;
      }
    }
    world_.events.RunUntil(world_.started + world_.plan.duration);
    has_load_ended_ = true;
    world_.events.RunUntil(world_.started + world_.plan.duration + kCompletionTime);
    measure_.crashed_upstreams = service_.Crashes();
    measure_.doubles = service_.DuplicateExecutions();
    return std::move(measure_);
  }

 private:
  void Tick() {
    policy_->Tick();
    CheckDetection();
    world_.events.After(kTickInterval, [this] { Tick(); });
  }

  void StartAnnouncements() {
    for (std::size_t i = 0; i < world_.upstreams.size(); ++i) {
      const auto phase =
          kAnnounceInterval * static_cast<int>(i) / static_cast<int>(world_.upstreams.size());
      world_.events.After(phase, [this, i] { Announce(i); });
    }
  }

  void Announce(std::size_t upstream) {
    if (!world_.upstreams[upstream].is_down) {
      policy_->Announce(world_.upstreams[upstream].MakeAnnouncement(), upstream);
    }
    world_.events.After(kAnnounceInterval, [this, upstream] { Announce(upstream); });
  }

  void ScheduleArrival(std::size_t workspace) {
    double rate = world_.workspaces[workspace].mean_rate;
    if (const auto* noisy = world_.ActiveFault(fault_kind::kNoisy, static_cast<int>(workspace))) {
      rate = double(world_.workspaces[workspace].limit.rate_per_second) * noisy->factor;
    }
    const std::chrono::duration<double> wait(
        std::exponential_distribution<>(rate)(arrival_random_));
    world_.events.After(duration_cast<nanoseconds>(wait), [this, workspace] {
      if (!has_load_ended_) {
        OnArrival(workspace, false);
        ScheduleArrival(workspace);
      }
    });
  }

  void SchedulePoison() {
    world_.events.After(kPoisonInterval, [this] {
      if (world_.ActiveFault(fault_kind::kCrashRequest) != nullptr && !has_load_ended_) {
        OnArrival(kPoisonWorkspaceIndex, true);
      }
      SchedulePoison();
    });
  }

  void OnArrival(std::size_t workspace, bool is_poison) {
    const auto& connections = world_.workspaces[workspace].connections;
    sim_request request;
    request.id = ++last_id_;
    request.workspace = workspace;
    request.vm = connections[arrival_random_() % connections.size()];
    request.is_idempotent =
        std::uniform_real_distribution<>(0, 1)(arrival_random_) >= kNonIdempotentShare &&
        !is_poison;
    request.is_poison = is_poison;
    request.arrived = world_.events.Now();
    request.deadline = request.arrived + kRequestDeadline;
    // A request that crashes upstreams does not count as within rate, as it need not be served.
    request.is_in_rate = reference_buckets_[workspace].TryTake(request.arrived) && !is_poison;
    workspace_measure& measure = measure_.workspaces[world_.workspaces[workspace].name];
    ++(request.is_in_rate ? measure.in_rate : measure.over_rate);
    world_.events.After(kCallerLatency, [this, request] { Acquire(request); });
  }

  void Acquire(const sim_request& request) {
    policy_->Acquire(request, [this, request](const sim_decision& decision) {
      if (!decision.is_granted) {
        RecordRefusal(request, decision.refusal);
        return;
      }
      const steady_time sent = world_.events.Now();
      service_.Run(request, decision, [this, request, decision, sent](attempt_result outcome) {
        OnAttemptFinished(request, decision, outcome,
                          duration_cast<microseconds>(world_.events.Now() - sent));
      });
    });
  }

  void OnAttemptFinished(sim_request request,
                         const sim_decision& decision,
                         attempt_result outcome,
                         microseconds latency) {
    policy_->Complete(request, decision, outcome, latency);
    if (outcome == attempt_result::kSuccess) {
      RecordServed(request);
      return;
    }
    const bool is_not_run = WasNotRun(outcome);
    request.may_have_run |= !is_not_run;
    if (world_.events.Now() < request.deadline && policy_->MayRetry(request, outcome)) {
      request.avoid.push_back(decision.upstream);
      ++request.attempt;
      Acquire(request);
      return;
    }
    RecordRefusal(request,
                  is_not_run ? error_kind::kUpstreamShedding : error_kind::kUpstreamBroken);
  }

  void RecordServed(const sim_request& request) {
    const auto latency = world_.events.Now() + kCallerLatency - request.arrived;
    measure_.latencies_us.push_back(
        static_cast<std::uint32_t>(duration_cast<microseconds>(latency).count()));
    if (request.is_in_rate && latency <= kRequestDeadline) {
      ++measure_.workspaces[world_.workspaces[request.workspace].name].served_in_time;
    }
  }

  // Like the entry VM, reports "not run" only when no attempt may have run.
  void RecordRefusal(const sim_request& request, error_kind kind) {
    const bool is_not_run =
        AnswerFor(kind).outcome == request_outcome::kNotRun && !request.may_have_run;
    if (is_not_run && service_.HasRun(request.id)) {
      ++measure_.untrue_refusals;
    }
    if (request.is_in_rate && is_not_run) {
      ++measure_.workspaces[world_.workspaces[request.workspace].name].refused;
      ++measure_.refusals[std::string(AnswerFor(kind).name)];
    }
  }

  void OnEjection(std::size_t upstream) {
    if (!world_.IsFaulty(upstream) && !world_.upstreams[upstream].is_down) {
      ++measure_.wrong_ejections;
    }
    const sim_upstream& ejected = world_.upstreams[upstream];
    double announced = 0;
    double in_service = 0;
    for (std::size_t i = 0; i < world_.upstreams.size(); ++i) {
      const sim_upstream& each = world_.upstreams[i];
      if (each.region == ejected.region && each.data_centre == ejected.data_centre) {
        announced += each.slots;
        const bool is_ready = each.state == upstream_state::kReady && !each.is_down;
        in_service += is_ready ? each.slots * (1 - policy_->EjectedShare(i)) : 0;
      }
    }
    if (in_service * 100 < announced * world_.plan.floor_percent) {
      ++measure_.floor_violations;
    }
  }

  void CheckDetection() {
    if (measure_.detection) {
      return;
    }
    for (const scenario_fault& fault : world_.plan.faults) {
      const auto target = static_cast<std::size_t>(fault.target);
      const auto age = world_.events.Now() - world_.started;
      if (MakesUpstreamFaulty(fault.kind) && age >= fault.start && age < fault.end &&
          policy_->EjectedShare(target) >= 0.5) {
        measure_.detection = duration_cast<milliseconds>(age) - fault.start;
      }
    }
  }

  sim_world world_;
  sim_service service_;
  std::unique_ptr<sim_policy> policy_;
  std::mt19937_64 arrival_random_;
  std::vector<reference_bucket> reference_buckets_;
  run_measure measure_;
  std::uint64_t last_id_ = 0;
  bool has_load_ended_ = false;
};

}  // namespace

std::string PolicyName(policy_kind kind) {
  switch (kind) {
    case policy_kind::kFleet:
      return "corianderhoist";
    case policy_kind::kRoundRobin:
      return "round robin";
    case policy_kind::kConsecutiveErrors:
      return "consecutive errors";
  }
  return {};
}

std::string run_measure::WorstWorkspace() const {
  std::string worst_name;
  double worst = 2;
  for (const auto& [name, each] : workspaces) {
    const double share = each.in_rate == 0 ? 1 : double(each.served_in_time) / double(each.in_rate);
    if (!each.is_noisy && share < worst) {
      worst = share;
      worst_name = name;
    }
  }
  return worst_name;
}

double run_measure::WorstServed() const {
  const workspace_measure& worst = workspaces.at(WorstWorkspace());
  return worst.in_rate == 0 ? 1 : double(worst.served_in_time) / double(worst.in_rate);
}

double run_measure::WrongfulRefusals() const {
  std::uint64_t refused = 0;
  std::uint64_t all = 0;
  for (const auto& [name, each] : workspaces) {
    refused += each.is_noisy ? 0 : each.refused;
    all += each.is_noisy ? 0 : each.in_rate;
  }
  return all == 0 ? 0 : double(refused) / double(all);
}

double run_measure::P99Milliseconds() const {
  if (latencies_us.empty()) {
    return 0;
  }
  std::vector<std::uint32_t> sorted = latencies_us;
  const auto rank = static_cast<std::ptrdiff_t>(0.99 * double(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<std::size_t>(rank)] / 1000.0;
}

run_measure RunScenario(const scenario& plan, policy_kind policy) {
  return scenario_runner(plan, policy).Run();
}

}  // namespace corianderhoist
