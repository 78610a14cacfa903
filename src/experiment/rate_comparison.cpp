#include "experiment/rate_comparison.h"

#include "coordinator/token_bucket_table.h"
#include "experiment/event_queue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds kSimulatedTime(60);
constexpr double kDemandShareOfLimit = 0.8;
constexpr milliseconds kLinkLatency(1);
constexpr milliseconds kLogCommitLatency(3);
constexpr milliseconds kMaxTokenWait(50);
constexpr milliseconds kGrantLifetime(1000);
constexpr milliseconds kGuaranteeRaiseInterval(250);
// A VM requests the tokens for this time at its current request rate, at least one.
constexpr double kGrantDemandSeconds = 0.1;
constexpr double kMaxGrantTokens = 50;
// Weight of the latest gap in the moving average of the request rate.
constexpr double kRequestRateSmoothing = 0.2;

struct workspace_spec {
  rate_limit limit;
  int connections;
};
constexpr std::array<workspace_spec, 8> kWorkspaces = {{{{400, 400}, 160},
                                                        {{300, 300}, 120},
                                                        {{100, 100}, 40},
                                                        {{60, 60}, 24},
                                                        {{20, 20}, 6},
                                                        {{20, 20}, 6},
                                                        {{10, 10}, 3},
                                                        {{10, 10}, 3}}};

// Accrues continuously. Enforces the fixed shares of the VMs and classifies arrivals as within or
// above the rate.
struct exact_token_bucket {
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  steady_time updated_at;

