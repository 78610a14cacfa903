/// Policy that runs the decision modules of the coordinators with a simulated network and log.
#pragma once

#include "coordinator/crash_registry.h"
#include "coordinator/slot_allocator.h"
#include "coordinator/token_bucket_table.h"
#include "entry/retry_budget.h"
#include "experiment/sim_world.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// One coordinator per region decides with `token_bucket_table`, `slot_allocator` (directory,
/// slots, queue and health) and `crash_registry`, in the order in which `coordinator_core` calls
/// them. A commit to the region's log takes 3 ms.
class fleet_policy final : public sim_policy {
 public:
  explicit fleet_policy(sim_world& world);

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
  /// The decision modules of one region's coordinator.
  struct region_modules {
    token_bucket_table bucket_table;
    slot_allocator allocator{"orders"};
    crash_registry crashes;
    std::set<digest> blocked;
  };
  /// A request in progress at the coordinator of its home region.
  struct acquisition {
    sim_request request;
    std::function<void(sim_decision)> done;
    steady_time started;
  };
  using acquisition_ptr = std::shared_ptr<acquisition>;

  int HomeRegion(const sim_request& request) const;
  int VmRegion(const sim_request& request) const { return world_.vm_regions[request.vm]; }
  void Admit(const acquisition_ptr& pending);
  void TakeToken(const acquisition_ptr& pending);
  void RequestSlot(const acquisition_ptr& pending, int region_index);
  void OnSlotOutcome(const acquisition_ptr& pending, int region_index, const slot_outcome& outcome);
  void Reply(const acquisition_ptr& pending, int from_region, const sim_decision& decision);
  void Refuse(const acquisition_ptr& pending, error_kind kind);
  void DeliverReport(const sim_request& request,
                     const sim_decision& decision,
                     attempt_result outcome,
                     std::chrono::microseconds latency);
  void RecordCrash(const sim_request& request,
                   const sim_decision& decision,
                   attempt_result outcome);
  void ProposeGuarantee(token_bucket& bucket,
                        int region_index,
                        const std::string& workspace,
                        bool may_raise);
  void ApplyEffects(allocator_effects& effects);
  std::size_t UpstreamIndex(const std::string& upstream) const;

  sim_world& world_;
  std::vector<region_modules> regions_;
  std::vector<std::unique_ptr<retry_budget>> budgets_;  // Indexed by entry VM.
  std::uint64_t next_lease_ = 1;
  steady_time guarantees_raised_at_;
};

}  // namespace corianderhoist
