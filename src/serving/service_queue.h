/// Decides which requests of an entry VM wait for capacity of a service, in which order they are
/// sent, and which are refused.
///
/// Pure: no I/O and no timers; the time and the room of the service are passed in. Times are points
/// of the monotonic clock; intervals are microseconds; counts are requests. A request that may not
/// wait is returned with the reason; there are no other errors.
///
/// Load that it answers: a burst of one kind of request at twice its usual rate while a third of
/// the upstreams are slow, so that there are more requests than slots for some seconds.
#pragma once

#include "base/clock.h"
#include "serving/service_room.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

struct service_queue_settings {
  /// Requests of a VM that may wait, over all services; 0: none waits.
  std::size_t max_requests = 0;
};

/// A request that waits or is about to.
struct waiting_request {
  std::uint64_t id = 0;  ///< Unique on the VM.
  queue_rank rank;
  std::string workspace;  ///< Empty on a public route.
  /// Upstreams have refused it before running it: it goes ahead of the others of its rank.
  bool is_returning = false;
  steady_time deadline;
  steady_time objective_at;  ///< Answers after this time are late.
  /// From sending to the answer, for about nine of ten requests and in the mean.
  std::chrono::milliseconds likely_response{};
  std::chrono::milliseconds typical_response{};
};

/// Mean interval between two requests of a VM to a service while requests wait, smoothed. Intervals
/// without waiting requests measure the demand and not the capacity; they do not count.
class drain_meter {
 public:
  /// The queue is no longer empty.
  void Begin(steady_time now);
  /// A waiting request was sent. `assumed` stands for the intervals before the first.
  void NoteSent(steady_time now, std::chrono::microseconds assumed);
  /// The expected interval: the mean, or the time since the last request if nothing was sent for
  /// several views of the fleet. `assumed` if nothing was measured lately.
  std::chrono::microseconds Interval(steady_time now,
                                     bool is_waiting,
                                     std::chrono::microseconds assumed) const;

 private:
  std::optional<std::chrono::microseconds> mean_;
  steady_time last_{};
};

/// The waiting requests of one service. By rank; within a rank those that return, then those that
/// can still meet their objective, then start-time fair queueing between workspaces, then by
/// deadline. Of ten requests that are sent, one is of a lower rank if any waits. Linear in the
/// number of waiting requests.
class service_queue {
 public:
  void Push(waiting_request request, steady_time now);
  /// Removes and returns the request to be sent next.
  std::optional<waiting_request> Pop(steady_time now, std::chrono::microseconds assumed_interval);
  /// Removes a request that has ended. Returns whether it was waiting.
  bool Remove(std::uint64_t id);
  /// Removes and returns the requests that can no longer be answered before their deadline.
  std::vector<waiting_request> TakeExpired(steady_time now);
  /// The last request of the lowest rank, or null if the queue is empty.
  const waiting_request* Last(steady_time now) const;

  /// Requests that would be sent before this one, which may be waiting or not.
  std::size_t AheadOf(const waiting_request& request, steady_time now) const;
  /// Requests that wait in this rank and above.
  std::size_t CountUpTo(const queue_rank& rank) const;
  std::map<queue_rank, std::size_t> CountByRank() const;
  /// Of the waiting requests; nothing if the queue is empty.
  std::optional<queue_rank> HighestRank() const;
  std::size_t Size() const { return waiting_.size(); }
  std::chrono::microseconds Interval(steady_time now, std::chrono::microseconds assumed) const {
    return drain_.Interval(now, !waiting_.empty(), assumed);
  }

 private:
  /// Start-time fair queueing within a rank. Each request costs 1.
  struct fair_state {
    std::uint64_t virtual_time = 0;  ///< Start tag of the request that was sent last.
    std::map<std::string, std::uint64_t> next_start;  ///< Of the next request, by workspace.
    std::uint64_t last_sent = 0;  ///< Value of `sent_count_`, or when the rank began to wait.
  };
  struct place_in_order;

