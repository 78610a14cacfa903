// Aggregation of the entry VMs' observations and answers to their watch calls.
#include "base/log.h"
#include "fleet/fleet_core.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Changes are batched for this long before watch calls are answered, so that a burst of failures
// causes one answer. The interval after an answer is longer because loads change continuously.
constexpr milliseconds kAnswerBatchDelay(8);
constexpr milliseconds kMinAnswerInterval(40);
constexpr milliseconds kMinLimitsRefreshInterval(25);
constexpr milliseconds kMaxWatchHold(1000);
// While an entry VM waits for what this core VM does not have yet.
constexpr milliseconds kAwaitedStateInterval(25);
// An entry VM awaits a state that is not older than 900 ms when it arrives.
constexpr milliseconds kMaxAwaitedStateAge(600);
// A process that has not run for this long has missed counts, which VMs then send elsewhere.
constexpr milliseconds kMaxTickGap(1000);
constexpr milliseconds kCountsRequestInterval(250);
constexpr milliseconds kCountsTimeout(500);
constexpr milliseconds kExpiryInterval(2000);
// An upstream that cannot reach the core VMs still serves requests, so it is removed only if no VM
// has had contact with it for this long.
constexpr milliseconds kUpstreamSilenceTimeout(30'000);
constexpr std::uint32_t kPerMille = 1000;

// Whether the same shares of requests are admitted. The room changes more often.
bool HasSameShares(const shared_limits& left, const shared_limits& right) {
  const auto shares_of = [](const shared_limits& limits) {
    std::map<std::string, std::uint32_t> shares;
    for (const workspace_share& share : limits.workspaces) {
      if (share.per_mille < kPerMille) {
        shares.emplace(share.workspace, share.per_mille);
      }
    }
    return shares;
  };
  return shares_of(left) == shares_of(right);
}

}  // namespace

void fleet_core::OnWatch(watch_request request, rpc_callback<watch_reply> respond) {
  const steady_time now = clock_.Now();
  QueueArrivals(usage_.OnWatch(request));
  const auto hold = std::clamp(request.hold, milliseconds(0), kMaxWatchHold);
  watcher waiting{std::move(request), now, now + hold, std::move(respond)};
  if (hold.count() == 0 || waiting.request.core_incarnation != incarnation_) {
    waiting.respond(MakeReply(waiting));
    return;
  }
  const bool has_news = NewsFor(waiting.request, Versions()) != pending_news::kNone;
  // A VM has at most one watch call in progress, so an older one has been abandoned.
  std::erase_if(watchers_,
                [&](const watcher& other) { return other.request.vm == waiting.request.vm; });
  const bool is_awaited = waiting.request.awaits_state || waiting.request.awaits_limits;
  watchers_.push_back(std::move(waiting));
  if (has_news) {
    ScheduleAnswers();
  } else {
    loop_.After(hold, [this] { AnswerExpiredWatchers(); });
  }
  if (is_awaited) {
    AnswerAwaiting();
  }
}

// Answers the entry VMs that wait for a recent state or reliable limits once this core VM has them.
void fleet_core::AnswerAwaiting() {
  const auto awaits = [](const watcher& waiting) {
    return waiting.request.awaits_state || waiting.request.awaits_limits;
  };
  const core_versions& current = Versions();
  AnswerWatchersIf([&](const watcher& waiting) {
    return awaits(waiting) && NewsFor(waiting.request, current) == pending_news::kUrgent;
  });
  const bool is_needed = std::any_of(watchers_.begin(), watchers_.end(), awaits);
  if (is_needed && !std::exchange(is_awaiting_scheduled_, true)) {
    loop_.After(kAwaitedStateInterval, [this] {
      is_awaiting_scheduled_ = false;
      AnswerAwaiting();
    });
  }
}

const core_versions& fleet_core::Versions() {
  versions_.policy_version = state_.PolicyVersion();
  versions_.roster_index = state_.AppliedIndex();
  versions_.limits_revision = limits_revision_;
  versions_.conditions_revision = health_.Revision();
  const auto state_age = clock_.Now() - replica_->FreshAt();
  versions_.has_recent_state = versions_.policy_version != 0 && state_age <= kMaxAwaitedStateAge;
  versions_.is_counting = usage_.IsCounting();
  return versions_;
}

