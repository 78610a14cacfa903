#include "experiment/fleet_rate_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::size_t kVms = 110;
constexpr std::size_t kWorkspaces = 79;
constexpr double kPowerLawExponent = 1.2;
constexpr double kRequestsPerSecond = 600;
constexpr double kRateOfDemand = 1.6;
constexpr double kLoweredRateOfDemand = 1.05;
constexpr double kHotFactor = 6;
// One of the largest and one of middle size.
constexpr std::array<std::size_t, 2> kHotWorkspaces = {1, 9};
constexpr std::array<std::size_t, 4> kLowered = {0, 2, 8, 25};
constexpr std::size_t kFrozenCore = 0;
constexpr milliseconds kStartOfDemand(1500);
constexpr milliseconds kEvent(5000);
constexpr milliseconds kFreeze(6000);
constexpr milliseconds kFreezeDuration(7000);
constexpr milliseconds kCoreDowntime(1500);
constexpr milliseconds kDuration(25'000);
// Time until every VM follows a policy, as admission_settings::policy_bound.
constexpr milliseconds kPolicyBound(2500);

// Requests of a workspace in the last 5 s.
struct request_log {
  std::deque<steady_time> times;

  std::size_t CountAt(steady_time now) {
    while (!times.empty() && now - times.front() >= sim_rate_fleet::kTolerance.window) {
      times.pop_front();
    }
    return times.size();
  }
};

struct workspace_state {
  double demand = 0;  // Requests per second.
  workspace_rate rate;
  double bound = 0;  // Of the requests in 5 s.
  request_log ideal;
  request_log admitted;
};

double RateTimesWindow(const workspace_rate& rate) {
  const duration<double> window = sim_rate_fleet::kTolerance.window;
  return static_cast<double>(rate.rate_per_second) * window.count() +
         static_cast<double>(rate.burst);
}

double BoundOf(const workspace_rate& rate) {
  return RateTimesWindow(rate) * (1 + sim_rate_fleet::kTolerance.excess) +
         sim_rate_fleet::kTolerance.slack;
}

workspace_rate RateFor(double requests_per_second) {
  const auto rate = static_cast<std::uint64_t>(std::max(1.0, std::ceil(requests_per_second)));
  return {rate, rate};
}

class fleet_rate_simulation {
 public:
  fleet_rate_simulation(rate_event event, std::uint64_t seed)
      : event_(event),
        lowered_(kLowered[seed % kLowered.size()]),
        random_(seed),
        fleet_(events_, kVms, seed) {
    double sum = 0;
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      workspaces_[i].demand = std::pow(static_cast<double>(i + 1), -kPowerLawExponent);
      sum += workspaces_[i].demand;
    }
    for (workspace_state& each : workspaces_) {
      each.demand *= kRequestsPerSecond / sum;
      each.rate = RateFor(each.demand * kRateOfDemand);
      each.bound = BoundOf(each.rate);
    }
    Publish(1);
  }

  fleet_rate_measure Run() {
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      events_.After(kStartOfDemand, [this, i] { ScheduleRequest(i); });
    }
    events_.After(kStartOfDemand + kEvent, [this] { Begin(); });
    events_.RunUntil(events_.Now() + kStartOfDemand + kDuration);
    return measure_;
  }

 private:
  void Publish(std::uint64_t version) {
    serving_policy policy;
    policy.version = version;
    policy.has_workspaces = true;
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const workspace_rate& rate = workspaces_[i].rate;
      policy.workspaces.push_back({"w" + std::to_string(i),
                                   {"k" + std::to_string(i)},
                                   0,
                                   rate.rate_per_second,
                                   rate.burst});
    }
    fleet_.SetPolicy(std::move(policy));
  }

  void Begin() {
    is_hot_ = event_ == rate_event::kHotWorkspaces || event_ == rate_event::kHotAndFrozenCore;
    if (event_ == rate_event::kLoweredRate) {
      is_lowered_ = true;
      workspace_state& lowered = workspaces_[lowered_];
      lowered.rate = RateFor(lowered.demand * kLoweredRateOfDemand);
      Publish(2);
      events_.After(kPolicyBound + sim_rate_fleet::kTolerance.window,
                    [&lowered] { lowered.bound = BoundOf(lowered.rate); });
    }
    if (event_ == rate_event::kHotAndFrozenCore) {
      events_.After(kFreeze - kEvent, [this] { fleet_.Freeze(kFrozenCore, kFreezeDuration); });
    }
    if (event_ == rate_event::kRestartedCores) {
      fleet_.RestartCores(kCoreDowntime);
    }
  }

  bool IsHot(std::size_t workspace) const {
    return is_hot_ && std::find(kHotWorkspaces.begin(), kHotWorkspaces.end(), workspace) !=
                          kHotWorkspaces.end();
  }

  void ScheduleRequest(std::size_t workspace) {
    const double rate = workspaces_[workspace].demand * (IsHot(workspace) ? kHotFactor : 1);
    const duration<double> gap(std::exponential_distribution<double>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(gap), [this, workspace] {
      Send(workspace);
      ScheduleRequest(workspace);
    });
  }

  void Send(std::size_t number) {
    workspace_state& workspace = workspaces_[number];
    const steady_time now = events_.Now();
    const auto refusal = fleet_.Request(random_() % kVms, number);
    const bool is_hot = IsHot(number);
    ++measure_.requests;
    if (!refusal) {
      workspace.admitted.times.push_back(now);
      const auto in_window = static_cast<double>(workspace.admitted.CountAt(now));
      measure_.largest_excess = std::max(measure_.largest_excess, in_window - workspace.bound);
      measure_.hot_admitted += is_hot ? 1 : 0;
    }
    if (static_cast<double>(workspace.ideal.CountAt(now)) >= RateTimesWindow(workspace.rate)) {
      return;
    }
    workspace.ideal.times.push_back(now);
    ++measure_.within_rate;
    ++(is_hot ? measure_.hot_within_rate : measure_.usual_within_rate);
    const bool is_lowered = is_lowered_ && number == lowered_;
    measure_.lowered_within_rate += is_lowered ? 1 : 0;
    if (refusal) {
      measure_.lowered_refused += is_lowered ? 1 : 0;
      ++measure_.refused[static_cast<std::size_t>(*refusal)];
      measure_.usual_refused[static_cast<std::size_t>(*refusal)] += is_hot ? 0 : 1;
    }
  }

  const rate_event event_;
  const std::size_t lowered_;
  std::mt19937_64 random_;
  event_queue events_;
  sim_rate_fleet fleet_;
  std::array<workspace_state, kWorkspaces> workspaces_;
  bool is_hot_ = false;
  bool is_lowered_ = false;
  fleet_rate_measure measure_;
};

}  // namespace

