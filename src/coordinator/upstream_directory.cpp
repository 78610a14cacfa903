#include "coordinator/upstream_directory.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::chrono::hours kMemory(1);
constexpr std::size_t kFormerIncarnations = 8;

}  // namespace

// The start time orders incarnations, but the clock of a VM may have jumped back before a restart.
// An unknown incarnation is therefore also accepted when the current one is silent or leaving.
bool upstream_directory::MayReplace(const upstream_entry& current,
                                    const announcement& news,
                                    steady_time now) const {
  const auto& former = current.former_incarnations;
  if (std::find(former.begin(), former.end(), news.incarnation) != former.end()) {
    return false;
  }
  return news.started_at_ms > current.last.started_at_ms || !current.IsFresh(now) ||
         current.last.state == upstream_state::kLeaving;
}

void upstream_directory::EvictFromAddress(const announcement& news) {
  for (auto& [name, entry] : entries_) {
    if (name != news.upstream && entry.last.address == news.address) {
      entry.last.state = upstream_state::kLeaving;
    }
  }
}

announce_result upstream_directory::Announce(const announcement& news, steady_time now) {
  const auto found = entries_.find(news.upstream);
  if (found == entries_.end()) {
    EvictFromAddress(news);
    entries_.emplace(news.upstream, upstream_entry{news, now, now, now, {}});
    return announce_result::kNew;
  }
  upstream_entry& current = found->second;
  if (news.incarnation == current.last.incarnation) {
    // Announcements may arrive out of order by way of several entry VMs.
    const upstream_state state = std::max(news.state, current.last.state);
    if (current.last.state == upstream_state::kStarting && state == upstream_state::kReady) {
      current.ready_since = now;
    }
    current.last = news;
    current.last.state = state;
    current.last_seen = now;
    return announce_result::kRenewed;
  }
  if (!MayReplace(current, news, now)) {
    return announce_result::kIgnored;
  }
  EvictFromAddress(news);
  auto former = std::move(current.former_incarnations);
  former.push_back(current.last.incarnation);
  if (former.size() > kFormerIncarnations) {
    former.pop_front();
  }
  current = upstream_entry{news, now, now, now, std::move(former)};
  return announce_result::kNew;
}

const upstream_entry* upstream_directory::Find(const upstream_id& id) const {
  const auto found = entries_.find(id.name);
  return found != entries_.end() && found->second.last.incarnation == id.incarnation
             ? &found->second
             : nullptr;
}

void upstream_directory::Sweep(steady_time now) {
  std::erase_if(entries_, [&](const auto& each) { return now - each.second.last_seen > kMemory; });
}

}  // namespace corianderhoist
