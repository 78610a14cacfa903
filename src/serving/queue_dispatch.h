/// Connects the queues of an entry VM (`service_queue`) to its requests, upstreams and reports.
///
/// Dispatch follows events: the end of an attempt, a new view of the fleet, the sweep of the VM,
/// and the time at which the first of the closed upstreams opens.
#pragma once

#include "serving/fleet_view.h"
#include "serving/placement.h"
#include "serving/service_queue.h"
#include "serving/service_room.h"

#include <QJsonArray>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

struct serving_context;

/// The request behind a place in a queue, and what it is told. At most one of the functions is
/// called, once.
struct queue_ticket {
  std::string request_id;
  std::string attempt_id;
  std::function<void()> on_turn;  ///< The request may be sent now.
  std::function<void(error_kind kind, const std::string& detail)> on_refused;
};

/// Used on one thread.
class queue_dispatch {
 public:
  explicit queue_dispatch(serving_context& context);
  queue_dispatch(const queue_dispatch&) = delete;
  queue_dispatch& operator=(const queue_dispatch&) = delete;

  bool IsEnabled() const { return queues_.IsEnabled(); }
  /// How much room the service has for this VM now.
  service_room RoomOf(const std::string& service, const queue_rank& rank) const;
  /// The upstream as a candidate for room.
  room_candidate RoomCandidateOf(const known_upstream& upstream,
                                 const placement_candidate& known) const;
  /// Decides about a request. If it waits, its `id` is set, and the ticket is called later.
  queue_verdict Enter(const std::string& service, waiting_request& request, queue_ticket ticket);
  /// Removes a request that has ended. Does nothing if it does not wait.
  void Leave(std::uint64_t id);
  bool IsWaiting(std::uint64_t id) const { return tickets_.contains(id); }

  /// The view of the fleet was updated.
  void OnStateUpdate();
  /// Refuses what has become too late, sends what may be sent, and reports who waits.
  void Sweep();
  std::optional<service_queues::backlog> BacklogOf(const std::string& service,
                                                   const queue_rank& rank,
                                                   steady_time now) const {
    return queues_.BacklogOf(service, rank, now);
  }
  /// Waiting requests by service and rank, for dumps.
  QJsonArray Dump() const;

 private:
  struct waiting_ticket {
    queue_ticket ticket;
    std::string service;
    queue_rank rank;
    steady_time entered_at;
  };

  bool IsStateStale() const;
  std::vector<rank_waiting> WaitingFor(const std::string& service) const;
  void ReportWaiting();
  void OnAttemptEnd(upstream_handle upstream);
  void Schedule(std::chrono::milliseconds delay);
  void Dispatch();
  void DispatchService(const std::string& service);
  std::optional<queue_ticket> Take(std::uint64_t id, std::string_view outcome);
  void RefuseExpired();
  void LogEntered(const std::string& service,
                  const waiting_request& request,
                  const queue_ticket& ticket,
                  const queue_decision& decision,
                  const service_room& room) const;

  serving_context& context_;
  service_queues queues_;
  std::map<std::string, send_allowance> allowances_;  ///< By service.
  std::map<std::uint64_t, waiting_ticket> tickets_;
  std::uint64_t next_id_ = 1;
  double draw_ = 0;  ///< For the present view of the fleet.
  QTimer dispatch_timer_;
};

}  // namespace corianderhoist
