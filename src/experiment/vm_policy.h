/// Baseline policies in which each entry VM decides from its local state only.
#pragma once

#include "experiment/sim_world.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Features of a baseline in addition to round robin.
struct vm_policy_options {
  /// Consecutive errors after which a VM ejects an upstream; 0: never.
  int errors_until_ejection = 0;
  /// Multiplied by the number of ejections of the upstream by this VM so far.
  std::chrono::milliseconds base_ejection_time{30'000};
  int max_ejection_percent = 50;    ///< Of the upstreams of a region, per VM.
  bool uses_reported_load = false;  ///< Avoids upstreams whose load endpoint reports 90 % or more.
};

/// Round robin over the usable upstreams of the first allowed region that has any. Each VM enforces
/// a fixed share of each workspace's rate and burst: the VMs of the home region divide the expected
/// share of requests there equally, the other VMs divide the rest. A burst is at least one token.
class vm_policy final : public sim_policy {
 public:
  vm_policy(sim_world& world, vm_policy_options options);

  void Acquire(const sim_request& request, std::function<void(sim_decision)> done) override;
  void Complete(const sim_request& request,
                const sim_decision& decision,
                attempt_result outcome,
                std::chrono::microseconds latency) override;
  void Announce(const announcement& message, std::size_t upstream) override;
  void Tick() override;
  bool MayRetry(const sim_request& request, attempt_result outcome) override;
  double EjectedShare(std::size_t upstream) const override;

 private:
  struct upstream_health {
    int errors = 0;
    int ejections = 0;
    steady_time ejected_until;
  };
  struct vm_token_bucket {
    double tokens = 0;
    steady_time updated_at;
  };
  struct vm_state {
    std::vector<upstream_health> upstreams;
    std::vector<vm_token_bucket> buckets;  // Indexed by workspace.
    std::size_t next_upstream = 0;
  };
  struct known_upstream {
    announcement last_announcement;
    steady_time seen_at;
    double load = 0;
  };

  /// Share of the rate and burst of the workspace that the VM enforces.
  double LimitShare(std::size_t vm, std::size_t workspace) const;
  bool TakeToken(std::size_t vm, std::size_t workspace);
  bool IsUsable(const vm_state& vm,
                const sim_request& request,
                std::size_t upstream,
                int region) const;
  sim_decision Choose(const sim_request& request);
  void Eject(std::size_t vm, std::size_t upstream);

  sim_world& world_;
  const vm_policy_options options_;
  std::vector<vm_state> vms_;
  std::vector<known_upstream> known_;
  steady_time load_polled_at_;
};

}  // namespace corianderhoist
