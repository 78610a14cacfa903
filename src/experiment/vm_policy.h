/// Baselines in which each entry VM decides alone.
#pragma once

#include "experiment/sim_world.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace corianderhoist {

/// What a baseline does beside round robin.
struct vm_policy_options {
  /// Consecutive errors after which a VM ejects an upstream; 0: never.
  int errors_until_ejection = 0;
  std::chrono::milliseconds first_ejection{30'000};  ///< Times the number of ejections so far.
  int most_ejected_percent = 50;                     ///< Of the upstreams of a region, per VM.
  bool reads_load = false;  ///< Avoids upstreams whose load endpoint reports 90 % or more.
};

/// Round robin over the upstreams of the first allowed region, with a fixed share of each
/// workspace's rate and burst per VM. The VMs of its home region share the part of its requests
/// that is expected there equally, the other VMs the rest; a burst is at least one token.
class vm_policy final : public sim_policy {
 public:
  vm_policy(sim_world& world, vm_policy_options options);

  void Acquire(const sim_request& request, std::function<void(sim_decision)> done) override;
  void Complete(const sim_request& request,
                const sim_decision& decision,
                attempt_result outcome,
                std::chrono::microseconds latency) override;
  void Announce(const announcement& news, std::size_t upstream) override;
  void Tick() override;
  bool MayRetry(const sim_request& request, attempt_result outcome) override;
  double EjectedShare(std::size_t upstream) const override;

 private:
  struct upstream_view {
    int errors = 0;
    int ejections = 0;
    steady_time ejected_until;
  };
  struct token_share {
    double tokens = 0;
    steady_time at;
  };
  struct vm_state {
    std::vector<upstream_view> upstreams;
    std::vector<token_share> shares;  // By workspace.
    std::size_t next = 0;
  };
  struct known_upstream {
    announcement last;
    steady_time seen;
    double load = 0;
  };

  double ShareOf(std::size_t vm, std::size_t workspace) const;
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
  steady_time load_read_at_;
};

}  // namespace corianderhoist
