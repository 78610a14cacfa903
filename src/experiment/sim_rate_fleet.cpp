#include "experiment/sim_rate_fleet.h"

#include "base/hash.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kDelayInRegion(2);
constexpr milliseconds kDelayAcrossRegions(30);
constexpr milliseconds kReportDelay(15);
constexpr milliseconds kReportTimeout(400);
constexpr milliseconds kAnswerDelay(36);  // With the link both ways: 40 ms from answer to answer.
constexpr milliseconds kWatchHold(400);
constexpr milliseconds kWatchTimeout(850);
constexpr milliseconds kRefusedConnection(2);
constexpr milliseconds kMinBackoff(250);
constexpr milliseconds kMaxBackoff(2000);
constexpr milliseconds kChooseRetryInterval(50);
constexpr milliseconds kMaxCountAge(5000);
constexpr milliseconds kLease(4700);
constexpr std::size_t kCores = sim_rate_fleet::kCoreRegions.size();
constexpr std::size_t kRegions = 3;

}  // namespace

sim_rate_fleet::sim_rate_fleet(event_queue& events, std::size_t vms, std::uint64_t seed)
    : events_(events), clock_(events), random_(seed), cores_(kCores), vms_(vms) {
  for (std::size_t i = 0; i < kCores; ++i) {
    StartCore(i);
  }
  for (std::size_t i = 0; i < vms; ++i) {
    entry_vm& vm = vms_[i];
    vm.name = "vm" + std::to_string(i);
    vm.region = i % kRegions;
    for (std::size_t core = 0; core < kCores; ++core) {
      vm.preferred.push_back((core + i / kRegions) % kCores);
    }
    std::stable_partition(vm.preferred.begin(), vm.preferred.end(),
                          [&](std::size_t core) { return kCoreRegions[core] == vm.region; });
    vm.view = std::make_unique<fleet_view>([this](std::string_view version) {
      return result<serving_policy>(policies_.at(std::stoul(std::string(version))));
    });
    vm.admission_control = std::make_unique<admission>(
        admission_settings{.rates = kTolerance, .seed = FastHash(vm.name + std::to_string(seed))},
        *vm.view, clock_);
    events_.After(milliseconds(random_() % 400), [this, i] { Watch(i); });
  }
}

void sim_rate_fleet::SetPolicy(serving_policy policy) {
  policies_[policy.version] = policy;
  policy_ = std::make_shared<const policy_index>(std::move(policy));
  for (std::size_t i = 0; i < kCores; ++i) {
    events_.After(kAnswerDelay, [this, i] { AnswerWatchers(i); });
  }
}

milliseconds sim_rate_fleet::LinkDelay(const entry_vm& vm, std::size_t core) const {
  return vm.region == kCoreRegions[core] ? kDelayInRegion : kDelayAcrossRegions;
}

// ---- Entry VMs ----

std::optional<rate_refusal> sim_rate_fleet::Request(std::size_t number, std::size_t workspace) {
  entry_vm& vm = vms_[number];
  const steady_time now = events_.Now();
  if (!vm.view->Policy() || now - vm.replied_at > kLease) {
    return rate_refusal::kNoLease;
  }
  const policy_workspace& asked = vm.view->Policy()->Policy().workspaces[workspace];
  const bool is_admitted = vm.admission_control->TakeRate(asked);
  MergeCounts(vm.unsent, {{asked.name, is_admitted ? 1U : 0U, is_admitted ? 0U : 1U, 0}});
  ScheduleReport(number);
  if (is_admitted) {
    return std::nullopt;
  }
  if (!vm.view->AreLimitsCurrent(now)) {
    return rate_refusal::kOutOfContact;
  }
  return vm.view->AdmittedShare(asked.name) < 1 ? rate_refusal::kShare : rate_refusal::kGrowth;
}

// The nearest core VM that is not backed off, or else the one whose backoff ends first.
std::size_t sim_rate_fleet::ChooseCore(const entry_vm& vm) const {
  const steady_time now = events_.Now();
  return *std::min_element(vm.preferred.begin(), vm.preferred.end(),
                           [&](std::size_t one, std::size_t other) {
                             return std::max(vm.choices[one].backoff_until, now) <
                                    std::max(vm.choices[other].backoff_until, now);
                           });
}