  bool TryTake(steady_time now) {
    tokens =
        std::min(burst, tokens + rate * std::chrono::duration<double>(now - updated_at).count());
    updated_at = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

struct vm_tokens {
  exact_token_bucket share;
  struct grant {
    std::uint64_t size;
    std::uint64_t remaining;
    steady_time expiry;
  };
  std::deque<grant> grants;  // Oldest first.
  double request_rate = 0;   // Requests per second, exponential moving average.
  steady_time last_arrival;
};

struct workspace_state {
  rate_limit limit;
  exact_token_bucket reference;
  std::unique_ptr<token_bucket> owner;
  std::vector<vm_tokens> vms;
  std::vector<std::size_t> connections;
  std::vector<double> admitted;  // Seconds since the start.
  std::uint64_t in_rate = 0;
  std::uint64_t refused = 0;
};

class rate_simulation {
 public:
  rate_simulation(rate_scheme scheme, int vms, std::uint32_t seed)
      : scheme_(scheme), random_(seed) {
    const steady_time now = events_.Now();
    for (const workspace_spec& each : kWorkspaces) {
      workspace_state workspace;
      workspace.limit = each.limit;
      const auto rate = double(each.limit.rate_per_second);
      const auto burst = double(each.limit.burst);
      workspace.reference = {rate, burst, burst, now};
      workspace.owner = std::make_unique<token_bucket>(each.limit, each.limit.burst,
                                                       DefaultGuarantee(each.limit), now);
      const double burst_share = std::max(burst / vms, 1.0);
      workspace.vms.resize(static_cast<std::size_t>(vms));
      for (vm_tokens& vm : workspace.vms) {
        vm.share = {rate / vms, burst_share, burst_share, now};
        vm.last_arrival = now;
      }
      for (int i = 0; i < each.connections; ++i) {
        workspace.connections.push_back(random_() % static_cast<std::uint64_t>(vms));
      }
      workspaces_.push_back(std::move(workspace));
    }
  }

  rate_measure Run() {
    const steady_time start = events_.Now();
    for (workspace_state& each : workspaces_) {
      ScheduleArrival(each);
    }
    RaiseGuarantees();
    events_.RunUntil(start + kSimulatedTime);
    return Measure();
  }

 private:
  void ScheduleArrival(workspace_state& workspace) {
    const double rate = double(workspace.limit.rate_per_second) * kDemandShareOfLimit;
    const std::chrono::duration<double> wait(std::exponential_distribution<>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this, &workspace] {
      OnArrival(workspace);
      ScheduleArrival(workspace);
    });
  }

  void OnArrival(workspace_state& workspace) {
    ++requests_;
    const steady_time now = events_.Now();
    const bool is_in_rate = workspace.reference.TryTake(now);
    workspace.in_rate += is_in_rate ? 1 : 0;
    vm_tokens& vm = workspace.vms[workspace.connections[random_() % workspace.connections.size()]];
    const double gap = std::max(1e-6, std::chrono::duration<double>(now - vm.last_arrival).count());
    vm.request_rate += kRequestRateSmoothing * (1 / gap - vm.request_rate);
    vm.last_arrival = now;
    switch (scheme_) {
      case rate_scheme::kFixedShares:
        RecordDecision(workspace, is_in_rate, vm.share.TryTake(now));
        return;
      case rate_scheme::kGrantsByDemand:
        TakeFromGrant(workspace, vm, is_in_rate);
        return;
      case rate_scheme::kAskTheOwner:
        messages_ += 2;
        events_.After(kLinkLatency, [this, &workspace, is_in_rate, now] {
          AskOwner(workspace, is_in_rate, now);
        });
        return;
    }
  }

  void AskOwner(workspace_state& workspace, bool is_in_rate, steady_time sent) {
    const steady_time now = events_.Now();
    const nanoseconds max_wait = kMaxTokenWait - (now - sent);
    const take_result taken = workspace.owner->TryTake(now, max_wait);
    ProposeGuarantee(workspace, false);
    if (taken.status == take_status::kCheckpoint && taken.wait <= max_wait) {
      events_.After(taken.wait, [this, &workspace, is_in_rate, sent] {
        AskOwner(workspace, is_in_rate, sent);
      });
      return;
    }
    const bool is_admitted =
        taken.status == take_status::kTaken || taken.status == take_status::kReserved;
    if (is_admitted) {
      events_.After(taken.wait, [this, &workspace, is_in_rate] {
        RecordDecision(workspace, is_in_rate, true);
      });
    } else {
      RecordDecision(workspace, is_in_rate, false);
    }
  }

  void TakeFromGrant(workspace_state& workspace, vm_tokens& vm, bool is_in_rate) {
    if (TryTakeFromGrants(workspace, vm)) {
      RecordDecision(workspace, is_in_rate, true);
      return;
    }
    messages_ += 2;
    const auto wanted = static_cast<std::uint64_t>(
        std::clamp(vm.request_rate * kGrantDemandSeconds, 1.0, kMaxGrantTokens));
    events_.After(kLinkLatency, [this, &workspace, &vm, wanted, is_in_rate] {
      const steady_time now = events_.Now();
      const steady_time expiry = now + kGrantLifetime;
      const std::uint64_t granted = workspace.owner->Grant(wanted, now, expiry);
      ProposeGuarantee(workspace, false);
      events_.After(kLinkLatency, [this, &workspace, &vm, granted, expiry, is_in_rate] {
        if (granted > 0) {
          vm.grants.push_back({granted, granted, expiry});
        }
        RecordDecision(workspace, is_in_rate, TryTakeFromGrants(workspace, vm));
      });
    });
  }

  // Takes a token from the oldest grant. Exhausted grants are settled with the owner; expired
  // grants are dropped.
  bool TryTakeFromGrants(workspace_state& workspace, vm_tokens& vm) {
    const steady_time now = events_.Now();
    while (!vm.grants.empty()) {
      vm_tokens::grant& oldest = vm.grants.front();
      if (oldest.expiry <= now + kLinkLatency) {
        vm.grants.pop_front();
        continue;
      }
      if (oldest.remaining > 0) {
        --oldest.remaining;
        return true;
      }
      ++messages_;
      events_.After(kLinkLatency, [this, &workspace, size = oldest.size] {
        workspace.owner->Settle(size, 0, events_.Now());
      });
      vm.grants.pop_front();
    }
    return false;
  }

  void RecordDecision(workspace_state& workspace, bool is_in_rate, bool is_admitted) {
    if (is_admitted) {
      workspace.admitted.push_back(
          std::chrono::duration<double>(events_.Now().time_since_epoch()).count());
    } else {
      workspace.refused += is_in_rate ? 1 : 0;
    }
  }

  void ProposeGuarantee(workspace_state& workspace, bool may_raise) {
    const auto tokens = workspace.owner->ProposeGuarantee(events_.Now(), may_raise);
    if (tokens) {
      events_.After(kLogCommitLatency,
                    [&workspace, tokens] { workspace.owner->OnCommitted(*tokens); });
    }
  }

  void RaiseGuarantees() {
    for (workspace_state& each : workspaces_) {
      ProposeGuarantee(each, true);
    }
    events_.After(kGuaranteeRaiseInterval, [this] { RaiseGuarantees(); });
  }

  // With excess(i) = i - rate x t(i), the window from admission i to admission j exceeds the limit
  // when excess(j) - excess(i) + 1 > burst, so comparing with the minimum so far is sufficient.
  static std::uint64_t CountViolations(const workspace_state& workspace) {
    std::uint64_t violations = 0;
    double min_excess = 1e300;
    double index = 0;
    for (const double time : workspace.admitted) {
      const double excess = index - double(workspace.limit.rate_per_second) * time;
      min_excess = std::min(min_excess, excess);
      violations += excess - min_excess + 1 > double(workspace.limit.burst) + 1e-6 ? 1 : 0;
      ++index;
    }
    return violations;
  }

  rate_measure Measure() const {
    rate_measure measure;
    measure.scheme = scheme_;
    measure.entry_vms = static_cast<int>(workspaces_.front().vms.size());
    std::uint64_t in_rate = 0;
    std::uint64_t refused = 0;
    for (const workspace_state& each : workspaces_) {
      in_rate += each.in_rate;
      refused += each.refused;
      measure.worst_refused =
          std::max(measure.worst_refused, double(each.refused) / double(each.in_rate));
      measure.violations += CountViolations(each);
    }
    measure.refused = double(refused) / double(in_rate);
    measure.messages_per_request = double(messages_) / double(requests_);
    return measure;
  }

  const rate_scheme scheme_;
  std::mt19937_64 random_;
  event_queue events_;
  std::vector<workspace_state> workspaces_;
  std::uint64_t requests_ = 0;
  std::uint64_t messages_ = 0;
};

}  // namespace

std::string SchemeName(rate_scheme scheme) {
  switch (scheme) {
    case rate_scheme::kFixedShares:
      return "fixed shares";
    case rate_scheme::kGrantsByDemand:
      return "grants by demand";
    case rate_scheme::kAskTheOwner:
      return "asking the owner";
  }
  return {};
}

rate_measure MeasureRateScheme(rate_scheme scheme, int entry_vms, std::uint32_t seed) {
  return rate_simulation(scheme, entry_vms, seed).Run();
}

std::vector<rate_measure> CompareRates(std::uint32_t seed) {
  std::vector<rate_measure> measures;
  for (const int entry_vms : {32, 44}) {
    for (const rate_scheme scheme :
         {rate_scheme::kFixedShares, rate_scheme::kGrantsByDemand, rate_scheme::kAskTheOwner}) {
      measures.push_back(MeasureRateScheme(scheme, entry_vms, seed));
    }
  }
  return measures;
}

}  // namespace corianderhoist
