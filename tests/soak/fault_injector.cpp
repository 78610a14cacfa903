#include "soak/fault_injector.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace corianderhoist::soak {
namespace {

constexpr run_time kRestartDelay{200};
constexpr run_time kStartTime{2000};
// A wiped core VM counts as lost until it has caught up.
constexpr run_time kCalmBeforeWipe{6000};

}  // namespace

fault_injector::fault_injector(soak_fleet& fleet,
                               upstream_group& upstreams,
                               soak_operator& changes,
                               const run_clock& clock,
                               judge& verdicts,
                               promised_bounds bounds,
                               std::function<void(run_time, const std::string&)> print)
    : fleet_(fleet),
      upstreams_(upstreams),
      changes_(changes),
      clock_(clock),
      judge_(verdicts),
      bounds_(bounds),
      print_(std::move(print)) {}

std::size_t fault_injector::Begin(const scheduled_fault& fault,
                                  std::size_t target,
                                  const std::string& name) {
  print_(clock_.Now(), "fault " + std::string(TraitsOf(fault.kind).name) + " " + name + " " +
                           std::to_string(fault.duration.count()) + " ms");
  return judge_.BeginFault({fault.kind, target, name, clock_.Now(), {}});
}

void fault_injector::Signal(soak_vm& vm, int signal) {
  vm.Process().SendSignal(signal);
}

void fault_injector::Apply(const scheduled_fault& fault) {
  const auto apply_to = [&](std::vector<std::unique_ptr<soak_vm>>& vms) {
    const std::size_t number = fault.target % vms.size();
    ApplyToVm(fault, *vms[number], number);
  };
  switch (TraitsOf(fault.kind).target) {
    case fault_target::kEntry:
      return apply_to(fleet_.Entries());
    case fault_target::kCore:
      if (fault.kind == fault_kind::kKillAllCores) {
        for (std::size_t i = 0; i < fleet_.Cores().size(); ++i) {
          ApplyToVm(fault, *fleet_.Cores()[i], i);
        }
        return;
      }
      return apply_to(fleet_.Cores());
    case fault_target::kUpstream:
      return ApplyToUpstream(fault);
    case fault_target::kOperator:
      judge_.EndFault(Begin(fault, 0, "operator"), clock_.Now());
      return changes_.RequestChange();
  }
}

void fault_injector::ApplyToVm(const scheduled_fault& fault, soak_vm& vm, std::size_t number) {
  if (vm.restart_at || !vm.Process().IsRunning() ||
      (fault.kind == fault_kind::kWipeCore && !MayWipe(vm))) {
    return;
  }
  const run_time now = clock_.Now();
  switch (fault.kind) {
    case fault_kind::kReloadEntry:
      judge_.EndFault(Begin(fault, number, vm.Name()), now);
      return Signal(vm, SIGHUP);
    case fault_kind::kStopEntry:
    case fault_kind::kStopCore:
      Signal(vm, SIGTERM);
      // A second signal does not prolong the grace period.
      if (!vm.stop_deadline) {
        vm.open_faults.push_back(Begin(fault, number, vm.Name()));
        vm.is_expected_down = true;
        vm.stop_deadline = now + bounds_.grace;
        vm.restart_delay = fault.duration;
        vm.was_paused_in_stop = vm.resume_at.has_value();
      }
      return;
    case fault_kind::kPauseEntry:
    case fault_kind::kPauseCore:
      if (!vm.resume_at) {
        vm.open_pause = Begin(fault, number, vm.Name());
        vm.resume_at = now + fault.duration;
        vm.was_paused_in_stop = true;
        Signal(vm, SIGSTOP);
      }
      return;
    default:
      vm.is_wiped = fault.kind == fault_kind::kWipeCore;
      return Kill(vm, Begin(fault, number, vm.Name()), fault.duration);
  }
}

bool fault_injector::MayWipe(const soak_vm& vm) const {
  return std::all_of(fleet_.Cores().begin(), fleet_.Cores().end(), [&](const auto& each) {
    return !each->restart_at && !each->resume_at && !each->stop_deadline &&
           (each->started + kCalmBeforeWipe < clock_.Now() || each.get() == &vm);
  });
}

void fault_injector::Kill(soak_vm& vm, std::size_t record, run_time restart_delay) {
  vm.open_faults.push_back(record);
  vm.is_expected_down = true;
  vm.is_killed = true;
  vm.restart_delay = restart_delay;
  vm.Process().Kill();
}

