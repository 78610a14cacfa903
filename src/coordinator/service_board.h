/// Upstreams, slots, queue and health of one service in one region.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coordinator/fair_queue.h"
#include "coordinator/health_judge.h"
#include "coordinator/messages.h"
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

/// A slot that a request received.
struct slot_grant {
  slot_lease lease;
  std::string address;
};

/// A refusal of a request that was not run.
struct slot_refusal {
  error_kind kind = error_kind::kQueueTimeout;
  std::string detail;
};

using slot_outcome = std::variant<slot_grant, slot_refusal>;

/// An admitted request that needs a slot.
struct slot_request {
  std::uint64_t term = 0;  ///< With `number`, makes the lease id unique.
  std::uint64_t number = 0;
  std::string admission;  ///< From the home coordinator of another region.
  std::string request_id;
  std::string session;  ///< "entry VM/incarnation"
  std::string workspace;
  std::string idempotency_key;
  digest fingerprint{};
  std::vector<place> places;  ///< Allowed, in order of preference.
  std::vector<std::string> avoid;
  steady_time deadline;
  bool is_idempotent = false;
  bool is_suspect = false;
  std::function<void(slot_outcome)> done;
};

/// What follows from a call, to be carried out once the lock of the board is released.
struct board_effects {
  std::vector<std::function<void()>> answers;
  std::vector<ejection_change> ejections;
  std::vector<slot_lease> lost;  ///< Leases that ended without an outcome.

  void Answer(slot_request& request, slot_outcome outcome) {
    answers.emplace_back([done = std::move(request.done), outcome = std::move(outcome)]() mutable {
      done(std::move(outcome));
    });
  }
};

/// Not thread safe; one lock per shard of services guards it.
class service_board {
 public:
  explicit service_board(std::string service);

  /// Drops all soft state. Ejections of the log hold from the start; nothing is known of the
  /// upstreams until they announce themselves again.
  void Start(const std::vector<ejection>& ejections, steady_time now);
  void SetFloor(std::uint32_t percent) { floor_percent_ = percent; }

  /// Grants a slot, queues the request or refuses it; `done` is called through `effects`.
  void Acquire(slot_request request, steady_time now, board_effects& effects);
  /// Ends a lease and counts its outcome as evidence. Returns the lease when it was still open.
  std::optional<slot_lease> Complete(const complete_request& report,
                                     bool is_suspect,
                                     steady_time now,
                                     board_effects& effects);
  /// Ends a lease that the entry VM no longer knows.
  void Drop(const std::string& lease, steady_time now, board_effects& effects);
  /// Takes over a running lease of a former leader, as the session of its entry VM lists it.
  void Adopt(const std::string& lease_id, const std::string& session, steady_time now);
  announce_result Announce(const announcement& news, steady_time now, board_effects& effects);

  /// Periodic work: deadlines of the queue, lapsed sessions, freshness, ejection times.
  void Tick(steady_time now,
            const std::function<bool(const std::string& session)>& is_alive,
            board_effects& effects);
  /// Refuses everything in the queue.
  void RefuseAll(error_kind kind, const std::string& detail, board_effects& effects);

  /// True when an upstream in one of `places` is ready, in service or not.
  bool HasUpstream(const std::vector<place>& places, steady_time now) const;

  /// True once every upstream has had the time to announce itself to this leader.
  bool IsWarm(steady_time now) const;

  const slot_lease* FindLeaseOfRequest(const std::string& request_id) const {
    return slots_.FindByRequest(request_id);
  }
  std::string AddressOf(const upstream_id& upstream) const;
  const upstream_directory& Directory() const { return directory_; }
  const slot_table& Slots() const { return slots_; }
  const health_judge& Judge() const { return judge_; }
  std::map<std::string, std::size_t> QueueLengths() const { return queue_.Lengths(); }
  std::vector<upstream_capacity> Capacities(steady_time now) const;
  std::uint32_t FloorPercent() const { return floor_percent_; }

 private:
  struct choice {
    const upstream_entry* upstream = nullptr;
    bool is_trial = false;
  };

  choice Choose(const slot_request& request, steady_time now) const;
  std::uint64_t LastChoice(const std::string& upstream) const;
  bool HasShedLately(const std::string& upstream, steady_time now) const;
  std::optional<choice> Consider(const upstream_entry& entry,
                                 const slot_request& request,
                                 steady_time now) const;
  slot_grant Open(const slot_request& request, const choice& chosen, steady_time now);
  void Dispatch(steady_time now, board_effects& effects);
  void KeepFloor(steady_time now, board_effects& effects);
  void Eject(steady_time now, board_effects& effects);
  std::uint32_t CostOf(const std::string& workspace) const;
  void LearnCost(const slot_lease& lease, steady_time now);

  const std::string service_;
  steady_time started_;
  std::uint32_t floor_percent_ = 100;
  upstream_directory directory_;
  slot_table slots_;
  health_judge judge_;
  fair_queue<slot_request> queue_;
  std::map<std::string, std::uint64_t> last_choice_;  // Number of the last grant by upstream.
  std::map<std::string, steady_time> last_shed_;      // By upstream.
  std::uint64_t choices_ = 0;
  std::map<std::string, double> slot_milliseconds_;  // Moving mean by workspace.
  steady_time swept_at_;
};

}  // namespace corianderhoist
