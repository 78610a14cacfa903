#include "coordinator/service_board.h"

#include "coordinator/lease_id.h"
#include "coordinator/record_store.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// At 5 ms a request, 48 slots work through a full queue in about 0.1 s.
constexpr std::size_t kQueueCapacity = 1024;
constexpr std::uint32_t kQuantumMilliseconds = 10;
constexpr std::uint32_t kLongestCostMilliseconds = 1000;
constexpr double kCostWeight = 0.1;
// Upstreams announce themselves every second; a new leader waits this long before it concludes that
// there is none, and before the floor may end ejections of the log.
constexpr milliseconds kWarmUp = kUpstreamFreshness;
// Slow answers of an upstream count as cold start for this long after it became ready. Counted from
// its first announcement, a start of 5 s left half of the time, and 39 cold upstreams were ejected
// in 65 runs of the experiments.
constexpr milliseconds kColdStart(10'000);
constexpr milliseconds kSweepInterval(250);
// An upstream that has shed a request is chosen after its peers for this long: it is loaded by more
// than the slots that it announced, and the next request would cost another try.
constexpr milliseconds kShedAvoidance(1000);
// The deadline of a request under a former leader's lease is not known; this is the longest time
// for which a record stays begun.
constexpr milliseconds kAdoptedDeadline = kBegunLimit;

std::string PlaceName(const announcement& upstream) {
  return upstream.region + '/' + upstream.data_centre;
}

bool IsWithin(const announcement& upstream, const place& allowed) {
  return upstream.region == allowed.region &&
         (allowed.data_centre.empty() || allowed.data_centre == upstream.data_centre);
}

// Position of the first allowed place that the upstream is in, or nothing.
std::optional<std::size_t> RankOf(const announcement& upstream, const std::vector<place>& places) {
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

// Open routes share the empty workspace; each set of places is a flow of its own, so that the
// entries of one flow compete for the same upstreams.
std::string FlowOf(const slot_request& request) {
  std::string flow = request.workspace;
  if (flow.empty()) {
    for (const place& each : request.places) {
      flow += '\n' + each.region + '/' + each.data_centre;
    }
  }
  return flow;
}

}  // namespace

service_board::service_board(std::string service)
    : service_(std::move(service)), queue_(kQueueCapacity, kQuantumMilliseconds) {}

void service_board::Start(const std::vector<ejection>& ejections, steady_time now) {
  started_ = now;
  directory_ = {};
  slots_ = {};
  judge_ = {};
  slot_milliseconds_.clear();
  for (const ejection& each : ejections) {
    if (each.service == service_) {
      judge_.Restore(each, now);
    }
  }
}

std::vector<upstream_capacity> service_board::Capacities(steady_time now) const {
  std::vector<upstream_capacity> capacities;
  for (const auto& [name, entry] : directory_.Entries()) {
    if (now - entry.last_seen < kCapacityMemory) {
      capacities.push_back(
          {entry.Id(), PlaceName(entry.last), entry.last.slots, entry.IsReady(now)});
    }
  }
  return capacities;
}

bool service_board::IsWarm(steady_time now) const {
  return now - started_ >= kWarmUp;
}

bool service_board::HasUpstream(const std::vector<place>& places, steady_time now) const {
  return std::any_of(
      directory_.Entries().begin(), directory_.Entries().end(), [&](const auto& each) {
        return each.second.IsReady(now) && RankOf(each.second.last, places).has_value();
      });
}

std::string service_board::AddressOf(const upstream_id& upstream) const {
  const upstream_entry* entry = directory_.Find(upstream);
  return entry == nullptr ? std::string() : entry->last.address;
}

std::optional<service_board::choice> service_board::Consider(const upstream_entry& entry,
                                                             const slot_request& request,
                                                             steady_time now) const {
  const upstream_id id = entry.Id();
  if (!entry.IsReady(now) || slots_.InUse(id) >= entry.last.slots ||
      (request.is_suspect && slots_.HasSuspect(id))) {
    return std::nullopt;
  }
  switch (judge_.StandingOf(id)) {
    case standing::kHealthy:
      return choice{&entry, false};
    case standing::kTrial:
      return judge_.MayTry(id, request.is_idempotent, now) && !request.is_suspect
                 ? std::optional(choice{&entry, true})
                 : std::nullopt;
    case standing::kEjected:
      break;
  }
  return std::nullopt;
}

// The first allowed place counts most; there, a due trial goes first, then upstreams without
// suspicion, then those that have not shed lately, then the one with the largest share of free
// slots, then the one that has waited longest.
service_board::choice service_board::Choose(const slot_request& request, steady_time now) const {
  choice best;
  std::tuple<bool, std::size_t, bool, bool, bool, double, std::uint64_t> best_rank;
  for (const auto& [name, entry] : directory_.Entries()) {
    const std::optional<std::size_t> rank = RankOf(entry.last, request.places);
    if (!rank) {
      continue;
    }
    const std::optional<choice> candidate = Consider(entry, request, now);
    if (!candidate) {
      continue;
    }
    const double load = static_cast<double>(slots_.InUse(entry.Id())) / entry.last.slots;
    const std::tuple rank_of_candidate(Contains(request.avoid, name), *rank, !candidate->is_trial,
                                       judge_.IsSuspected(entry.Id()), HasShedLately(name, now),
                                       load, LastChoice(name));
    if (best.upstream == nullptr || rank_of_candidate < best_rank) {
      best = *candidate;
      best_rank = rank_of_candidate;
    }
  }
  return best;
}

std::uint64_t service_board::LastChoice(const std::string& upstream) const {
  const auto found = last_choice_.find(upstream);
  return found == last_choice_.end() ? 0 : found->second;
}

bool service_board::HasShedLately(const std::string& upstream, steady_time now) const {
  const auto found = last_shed_.find(upstream);
  return found != last_shed_.end() && now - found->second < kShedAvoidance;
}

slot_grant service_board::Open(const slot_request& request, const choice& chosen, steady_time now) {
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
  last_choice_[lease.upstream.name] = ++choices_;
  if (chosen.is_trial) {
    judge_.StartTrial(lease.upstream, now);
  }
  slots_.Open(lease);
  return {std::move(lease), chosen.upstream->last.address};
}

void service_board::Acquire(slot_request request, steady_time now, board_effects& effects) {
  if (request.deadline <= now) {
    effects.Answer(request, slot_refusal{error_kind::kQueueTimeout, "no time left for a slot"});
    return;
  }
  if (queue_.Size() == 0) {
    const choice chosen = Choose(request, now);
    if (chosen.upstream != nullptr) {
      effects.Answer(request, Open(request, chosen, now));
      return;
    }
  }
  if (IsWarm(now) && !HasUpstream(request.places, now)) {
    effects.Answer(request, slot_refusal{error_kind::kNoUpstream,
                                         "no upstream of service '" + service_ + "' is ready"});
    return;
  }
  const std::string flow = FlowOf(request);
  const std::uint32_t cost = CostOf(flow);
  const steady_time deadline = request.deadline;
  std::optional<slot_request> removed = queue_.Push(flow, deadline, cost, std::move(request));
  if (removed) {
    effects.Answer(*removed, slot_refusal{error_kind::kQueueFull,
                                          "the queue of service '" + service_ + "' is full"});
  }
  Dispatch(now, effects);
}

void service_board::Dispatch(steady_time now, board_effects& effects) {
  while (queue_.Size() > 0) {
    choice chosen;
    std::optional<slot_request> next = queue_.Pop(now, [&](const slot_request& waiting) {
      chosen = Choose(waiting, now);
      return chosen.upstream != nullptr;
    });
    if (!next) {
      return;
    }
    // `Pop` may have looked at further entries after the one that it returns.
    chosen = Choose(*next, now);
    effects.Answer(*next, Open(*next, chosen, now));
  }
}

std::uint32_t service_board::CostOf(const std::string& workspace) const {
  const auto found = slot_milliseconds_.find(workspace);
  return found == slot_milliseconds_.end()
             ? kQuantumMilliseconds
             : static_cast<std::uint32_t>(
                   std::clamp(found->second, 1.0, static_cast<double>(kLongestCostMilliseconds)));
}

void service_board::LearnCost(const slot_lease& lease, steady_time now) {
  const double held = std::chrono::duration<double, std::milli>(now - lease.opened).count();
  const auto [found, is_new] = slot_milliseconds_.try_emplace(lease.workspace, held);
  if (!is_new) {
    found->second += kCostWeight * (held - found->second);
  }
}

std::optional<slot_lease> service_board::Complete(const complete_request& report,
                                                  bool is_suspect,
                                                  steady_time now,
                                                  board_effects& effects) {
  std::optional<slot_lease> ended = slots_.Complete(report.lease, report.is_upstream_busy, now);
  if (!ended) {
    return std::nullopt;
  }
  LearnCost(*ended, now);
  if (report.outcome == attempt_result::kShed) {
    last_shed_[ended->upstream.name] = now;
  }
  const upstream_entry* entry = directory_.Find(ended->upstream);
  if (entry != nullptr && entry->last.state != upstream_state::kLeaving) {
    judge_.Observe(
        {ended->upstream, report.entry_vm, report.outcome, report.latency, ended->is_trial,
         is_suspect || ended->is_suspect, now - entry->ready_since < kColdStart},
        now);
    Eject(now, effects);
  }
  Dispatch(now, effects);
  return ended;
}

void service_board::Eject(steady_time now, board_effects& effects) {
  if (!judge_.HasCandidates()) {
    return;
  }
  std::optional<ejection> change = judge_.Judge(Capacities(now), floor_percent_, now);
  if (change) {
    change->service = service_;
    effects.ejections.push_back({std::move(*change), true});
  }
}

void service_board::Drop(const std::string& lease, steady_time now, board_effects& effects) {
  std::optional<slot_lease> ended = slots_.Complete(lease, false, now);
  if (ended) {
    if (ended->is_trial) {
      judge_.CancelTrial(ended->upstream);
    }
    effects.lost.push_back(std::move(*ended));
    Dispatch(now, effects);
  }
}

void service_board::Adopt(const std::string& lease_id,
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
  lease.deadline = now + kAdoptedDeadline;
  slots_.Open(std::move(lease));
}

announce_result service_board::Announce(const announcement& news,
                                        steady_time now,
                                        board_effects& effects) {
  const announce_result outcome = directory_.Announce(news, now);
  KeepFloor(now, effects);
  Dispatch(now, effects);
  return outcome;
}

// A new leader does not know the whole capacity before the upstreams have announced themselves, so
// the ejections of its predecessor hold until then.
void service_board::KeepFloor(steady_time now, board_effects& effects) {
  if (!IsWarm(now) || !judge_.HasEjections()) {
    return;
  }
  for (const upstream_id& id : judge_.EnforceFloor(Capacities(now), floor_percent_, now)) {
    effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
  }
}

void service_board::Tick(steady_time now,
                         const std::function<bool(const std::string& session)>& is_alive,
                         board_effects& effects) {
  for (slot_request& each : queue_.TakeExpired(now)) {
    effects.Answer(
        each, slot_refusal{error_kind::kQueueTimeout, "no slot before the request's deadline"});
  }
  if (now - swept_at_ >= kSweepInterval) {
    swept_at_ = now;
    directory_.Sweep(now);
    std::erase_if(last_shed_,
                  [&](const auto& each) { return now - each.second >= kShedAvoidance; });
    std::erase_if(last_choice_,
                  [&](const auto& each) { return !directory_.Entries().contains(each.first); });
    for (slot_lease& each : slots_.Sweep(now, is_alive)) {
      if (each.is_trial) {
        judge_.CancelTrial(each.upstream);
      }
      effects.lost.push_back(std::move(each));
    }
    std::set<upstream_id> known;
    for (const auto& [name, entry] : directory_.Entries()) {
      known.insert(entry.Id());
    }
    for (const upstream_id& id : judge_.Retain(known, now)) {
      effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
    }
    for (const upstream_id& id : judge_.Advance(now)) {
      effects.ejections.push_back({{service_, id.name, id.incarnation, 0, {}}, false});
    }
  }
  KeepFloor(now, effects);
  Dispatch(now, effects);
}

void service_board::RefuseAll(error_kind kind, const std::string& detail, board_effects& effects) {
  for (slot_request& each : queue_.TakeExpired(steady_time::max())) {
    effects.Answer(each, slot_refusal{kind, detail});
  }
}

}  // namespace corianderhoist
