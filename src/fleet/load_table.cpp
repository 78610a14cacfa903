#include "fleet/load_table.h"

#include <algorithm>

namespace corianderhoist {

std::vector<upstream_handle> load_table::Take(const std::string& reporter,
                                              const std::vector<load_note>& loads,
                                              steady_time now) {
  std::vector<upstream_handle> changed;
  reported& own = reporters_[reporter];
  own.at = now;
  for (const load_note& note : loads) {
    const auto found = own.loads.find(note.upstream);
    const std::uint32_t before = found == own.loads.end() ? 0 : found->second;
    if (before == note.running) {
      continue;
    }
    sums_[note.upstream] += note.running - before;
    if (note.running == 0) {
      own.loads.erase(found);
    } else {
      own.loads[note.upstream] = note.running;
    }
    changed.push_back(note.upstream);
  }
  return changed;
}

void load_table::Touch(const std::string& reporter, steady_time now) {
  reporters_[reporter].at = now;
}

std::vector<upstream_handle> load_table::Expire(std::chrono::milliseconds silence,
                                                steady_time now) {
  std::vector<upstream_handle> changed;
  std::erase_if(reporters_, [&](const auto& item) {
    if (now - item.second.at <= silence) {
      return false;
    }
    for (const auto& [upstream, running] : item.second.loads) {
      sums_[upstream] -= running;
      changed.push_back(upstream);
    }
    return true;
  });
  return changed;
}

std::uint32_t load_table::Sum(upstream_handle upstream) const {
  const auto found = sums_.find(upstream);
  return found == sums_.end() ? 0 : found->second;
}

}  // namespace corianderhoist
