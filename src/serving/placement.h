/// Chooses the upstream with the least expected loss for a request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace corianderhoist {

/// Network distance to an upstream, which determines the cost of its traffic.
enum class network_distance : std::uint8_t { kSameDataCentre, kSameRegion, kOtherRegion };

/// An upstream that could run the request, with the inputs to its expected loss.
struct placement_candidate {
  double failure = 0;           ///< Probability that the request fails there.
  double relative_latency = 0;  ///< Expected latency as a fraction of the objective; 0: unknown.
  network_distance distance = network_distance::kSameDataCentre;
  std::uint32_t slots = 1;      ///< Requests that it can process concurrently.
  std::uint32_t running = 0;    ///< Running requests of all VMs.
  bool is_silent = false;       ///< No announcements or good outcomes arrive.
  bool is_cold = false;         ///< It started recently and responds more slowly.
  bool has_connection = false;  ///< An idle connection can be reused.
  bool is_trial_due = false;    ///< It should get a request as a trial.
};

/// Costs of a placement, as fractions of the value of a request.
struct placement_costs {
  double failure = 1;            ///< A failed attempt; 1 if it cannot be repeated.
  double other_data_centre = 0;  ///< Traffic of request and response.
  double other_region = 0;       ///< Traffic of request and response.
  double connection = 0;         ///< A new connection.
};

/// Returns the expected loss of sending the request to the candidate, as a fraction of the value of
/// the request.
double PlacementLoss(const placement_candidate& candidate, const placement_costs& costs);

/// Returns the index of a candidate that is due for a trial, if there is one, and otherwise of the
/// candidate with the least expected loss. Among candidates of about equal loss, one is drawn at
/// random, weighted by slots, so that VMs with the same state do not all choose the same upstream.
/// Returns nothing without candidates. Keeps requests away from failing, slow and distant upstreams
/// under normal traffic.
std::optional<std::size_t> ChooseUpstream(const std::vector<placement_candidate>& candidates,
                                          const placement_costs& costs,
                                          std::mt19937_64& random);

}  // namespace corianderhoist