void fleet_core::OnConditionsChanged(const condition_changes& changes) {
  for (const upstream_handle upstream : changes.urgent) {
    if (const auto found = data_centre_of_.find(upstream); found != data_centre_of_.end()) {
      versions_.urgent_revisions[found->second] = health_.Revision();
    }
  }
  if (changes.has_changed) {
    ScheduleAnswers();
  }
}

watch_reply fleet_core::MakeReply(const watcher& waiting) const {
  const watch_request& known = waiting.request;
  const bool is_known_here = known.core_incarnation == incarnation_;
  // The age is computed before the state is read, so that the state is never older than stated.
  const steady_time now = clock_.Now();
  const steady_time fresh_at = replica_->FreshAt();
  watch_reply reply;
  reply.age = std::chrono::ceil<milliseconds>(now - std::min(fresh_at, now));
  reply.held = duration_cast<milliseconds>(now - waiting.arrived_at);
  reply.core_incarnation = incarnation_;
  reply.is_counting = usage_.IsCounting();
  if (!is_known_here) {
    reply.data_centre = settings_.data_centre;
  }
  for (const group_member& member : status_.members) {
    reply.cores.push_back(member.address);
  }
  if (CoresDigest(reply.cores) == known.cores_digest) {
    reply.cores.clear();
  }
  if (known.is_probe) {
    return reply;
  }
  reply.changes = state_.ChangesSince(known.policy_version, known.roster_index);
  reply.conditions_revision = health_.Revision();
  reply.conditions = health_.ChangedSince(is_known_here ? known.conditions_revision : 0);
  reply.limits_revision = limits_revision_;
  if (!is_known_here || known.limits_revision < limits_revision_) {
    reply.limits.push_back(limits_);
  }
  return reply;
}

template <class Condition>
void fleet_core::AnswerWatchersIf(Condition is_due) {
  std::vector<watcher> kept;
  for (watcher& waiting : std::exchange(watchers_, {})) {
    if (is_due(waiting)) {
      waiting.respond(MakeReply(waiting));
    } else {
      kept.push_back(std::move(waiting));
    }
  }
  watchers_ = std::move(kept);
}

void fleet_core::AnswerWatchers() {
  is_answer_scheduled_ = false;
  const steady_time now = clock_.Now();
  next_answer_ = now + kMinAnswerInterval;
  const std::size_t count = watchers_.size();
  const core_versions& current = Versions();
  AnswerWatchersIf([&](const watcher& waiting) {
    const bool is_same_data_centre = waiting.request.data_centre == settings_.data_centre;
    return IsAnswerDue(NewsFor(waiting.request, current),
                       duration_cast<milliseconds>(now - waiting.arrived_at),
                       HintInterval(is_same_data_centre, count),
                       duration_cast<milliseconds>(waiting.deadline - waiting.arrived_at));
  });
}

void fleet_core::AnswerExpiredWatchers() {
  const steady_time now = clock_.Now();
  AnswerWatchersIf([now](const watcher& waiting) { return now >= waiting.deadline; });
}

void fleet_core::ScheduleAnswers() {
  if (!std::exchange(is_answer_scheduled_, true)) {
    const auto until_next = std::chrono::ceil<milliseconds>(next_answer_ - clock_.Now());
    loop_.After(std::max(kAnswerBatchDelay, until_next), [this] { AnswerWatchers(); });
  }
}

