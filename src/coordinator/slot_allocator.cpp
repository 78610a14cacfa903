#include "coordinator/slot_allocator.h"

#include "coordinator/lease_id.h"
#include "coordinator/record_store.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// At 5 ms per request, 48 slots serve a full queue in about 0.1 s.
constexpr std::size_t kMaxQueuedRequests = 1024;
constexpr std::uint32_t kFlowQuantumMilliseconds = 10;
constexpr std::uint32_t kMaxRequestCostMilliseconds = 1000;
constexpr double kCostEwmaWeight = 0.1;
// Upstreams announce themselves every second. A new leader waits this long before it refuses
// requests for lack of upstreams and before the floor may end ejections from the log.
constexpr milliseconds kLeaderWarmUpTime = kAnnouncementValidity;
// Slow answers and timeouts are no evidence for this long after an upstream became ready. The time
// does not start at the first announcement, because a startup of 5 s would use up half of it and
// upstreams would be ejected for their cold start.
constexpr milliseconds kColdStartTime(10'000);
constexpr milliseconds kSweepInterval(250);
// An upstream that shed a request ranks after its peers for this long: it has load beyond its
// announced slots, so the next request would probably need another attempt.
constexpr milliseconds kShedAvoidanceTime(1000);
// The deadline of a request under a lease of a former leader is unknown. No idempotency record
// stays begun for longer than this.
constexpr milliseconds kAdoptedLeaseTimeout = kRecordOutcomeTimeout;

std::string PlaceName(const announcement& upstream) {
  return upstream.region + '/' + upstream.data_centre;
}

bool IsWithin(const announcement& upstream, const place& allowed) {
  return upstream.region == allowed.region &&
         (allowed.data_centre.empty() || allowed.data_centre == upstream.data_centre);
}

// Index of the first allowed place that contains the upstream, or nullopt.
std::optional<std::size_t> PlacePreference(const announcement& upstream,
                                           const std::vector<place>& places) {
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (IsWithin(upstream, places[i])) {
      return i;
    }
  }
  return std::nullopt;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Open routes share the empty workspace. They get one flow per set of places, so that all entries
// of a flow compete for the same upstreams.
std::string FlowName(const slot_request& request) {
  std::string flow = request.workspace;
  if (flow.empty()) {
    for (const place& each : request.places) {
      flow += '\n' + each.region + '/' + each.data_centre;
    }
  }
  return flow;
}

}  // namespace

slot_allocator::slot_allocator(std::string service)
    : service_(std::move(service)), queue_(kMaxQueuedRequests, kFlowQuantumMilliseconds) {}

void slot_allocator::Start(const std::vector<ejection>& ejections, steady_time now) {
  started_ = now;
  directory_ = {};
  slots_ = {};
  detector_ = {};
  mean_slot_time_ms_.clear();
  for (const ejection& each : ejections) {
    if (each.service == service_) {
      detector_.Restore(each, now);
    }
  }
}

std::vector<upstream_capacity> slot_allocator::Capacities(steady_time now) const {
  std::vector<upstream_capacity> capacities;
  for (const auto& [name, entry] : directory_.Entries()) {
    if (now - entry.last_seen < kSilentCapacityRetention) {
      capacities.push_back(
          {entry.Id(), PlaceName(entry.last), entry.last.slots, entry.IsReady(now)});
    }
  }
  return capacities;
}

bool slot_allocator::IsWarm(steady_time now) const {
  return now - started_ >= kLeaderWarmUpTime;
}

bool slot_allocator::HasUpstream(const std::vector<place>& places, steady_time now) const {
  return std::any_of(
      directory_.Entries().begin(), directory_.Entries().end(), [&](const auto& each) {
        return each.second.IsReady(now) && PlacePreference(each.second.last, places).has_value();
      });
}

std::string slot_allocator::AddressOf(const upstream_id& upstream) const {
  const upstream_entry* entry = directory_.Find(upstream);
  return entry == nullptr ? std::string() : entry->last.address;
}

std::optional<slot_allocator::selection> slot_allocator::EvaluateUpstream(
    const upstream_entry& entry,
    const slot_request& request,
    steady_time now) const {
  const upstream_id id = entry.Id();
  if (!entry.IsReady(now) || slots_.InUse(id) >= entry.last.slots ||
      (request.is_suspect && slots_.HasSuspect(id))) {
    return std::nullopt;
  }
  switch (detector_.StateOf(id)) {
    case ejection_state::kHealthy:
      return selection{&entry, false};
    case ejection_state::kTrial:
      return detector_.MaySendTrial(id, request.is_idempotent, now) && !request.is_suspect
                 ? std::optional(selection{&entry, true})
                 : std::nullopt;
    case ejection_state::kEjected:
      break;
  }
  return std::nullopt;
}

