#include "fleet/fleet_usage.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kVmActiveTimeout(2500);
constexpr milliseconds kPeerActiveTimeout(3000);
// Longer than VMs are usually cut off or stopped.
constexpr milliseconds kFleetSizeMemory(60'000);
constexpr milliseconds kCountsStep(200);
constexpr std::uint32_t kPerMille = 1000;
// Admitted shares are rounded down so that small changes of demand are not sent to every VM.
constexpr std::uint32_t kAdmittedShareStepPerMille = 20;
// Longer than the interval at which core VMs of other regions send their counts.
constexpr milliseconds kCoreSilence(1500);
// While counts are exchanged more often: an interval at the sender and at the leader that forwards
// them, a tick, and the delay between regions twice. `AdmittedShare` reckons with the requests of
// that time.
constexpr milliseconds kCoreSilenceNearLimit(300);
constexpr milliseconds kNearLimitMemory(1000);

std::uint32_t RoomIn(const shared_limits& limits, const std::string& workspace) {
  const auto listed =
      std::find_if(limits.workspaces.begin(), limits.workspaces.end(),
                   [&](const workspace_share& share) { return share.workspace == workspace; });
  return listed == limits.workspaces.end() ? kMaxRoomPerMille : listed->room_per_mille;
}

unreported_usage::limits PermissionsOf(const fleet_usage_settings& settings) {
  return {.window = settings.rates.window, .permission = settings.withdrawal_bound};
}

unreported_usage::limits PermissionsByCoresOf(const fleet_usage_settings& settings) {
  unreported_usage::limits made = PermissionsOf(settings);
  made.silence = kCoreSilence;
  return made;
}

}  // namespace

fleet_usage::fleet_usage(fleet_usage_settings settings,
                         std::uint64_t incarnation,
                         const clock_source& clock)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      clock_(clock),
      counting_started_at_(clock.Now()),
      counting_since_(counting_started_at_),
      unreported_by_vms_(PermissionsOf(settings_)),
      unreported_by_cores_(PermissionsByCoresOf(settings_)) {}

// ---- Entry VMs ----

// Probes are not contacts: the VM takes its level from another core VM.
std::vector<vm_arrival> fleet_usage::OnWatch(const watch_request& request) {
  if (request.is_probe || request.hold.count() == 0) {
    return {};
  }
  active_vms_[request.vm] = clock_.Now();
  if (request.core_incarnation == 0 && request.policy_version == 0) {
    unreported_by_vms_.Forget(request.vm);  // A new process: the former one admits nothing more.
  }
  if (request.core_incarnation != incarnation_) {
    ExpectVms(request.active_vms);
  }
  unreported_by_vms_.RecordContact(request.vm, request.level_age, clock_.Now());
  std::vector<vm_arrival> arrivals = ArrivalFrom(request.vm, request.core_incarnation);
  if (arrivals.empty() && request.is_turning) {
    // A core VM between that has received a call of the VM, whose answer was lost, must not wait
    // for the VM's next call.
    arrivals.push_back({request.vm, 0});
  }
  return arrivals;
}

std::vector<vm_arrival> fleet_usage::ArrivalFrom(const std::string& vm, std::uint64_t former_core) {
  if (former_core == 0 || former_core == incarnation_) {
    return {};
  }
  std::vector<vm_arrival> arrivals = {{vm, former_core}};
  OnArrivals(arrivals);
  return arrivals;
}

// What a VM reported to a core VM that then lost contact is in no other counts. The core VM shares
// it when it is back; until then it is counted twice.
std::vector<resent_counts> fleet_usage::UnsharedCounts(const report_request& request) const {
  const auto former = std::find_if(peers_.begin(), peers_.end(), [&](const auto& item) {
    return request.former_core != 0 && item.second.incarnation == request.former_core;
  });
  if (former == peers_.end()) {
    return {};
  }
  const steady_time now = clock_.Now();
  const steady_time shared_until =
      former->second.received_at - kCoreSilenceNearLimit - kFormerCountStep;
  std::vector<resent_counts> unshared;
  std::copy_if(request.former.begin(), request.former.end(), std::back_inserter(unshared),
               [&](const resent_counts& counts) { return now - counts.age > shared_until; });
  return unshared;
}

