/// Slot allocation for the upstreams of one service in one region.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coordinator/fair_queue.h"
#include "coordinator/messages.h"
#include "coordinator/outlier_detector.h"
#include "coordinator/slot_table.h"
#include "coordinator/upstream_directory.h"
#include "rules/rule_set.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace corianderhoist {

/// A slot granted to a request.
struct slot_grant {
  slot_lease lease;
  std::string address;
};

/// Refusal of a slot; the request has not run.
struct slot_refusal {
  error_kind kind = error_kind::kQueueTimeout;
  std::string detail;
};

using slot_outcome = std::variant<slot_grant, slot_refusal>;

/// An admitted request that needs a slot.
struct slot_request {
  std::uint64_t term = 0;  ///< Makes the lease id unique, together with `number`.
  std::uint64_t number = 0;
  std::string admission;  ///< Issued by the home coordinator when that is in another region.
  std::string request_id;
  std::string session;  ///< "entry VM/incarnation"
  std::string workspace;
  std::string idempotency_key;
  digest fingerprint{};
  std::vector<place> places;       ///< Allowed places in order of preference.
  std::vector<std::string> avoid;  ///< Upstreams that this request has already tried.
  steady_time deadline;
  bool is_idempotent = false;
  bool is_suspect = false;
  std::function<void(slot_outcome)> done;
};

/// Side effects of a call, applied by the caller after it has released the lock of the shard.
struct allocator_effects {
  std::vector<std::function<void()>> answers;
  std::vector<ejection_change> ejections;
  std::vector<slot_lease> lost;  ///< Leases that ended without an outcome.

  void Answer(slot_request& request, slot_outcome outcome) {
    answers.emplace_back([done = std::move(request.done), outcome = std::move(outcome)]() mutable {
      done(std::move(outcome));
    });
  }
};

/// Grants the slots of one service: tracks its upstreams, leases and health, and queues requests
/// while no slot is free. Not thread safe; guarded by the lock of its shard.
class slot_allocator {
 public:
  explicit slot_allocator(std::string service);

  /// Clears all soft state. Ejections from the log apply at once; upstreams are unknown until they
  /// announce themselves again.
  void Start(const std::vector<ejection>& ejections, steady_time now);
  /// Sets the floor: the percentage of the announced capacity of each place that ejections must
  /// leave in service.
  void SetFloor(std::uint32_t percent) { floor_percent_ = percent; }

  /// Grants a slot, queues the request or refuses it; `done` is called through `effects`.
  void Acquire(slot_request request, steady_time now, allocator_effects& effects);
  /// Ends a lease and passes its outcome to outlier detection. Returns the lease if it was open.
  std::optional<slot_lease> Complete(const complete_request& report,
                                     bool is_suspect,
                                     steady_time now,
                                     allocator_effects& effects);
  /// Ends a lease that its entry VM no longer lists.
  void Drop(const std::string& lease, steady_time now, allocator_effects& effects);
  /// Adopts a running lease of a former leader, which the session of its entry VM lists.
  void Adopt(const std::string& lease_id, const std::string& session, steady_time now);
  announce_result Announce(const announcement& update, steady_time now, allocator_effects& effects);

  /// Periodic work: expires queued requests, lapsed sessions, silent upstreams and ejections.
  void Tick(steady_time now,
            const std::function<bool(const std::string& session)>& is_alive,
            allocator_effects& effects);
  /// Refuses all queued requests.
  void RefuseAll(error_kind kind, const std::string& detail, allocator_effects& effects);

  /// True when an upstream in one of `places` is ready, even if it is ejected.
  bool HasUpstream(const std::vector<place>& places, steady_time now) const;

  /// True once this leader has waited long enough for every upstream to announce itself.
  bool IsWarm(steady_time now) const;

  const slot_lease* FindLeaseOfRequest(const std::string& request_id) const {
    return slots_.FindByRequest(request_id);
  }
  std::string AddressOf(const upstream_id& upstream) const;
  const upstream_directory& Directory() const { return directory_; }
  const slot_table& Slots() const { return slots_; }
  const outlier_detector& Detector() const { return detector_; }
  std::map<std::string, std::size_t> QueueLengths() const { return queue_.Lengths(); }
  std::vector<upstream_capacity> Capacities(steady_time now) const;
  std::uint32_t FloorPercent() const { return floor_percent_; }

 private:
  struct selection {
    const upstream_entry* upstream = nullptr;
    bool is_trial = false;
  };

  selection SelectUpstream(const slot_request& request, steady_time now) const;
  std::uint64_t LastSelection(const std::string& upstream) const;
  bool HasShedRecently(const std::string& upstream, steady_time now) const;
  std::optional<selection> EvaluateUpstream(const upstream_entry& entry,
                                            const slot_request& request,
                                            steady_time now) const;
  slot_grant OpenLease(const slot_request& request, const selection& chosen, steady_time now);
  void Dispatch(steady_time now, allocator_effects& effects);
  void EnforceFloor(steady_time now, allocator_effects& effects);
  void EjectOutlier(steady_time now, allocator_effects& effects);
  std::uint32_t EstimatedCost(const std::string& workspace) const;
  void UpdateCost(const slot_lease& lease, steady_time now);

  const std::string service_;
  steady_time started_;
  std::uint32_t floor_percent_ = 100;
  upstream_directory directory_;
  slot_table slots_;
  outlier_detector detector_;
  fair_queue<slot_request> queue_;
  std::map<std::string, std::uint64_t>
      last_selected_;                             // Sequence number of the last grant, by upstream.
  std::map<std::string, steady_time> last_shed_;  // Time of the last shed request, by upstream.
  std::uint64_t selections_ = 0;
  std::map<std::string, double> mean_slot_time_ms_;  // Exponential moving average, by workspace.
  steady_time swept_at_;
};

}  // namespace corianderhoist