// Selects the upstream by these criteria, in order: not in the request's `avoid` list, preference
// of the place, due trials, not suspected, no recently shed request, lowest share of slots in use,
// least recently selected.
slot_allocator::selection slot_allocator::SelectUpstream(const slot_request& request,
                                                         steady_time now) const {
  selection best;
  std::tuple<bool, std::size_t, bool, bool, bool, double, std::uint64_t> best_rank;
  for (const auto& [name, entry] : directory_.Entries()) {
    const std::optional<std::size_t> rank = PlacePreference(entry.last, request.places);
    if (!rank) {
      continue;
    }
    const std::optional<selection> candidate = EvaluateUpstream(entry, request, now);
    if (!candidate) {
      continue;
    }
    const double load = static_cast<double>(slots_.InUse(entry.Id())) / entry.last.slots;
    const std::tuple rank_of_candidate(Contains(request.avoid, name), *rank, !candidate->is_trial,
                                       detector_.IsSuspected(entry.Id()),
                                       HasShedRecently(name, now), load, LastSelection(name));
    if (best.upstream == nullptr || rank_of_candidate < best_rank) {
      best = *candidate;
      best_rank = rank_of_candidate;
    }
  }
  return best;
}

std::uint64_t slot_allocator::LastSelection(const std::string& upstream) const {
  const auto found = last_selected_.find(upstream);
  return found == last_selected_.end() ? 0 : found->second;
}

bool slot_allocator::HasShedRecently(const std::string& upstream, steady_time now) const {
  const auto found = last_shed_.find(upstream);
  return found != last_shed_.end() && now - found->second < kShedAvoidanceTime;
}

slot_grant slot_allocator::OpenLease(const slot_request& request,
                                     const selection& chosen,
                                     steady_time now) {
  slot_lease lease;
  lease.upstream = chosen.upstream->Id();
  lease.id =
      FormatLease({request.term, request.number, service_, request.admission, lease.upstream});
  lease.place = PlaceName(chosen.upstream->last);
  lease.session = request.session;
  lease.workspace = request.workspace;
  lease.request_id = request.request_id;
  lease.idempotency_key = request.idempotency_key;
  lease.fingerprint = request.fingerprint;
  lease.opened = now;
  lease.deadline = request.deadline;
  lease.is_trial = chosen.is_trial;
  lease.is_suspect = request.is_suspect;
  last_selected_[lease.upstream.name] = ++selections_;
  if (chosen.is_trial) {
    detector_.StartTrial(lease.upstream, now);
  }
  slots_.Open(lease);
  return {std::move(lease), chosen.upstream->last.address};
}

void slot_allocator::Acquire(slot_request request, steady_time now, allocator_effects& effects) {
  if (request.deadline <= now) {
    effects.Answer(request, slot_refusal{error_kind::kQueueTimeout, "no time left for a slot"});
    return;
  }
  if (queue_.Size() == 0) {
    const selection chosen = SelectUpstream(request, now);
    if (chosen.upstream != nullptr) {
      effects.Answer(request, OpenLease(request, chosen, now));
      return;
    }
  }
  if (IsWarm(now) && !HasUpstream(request.places, now)) {
    effects.Answer(request, slot_refusal{error_kind::kNoUpstream,
                                         "no upstream of service '" + service_ + "' is ready"});
    return;
  }
  const std::string flow = FlowName(request);
  const std::uint32_t cost = EstimatedCost(flow);
  const steady_time deadline = request.deadline;
  std::optional<slot_request> removed = queue_.Push(flow, deadline, cost, std::move(request));
  if (removed) {
    effects.Answer(*removed, slot_refusal{error_kind::kQueueFull,
                                          "the queue of service '" + service_ + "' is full"});
  }
  Dispatch(now, effects);
}

void slot_allocator::Dispatch(steady_time now, allocator_effects& effects) {
  while (queue_.Size() > 0) {
    selection chosen;
    std::optional<slot_request> next = queue_.Pop(now, [&](const slot_request& waiting) {
      chosen = SelectUpstream(waiting, now);
      return chosen.upstream != nullptr;
    });
    if (!next) {
      return;
    }
    // `Pop` may have tested other entries after the one that it returns, which changed `chosen`.
    chosen = SelectUpstream(*next, now);
    effects.Answer(*next, OpenLease(*next, chosen, now));
  }
}

std::uint32_t slot_allocator::EstimatedCost(const std::string& workspace) const {
  const auto found = mean_slot_time_ms_.find(workspace);
  return found == mean_slot_time_ms_.end()
             ? kFlowQuantumMilliseconds
             : static_cast<std::uint32_t>(std::clamp(
                   found->second, 1.0, static_cast<double>(kMaxRequestCostMilliseconds)));
}

