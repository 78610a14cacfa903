#include "serving/service_room.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// The slots and the pipeline.
constexpr std::uint32_t kRequestsPerSlot = 2;

std::uint32_t FreeOf(const room_candidate& candidate) {
  const std::uint32_t capacity = std::max(candidate.slots, 1U) * kRequestsPerSlot;
  const std::uint32_t free = capacity - std::min(candidate.running, capacity);
  return candidate.is_failing ? std::min(candidate.is_trial_due ? 1U : 0U, free) : free;
}

}  // namespace

service_room ComputeRoom(const std::vector<room_candidate>& candidates,
                         const room_sharers& sharers) {
  service_room room;
  std::uint32_t own_running = 0;
  for (const room_candidate& candidate : candidates) {
    if (!candidate.opens_in) {
      continue;
    }
    if (candidate.opens_in->count() > 0) {
      room.opens_in = std::min(room.opens_in.value_or(*candidate.opens_in), *candidate.opens_in);
      continue;
    }
    ++room.open_upstreams;
    room.sound_upstreams += !candidate.is_failing || candidate.is_trial_due ? 1 : 0;
    room.free += FreeOf(candidate);
    if (!candidate.is_failing) {
      room.slots += std::max(candidate.slots, 1U);
      own_running += candidate.own_running;
    }
  }
  if (room.open_upstreams > 0) {
    room.opens_in.reset();
  }
  if (!sharers.is_state_stale) {
    const std::uint32_t equal_part = room.free / std::max(sharers.waiting_vms, 1U);
    room.share = std::max(equal_part, std::min(room.free, 1U));
    return room;
  }
  const std::uint32_t capacity = room.slots * kRequestsPerSlot;
  const std::uint32_t own_part =
      std::max(capacity / std::max(sharers.active_vms, 1U), std::min(capacity, 1U));
  room.share = own_part - std::min(own_running, own_part);
  room.free = room.share;
  return room;
}

}  // namespace corianderhoist
