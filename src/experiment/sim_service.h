/// The simulated upstreams at work: service times, faults, crashes and restarts.
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

  /// Takes the request to the upstream and calls `done` at the entry VM with the end of the
  /// attempt, at the request's deadline at the latest.
  void Run(const sim_request& request,
           const sim_decision& decision,
           std::function<void(attempt_result)> done);
  /// Plans the restarts of the scenario's cold start waves.
  void ScheduleRestarts();

  bool HasRun(std::uint64_t request) const { return executions_.contains(request); }
  /// Orders that ran more than once.
  std::uint64_t Doubles() const { return doubles_; }
  std::uint64_t Crashes() const { return crashes_; }

 private:
  struct attempt {
    std::function<void(attempt_result)> done;
    bool is_finished = false;
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  void Execute(const sim_request& request, std::size_t upstream, const attempt_ptr& running);
  bool Free(std::size_t upstream, const attempt_ptr& running);
  void CountExecution(const sim_request& request);
  void Crash(std::size_t upstream);
  void Restart(std::size_t upstream, std::chrono::milliseconds down);
  std::chrono::nanoseconds ServiceTime(std::size_t upstream);
  bool Fails(std::size_t upstream);
  /// Ends an attempt after the way back.
  void End(const attempt_ptr& running, attempt_result outcome, std::chrono::nanoseconds delay);

  sim_world& world_;
  std::vector<std::vector<attempt_ptr>> attempts_;  // Running, by upstream.
  std::unordered_map<std::uint64_t, int> executions_;
  std::uint64_t doubles_ = 0;
  std::uint64_t crashes_ = 0;
};

}  // namespace corianderhoist
