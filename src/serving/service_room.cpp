#include "serving/service_room.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// A request that waits for a slot of a slower upstream gets its answer after the objective.
constexpr double kMaxPipelineLatency = 0.5;

// Of the free capacity, for ranks below the highest one that waits. Prevents starvation.
constexpr double kLowerRankRatio = 0.1;

std::uint32_t CapacityOf(const room_candidate& candidate) {
  const std::uint32_t slots = std::max(candidate.slots, 1U);
  return candidate.relative_latency > kMaxPipelineLatency ? slots : slots + (slots + 1) / 2;
}

// Of the free capacity.
double PartOf(const room_sharers& sharers) {
  queue_rank highest = sharers.rank;
  for (const rank_waiting& each : sharers.waiting) {
    highest = std::min(highest, each.rank);
  }
  const bool is_outranked = highest < sharers.rank;
  std::uint32_t vms = 0;
  for (const rank_waiting& each : sharers.waiting) {
    vms += (is_outranked ? each.rank > highest : each.rank == highest) ? each.vms : 0;
  }
  return (is_outranked ? kLowerRankRatio : 1) / std::max(vms, 1U);
}

}  // namespace

std::uint32_t FreeCapacity(const room_candidate& candidate) {
  const std::uint32_t capacity = CapacityOf(candidate);
  const std::uint32_t free = capacity - std::min(candidate.running, capacity);
  return candidate.is_failing ? std::min(candidate.is_trial_due ? 1U : 0U, free) : free;
}

service_room ComputeRoom(const std::vector<room_candidate>& candidates,
                         const room_sharers& sharers) {
  service_room room;
  std::uint32_t own_running = 0;
  std::uint32_t capacity = 0;
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
    room.free += FreeCapacity(candidate);
    if (!candidate.is_failing) {
      room.slots += std::max(candidate.slots, 1U);
      capacity += CapacityOf(candidate);
      own_running += candidate.own_running;
    }
  }
  if (room.open_upstreams > 0) {
    room.opens_in.reset();
  }
  if (!sharers.is_state_stale) {
    const double equal_part = room.free * PartOf(sharers);
    room.share = std::min(static_cast<std::uint32_t>(equal_part + sharers.draw), room.free);
    return room;
  }
  const std::uint32_t own_part =
      std::max(capacity / std::max(sharers.active_vms, 1U), std::min(capacity, 1U));
  room.share = own_part - std::min(own_running, own_part);
  room.free = room.share;
  return room;
}

}  // namespace corianderhoist
