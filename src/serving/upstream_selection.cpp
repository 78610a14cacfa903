#include "serving/upstream_selection.h"

#include "observe/metrics.h"

#include <utility>
#include <vector>

namespace corianderhoist {
namespace {

// A new connection costs a round trip and work of the upstream, which amounts to 0.017 of a mean
// request on one site and 0.083 on another.
constexpr double kNewConnectionCost = 0.05;
constexpr double kRepeatableFailureCost = 0.35;

placement_costs CostsOf(const serving_settings& settings, const upstream_query& query) {
  placement_costs costs;
  costs.failure = query.may_fail ? kRepeatableFailureCost : 1;
  costs.connection = kNewConnectionCost;
  costs.other_data_centre =
      AssumedCostPerKilobyte(settings.cross_data_centre_cost) * query.transfer_kilobytes;
  costs.other_region =
      AssumedCostPerKilobyte(settings.cross_region_cost) * query.transfer_kilobytes;
  return costs;
}

// Requests do not wait at a full upstream while another has room. Whether a failing one is worth
// the risk is left to the placement.
void KeepThoseWithRoom(const serving_context& context,
                       std::vector<placement_candidate>& candidates,
                       std::vector<const known_upstream*>& upstreams) {
  std::vector<placement_candidate> kept;
  std::vector<const known_upstream*> kept_upstreams;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    room_candidate room = context.queues.RoomCandidateOf(*upstreams[i], candidates[i]);
    room.is_failing = false;
    if (FreeCapacity(room) > 0) {
      kept.push_back(candidates[i]);
      kept_upstreams.push_back(upstreams[i]);
    }
  }
  if (!kept.empty()) {
    candidates = std::move(kept);
    upstreams = std::move(kept_upstreams);
  }
}

}  // namespace

bool MayFail(const repeat_prospect& prospect) {
  return prospect.is_idempotent && !prospect.is_repeat && !prospect.is_budget_low &&
         prospect.possible_runs + 1 < prospect.allowed_runs;
}

std::optional<selected_upstream> SelectUpstream(serving_context& context,
                                                const upstream_query& query) {
  std::vector<placement_candidate> candidates;
  std::vector<const known_upstream*> upstreams;
  for (const known_upstream* upstream : context.view.UpstreamsOf(query.service)) {
    if (query.tried->contains(upstream->entry.handle)) {
      continue;
    }
    const upstream_incarnation incarnation = IncarnationOf(upstream->entry);
    if (!context.statements.MaySend(incarnation)) {
      NoteKeptAway(context, incarnation);
      continue;
    }
    if (!context.limits.MaySend(upstream->entry.handle)) {
      static counter& over_limit = metrics::Instance().Counter("upstream_limits.kept_away");
      over_limit.Add();
      continue;
    }
    placement_candidate candidate = context.tracker.CandidateOf(*upstream, query.may_fail);
    candidate.has_connection = context.connections.Has(upstream->entry.handle, query.max_idle_time);
    candidates.push_back(candidate);
    upstreams.push_back(upstream);
  }
  if (context.queues.IsEnabled()) {
    KeepThoseWithRoom(context, candidates, upstreams);
  }
  const auto chosen = ChooseUpstream(candidates, CostsOf(context.settings, query), context.random);
  if (!chosen) {
    return std::nullopt;
  }
  return selected_upstream{upstreams[*chosen], candidates[*chosen], candidates.size()};
}

}  // namespace corianderhoist
