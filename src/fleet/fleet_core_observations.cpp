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
constexpr milliseconds kVmActiveTimeout(2500);
constexpr milliseconds kPeerActiveTimeout(3000);
// A process that has not run for this long has missed counts, which VMs then send elsewhere.
constexpr milliseconds kMaxTickGap(1000);
// Longer than VMs are usually cut off or stopped.
constexpr milliseconds kFleetSizeMemory(60'000);
constexpr milliseconds kCountsRequestInterval(250);
constexpr milliseconds kCountsTimeout(500);
constexpr milliseconds kCountsStep(200);
constexpr milliseconds kExpiryInterval(2000);
// An upstream that cannot reach the core VMs still serves requests, so it is removed only if no VM
// has had contact with it for this long.
constexpr milliseconds kUpstreamSilenceTimeout(30'000);
constexpr std::uint32_t kPerMille = 1000;
// Admitted shares are rounded down so that small changes of demand are not sent to every VM.
constexpr std::uint32_t kAdmittedShareStepPerMille = 20;

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
  if (!request.is_probe) {
    active_vms_[request.vm] = now;
  }
  RecordWatch(request);
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
  watchers_.push_back(std::move(waiting));
  if (has_news) {
    ScheduleAnswers();
  } else {
    loop_.After(hold, [this] { AnswerExpiredWatchers(); });
  }
}

const core_versions& fleet_core::Versions() {
  versions_.policy_version = state_.PolicyVersion();
  versions_.roster_index = state_.AppliedIndex();
  versions_.limits_revision = limits_revision_;
  versions_.conditions_revision = health_.Revision();
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
  reply.is_counting = now - counting_since_ >= kMinCountingTime;
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

void fleet_core::ApplyCounts(const std::vector<named_counts>& workspaces,
                             const std::vector<named_counts>& services,
                             origin source,
                             steady_time at) {
  const auto count = [&](usage_ledger& ledger) {
    for (const named_counts& note : workspaces) {
      ledger.CountWorkspace(note.name, note.first, note.second, at);
    }
    for (const named_counts& note : services) {
      ledger.CountService(note.name, note.first, note.second, note.third, at);
    }
  };
  count(usage_);
  if (source == origin::kOwnRegion) {
    count(regional_usage_);
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
  ApplyCounts(seen.workspaces, seen.services, source, now);
  for (const resent_counts& late : seen.late) {
    ApplyCounts(late.workspaces, late.services, source, now - late.age);
  }
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
  counting_started_at_ = counting_since_ = now;
  ExpectVms(limits_.active_vms);
  next_counts_request_ = now;
  // The VMs have turned to other core VMs, which reckon with those that have not.
  unreported_by_vms_.Clear();
  unreported_by_cores_.Clear();
  regional_usage_ = usage_ledger();
  log_event(log_level::kWarning, "counts_incomplete")
      .Field("pause_ms", duration_cast<milliseconds>(now - last).count());
}

bool fleet_core::HasCompleteCounts() const {
  const auto needed = std::max(settings_.rates.window, settings_.repeats.window);
  return clock_.Now() - counting_since_ >= needed;
}

// A core VM that has just started, or was frozen, takes the counts of the time before from another
// one, so that it neither admits too much nor assumes that every limit was used up.
void fleet_core::RequestCounts() {
  const steady_time now = clock_.Now();
  if (HasCompleteCounts() || now < next_counts_request_ || status_.members.empty()) {
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

counts_reply fleet_core::MakeCountsReply() const {
  counts_reply reply;
  reply.is_complete = HasCompleteCounts();
  reply.active_vms = fleet_size_;
  if (!reply.is_complete) {
    return reply;
  }
  const steady_time now = clock_.Now();
  const auto window = std::max(settings_.rates.window, settings_.repeats.window);
  for (milliseconds age(0); age < window; age += kCountsStep) {
    resent_counts step;
    step.age = age;
    usage_.Visit(
        kCountsStep, now - age,
        [&](const std::string& name, std::uint64_t admitted, std::uint64_t refused) {
          step.workspaces.push_back({name, admitted, refused, 0});
        },
        [&](const std::string& name, std::uint64_t requests, std::uint64_t repeats,
            std::uint64_t failures) {
          step.services.push_back({name, requests, repeats, failures});
        });
    if (!step.workspaces.empty() || !step.services.empty()) {
      reply.counts.push_back(std::move(step));
    }
  }
  return reply;
}

void fleet_core::OnCounts(const counts_reply& reply) {
  if (!reply.is_complete || HasCompleteCounts()) {
    return;
  }
  const steady_time now = clock_.Now();
  for (const resent_counts& step : reply.counts) {
    // This core VM has counted what came later itself.
    if (now - step.age <= counting_started_at_) {
      ApplyCounts(step.workspaces, step.services, origin::kOtherRegion, now - step.age);
    }
  }
  log_event(log_level::kInfo, "counts_received")
      .Field("missing_ms", duration_cast<milliseconds>(now - counting_since_).count());
  ExpectVms(reply.active_vms);
  counting_since_ =
      now - settings_.withdrawal_bound - settings_.rates.window - settings_.repeats.window;
  RefreshLimits();
}

// Probes are not contacts: the VM takes its level from another core VM.
void fleet_core::RecordWatch(const watch_request& request) {
  if (request.is_probe || request.hold.count() == 0) {
    return;
  }
  if (request.core_incarnation == 0 && request.policy_version == 0) {
    unreported_by_vms_.Forget(request.vm);  // A new process: the former one admits nothing more.
  }
  if (request.core_incarnation != incarnation_) {
    ExpectVms(request.active_vms);
  }
  unreported_by_vms_.RecordContact(request.vm, request.level_age, clock_.Now());
  if (request.core_incarnation != 0 && request.core_incarnation != incarnation_) {
    const vm_arrival arrival{request.vm, request.core_incarnation};
    OwnShare(pending_for_region_).arrivals.push_back(arrival);
    OwnShare(pending_across_regions_).arrivals.push_back(arrival);
    OnArrivals({arrival});
  }
}

void fleet_core::OnArrivals(const std::vector<vm_arrival>& arrivals) {
  for (const vm_arrival& arrival : arrivals) {
    for (auto& [name, other] : peers_) {
      if (other.incarnation != arrival.former_core || other.departed_vms >= other.active_vms) {
        continue;
      }
      ++other.departed_vms;
      unreported_by_cores_.SetRemaining(
          name, 1 - static_cast<double>(other.departed_vms) / other.active_vms);
    }
  }
}

void fleet_core::CountForPeer(const core_share& share) {
  const steady_time now = clock_.Now();
  unreported_by_cores_.RecordContact(share.core, milliseconds(0), now);
  unreported_by_cores_.SetRemaining(share.core, 1);
  const auto count = [&](const std::vector<named_counts>& workspaces, steady_time at) {
    for (const named_counts& note : workspaces) {
      unreported_by_cores_.Count(share.core, note.name, note.first, at);
    }
  };
  count(share.seen.workspaces, now);
  for (const resent_counts& late : share.seen.late) {
    count(late.workspaces, now - late.age);
  }
}

void fleet_core::RefreshUnreported() {
  const steady_time now = clock_.Now();
  if (policy_) {
    for (const policy_workspace& workspace : policy_->Policy().workspaces) {
      const auto listed = std::find_if(
          limits_.workspaces.begin(), limits_.workspaces.end(),
          [&](const workspace_share& share) { return share.workspace == workspace.name; });
      const std::uint32_t room =
          listed == limits_.workspaces.end() ? kMaxRoomPerMille : listed->room_per_mille;
      unreported_by_vms_.SetGrowth(workspace.name,
                                   GrowthPerVm({workspace.rate_per_second, workspace.burst},
                                               settings_.rates, room, limits_.active_vms),
                                   now);
    }
  }
  const std::size_t former = unreported_by_vms_.SilentReporters();
  unreported_by_vms_.Refresh(now);
  unreported_by_cores_.Refresh(now);
  if (unreported_by_vms_.SilentReporters() != former) {
    log_event(log_level::kInfo, "silent_vms")
        .Field("vms", std::uint64_t(unreported_by_vms_.SilentReporters()));
  }
}

// Requests of the workspace that VMs may admit, or may have admitted, uncounted.
double fleet_core::UnreportedBy(const std::string& workspace) const {
  const steady_time now = clock_.Now();
  double sum =
      unreported_by_vms_.Of(workspace).Total() + unreported_by_cores_.Of(workspace).Total();
  for (const auto& [name, other] : peers_) {
    if (now - other.received_at > settings_.withdrawal_bound + settings_.rates.window) {
      continue;
    }
    for (const named_counts& note : other.unreported) {
      sum += note.name == workspace ? static_cast<double>(note.first) : 0;
    }
  }
  return sum;
}

// Counts from before this core VM counted come from another one as a whole (`OnCounts`).
void fleet_core::DropKnownCounts(core_share& share) const {
  const steady_time now = clock_.Now();
  std::erase_if(share.seen.late,
                [&](const resent_counts& late) { return now - late.age < counting_started_at_; });
}

void fleet_core::OnReport(report_request request) {
  active_vms_[request.vm] = clock_.Now();
  for (const named_counts& note : request.seen.workspaces) {
    unreported_by_vms_.Count(request.vm, note.name, note.first, clock_.Now());
  }
  for (const resent_counts& late : request.seen.late) {
    for (const named_counts& note : late.workspaces) {
      unreported_by_vms_.Count(request.vm, note.name, note.first, clock_.Now() - late.age);
    }
  }
  for (const resent_counts& former : request.former) {
    for (const named_counts& note : former.workspaces) {
      unreported_by_vms_.Count(request.vm, note.name, note.first, clock_.Now() - former.age);
    }
  }
  ApplyLoads(request.vm, request.loads);
  ApplyObservations(request.seen, origin::kOwnRegion);
  QueueForSharing(request.seen);
  if (request.is_last) {
    unreported_by_vms_.Forget(request.vm);
    active_vms_.erase(request.vm);
  }
}

std::uint32_t fleet_core::CountActiveVms() const {
  const steady_time now = clock_.Now();
  auto count = static_cast<std::uint32_t>(
      std::count_if(active_vms_.begin(), active_vms_.end(),
                    [&](const auto& item) { return now - item.second < kVmActiveTimeout; }));
  for (const auto& [name, other] : peers_) {
    // VMs without contact go on admitting requests, so they count until their permission has ended.
    if (now - other.received_at < settings_.withdrawal_bound + settings_.rates.window) {
      count += other.active_vms - other.departed_vms;
    }
  }
  return std::max(count, 1U);
}

void fleet_core::ExpectVms(std::uint32_t count) {
  expected_vms_ = std::max(expected_vms_, count);
}

// The number by which the VMs divide what is unused of a limit. It follows a loss of contact late,
// so that the VMs that come back do not find larger parts than all of them can have.
void fleet_core::UpdateFleetSize() {
  const steady_time now = clock_.Now();
  const bool is_settled = now - counting_started_at_ > kFleetSizeMemory;
  const std::uint32_t count = std::max(CountActiveVms(), is_settled ? 0 : expected_vms_);
  if (count >= fleet_size_ || now - fleet_size_at_ > kFleetSizeMemory) {
    fleet_size_ = count;
    fleet_size_at_ = now;
  }
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

// Number of active VMs in the fleet per active VM in this region; at least 1.
double fleet_core::FleetToRegionRatio() const {
  const steady_time now = clock_.Now();
  double regional = 0;
  for (const auto& [vm, at] : active_vms_) {
    regional += now - at < kVmActiveTimeout ? 1 : 0;
  }
  for (const auto& [name, other] : peers_) {
    regional += other.region == settings_.region && now - other.received_at < kPeerActiveTimeout
                    ? static_cast<double>(other.active_vms)
                    : 0;
  }
  return std::max(1.0, CountActiveVms() / std::max(regional, 1.0));
}

// Counts of other regions may be late or missing. Callers are spread over the regions, so the
// region's own counts, scaled to the fleet, are used as a lower bound of the total.
workspace_usage fleet_core::UsageOf(const std::string& workspace,
                                    const workspace_rate& limit) const {
  const steady_time now = clock_.Now();
  const double ratio = FleetToRegionRatio();
  const workspace_usage all = usage_.UsageOf(workspace, settings_.rates, now);
  const workspace_usage own = regional_usage_.UsageOf(workspace, settings_.rates, now);
  const double unreported = UnreportedBy(workspace);
  workspace_usage bound;
  for (std::size_t i = 0; i < bound.spent.size(); ++i) {
    bound.spent[i] = std::max(all.spent[i] + unreported, own.spent[i] * ratio);
  }
  bound.admitted_rate = std::max(all.admitted_rate, own.admitted_rate * ratio);
  bound.demand_rate = std::max(all.demand_rate, own.demand_rate * ratio);
  return WithAssumedEarlierUsage(bound, limit, settings_.rates,
                                 duration_cast<milliseconds>(now - counting_since_));
}

service_usage fleet_core::ServiceUsageOf(const std::string& service) const {
  const steady_time now = clock_.Now();
  const double ratio = FleetToRegionRatio();
  const service_usage all = usage_.UsageOf(service, settings_.repeats, now);
  const service_usage own = regional_usage_.UsageOf(service, settings_.repeats, now);
  return {all.requests, std::max(all.repeats, own.repeats * ratio), all.recent_requests,
          all.recent_failures};
}

void fleet_core::RefreshLimits() {
  const steady_time now = clock_.Now();
  next_limits_ = now + kMinLimitsRefreshInterval;
  shared_limits current;
  is_near_limit_ = false;
  std::map<std::string, workspace_usage> limited;
  if (policy_) {
    for (const policy_workspace& workspace : policy_->Policy().workspaces) {
      const workspace_rate limit{workspace.rate_per_second, workspace.burst};
      const workspace_usage usage = UsageOf(workspace.name, limit);
      const double share = AdmittedShare(usage, limit, settings_.rates);
      is_near_limit_ = is_near_limit_ || IsNearLimit(usage, limit, settings_.rates);
      const auto per_mille = static_cast<std::uint32_t>(share * kPerMille) /
                             kAdmittedShareStepPerMille * kAdmittedShareStepPerMille;
      const auto former = std::find_if(
          limits_.workspaces.begin(), limits_.workspaces.end(),
          [&](const workspace_share& each) { return each.workspace == workspace.name; });
      const std::uint32_t former_room =
          former == limits_.workspaces.end() ? kMaxRoomPerMille : former->room_per_mille;
      const std::uint32_t room = per_mille < kPerMille || limit.rate_per_second == 0
                                     ? 0
                                     : RoomPerMille(usage, limit, settings_.rates, former_room);
      if (limit.rate_per_second != 0 && (per_mille < kPerMille || room < kMaxRoomPerMille)) {
        current.workspaces.push_back({workspace.name, per_mille, room});
        limited.emplace(workspace.name, usage);
      }
    }
    for (const policy_service& service : policy_->Policy().services) {
      if (IsRepeatBudgetLow(ServiceUsageOf(service.name), settings_.repeats)) {
        current.low_budget_services.push_back(service.name);
      }
    }
  }
  current.blocked_requests = crashes_.Blocked(now);
  UpdateFleetSize();
  const std::uint32_t active = fleet_size_;
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
          .Field("unreported", static_cast<int>(UnreportedBy(share.workspace)))
          .Field("admitted_rate", static_cast<int>(usage.admitted_rate))
          .Field("demand_rate", static_cast<int>(usage.demand_rate));
    }
    for (const std::string& service : current.low_budget_services) {
      event.Field("repeats of " + service, "scarce");
    }
    event.Field("active_vms", std::uint64_t(CountActiveVms()))
        .Field("fleet_to_region_per_cent", static_cast<int>(FleetToRegionRatio() * 100));
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
    health_.PlanTrials(upstreams, IsDegraded(ServiceUsageOf(service)), now);
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
