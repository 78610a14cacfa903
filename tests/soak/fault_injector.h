/// Applies scheduled faults to the processes, links and upstreams of a soak run.
#pragma once

#include "soak/judge.h"
#include "soak/run_clock.h"
#include "soak/soak_fleet.h"
#include "soak/soak_operator.h"
#include "soak/soak_upstreams.h"

#include <functional>
#include <string>
#include <vector>

namespace corianderhoist::soak {

/// Used on the thread that started the processes.
class fault_injector {
 public:
  fault_injector(soak_fleet& fleet,
                 upstream_group& upstreams,
                 soak_operator& changes,
                 const run_clock& clock,
                 judge& verdicts,
                 promised_bounds bounds,
                 std::function<void(run_time, const std::string&)> print);

  /// A fault that the state of its target does not allow is skipped.
  void Apply(const scheduled_fault& fault);
  /// Restarts, resumes and heals what is due, and checks that no process ended by itself. Returns
  /// whether any fault still lasts.
  bool Tick();

 private:
  struct lasting_fault {
    std::size_t record = 0;
    run_time end{};
    std::function<void()> heal;
  };

  void ApplyToVm(const scheduled_fault& fault, soak_vm& vm, std::size_t number);
  void ApplyToUpstream(const scheduled_fault& fault);
  std::size_t Begin(const scheduled_fault& fault, std::size_t target, const std::string& name);
  void Signal(soak_vm& vm, int signal);
  void Kill(soak_vm& vm, std::size_t record, run_time restart_delay);
  void TickVm(soak_vm& vm);
  void HandleEnd(soak_vm& vm);
  bool MayWipe(const soak_vm& vm) const;

  soak_fleet& fleet_;
  upstream_group& upstreams_;
  soak_operator& changes_;
  const run_clock& clock_;
  judge& judge_;
  const promised_bounds bounds_;
  const std::function<void(run_time, const std::string&)> print_;
  std::vector<lasting_fault> lasting_;
};

}  // namespace corianderhoist::soak