void fault_injector::ApplyToUpstream(const scheduled_fault& fault) {
  soak_upstream& upstream = upstreams_.Pick(fault.target);
  fault_proxy& link = upstream.Link();
  const std::size_t record = Begin(fault, fault.target, upstream.Id());
  const run_time end = clock_.Now() + fault.duration;
  const auto heal = [&link] { link.Heal(); };
  switch (fault.kind) {
    case fault_kind::kLeave:
      upstreams_.Leave(fault.target);
      return judge_.EndFault(record, clock_.Now());
    case fault_kind::kResetLink:
      link.CloseConnections(true);
      return judge_.EndFault(record, clock_.Now());
    case fault_kind::kDelayLink:
      link.SetForward({.delay = fault.duration / 10});
      link.SetBackward({.delay = fault.duration / 10});
      return lasting_.push_back({record, end, heal});
    case fault_kind::kCutLink:
      link.Cut();
      return lasting_.push_back({record, end, heal});
    case fault_kind::kSilenceLink:
      link.SetBackward({.is_cut = true});
      return lasting_.push_back({record, end, heal});
    default:
      upstream.SetFault(fault.kind, end);
      return lasting_.push_back({record, end, [] {}});
  }
}

bool fault_injector::Tick() {
  bool is_any_active = false;
  for (auto* group : {&fleet_.Cores(), &fleet_.Entries()}) {
    for (const auto& vm : *group) {
      TickVm(*vm);
      is_any_active |= vm->resume_at || vm->stop_deadline || vm->restart_at;
    }
  }
  for (lasting_fault& each : lasting_) {
    if (each.end <= clock_.Now()) {
      each.heal();
      judge_.EndFault(each.record, clock_.Now());
    }
  }
  std::erase_if(lasting_, [&](const lasting_fault& each) { return each.end <= clock_.Now(); });
  return is_any_active || !lasting_.empty();
}

void fault_injector::TickVm(soak_vm& vm) {
  const run_time now = clock_.Now();
  if (vm.Process().IsRunning()) {
    if (vm.resume_at && *vm.resume_at <= now) {
      Signal(vm, SIGCONT);
      judge_.EndFault(*vm.open_pause, now);
      vm.resume_at.reset();
    }
    if (vm.stop_deadline && *vm.stop_deadline < now) {
      if (!vm.was_paused_in_stop) {
        judge_.ProcessEnded(vm.Name(), now, "still ran at the end of its grace period");
      }
      vm.is_killed = true;
      vm.Process().Kill();
    }
    return;
  }
  if (!vm.restart_at) {
    HandleEnd(vm);
  } else if (*vm.restart_at <= now) {
    if (vm.is_wiped) {
      vm.WipeData();
    }
    vm.is_wiped = false;
    vm.is_expected_down = false;
    vm.restart_at.reset();
    vm.started = now;
    fleet_.Restart(vm);
    for (const std::size_t each : vm.open_faults) {
      judge_.EndFault(each, now);
    }
    vm.open_faults.clear();
    print_(now, "started " + vm.Name());
  }
}

void fault_injector::HandleEnd(soak_vm& vm) {
  const run_time now = clock_.Now();
  const int exit_code = vm.Process().WaitForEnd(run_time(0));
  if (!vm.is_expected_down) {
    judge_.ProcessEnded(vm.Name(), now, "ended by itself, exit code " + std::to_string(exit_code));
    vm.restart_delay = kRestartDelay;
  } else if (!vm.is_killed) {
    print_(now, "ended " + vm.Name() + ", exit code " + std::to_string(exit_code));
    // SIGTERM ends a process that has not yet installed its handler.
    if (exit_code != 0 && *vm.stop_deadline - bounds_.grace > vm.started + kStartTime) {
      judge_.ProcessEnded(vm.Name(), now,
                          "ended after SIGTERM with exit code " + std::to_string(exit_code));
    }
  }
  vm.is_killed = false;
  if (vm.resume_at) {
    judge_.EndFault(*vm.open_pause, now);
  }
  vm.resume_at.reset();
  vm.stop_deadline.reset();
  vm.restart_at = now + vm.restart_delay;
}

}  // namespace corianderhoist::soak
