#include "experiment/rate_comparison.h"

#include "coordinator/rate_ledger.h"
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

constexpr seconds kDuration(60);
constexpr double kDemand = 0.8;
constexpr milliseconds kLink(1);
constexpr milliseconds kCommit(3);
constexpr milliseconds kLongestWait(50);
constexpr milliseconds kGrantLife(1000);
constexpr milliseconds kRaiseInterval(250);
// Tokens that a VM asks for at a time: what it used in the last 100 ms, at least one.
constexpr double kGrantSeconds = 0.1;

struct shape {
  rate_limit limit;
  int connections;
};
constexpr std::array<shape, 8> kShapes = {{{{400, 400}, 160},
                                           {{300, 300}, 120},
                                           {{100, 100}, 40},
                                           {{60, 60}, 24},
                                           {{20, 20}, 6},
                                           {{20, 20}, 6},
                                           {{10, 10}, 3},
                                           {{10, 10}, 3}}};

// Accrues exactly; used for the VMs' fixed shares and to judge arrivals.
struct simple_bucket {
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  steady_time at;

  bool Take(steady_time now) {
    tokens = std::min(burst, tokens + rate * std::chrono::duration<double>(now - at).count());
    at = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

struct vm_tokens {
  simple_bucket share;
  // Grants held, oldest first.
  struct grant {
    std::uint64_t size;
    std::uint64_t left;
    steady_time expiry;
  };
  std::deque<grant> grants;
  double recent = 0;  // Requests per second, smoothed.
  steady_time seen;
};

struct workspace_run {
  rate_limit limit;
  simple_bucket reference;
  std::unique_ptr<rate_bucket> owner;
  std::vector<vm_tokens> vms;
  std::vector<std::size_t> connections;
  std::vector<double> admitted;  // Seconds since the start.
  std::uint64_t in_rate = 0;
  std::uint64_t refused = 0;
};

class rate_run {
 public:
  rate_run(rate_scheme scheme, int vms, std::uint32_t seed) : scheme_(scheme), random_(seed) {
    const steady_time now = events_.Now();
    for (const shape& each : kShapes) {
      workspace_run made;
      made.limit = each.limit;
      const auto rate = double(each.limit.rate_per_second);
      const auto burst = double(each.limit.burst);
      made.reference = {rate, burst, burst, now};
      made.owner = std::make_unique<rate_bucket>(each.limit, each.limit.burst,
                                                 DefaultGuarantee(each.limit), now);
      const double part = std::max(burst / vms, 1.0);
      made.vms.resize(static_cast<std::size_t>(vms));
      for (vm_tokens& vm : made.vms) {
        vm.share = {rate / vms, part, part, now};
        vm.seen = now;
      }
      for (int i = 0; i < each.connections; ++i) {
        made.connections.push_back(random_() % static_cast<std::uint64_t>(vms));
      }
      workspaces_.push_back(std::move(made));
    }
  }

  rate_measure Run() {
    const steady_time start = events_.Now();
    for (workspace_run& each : workspaces_) {
      Schedule(each);
    }
    RaiseGuarantees();
    events_.RunUntil(start + kDuration);
    return Measure();
  }

 private:
  void Schedule(workspace_run& subject) {
    const double rate = double(subject.limit.rate_per_second) * kDemand;
    const std::chrono::duration<double> wait(std::exponential_distribution<>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this, &subject] {
      Arrive(subject);
      Schedule(subject);
    });
  }

  void Arrive(workspace_run& subject) {
    ++requests_;
    const steady_time now = events_.Now();
    const bool is_in_rate = subject.reference.Take(now);
    subject.in_rate += is_in_rate ? 1 : 0;
    vm_tokens& vm = subject.vms[subject.connections[random_() % subject.connections.size()]];
    const double gap = std::max(1e-6, std::chrono::duration<double>(now - vm.seen).count());
    vm.recent += 0.2 * (1 / gap - vm.recent);
    vm.seen = now;
    switch (scheme_) {
      case rate_scheme::kFixedShares:
        End(subject, is_in_rate, vm.share.Take(now));
        return;
      case rate_scheme::kGrantsByDemand:
        TakeFromGrant(subject, vm, is_in_rate);
        return;
      case rate_scheme::kAskTheOwner:
        messages_ += 2;
        events_.After(kLink, [this, &subject, is_in_rate, now] { Ask(subject, is_in_rate, now); });
        return;
    }
  }

  void Ask(workspace_run& subject, bool is_in_rate, steady_time sent) {
    const steady_time now = events_.Now();
    const nanoseconds longest = kLongestWait - (now - sent);
    const take_result taken = subject.owner->TryTake(now, longest);
    Propose(subject, false);
    if (taken.status == take_status::kCheckpoint && taken.wait <= longest) {
      events_.After(taken.wait,
                    [this, &subject, is_in_rate, sent] { Ask(subject, is_in_rate, sent); });
      return;
    }
    const bool is_admitted =
        taken.status == take_status::kTaken || taken.status == take_status::kReserved;
    if (is_admitted) {
      events_.After(taken.wait, [this, &subject, is_in_rate] { End(subject, is_in_rate, true); });
    } else {
      End(subject, is_in_rate, false);
    }
  }

  void TakeFromGrant(workspace_run& subject, vm_tokens& vm, bool is_in_rate) {
    if (UseGrant(subject, vm)) {
      End(subject, is_in_rate, true);
      return;
    }
    messages_ += 2;
    const auto wanted =
        static_cast<std::uint64_t>(std::clamp(vm.recent * kGrantSeconds, 1.0, 50.0));
    events_.After(kLink, [this, &subject, &vm, wanted, is_in_rate] {
      const steady_time now = events_.Now();
      const steady_time expiry = now + kGrantLife;
      const std::uint64_t granted = subject.owner->Grant(wanted, now, expiry);
      Propose(subject, false);
      events_.After(kLink, [this, &subject, &vm, granted, expiry, is_in_rate] {
        if (granted > 0) {
          vm.grants.push_back({granted, granted, expiry});
        }
        End(subject, is_in_rate, UseGrant(subject, vm));
      });
    });
  }

  // Uses a token of the oldest grant. Used-up grants are settled; lapsed ones are lost.
  bool UseGrant(workspace_run& subject, vm_tokens& vm) {
    const steady_time now = events_.Now();
    while (!vm.grants.empty()) {
      vm_tokens::grant& oldest = vm.grants.front();
      if (oldest.expiry <= now + kLink) {
        vm.grants.pop_front();
        continue;
      }
      if (oldest.left > 0) {
        --oldest.left;
        return true;
      }
      ++messages_;
      events_.After(kLink, [this, &subject, size = oldest.size] {
        subject.owner->Settle(size, 0, events_.Now());
      });
      vm.grants.pop_front();
    }
    return false;
  }

  void End(workspace_run& subject, bool is_in_rate, bool is_admitted) {
    if (is_admitted) {
      subject.admitted.push_back(
          std::chrono::duration<double>(events_.Now().time_since_epoch()).count());
    } else {
      subject.refused += is_in_rate ? 1 : 0;
    }
  }

  void Propose(workspace_run& subject, bool may_raise) {
    const auto tokens = subject.owner->ProposeGuarantee(events_.Now(), may_raise);
    if (tokens) {
      events_.After(kCommit, [&subject, tokens] { subject.owner->OnCommitted(*tokens); });
    }
  }

  void RaiseGuarantees() {
    for (workspace_run& each : workspaces_) {
      Propose(each, true);
    }
    events_.After(kRaiseInterval, [this] { RaiseGuarantees(); });
  }

  // With u(i) = i - rate x t(i), the window from admission i to admission j holds too many when
  // u(j) - u(i) + 1 > burst; the smallest u so far decides.
  static std::uint64_t CountViolations(const workspace_run& subject) {
    std::uint64_t violations = 0;
    double lowest = 1e300;
    double index = 0;
    for (const double time : subject.admitted) {
      const double value = index - double(subject.limit.rate_per_second) * time;
      lowest = std::min(lowest, value);
      violations += value - lowest + 1 > double(subject.limit.burst) + 1e-6 ? 1 : 0;
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
    for (const workspace_run& each : workspaces_) {
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
  std::vector<workspace_run> workspaces_;
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

rate_measure CompareRate(rate_scheme scheme, int entry_vms, std::uint32_t seed) {
  return rate_run(scheme, entry_vms, seed).Run();
}

std::vector<rate_measure> CompareRates(std::uint32_t seed) {
  std::vector<rate_measure> measures;
  for (const int entry_vms : {32, 44}) {
    for (const rate_scheme scheme :
         {rate_scheme::kFixedShares, rate_scheme::kGrantsByDemand, rate_scheme::kAskTheOwner}) {
      measures.push_back(CompareRate(scheme, entry_vms, seed));
    }
  }
  return measures;
}

}  // namespace corianderhoist
