#include "fleet/upstream_roster.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

// Entries of gone incarnations are kept so that late announcements of them are recognised.
// Announcements may be late by seconds, in which far fewer upstreams are replaced.
constexpr std::size_t kMaxGoneEntries = 2000;

bool IsDeregistration(const upstream_notice& notice) {
  return notice.state == upstream_state::kGone;
}

}  // namespace

const upstream_entry* upstream_roster::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : Find(found->second);
}

const upstream_entry* upstream_roster::Find(upstream_handle handle) const {
  const auto found = entries_.find(handle);
  return found == entries_.end() ? nullptr : &found->second;
}

// Whether another upstream with a later start time has taken over the address of the notice.
bool upstream_roster::IsSupersededIncarnation(const upstream_notice& notice) const {
  const auto at = by_address_.find(notice.address);
  if (at == by_address_.end()) {
    return false;
  }
  const upstream_entry* other = Find(at->second);
  return other != nullptr && other->id != notice.id && notice.incarnation_start_ms != 0 &&
         other->incarnation_start_ms > notice.incarnation_start_ms;
}

upstream_roster::effect upstream_roster::EffectOf(const upstream_notice& notice) const {
  const upstream_entry* known = Find(notice.id);
  if (known == nullptr) {
    return IsDeregistration(notice) || !IsSupersededIncarnation(notice) ? effect::kReplace
                                                                        : effect::kNone;
  }
  const bool is_other_incarnation = notice.incarnation_start_ms != 0 &&
                                    notice.incarnation_start_ms != known->incarnation_start_ms;
  if (is_other_incarnation) {
    return notice.incarnation_start_ms > known->incarnation_start_ms ? effect::kReplace
                                                                     : effect::kNone;
  }
  if (IsDeregistration(notice)) {
    const bool is_final = known->state == upstream_state::kGone && !known->is_expired;
    return is_final ? effect::kNone : effect::kUpdate;
  }
  if (notice.sequence <= known->sequence) {
    return effect::kNone;
  }
  switch (known->state) {
    case upstream_state::kGone:
      return known->is_expired && !IsSupersededIncarnation(notice) ? effect::kReplace
                                                                   : effect::kNone;
    case upstream_state::kDraining:
      return effect::kNone;
    case upstream_state::kReady:
      break;
  }
  const bool is_same = notice.state == known->state && notice.address == known->address &&
                       notice.service == known->service && notice.slots == known->slots &&
                       notice.data_centre == known->data_centre;
  return is_same ? effect::kNone : effect::kUpdate;
}

bool upstream_roster::WouldChange(const upstream_notice& notice) const {
  return EffectOf(notice) != effect::kNone;
}

bool upstream_roster::Apply(const upstream_notice& notice, std::uint64_t index) {
  const effect change = EffectOf(notice);
  if (change == effect::kNone) {
    return false;
  }
  if (change == effect::kUpdate) {
    upstream_entry& entry = entries_.at(by_id_.at(notice.id));
    entry.state = notice.state;
    entry.is_expired = false;
    entry.sequence = std::max(entry.sequence, notice.sequence);
    entry.changed_index = index;
    if (!IsDeregistration(notice)) {
      if (entry.address != notice.address) {
        RetireFormerAtAddress(notice, index);
        by_address_[notice.address] = entry.handle;
      }
      entry.address = notice.address;
      entry.service = notice.service;
      entry.data_centre = notice.data_centre;
      entry.slots = notice.slots;
    }
    return true;
  }
  if (const auto former = by_id_.find(notice.id); former != by_id_.end()) {
    upstream_entry& entry = entries_.at(former->second);
    entry.state = upstream_state::kGone;
    entry.changed_index = index;
  }
  // An incarnation that has already ended is stored so that its late announcements are recognised,
  // but without the address, which belongs to its successor.
  const bool has_ended = IsDeregistration(notice) || IsSupersededIncarnation(notice);
  if (!has_ended) {
    RetireFormerAtAddress(notice, index);
  }
  upstream_entry added;
  added.handle = next_handle_++;
  added.id = notice.id;
  added.incarnation_start_ms = notice.incarnation_start_ms;
  added.address = has_ended ? std::string() : notice.address;
  added.service = notice.service;
  added.data_centre = notice.data_centre;
  added.slots = notice.slots;
  added.state = has_ended ? upstream_state::kGone : notice.state;
  added.sequence = notice.sequence;
  added.changed_index = index;
  by_id_[added.id] = added.handle;
  if (!added.address.empty()) {
    by_address_[added.address] = added.handle;
  }
  entries_.emplace(added.handle, std::move(added));
  EvictOldestGone();
  return true;
}

// Marks the former upstream at the address of the notice as gone.
void upstream_roster::RetireFormerAtAddress(const upstream_notice& notice, std::uint64_t index) {
  const auto at = by_address_.find(notice.address);
  if (notice.address.empty() || at == by_address_.end()) {
    return;
  }
  upstream_entry& former = entries_.at(at->second);
  if (former.id != notice.id && former.state != upstream_state::kGone) {
    former.state = upstream_state::kGone;
    former.changed_index = index;
  }
}

void upstream_roster::Expire(upstream_handle handle, std::uint64_t index) {
  const auto found = entries_.find(handle);
  if (found == entries_.end() || found->second.state == upstream_state::kGone) {
    return;
  }
  found->second.state = upstream_state::kGone;
  found->second.is_expired = true;
  found->second.changed_index = index;
}

std::vector<upstream_entry> upstream_roster::ChangedSince(std::uint64_t index) const {
  std::vector<upstream_entry> changed;
  for (const auto& [handle, entry] : entries_) {
    if (entry.changed_index > index) {
      changed.push_back(entry);
    }
  }
  return changed;
}

void upstream_roster::EvictOldestGone() {
  const auto gone = static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& item) { return item.second.state == upstream_state::kGone; }));
  if (gone <= kMaxGoneEntries) {
    return;
  }
  const auto oldest = std::find_if(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.state == upstream_state::kGone;
  });
  evicted_index_ = std::max(evicted_index_, oldest->second.changed_index);
  const upstream_handle handle = oldest->first;
  std::erase_if(by_id_, [&](const auto& item) { return item.second == handle; });
  std::erase_if(by_address_, [&](const auto& item) { return item.second == handle; });
  entries_.erase(oldest);
}

void upstream_roster::Restore(std::vector<upstream_entry> entries,
                              std::uint32_t next_handle,
                              std::uint64_t evicted_index) {
  entries_.clear();
  by_id_.clear();
  by_address_.clear();
  next_handle_ = next_handle;
  evicted_index_ = evicted_index;
  // Entries are ordered by handle, so that the newest one gets its id and its address.
  for (upstream_entry& entry : entries) {
    by_id_[entry.id] = entry.handle;
    if (!entry.address.empty()) {
      by_address_[entry.address] = entry.handle;
    }
    const upstream_handle handle = entry.handle;
    entries_.emplace(handle, std::move(entry));
  }
}

}  // namespace corianderhoist
