#include "fleet/load_table.h"

#include <algorithm>

namespace corianderhoist {

std::vector<upstream_handle> load_table::Update(const std::string& reporter,
                                                const std::vector<load_report>& loads,
                                                steady_time now) {
  std::vector<upstream_handle> changed;
  reporter_loads& own = reporters_[reporter];
  own.reported_at = now;
  for (const load_report& note : loads) {
    const auto found = own.loads.find(note.upstream);
    const std::uint32_t before = found == own.loads.end() ? 0 : found->second.running;
    if (note.running == 0) {
      own.loads.erase(note.upstream);
    } else {
      own.loads[note.upstream] = {note.running, now};
    }
    if (before == note.running) {
      continue;
    }
    sums_[note.upstream] += note.running - before;
    changed.push_back(note.upstream);
  }
  return changed;
}

std::vector<upstream_handle> load_table::Expire(std::chrono::milliseconds silence,
                                                steady_time now) {
  std::vector<upstream_handle> changed;
  for (auto& [name, reporter] : reporters_) {
    const bool is_silent = now - reporter.reported_at > silence;
    std::erase_if(reporter.loads, [&](const auto& item) {
      const auto& [upstream, load] = item;
      if (!is_silent && now - load.renewed_at <= silence) {
        return false;
      }
      sums_[upstream] -= load.running;
      changed.push_back(upstream);
      return true;
    });
  }
  std::erase_if(reporters_,
                [&](const auto& item) { return now - item.second.reported_at > silence; });
  return changed;
}

std::uint32_t load_table::Sum(upstream_handle upstream) const {
  const auto found = sums_.find(upstream);
  return found == sums_.end() ? 0 : found->second;
}

std::vector<load_report> load_change_tracker::Update(
    const std::map<upstream_handle, std::uint32_t>& loads,
    steady_time now) {
  std::vector<load_report> changes;
  for (const auto& [upstream, running] : loads) {
    const auto found = sent_.find(upstream);
    const bool is_current = found != sent_.end() && found->second.running == running &&
                            now - found->second.sent_at < kResendInterval;
    if (running > 0 && !is_current) {
      changes.push_back({upstream, running});
      sent_[upstream] = {running, now};
    }
  }
  std::erase_if(sent_, [&](const auto& item) {
    const auto found = loads.find(item.first);
    const bool has_ended = found == loads.end() || found->second == 0;
    if (has_ended) {
      changes.push_back({item.first, 0});
    }
    return has_ended;
  });
  return changes;
}

std::uint32_t load_change_tracker::LastSent(upstream_handle upstream) const {
  const auto found = sent_.find(upstream);
  return found == sent_.end() ? 0 : found->second.running;
}

}  // namespace corianderhoist
