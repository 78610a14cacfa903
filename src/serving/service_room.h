/// How many requests this VM may send to a service now without overloading its upstreams.
///
/// Pure: the view of the upstreams and the numbers of VMs are passed in. Counts are requests, times
/// are milliseconds. There are no errors; a service without upstreams has no room.
///
/// Load that it answers: more requests than slots for some seconds, on many VMs at once, while a
/// part of the upstreams is slow or failing.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace corianderhoist {

/// An upstream that the request may use, as far as its free capacity is concerned.
struct room_candidate {
  std::uint32_t slots = 1;        ///< Requests that it can process concurrently.
  std::uint32_t running = 0;      ///< Running requests of all VMs.
  std::uint32_t own_running = 0;  ///< Running requests of this VM.
  double relative_latency = 0;    ///< As a fraction of the objective; 0: unknown.
  bool is_failing = false;        ///< Requests are more likely to fail there than not.
  bool is_trial_due = false;      ///< It should get a request as a trial.
  /// Time until its statements admit a request: zero if they do now, nothing if they never will.
  std::optional<std::chrono::milliseconds> opens_in = std::chrono::milliseconds(0);
};

/// Order in which waiting requests are sent; lower values first. A request keeps its rank.
struct queue_rank {
  std::uint32_t workspace_priority = 0;
  std::uint32_t route_priority = 0;

  auto operator<=>(const queue_rank&) const = default;
};

/// Entry VMs with requests waiting for a service, by the highest rank that waits on each.
struct rank_waiting {
  queue_rank rank;
  std::uint32_t vms = 0;
};

/// The VMs that share the capacity of a service.
struct room_sharers {
  std::uint32_t active_vms = 1;       ///< Entry VMs that were active recently.
  std::vector<rank_waiting> waiting;  ///< May include this VM.
  queue_rank rank;                    ///< Of the request of this VM that is to be sent next.
  bool is_state_stale = false;        ///< The running requests of other VMs are not known.
  /// From 0 to 1, drawn for each view of the fleet: rounds the part of this VM up or down.
  double draw = 0;
};

struct service_room {
  std::uint32_t free = 0;             ///< Requests that all VMs together could send.
  std::uint32_t share = 0;            ///< Requests that this VM may send.
  std::uint32_t slots = 0;            ///< Of the upstreams that accept requests and do not fail.
  std::uint32_t open_upstreams = 0;   ///< Upstreams whose statements admit a request.
  std::uint32_t sound_upstreams = 0;  ///< Open upstreams that do not fail, or are due for a trial.
  /// Time until the first upstream opens; only if none is open and one will be.
  std::optional<std::chrono::milliseconds> opens_in;
};

/// Requests that an upstream can take now: its slots and a pipeline of one more request per two
/// slots, so that a slot does not idle while VMs hear that it is free, minus its running requests.
/// No pipeline at slow upstreams, where a request that waits for a slot would be late. Failing
/// upstreams have no room, except for one trial that is due.
std::uint32_t FreeCapacity(const room_candidate& candidate);

/// This VM gets an equal part of the free capacity among the VMs on which its rank waits, or if a
/// higher rank waits elsewhere, of a tenth of it among all VMs without the highest rank. The part
/// is rounded at random, so that the VMs together send about as many requests as there is room for,
/// although each may send less than one. With stale state this VM gets an equal part of the
/// capacity among all active VMs, at least one request, minus its own running requests.
service_room ComputeRoom(const std::vector<room_candidate>& candidates,
                         const room_sharers& sharers);

}  // namespace corianderhoist
