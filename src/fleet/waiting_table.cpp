#include "fleet/waiting_table.h"

#include <bit>
#include <map>
#include <tuple>
#include <utility>

namespace corianderhoist {

void waiting_table::Update(const std::string& reporter,
                           std::vector<service_waiting> waiting,
                           steady_time now) {
  if (waiting.empty()) {
    reporters_.erase(reporter);
  } else {
    reporters_[reporter] = {std::move(waiting), now};
  }
}

void waiting_table::Expire(std::chrono::milliseconds silence, steady_time now) {
  std::erase_if(reporters_, [&](const auto& item) { return now - item.second.at > silence; });
}

std::vector<service_waiting> waiting_table::Sums() const {
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> sums;
  for (const auto& [name, reporter] : reporters_) {
    for (const service_waiting& each : reporter.waiting) {
      sums[{each.service, each.workspace_priority, each.route_priority}] += each.vms;
    }
  }
  std::vector<service_waiting> result;
  result.reserve(sums.size());
  for (const auto& [key, vms] : sums) {
    const auto& [service, workspace_priority, route_priority] = key;
    result.push_back({service, vms, workspace_priority, route_priority});
  }
  return result;
}

const std::vector<service_waiting>& waiting_table::CoarseSums(steady_time now) {
  if (now < next_step_) {
    return coarse_;
  }
  next_step_ = now + kMinStepInterval;
  coarse_ = Sums();
  for (service_waiting& each : coarse_) {
    each.vms = std::bit_ceil(each.vms);
  }
  return coarse_;
}

}  // namespace corianderhoist
