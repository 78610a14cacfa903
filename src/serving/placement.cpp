#include "serving/placement.h"

#include <algorithm>

namespace corianderhoist {
namespace {

// Requests take about a quarter to a third of their objective.
constexpr double kDefaultRelativeLatency = 0.3;
// From this fraction of the objective on, a higher relative latency makes a late response more
// likely. The loss then grows by `kLateLossPerObjective` per objective, up to `kMaxLateLoss`.
constexpr double kLateRelativeLatencyThreshold = 0.4;
constexpr double kLateLossPerObjective = 0.5;
constexpr double kMaxLateLoss = 0.7;
constexpr double kColdStartLatencyFactor = 2;
// Requests beyond the slots wait, which counts as a higher relative latency. Occupied slots alone
// make queueing more likely, up to this loss when all are in use.
constexpr double kMaxOccupancyLoss = 0.06;
constexpr double kSilentUpstreamLoss = 0.05;
// Candidates whose loss exceeds the least one by no more than this count as equal.
constexpr double kLossTieTolerance = 0.02;

}  // namespace

double PlacementLoss(const placement_candidate& candidate, const placement_costs& costs) {
  const double slots = std::max(candidate.slots, 1U);
  const double waiting = std::max(0.0, candidate.running + 1.0 - slots) / slots;
  const double relative_latency =
      (candidate.relative_latency > 0 ? candidate.relative_latency : kDefaultRelativeLatency) *
      (candidate.is_cold ? kColdStartLatencyFactor : 1) * (1 + waiting);
  const double late =
      std::clamp((relative_latency - kLateRelativeLatencyThreshold) * kLateLossPerObjective, 0.0,
                 kMaxLateLoss);
  const double bytes = candidate.distance == network_distance::kSameDataCentre ? 0
                       : candidate.distance == network_distance::kSameRegion
                           ? costs.other_data_centre
                           : costs.other_region;
  const double busy = kMaxOccupancyLoss * std::min(1.0, candidate.running / slots);
  return candidate.failure * costs.failure + late + bytes + busy +
         (candidate.has_connection ? 0 : costs.connection) +
         (candidate.is_silent ? kSilentUpstreamLoss : 0);
}

namespace {

std::optional<std::size_t> ChooseTrialDue(const std::vector<placement_candidate>& candidates,
                                          std::mt19937_64& random) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].is_trial_due) {
      due.push_back(i);
    }
  }
  return due.empty() ? std::nullopt : std::optional(due[random() % due.size()]);
}

}  // namespace

std::optional<std::size_t> ChooseUpstream(const std::vector<placement_candidate>& candidates,
                                          const placement_costs& costs,
                                          std::mt19937_64& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (const auto due = ChooseTrialDue(candidates, random)) {
    return due;
  }
  std::vector<double> losses;
  losses.reserve(candidates.size());
  for (const placement_candidate& candidate : candidates) {
    losses.push_back(PlacementLoss(candidate, costs));
  }
  const double least = *std::min_element(losses.begin(), losses.end());
  std::uint64_t slots = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    slots += losses[i] <= least + kLossTieTolerance ? std::max(candidates[i].slots, 1U) : 0;
  }
  std::uint64_t drawn = random() % slots;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (losses[i] > least + kLossTieTolerance) {
      continue;
    }
    const std::uint64_t share = std::max(candidates[i].slots, 1U);
    if (drawn < share) {
      return i;
    }
    drawn -= share;
  }
  return std::nullopt;
}

}  // namespace corianderhoist