std::string EventName(rate_event event) {
  switch (event) {
    case rate_event::kNone:
      return "calm";
    case rate_event::kLoweredRate:
      return "a rate lowered to 1.05 times the demand";
    case rate_event::kHotWorkspaces:
      return "two workspaces at six times their demand";
    case rate_event::kHotAndFrozenCore:
      return "the same and a core VM frozen for 7 s";
    case rate_event::kRestartedCores:
      return "all core VMs restarted";
  }
  return {};
}

std::uint64_t fleet_rate_measure::Refused() const {
  return std::accumulate(refused.begin(), refused.end(), std::uint64_t(0));
}

std::uint64_t fleet_rate_measure::UsualRefused() const {
  return std::accumulate(usual_refused.begin(), usual_refused.end(), std::uint64_t(0));
}

void fleet_rate_measure::Add(const fleet_rate_measure& other) {
  requests += other.requests;
  within_rate += other.within_rate;
  usual_within_rate += other.usual_within_rate;
  lowered_within_rate += other.lowered_within_rate;
  lowered_refused += other.lowered_refused;
  hot_admitted += other.hot_admitted;
  hot_within_rate += other.hot_within_rate;
  for (std::size_t i = 0; i < refused.size(); ++i) {
    refused[i] += other.refused[i];
    usual_refused[i] += other.usual_refused[i];
  }
  largest_excess = std::max(largest_excess, other.largest_excess);
}

fleet_rate_measure SimulateFleetRates(rate_event event, std::uint64_t seed) {
  return fleet_rate_simulation(event, seed).Run();
}

}  // namespace corianderhoist