void fleet_core::ApplyObservations(const observations& seen, origin source) {
  const steady_time now = clock_.Now();
  // Failures are applied last: the order within a report is unknown, and the newest outcome has the
  // most weight.
  for (const bool is_good_wanted : {true, false}) {
    for (const attempt_outcome& outcome : seen.outcomes) {
      if ((outcome.evidence == attempt_evidence::kGood) == is_good_wanted) {
        health_.Observe(outcome, now);
      }
    }
  }
  for (const stated_limit& limit : seen.limits) {
    health_.SetLimit(limit.upstream, limit.per_kilosecond, now);
  }
  for (const lost_race& race : seen.lost_races) {
    health_.ObserveLostRace(race, now);
  }
  latencies_.Add(seen.latencies, now);
  usage_.Count(seen, source == origin::kOwnRegion);
  for (const crash_report& note : seen.crashes) {
    crashes_.Record(note, now);
  }
  // A workspace near its limit must be throttled before the next tick.
  const bool has_counts = !seen.workspaces.empty() || !seen.services.empty();
  if (!seen.crashes.empty() || (has_counts && now >= next_limits_)) {
    RefreshLimits();
  }
  OnConditionsChanged(health_.RefreshObserved(now));
}

// A core VM that was frozen lacks the counts of that time, like one that was restarted.
void fleet_core::RestartCountingAfterPause() {
  const steady_time now = clock_.Now();
  const steady_time last = std::exchange(last_tick_, now);
  if (last == steady_time() || now - last <= kMaxTickGap) {
    return;
  }
  usage_.RestartAfterPause(limits_.active_vms);
  next_counts_request_ = now;
  log_event(log_level::kWarning, "counts_incomplete")
      .Field("pause_ms", duration_cast<milliseconds>(now - last).count());
}

// A core VM that has just started, or was frozen, takes the counts of the time before from another
// one, so that it neither admits too much nor assumes that every limit was used up.
void fleet_core::RequestCounts() {
  const steady_time now = clock_.Now();
  if (usage_.HasCompleteCounts() || now < next_counts_request_ || status_.members.empty()) {
    return;
  }
  const group_member& member = status_.members[next_counts_member_++ % status_.members.size()];
  rpc_channel* channel = ChannelTo(member.name);
  if (channel == nullptr) {
    return;  // This core VM itself: the next tick asks the next one.
  }
  next_counts_request_ = now + kCountsRequestInterval;
  channel->Call<counts_reply>("fleet.counts", counts_request{settings_.name}, kCountsTimeout,
                              [this](const rpc_result<counts_reply>& reply) {
                                if (const auto* counts = std::get_if<counts_reply>(&reply)) {
                                  OnCounts(*counts);
                                }
                              });
}

void fleet_core::OnCounts(const counts_reply& reply) {
  if (usage_.OnCounts(reply)) {
    RefreshLimits();
  }
}

void fleet_core::OnReport(report_request request) {
  QueueArrivals(usage_.OnReport(request));
  ApplyLoads(request.vm, request.loads);
  own_waiting_.Update(request.vm, request.waiting, clock_.Now());
  all_waiting_.Update(request.vm, request.waiting, clock_.Now());
  ApplyObservations(request.seen, origin::kOwnRegion);
  QueueForSharing(request.seen);
}

void fleet_core::RefreshPolicy() {
  const std::uint64_t version = state_.PolicyVersion();
  if (version == (policy_ ? policy_->Version() : 0)) {
    return;
  }
  const policy_document document = state_.Policy();
  policy_ = Recover(
      [&]() -> result<policy_ptr> {
        BOOST_LEAF_AUTO(text, UnpackText(document.packed_text));
        BOOST_LEAF_AUTO(policy, decoder_(text));
        return std::make_shared<const policy_index>(std::move(policy));
      },
      [&](const error& failure) {
        log_event(log_level::kError, "policy_unreadable")
            .Field("version", version)
            .Field("cause", failure.detail);
        return policy_;
      });
  log_event(log_level::kInfo, "policy_in_force").Field("version", version);
}

