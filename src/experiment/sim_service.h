/// Execution of requests on simulated upstreams: service times, faults, crashes and restarts.
#pragma once

#include "experiment/sim_world.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

class sim_service {
 public:
  explicit sim_service(sim_world& world) : world_(world), attempts_(world.upstreams.size()) {}

  /// Sends the request to the upstream and calls `done` at the entry VM with the outcome of the
  /// attempt, no later than the request's deadline.
  void Run(const sim_request& request,
           const sim_decision& decision,
           std::function<void(attempt_result)> done);
  /// Schedules the restarts of the scenario's cold start waves.
  void ScheduleRestarts();

  bool HasRun(std::uint64_t request) const { return executions_.contains(request); }
  /// Number of non-idempotent requests that ran more than once.
  std::uint64_t DuplicateExecutions() const { return duplicate_executions_; }
  std::uint64_t Crashes() const { return crashes_; }

 private:
  struct attempt {
    std::function<void(attempt_result)> done;
    bool is_finished = false;
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  void Execute(const sim_request& request, std::size_t upstream, const attempt_ptr& running);
  /// Removes a running attempt and frees its slot. False when the attempt has already ended: it
  /// was cancelled, or the upstream crashed.
  bool ReleaseSlot(std::size_t upstream, const attempt_ptr& running);
  void CountExecution(const sim_request& request);
  void Crash(std::size_t upstream);
  void Restart(std::size_t upstream, std::chrono::milliseconds downtime);
  std::chrono::nanoseconds SampleServiceTime(std::size_t upstream);
  bool ShouldFail(std::size_t upstream);
  /// Reports the outcome of an attempt after `delay`, unless the attempt has finished by then.
  void FinishAfter(const attempt_ptr& running,
                   attempt_result outcome,
                   std::chrono::nanoseconds delay);

  sim_world& world_;
  std::vector<std::vector<attempt_ptr>> attempts_;  // Running, by upstream.
  std::unordered_map<std::uint64_t, int> executions_;
  std::uint64_t duplicate_executions_ = 0;
  std::uint64_t crashes_ = 0;
};

}  // namespace corianderhoist