void sim_rate_fleet::Watch(std::size_t number) {
  entry_vm& vm = vms_[number];
  const steady_time now = events_.Now();
  const std::size_t chosen = ChooseCore(vm);
  if (vm.choices[chosen].backoff_until > now && vm.choices[chosen].failures > 1) {
    events_.After(kChooseRetryInterval, [this, number] { Watch(number); });
    return;
  }
  if (chosen != vm.core) {
    vm.core = chosen;
    vm.former_incarnation =
        vm.core_incarnation != 0 ? std::exchange(vm.core_incarnation, 0) : vm.former_incarnation;
    vm.is_former_due = !vm.delivered.empty();
    ScheduleReport(number);
  }
  const std::uint64_t call = ++vm.call;
  if (!cores_[chosen].usage) {
    events_.After(kRefusedConnection, [this, number, call] { OnWatchFailed(number, call); });
    return;
  }
  watch_request request = vm.view->Known();
  request.vm = vm.name;
  request.hold = kWatchHold;
  if (vm.view->LevelAt() != steady_time()) {
    request.level_age = std::chrono::ceil<milliseconds>(now - vm.view->LevelAt());
    request.active_vms = vm.view->Limits().active_vms;
  }
  events_.After(LinkDelay(vm, chosen), [this, number, call, chosen, request] {
    OnWatch(chosen, {number, call, request, events_.Now()});
  });
  events_.After(kWatchTimeout, [this, number, call] { OnWatchFailed(number, call); });
}

void sim_rate_fleet::OnWatchFailed(std::size_t number, std::uint64_t call) {
  entry_vm& vm = vms_[number];
  if (vm.call != call) {
    return;
  }
  core_choice& choice = vm.choices[vm.core];
  choice.backoff_until =
      events_.Now() + std::min(kMinBackoff * (1 << std::min(choice.failures, 3)), kMaxBackoff);
  ++choice.failures;
  Watch(number);
}

void sim_rate_fleet::OnReply(std::size_t number,
                             std::uint64_t call,
                             const watch_reply& reply,
                             steady_time sent_at) {
  entry_vm& vm = vms_[number];
  if (vm.call != call) {
    return;
  }
  vm.choices[vm.core] = {};
  vm.core_incarnation = reply.core_incarnation;
  vm.view->Apply(reply, sent_at, events_.Now());
  vm.replied_at = events_.Now();
  Watch(number);
}

void sim_rate_fleet::ScheduleReport(std::size_t number) {
  if (!std::exchange(vms_[number].is_report_scheduled, true)) {
    events_.After(kReportDelay, [this, number] { Report(number); });
  }
}

void sim_rate_fleet::Report(std::size_t number) {
  entry_vm& vm = vms_[number];
  vm.is_report_scheduled = false;
  const steady_time now = events_.Now();
  if (vm.core == kCores) {
    return;
  }
  report_request request;
  request.vm = vm.name;
  request.seen.workspaces = std::exchange(vm.unsent, {});
  const auto age_of = [now](const timed_counts& counts) {
    return duration_cast<milliseconds>(now - counts.at);
  };
  for (const timed_counts& counts : std::exchange(vm.undelivered, {})) {
    if (age_of(counts) < kMaxCountAge) {
      request.seen.late.push_back({age_of(counts), counts.workspaces, {}});
    }
  }
  if (std::exchange(vm.is_former_due, false)) {
    request.former_core = vm.former_incarnation;
    for (const timed_counts& counts : vm.delivered) {
      if (age_of(counts) < kMaxCountAge) {
        request.former.push_back({age_of(counts), counts.workspaces, {}});
      }
    }
  }
  const std::size_t core = vm.core;
  events_.After(LinkDelay(vm, core), [this, number, core, request, now]() mutable {
    if (cores_[core].IsRunning()) {
      KeepDelivered(vms_[number], request, now);
      OnReport(core, std::move(request));
      return;
    }
    const milliseconds until_failure = cores_[core].usage ? kReportTimeout : kRefusedConnection;
    events_.After(until_failure,
                  [this, number, request, now] { KeepUndelivered(number, request, now); });
  });
}

void sim_rate_fleet::KeepUndelivered(std::size_t number,
                                     const report_request& request,
                                     steady_time sent_at) {
  entry_vm& vm = vms_[number];
  vm.is_former_due = vm.is_former_due || !request.former.empty();
  if (!request.seen.workspaces.empty()) {
    vm.undelivered.push_back({sent_at, request.seen.workspaces});
  }
  for (const resent_counts& late : request.seen.late) {
    vm.undelivered.push_back({sent_at - late.age, late.workspaces});
  }
  ScheduleReport(number);
}

void sim_rate_fleet::KeepDelivered(entry_vm& vm,
                                   const report_request& request,
                                   steady_time sent_at) {
  const auto keep = [&vm](steady_time at, const std::vector<named_counts>& workspaces) {
    if (!vm.delivered.empty() && at >= vm.delivered.back().at &&
        at - vm.delivered.back().at < kFormerCountStep) {
      MergeCounts(vm.delivered.back().workspaces, workspaces);
    } else if (!workspaces.empty()) {
      vm.delivered.push_back({at, workspaces});
    }
  };
  keep(sent_at, request.seen.workspaces);
  for (const resent_counts& late : request.seen.late) {
    keep(sent_at - late.age, late.workspaces);
  }
  while (!vm.delivered.empty() && sent_at - vm.delivered.front().at > kMaxCountAge) {
    vm.delivered.pop_front();
  }
}

}  // namespace corianderhoist