std::vector<vm_arrival> fleet_usage::OnReport(report_request& request) {
  const steady_time now = clock_.Now();
  active_vms_[request.vm] = now;
  for (const named_counts& note : request.seen.workspaces) {
    unreported_by_vms_.Count(request.vm, note.name, note.first, now);
  }
  for (const auto* resent : {&request.seen.late, &request.former}) {
    for (const resent_counts& late : *resent) {
      for (const named_counts& note : late.workspaces) {
        unreported_by_vms_.Count(request.vm, note.name, note.first, now - late.age);
      }
    }
  }
  const std::vector<resent_counts> unshared = UnsharedCounts(request);
  request.seen.late.insert(request.seen.late.end(), unshared.begin(), unshared.end());
  if (request.is_last) {
    unreported_by_vms_.Forget(request.vm);
    active_vms_.erase(request.vm);
    return {};
  }
  return ArrivalFrom(request.vm, request.former_core);
}

void fleet_usage::Count(const observations& seen, bool is_own_region) {
  const steady_time now = clock_.Now();
  ApplyCounts(seen.workspaces, seen.services, is_own_region, now);
  for (const resent_counts& late : seen.late) {
    ApplyCounts(late.workspaces, late.services, is_own_region, now - late.age);
  }
}

void fleet_usage::ApplyCounts(const std::vector<named_counts>& workspaces,
                              const std::vector<named_counts>& services,
                              bool is_own_region,
                              steady_time at) {
  const auto count = [&](usage_ledger& ledger) {
    for (const named_counts& note : workspaces) {
      ledger.CountWorkspace(note.name, note.first, note.second, at);
    }
    for (const named_counts& note : services) {
      ledger.CountService(note.name, note.first, note.second, note.third, at);
    }
  };
  count(all_);
  if (is_own_region) {
    count(regional_);
  }
}

std::uint32_t fleet_usage::CountOwnVms() const {
  const steady_time now = clock_.Now();
  return static_cast<std::uint32_t>(
      std::count_if(active_vms_.begin(), active_vms_.end(),
                    [&](const auto& item) { return now - item.second < kVmActiveTimeout; }));
}

std::uint32_t fleet_usage::CountActiveVms() const {
  const steady_time now = clock_.Now();
  std::uint32_t count = CountOwnVms();
  for (const auto& [name, other] : peers_) {
    // VMs without contact go on admitting requests, so they count until their permission has ended.
    if (now - other.received_at < settings_.withdrawal_bound + settings_.rates.window) {
      count += other.RemainingVms();
    }
  }
  return std::max(count, 1U);
}

void fleet_usage::ExpectVms(std::uint32_t count) {
  expected_vms_ = std::max(expected_vms_, count);
}

std::uint32_t fleet_usage::UpdateFleetSize() {
  const steady_time now = clock_.Now();
  const bool is_settled = now - counting_started_at_ > kFleetSizeMemory;
  const std::uint32_t count = std::max(CountActiveVms(), is_settled ? 0 : expected_vms_);
  if (count >= fleet_size_ || now - fleet_size_at_ > kFleetSizeMemory) {
    fleet_size_ = count;
    fleet_size_at_ = now;
  }
  return fleet_size_;
}

double fleet_usage::FleetToRegionRatio() const {
  const steady_time now = clock_.Now();
  double regional = CountOwnVms();
  for (const auto& [name, other] : peers_) {
    regional += other.region == settings_.region && now - other.received_at < kPeerActiveTimeout
                    ? static_cast<double>(other.active_vms)
                    : 0;
  }
  return std::max(1.0, CountActiveVms() / std::max(regional, 1.0));
}

// ---- Other core VMs ----

void fleet_usage::OnShare(core_share& share) {
  const steady_time now = clock_.Now();
  peers_[share.core] = {share.region,     share.active_vms,    now, share.incarnation,
                        share.unreported, share.is_near_limit, {}};
  if (!share.regions.empty()) {
    stated_regions_ = share.regions;
  }
  for (const vm_arrival& arrival : share.arrivals) {
    unreported_by_vms_.Forget(arrival.vm);
    active_vms_.erase(arrival.vm);
  }
  OnArrivals(share.arrivals);
  // Counts from before this core VM counted come from another one as a whole (`OnCounts`).
  std::erase_if(share.seen.late,
                [&](const resent_counts& late) { return now - late.age < counting_started_at_; });
  CountForPeer(share);
}

void fleet_usage::OnArrivals(const std::vector<vm_arrival>& arrivals) {
  for (const vm_arrival& arrival : arrivals) {
    for (auto& [name, other] : peers_) {
      if (other.incarnation != arrival.former_core || other.active_vms == 0) {
        continue;
      }
      other.departed_vms.insert(arrival.vm);
      unreported_by_cores_.SetRemaining(
          name, static_cast<double>(other.RemainingVms()) / other.active_vms);
    }
  }
}