  std::uint64_t StartOf(const queue_rank& rank, const std::string& workspace) const;
  std::vector<place_in_order> Ordered(const std::vector<const waiting_request*>& requests,
                                      steady_time now) const;
  std::vector<place_in_order> Ordered(steady_time now) const;
  queue_rank RankToSend() const;
  void NoteSent(const waiting_request& request);
  void DropEmptyRanks();

  std::vector<waiting_request> waiting_;
  std::map<queue_rank, fair_state> ranks_;  ///< Of those with waiting requests.
  std::uint64_t sent_count_ = 0;
  std::uint32_t sent_above_ = 0;  ///< From the highest rank since one of a lower rank was sent.
  drain_meter drain_;
};

/// What becomes of a request that would otherwise be sent at once.
enum class queue_verdict : std::uint8_t {
  kSend,     ///< There is room, or waiting would not help: it is sent as without a queue.
  kWait,     ///< It waits for its turn.
  kTooLate,  ///< Its turn would come too late for its deadline.
  kFull,     ///< The queue is full of requests of its rank or above.
};

struct queue_decision {
  queue_verdict verdict = queue_verdict::kSend;
  std::size_t ahead = 0;
  std::chrono::microseconds expected_wait{};
  std::optional<std::uint64_t> displaced;  ///< The request that is refused in its place.
};

/// The queues of all services of a VM, with a common bound. Not thread safe.
class service_queues {
 public:
  explicit service_queues(service_queue_settings settings) : settings_(settings) {}

  bool IsEnabled() const { return settings_.max_requests > 0; }
  /// Decides about a request that arrives, and adds it if it waits. `active_vms` share the slots.
  queue_decision Enter(const std::string& service,
                       const waiting_request& request,
                       const service_room& room,
                       std::uint32_t active_vms,
                       steady_time now);
  /// Removes and returns the next request of the service.
  std::optional<waiting_request> Pop(const std::string& service,
                                     const service_room& room,
                                     std::uint32_t active_vms,
                                     steady_time now);
  /// Removes and returns the requests of all services that can no longer be answered in time.
  std::vector<waiting_request> TakeExpired(steady_time now);
  void Remove(std::uint64_t id);

  bool IsWaiting(const std::string& service) const;
  /// Services with waiting requests.
  std::vector<std::string> WaitingServices() const;
  std::size_t Size() const;
  const std::map<std::string, service_queue>& Queues() const { return queues_; }
  /// Requests that wait for the service in this rank and above, and the interval between two that
  /// are sent; nothing if the service has never had waiting requests.
  struct backlog {
    std::size_t ahead = 0;
    std::chrono::microseconds interval{};
  };
  std::optional<backlog> BacklogOf(const std::string& service,
                                   const queue_rank& rank,
                                   steady_time now) const;

 private:
  std::optional<std::uint64_t> Displace(const queue_rank& by, steady_time now);

  const service_queue_settings settings_;
  std::map<std::string, service_queue> queues_;
  std::map<std::string, std::chrono::microseconds> assumed_intervals_;  ///< By service; the latest.
};

/// Bounds what a VM sends from a queue between two views of the fleet. Other VMs with the same view
/// send as well, so that the room of one view must not be used repeatedly; an attempt of this VM
/// that ends frees what it used.
class send_allowance {
 public:
  void OnStateUpdate() { is_renewal_due_ = true; }
  void OnAttemptEnd() { ++left_; }
  void OnSent() { left_ -= left_ > 0 ? 1 : 0; }
  /// Returns how many requests may be sent now.
  std::uint32_t Left(const service_room& room, bool is_state_stale, steady_time now);

 private:
  std::uint32_t left_ = 0;
  bool is_renewal_due_ = true;
  steady_time renewed_at_{};
};

}  // namespace corianderhoist
