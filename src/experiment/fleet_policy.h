/// The decision modules of the coordinators, with fakes for the network and the region's log.
#pragma once

#include "coordinator/crash_registry.h"
#include "coordinator/rate_ledger.h"
#include "coordinator/service_board.h"
#include "entry/retry_budget.h"
#include "experiment/sim_world.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// One coordinator per region decides with `rate_ledger`, `service_board` (directory, slots, queue
/// and health) and `crash_registry`, in the order in which `coordinator_core` calls them. A commit
/// of the region's log takes 3 ms.
class fleet_policy final : public sim_policy {
 public:
  explicit fleet_policy(sim_world& world);

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
  struct region {
    rate_ledger ledger;
    service_board board{"orders"};
    crash_registry crashes;
    std::set<digest> blocked;
  };
  /// A request on its way through the home coordinator.
  struct call {
    sim_request request;
    std::function<void(sim_decision)> done;
    steady_time started;
  };
  using call_ptr = std::shared_ptr<call>;

  int HomeOf(const sim_request& request) const;
  int VmRegion(const sim_request& request) const { return world_.vm_regions[request.vm]; }
  void Admit(const call_ptr& subject);
  void TakeToken(const call_ptr& subject);
  void SeekSlot(const call_ptr& subject, int region_index);
  void OnSlot(const call_ptr& subject, int region_index, const slot_outcome& outcome);
  void Reply(const call_ptr& subject, int from_region, const sim_decision& decision);
  void Refuse(const call_ptr& subject, error_kind kind);
  void Report(const sim_request& request,
              const sim_decision& decision,
              attempt_result outcome,
              std::chrono::microseconds latency);
  void CountCrash(const sim_request& request, const sim_decision& decision, attempt_result outcome);
  void Propose(rate_bucket& bucket, int region_index, const std::string& workspace, bool may_raise);
  void CarryOut(board_effects& effects);
  std::size_t IndexOf(const std::string& upstream) const;

  sim_world& world_;
  std::vector<region> regions_;
  std::vector<std::unique_ptr<retry_budget>> budgets_;  // By entry VM.
  std::uint64_t next_lease_ = 1;
  steady_time raised_at_;
};

}  // namespace corianderhoist
