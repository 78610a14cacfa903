#include "coordinator/upstream_directory.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::chrono::hours kSilentUpstreamRetention(1);
constexpr std::size_t kMaxFormerIncarnations = 8;

}  // namespace

// Incarnations are ordered by start time, but the clock of a VM may jump back before a restart. An
// unknown incarnation is therefore also accepted when the current one is silent or leaving.
bool upstream_directory::MayReplace(const upstream_entry& current,
                                    const announcement& update,
                                    steady_time now) const {
  const auto& former = current.former_incarnations;
  if (std::find(former.begin(), former.end(), update.incarnation) != former.end()) {
    return false;
  }
  return update.started_at_ms > current.last.started_at_ms || !current.IsFresh(now) ||
         current.last.state == upstream_state::kLeaving;
}

void upstream_directory::MarkOthersAtAddressLeaving(const announcement& update) {
  for (auto& [name, entry] : entries_) {
    if (name != update.upstream && entry.last.address == update.address) {
      entry.last.state = upstream_state::kLeaving;
    }
  }
}

announce_result upstream_directory::Announce(const announcement& update, steady_time now) {
  const auto found = entries_.find(update.upstream);
  if (found == entries_.end()) {
    MarkOthersAtAddressLeaving(update);
    entries_.emplace(update.upstream, upstream_entry{update, now, now, now, {}});
    return announce_result::kNew;
  }
  upstream_entry& current = found->second;
  if (update.incarnation == current.last.incarnation) {
    // Announcements pass through several entry VMs and may arrive out of order.
    const upstream_state state = std::max(update.state, current.last.state);
    if (current.last.state == upstream_state::kStarting && state == upstream_state::kReady) {
      current.ready_since = now;
    }
    current.last = update;
    current.last.state = state;
    current.last_seen = now;
    return announce_result::kRenewed;
  }
  if (!MayReplace(current, update, now)) {
    return announce_result::kIgnored;
  }
  MarkOthersAtAddressLeaving(update);
  auto former = std::move(current.former_incarnations);
  former.push_back(current.last.incarnation);
  if (former.size() > kMaxFormerIncarnations) {
    former.pop_front();
  }
  current = upstream_entry{update, now, now, now, std::move(former)};
  return announce_result::kNew;
}

const upstream_entry* upstream_directory::Find(const upstream_id& id) const {
  const auto found = entries_.find(id.name);
  return found != entries_.end() && found->second.last.incarnation == id.incarnation
             ? &found->second
             : nullptr;
}

void upstream_directory::Sweep(steady_time now) {
  std::erase_if(entries_, [&](const auto& each) {
    return now - each.second.last_seen > kSilentUpstreamRetention;
  });
}

}  // namespace corianderhoist
