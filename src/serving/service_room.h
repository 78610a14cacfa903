/// How many requests this VM may send to a service now without overloading its upstreams.
///
/// Pure: the view of the upstreams and the numbers of VMs are passed in. Counts are requests, times
/// are milliseconds. There are no errors; a service without upstreams has no room.
///
/// Load that it answers: more requests than slots for some seconds, on many VMs at once, while a
/// part of the upstreams is slow or failing.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace corianderhoist {

/// An upstream that the request may use, as far as its free capacity is concerned.
struct room_candidate {
  std::uint32_t slots = 1;        ///< Requests that it can process concurrently.
  std::uint32_t running = 0;      ///< Running requests of all VMs.
  std::uint32_t own_running = 0;  ///< Running requests of this VM.
  bool is_failing = false;        ///< Requests are more likely to fail there than not.
  bool is_trial_due = false;      ///< It should get a request as a trial.
  /// Time until its statements admit a request: zero if they do now, nothing if they never will.
  std::optional<std::chrono::milliseconds> opens_in = std::chrono::milliseconds(0);
};

/// The VMs that share the capacity of a service.
struct room_sharers {
  std::uint32_t active_vms = 1;   ///< Entry VMs that were active recently.
  std::uint32_t waiting_vms = 0;  ///< Entry VMs with requests waiting for the service.
  bool is_state_stale = false;    ///< The running requests of other VMs are not known.
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

/// An upstream has room for its slots and a pipeline of one more request per slot, so that a slot
/// does not idle while its VM hears that it is free. Failing upstreams have none, except for one
/// trial that is due. This VM gets an equal part of the free capacity among the VMs that wait, at
/// least one request. With stale state it gets an equal part of the capacity among all active VMs,
/// minus its own running requests.
service_room ComputeRoom(const std::vector<room_candidate>& candidates,
                         const room_sharers& sharers);

}  // namespace corianderhoist