void fleet_usage::CountForPeer(const core_share& share) {
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

void fleet_usage::AddState(core_share& share) const {
  share.incarnation = incarnation_;
  share.unreported.clear();
  for (const auto& [workspace, requests] : unreported_by_vms_.All()) {
    const auto rounded = static_cast<std::uint64_t>(std::ceil(requests.Total()));
    if (rounded > 0) {
      share.unreported.push_back({workspace, rounded});
    }
  }
  share.active_vms = CountOwnVms();
  share.is_near_limit = clock_.Now() < near_limit_until_;
}

std::optional<std::string> fleet_usage::RegionOf(const std::string& core) const {
  const auto found = peers_.find(core);
  return found == peers_.end() ? std::nullopt : std::optional(found->second.region);
}

bool fleet_usage::IsInOwnRegion(const std::string& core) const {
  if (const auto region = RegionOf(core)) {
    return region == settings_.region;
  }
  const auto stated = stated_regions_.find(core);
  return stated != stated_regions_.end() && stated->second == settings_.region;
}

std::map<std::string, std::string> fleet_usage::Regions() const {
  std::map<std::string, std::string> regions;
  for (const auto& [name, other] : peers_) {
    regions.emplace(name, other.region);
  }
  return regions;
}

// ---- Completeness of the counts ----

void fleet_usage::RestartAfterPause(std::uint32_t known_vms) {
  counting_started_at_ = counting_since_ = clock_.Now();
  ExpectVms(known_vms);
  // The VMs have turned to other core VMs, which reckon with those that have not.
  unreported_by_vms_.Clear();
  unreported_by_cores_.Clear();
  regional_ = usage_ledger();
}

bool fleet_usage::HasCompleteCounts() const {
  const auto needed = std::max(settings_.rates.window, settings_.repeats.window);
  return clock_.Now() - counting_since_ >= needed;
}

counts_reply fleet_usage::MakeCountsReply() const {
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
    all_.Visit(
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

bool fleet_usage::OnCounts(const counts_reply& reply) {
  if (!reply.is_complete || HasCompleteCounts()) {
    return false;
  }
  const steady_time now = clock_.Now();
  for (const resent_counts& step : reply.counts) {
    // This core VM has counted what came later itself.
    if (now - step.age <= counting_started_at_) {
      ApplyCounts(step.workspaces, step.services, /*is_own_region=*/false, now - step.age);
    }
  }
  log_event(log_level::kInfo, "counts_received")
      .Field("missing_ms", duration_cast<milliseconds>(now - counting_since_).count());
  ExpectVms(reply.active_vms);
  counting_since_ =
      now - settings_.withdrawal_bound - settings_.rates.window - settings_.repeats.window;
  return true;
}

// ---- Usage ----

void fleet_usage::Refresh(const policy_ptr& policy, const shared_limits& limits) {
  const steady_time now = clock_.Now();
  if (policy) {
    for (const policy_workspace& workspace : policy->Policy().workspaces) {
      unreported_by_vms_.SetGrowth(
          workspace.name,
          GrowthPerVm({workspace.rate_per_second, workspace.burst}, settings_.rates,
                      RoomIn(limits, workspace.name), limits.active_vms),
          now);
      SetGrowthOfPeers(workspace);
    }
  }
  peers_refreshed_at_ = now;
  const std::size_t former_vms = unreported_by_vms_.SilentReporters();
  const std::size_t former_cores = unreported_by_cores_.SilentReporters();
  unreported_by_vms_.Refresh(now);
  unreported_by_cores_.Refresh(now);
  if (unreported_by_vms_.SilentReporters() != former_vms ||
      unreported_by_cores_.SilentReporters() != former_cores) {
    log_event(log_level::kInfo, "silent_reporters")
        .Field("vms", std::uint64_t(unreported_by_vms_.SilentReporters()))
        .Field("cores", std::uint64_t(unreported_by_cores_.SilentReporters()));
  }
}

// A core VM without contact goes on to share out what is unused of a limit. Each takes the part of
// its VMs, as of its last contact.
void fleet_usage::SetGrowthOfPeers(const policy_workspace& workspace) {
  const workspace_rate limit{workspace.rate_per_second, workspace.burst};
  const double unused =
      SteeredLimit(limit, settings_.rates) - UsageOf(workspace.name, limit).spent.front();
  const double unused_per_vm = std::max(unused, 0.0) / CountActiveVms();
  for (const auto& [name, other] : peers_) {
    if (other.received_at > peers_refreshed_at_) {
      unreported_by_cores_.SetOwnGrowth(name, workspace.name, unused_per_vm * other.active_vms);
    }
  }
}

double fleet_usage::UnreportedByCores(const std::string& workspace) const {
  return unreported_by_cores_.Of(workspace).Total();
}

double fleet_usage::UnreportedBy(const std::string& workspace) const {
  const steady_time now = clock_.Now();
  double sum = unreported_by_vms_.Of(workspace).Total() + UnreportedByCores(workspace);
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

// The counts of other regions are late by this time. Core VMs that have not been heard for longer
// are in `unreported_by_cores_`, unless this core VM has started since.
milliseconds fleet_usage::CountDelay() const {
  if (!HasCompleteCounts()) {
    return settings_.rates.window;
  }
  const bool is_near_limit = near_limit_since_ && clock_.Now() >= *near_limit_since_;
  return (is_near_limit ? kCoreSilenceNearLimit : kCoreSilence) + sliding_count::kBucketDuration;
}

// Callers are spread over the regions, so where the counts of other regions are late, the region's
// own counts, scaled to the fleet, are used as a lower bound of the total. They are not used for
// the time before: small workspaces differ by chance between the regions.
workspace_usage fleet_usage::UsageOf(const std::string& workspace,
                                     const workspace_rate& limit) const {
  const steady_time now = clock_.Now();
  const double ratio = FleetToRegionRatio();
  const workspace_usage all = all_.UsageOf(workspace, settings_.rates, now);
  const workspace_usage own = regional_.UsageOf(workspace, settings_.rates, now, ratio);
  const double late = regional_.Admitted(workspace, CountDelay(), now) * ratio -
                      all_.Admitted(workspace, CountDelay(), now);
  const double uncounted = std::max(UnreportedBy(workspace), late);
  workspace_usage bound;
  for (std::size_t i = 0; i < bound.spent.size(); ++i) {
    bound.spent[i] = all.spent[i] + uncounted;
  }
  bound.admitted_rate = std::max(all.admitted_rate, own.admitted_rate);
  bound.demand_rate = std::max(all.demand_rate, own.demand_rate);
  return WithAssumedEarlierUsage(bound, limit, settings_.rates,
                                 duration_cast<milliseconds>(now - counting_since_));
}

std::vector<limited_workspace> fleet_usage::LimitWorkspaces(const policy_ptr& policy,
                                                            const shared_limits& former) const {
  std::vector<limited_workspace> limited;
  for (const policy_workspace& workspace : policy->Policy().workspaces) {
    const workspace_rate limit{workspace.rate_per_second, workspace.burst};
    if (limit.rate_per_second == 0) {
      continue;
    }
    limited_workspace made;
    made.usage = UsageOf(workspace.name, limit);
    // What other core VMs may share out counts only if counts are exchanged more often.
    workspace_usage counted = made.usage;
    counted.spent.back() -= unreported_by_cores_.Of(workspace.name).growth;
    made.is_near_limit = IsNearLimit(counted, limit, settings_.rates);
    const double share = AdmittedShare(made.usage, limit, settings_.rates);
    const auto per_mille = static_cast<std::uint32_t>(share * kPerMille) /
                           kAdmittedShareStepPerMille * kAdmittedShareStepPerMille;
    const std::uint32_t room =
        per_mille < kPerMille
            ? 0
            : RoomPerMille(made.usage, limit, settings_.rates, RoomIn(former, workspace.name));
    made.share = {workspace.name, per_mille, room};
    limited.push_back(made);
  }
  return limited;
}

bool fleet_usage::UpdateNearLimit(bool is_near_limit) {
  const steady_time now = clock_.Now();
  near_limit_until_ = is_near_limit ? now + kNearLimitMemory : near_limit_until_;
  const bool is_near_anywhere =
      now < near_limit_until_ || std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        return item.second.is_near_limit && now - item.second.received_at < kNearLimitMemory;
      });
  if (!is_near_anywhere) {
    near_limit_since_.reset();
  } else if (!near_limit_since_) {
    // The others have to hear of it before they send counts more often.
    near_limit_since_ = now + kCoreSilenceNearLimit;
  }
  unreported_by_cores_.SetFrequentContacts(near_limit_since_, kCoreSilenceNearLimit);
  return near_limit_since_.has_value();
}

service_usage fleet_usage::ServiceUsageOf(const std::string& service) const {
  const steady_time now = clock_.Now();
  const double ratio = FleetToRegionRatio();
  const service_usage all = all_.UsageOf(service, settings_.repeats, now);
  const service_usage own = regional_.UsageOf(service, settings_.repeats, now);
  return {all.requests, std::max(all.repeats, own.repeats * ratio), all.recent_requests,
          all.recent_failures};
}

}  // namespace corianderhoist