void slot_allocator::UpdateCost(const slot_lease& lease, steady_time now) {
  const double held = std::chrono::duration<double, std::milli>(now - lease.opened).count();
  const auto [found, is_new] = mean_slot_time_ms_.try_emplace(lease.workspace, held);
  if (!is_new) {
    found->second += kCostEwmaWeight * (held - found->second);
  }
}

std::optional<slot_lease> slot_allocator::Complete(const complete_request& report,
                                                   bool is_suspect,
                                                   steady_time now,
                                                   allocator_effects& effects) {
  std::optional<slot_lease> ended = slots_.Complete(report.lease, report.is_upstream_busy, now);
  if (!ended) {
    return std::nullopt;
  }
  UpdateCost(*ended, now);
  if (report.outcome == attempt_result::kShed) {
    last_shed_[ended->upstream.name] = now;
  }
  const upstream_entry* entry = directory_.Find(ended->upstream);
  if (entry != nullptr && entry->last.state != upstream_state::kLeaving) {
    detector_.Observe(
        {ended->upstream, report.entry_vm, report.outcome, report.latency, ended->is_trial,
         is_suspect || ended->is_suspect, now - entry->ready_since < kColdStartTime},
        now);
    EjectOutlier(now, effects);
  }
  Dispatch(now, effects);
  return ended;
}

void slot_allocator::EjectOutlier(steady_time now, allocator_effects& effects) {
  if (!detector_.HasEjectionCandidates()) {
    return;
  }
  std::optional<ejection> change = detector_.EjectOutlier(Capacities(now), floor_percent_, now);
  if (change) {
    change->service = service_;
    effects.ejections.push_back({std::move(*change), true});
  }
}

void slot_allocator::Drop(const std::string& lease, steady_time now, allocator_effects& effects) {
  std::optional<slot_lease> ended = slots_.Complete(lease, false, now);
  if (ended) {
    if (ended->is_trial) {
      detector_.CancelTrial(ended->upstream);
    }
    effects.lost.push_back(std::move(*ended));
    Dispatch(now, effects);
  }
}

void slot_allocator::Adopt(const std::string& lease_id,
                           const std::string& session,
                           steady_time now) {
  const std::optional<lease_parts> parts = ParseLease(lease_id);
  if (!parts || slots_.Find(lease_id) != nullptr) {
    return;
  }
  slot_lease lease;
  lease.id = lease_id;
  lease.upstream = parts->upstream;
  lease.session = session;
  lease.opened = now;
  lease.deadline = now + kAdoptedLeaseTimeout;
  slots_.Open(std::move(lease));
}

announce_result slot_allocator::Announce(const announcement& update,
                                         steady_time now,
                                         allocator_effects& effects) {
  const announce_result outcome = directory_.Announce(update, now);
  EnforceFloor(now, effects);
  Dispatch(now, effects);
  return outcome;
}

// A new leader knows the full capacity only after all upstreams have announced themselves; until
// then it keeps the ejections of its predecessor.
void slot_allocator::EnforceFloor(steady_time now, allocator_effects& effects) {
  if (!IsWarm(now) || !detector_.HasEjections()) {
    return;
  }
  for (const upstream_id& id : detector_.EnforceFloor(Capacities(now), floor_percent_, now)) {
    effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
  }
}

void slot_allocator::Tick(steady_time now,
                          const std::function<bool(const std::string& session)>& is_alive,
                          allocator_effects& effects) {
  for (slot_request& each : queue_.TakeExpired(now)) {
    effects.Answer(
        each, slot_refusal{error_kind::kQueueTimeout, "no slot before the request's deadline"});
  }
  if (now - swept_at_ >= kSweepInterval) {
    swept_at_ = now;
    directory_.Sweep(now);
    std::erase_if(last_shed_,
                  [&](const auto& each) { return now - each.second >= kShedAvoidanceTime; });
    std::erase_if(last_selected_,
                  [&](const auto& each) { return !directory_.Entries().contains(each.first); });
    for (slot_lease& each : slots_.Sweep(now, is_alive)) {
      if (each.is_trial) {
        detector_.CancelTrial(each.upstream);
      }
      effects.lost.push_back(std::move(each));
    }
    std::set<upstream_id> known;
    for (const auto& [name, entry] : directory_.Entries()) {
      known.insert(entry.Id());
    }
    for (const upstream_id& id : detector_.Retain(known, now)) {
      effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
    }
    for (const upstream_id& id : detector_.Advance(now)) {
      effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
    }
  }
  EnforceFloor(now, effects);
  Dispatch(now, effects);
}

void slot_allocator::RefuseAll(error_kind kind,
                               const std::string& detail,
                               allocator_effects& effects) {
  for (slot_request& each : queue_.TakeExpired(steady_time::max())) {
    effects.Answer(each, slot_refusal{kind, detail});
  }
}

}  // namespace corianderhoist
