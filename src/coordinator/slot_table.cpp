#include "coordinator/slot_table.h"

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

void DecrementCount(std::map<upstream_id, std::uint32_t>& counts, const upstream_id& upstream) {
  const auto found = counts.find(upstream);
  assert(found != counts.end() && "a slot was released twice");
  if (--found->second == 0) {
    counts.erase(found);
  }
}

std::uint32_t CountOf(const std::map<upstream_id, std::uint32_t>& counts,
                      const upstream_id& upstream) {
  const auto found = counts.find(upstream);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

void slot_table::Open(slot_lease lease) {
  assert(!leases_.contains(lease.id) && "lease ids must not repeat");
  ++in_use_[lease.upstream];
  if (lease.is_suspect) {
    ++suspects_[lease.upstream];
  }
  lease_of_request_[lease.request_id] = lease.id;
  std::string id = lease.id;
  leases_.emplace(std::move(id), std::move(lease));
}

const slot_lease* slot_table::Find(const std::string& id) const {
  const auto found = leases_.find(id);
  return found == leases_.end() ? nullptr : &found->second;
}

const slot_lease* slot_table::FindByRequest(const std::string& request_id) const {
  const auto found = lease_of_request_.find(request_id);
  return found == lease_of_request_.end() ? nullptr : Find(found->second);
}

std::uint32_t slot_table::InUse(const upstream_id& upstream) const {
  return CountOf(in_use_, upstream);
}

bool slot_table::HasSuspect(const upstream_id& upstream) const {
  return CountOf(suspects_, upstream) > 0;
}

void slot_table::Release(const std::string& id) {
  const auto found = leases_.find(id);
  DecrementCount(in_use_, found->second.upstream);
  if (found->second.is_suspect) {
    DecrementCount(suspects_, found->second.upstream);
  }
  const auto request = lease_of_request_.find(found->second.request_id);
  if (request != lease_of_request_.end() && request->second == id) {
    lease_of_request_.erase(request);
  }
  leases_.erase(found);
}

std::optional<slot_lease> slot_table::Complete(const std::string& id,
                                               bool is_upstream_busy,
                                               steady_time now) {
  const auto found = leases_.find(id);
  if (found == leases_.end() || found->second.is_completed) {
    return std::nullopt;
  }
  slot_lease& lease = found->second;
  lease.is_completed = true;
  slot_lease ended = lease;
  if (!is_upstream_busy || lease.deadline <= now) {
    Release(id);
    return ended;
  }
  lease.held_until = std::min(lease.deadline, now + kBusyUpstreamSlotHold);
  lease_of_request_.erase(lease.request_id);
  return ended;
}

std::vector<slot_lease> slot_table::Sweep(
    steady_time now,
    const std::function<bool(const std::string& session)>& is_alive) {
  std::vector<std::string> released;
  std::vector<slot_lease> lost;
  for (auto& [id, lease] : leases_) {
    if (!lease.is_completed) {
      // A session that is renewed after a lapse keeps its leases.
      if (is_alive(lease.session)) {
        lease.held_until.reset();
      } else if (!lease.held_until) {
        lease.held_until = std::max(lease.deadline, now) + kLapsedSessionSlotHold;
      }
    }
    if (lease.held_until && *lease.held_until <= now) {
      released.push_back(id);
      if (!lease.is_completed) {
        lost.push_back(lease);
      }
    }
  }
  for (const std::string& id : released) {
    Release(id);
  }
  return lost;
}

}  // namespace corianderhoist