void fleet_core::RefreshLimits() {
  const steady_time now = clock_.Now();
  next_limits_ = now + kMinLimitsRefreshInterval;
  shared_limits current;
  bool is_near_limit = false;
  std::map<std::string, workspace_usage> limited;
  if (policy_) {
    for (const limited_workspace& each : usage_.LimitWorkspaces(policy_, limits_)) {
      is_near_limit = is_near_limit || each.is_near_limit;
      if (each.share.per_mille < kPerMille || each.share.room_per_mille < kMaxRoomPerMille) {
        current.workspaces.push_back(each.share);
        limited.emplace(each.share.workspace, each.usage);
      }
    }
    for (const policy_service& service : policy_->Policy().services) {
      if (IsRepeatBudgetLow(usage_.ServiceUsageOf(service.name), settings_.repeats)) {
        current.low_budget_services.push_back(service.name);
      }
    }
  }
  is_near_limit_ = usage_.UpdateNearLimit(is_near_limit);
  current.blocked_requests = crashes_.Blocked(now);
  current.latency_digests = latencies_.Publish(now);
  current.waiting = all_waiting_.CoarseSums(now);
  const std::uint32_t active = usage_.UpdateFleetSize();
  // Decreases of the number of VMs by up to a tenth are not published. Each increase is, since the
  // VMs divide what is unused of a limit by it.
  const bool is_similar = active * 10 >= limits_.active_vms * 9 && active <= limits_.active_vms;
  current.active_vms = is_similar ? limits_.active_vms : active;
  if (current == limits_) {
    return;
  }
  if (!HasSameShares(current, limits_) ||
      current.low_budget_services != limits_.low_budget_services ||
      current.blocked_requests != limits_.blocked_requests) {
    log_event event(log_level::kInfo, "limits_changed");
    for (const workspace_share& share : current.workspaces) {
      const workspace_usage& usage = limited.at(share.workspace);
      event.Field("workspace " + share.workspace, static_cast<int>(share.per_mille))
          .Field("room_per_mille", static_cast<int>(share.room_per_mille))
          .Field("spent", static_cast<int>(usage.spent.back()))
          .Field("unreported", static_cast<int>(usage_.UnreportedBy(share.workspace)))
          .Field("unreported_by_cores", static_cast<int>(usage_.UnreportedByCores(share.workspace)))
          .Field("admitted_rate", static_cast<int>(usage.admitted_rate))
          .Field("demand_rate", static_cast<int>(usage.demand_rate));
    }
    for (const std::string& service : current.low_budget_services) {
      event.Field("repeats of " + service, "scarce");
    }
    event.Field("active_vms", std::uint64_t(usage_.CountActiveVms()))
        .Field("fleet_to_region_per_cent", static_cast<int>(usage_.FleetToRegionRatio() * 100));
    event.Field("blocked_requests", std::uint64_t(current.blocked_requests.size()));
  }
  limits_ = std::move(current);
  ++limits_revision_;
  ScheduleAnswers();
}

void fleet_core::RefreshRoster() {
  const std::uint64_t index = state_.AppliedIndex();
  if (index == roster_index_) {
    return;
  }
  roster_index_ = index;
  roster_ = state_.Upstreams();
  data_centre_of_.clear();
  for (const upstream_entry& entry : roster_) {
    data_centre_of_.emplace(entry.handle, entry.data_centre);
  }
}

void fleet_core::PlanTrials() {
  std::map<std::string, std::vector<upstream_handle>> services;
  for (const upstream_entry& entry : roster_) {
    if (entry.state == upstream_state::kReady) {
      services[entry.service].push_back(entry.handle);
    }
  }
  const steady_time now = clock_.Now();
  for (const auto& [service, upstreams] : services) {
    health_.PlanTrials(upstreams, StrainOf(usage_.ServiceUsageOf(service)), now);
  }
}

void fleet_core::ExpireSilent() {
  const steady_time now = clock_.Now();
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  std::set<upstream_handle> known;
  fleet_command command;
  const auto silent = health_.SilentFor(kUpstreamSilenceTimeout, now);
  for (const upstream_entry& entry : roster_) {
    if (entry.state == upstream_state::kGone) {
      continue;
    }
    known.insert(entry.handle);
    if (std::find(silent.begin(), silent.end(), entry.handle) != silent.end()) {
      log_event(log_level::kInfo, "upstream_expired").Field("upstream", entry.id);
      command.expired.push_back(entry.handle);
    }
  }
  health_.Retain(known);
  if (!command.expired.empty()) {
    replica_->Propose(Encode(command), [](const rpc_result<std::string>&) {
      // Proposed again at the next expiry check if the upstream is still silent.
    });
  }
}

}  // namespace corianderhoist
