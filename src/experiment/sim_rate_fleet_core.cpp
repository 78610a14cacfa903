// The core VMs of a simulated fleet.
#include "experiment/sim_rate_fleet.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kDelayInRegion(2);
// A share for another region waits at the leader, which forwards it.
constexpr milliseconds kShareDelayAcross(30 + 50);
constexpr milliseconds kAnswerDelay(36);  // With the link both ways: 40 ms from answer to answer.
constexpr milliseconds kWatchHold(400);
constexpr milliseconds kTickInterval(100);
constexpr milliseconds kMinLimitsInterval(25);
constexpr milliseconds kShareInterval(40);
constexpr milliseconds kShareIntervalAcross(1000);
constexpr milliseconds kShareIntervalNearLimit(50);
constexpr milliseconds kCountsRequestInterval(300);
constexpr milliseconds kMaxCountAge(5000);
constexpr milliseconds kWithdrawalBound(5000);
constexpr std::uint32_t kPerMille = 1000;
constexpr std::size_t kCores = sim_rate_fleet::kCoreRegions.size();

std::string NameOf(std::size_t core) {
  return "core" + std::to_string(core);
}

}  // namespace

void sim_rate_fleet::StartCore(std::size_t number) {
  core_vm& core = cores_[number];
  core = core_vm();
  core.incarnation = next_incarnation_++;
  core.usage = std::make_unique<fleet_usage>(
      fleet_usage_settings{std::to_string(kCoreRegions[number]), kTolerance, {}, kWithdrawalBound},
      core.incarnation, clock_);
  events_.After(milliseconds(random_() % kTickInterval.count()),
                [this, number, incarnation = core.incarnation] { Tick(number, incarnation); });
}

void sim_rate_fleet::Freeze(std::size_t number, milliseconds duration) {
  cores_[number].is_frozen = true;
  events_.After(duration, [this, number] {
    core_vm& core = cores_[number];
    core.is_frozen = false;
    core.watchers.clear();  // Their callers have given up.
    core.usage->RestartAfterPause(core.limits.active_vms);
    core.next_counts = events_.Now();
    Tick(number, core.incarnation);
  });
}

void sim_rate_fleet::RestartCores(milliseconds duration) {
  for (std::size_t i = 0; i < kCores; ++i) {
    cores_[i].usage.reset();
    events_.After(duration, [this, i] { StartCore(i); });
  }
}

// ---- Entry VMs ----

void sim_rate_fleet::OnWatch(std::size_t number, watcher waiting) {
  core_vm& core = cores_[number];
  if (!core.IsRunning()) {
    return;
  }
  QueueArrivals(number, core.usage->OnWatch(waiting.request));
  if (waiting.request.core_incarnation != core.incarnation) {
    Answer(number, waiting);
    return;
  }
  core.watchers.push_back(std::move(waiting));
  events_.After(kAnswerDelay, [this, number] { AnswerWatchers(number); });
  events_.After(kWatchHold, [this, number] { AnswerWatchers(number); });
}

void sim_rate_fleet::Answer(std::size_t number, const watcher& waiting) {
  const core_vm& core = cores_[number];
  watch_reply reply;
  reply.changes.index = 1;
  if (policy_ && waiting.request.policy_version < policy_->Version()) {
    reply.changes.policy = {policy_->Version(), PackText(std::to_string(policy_->Version()))};
  }
  reply.held = duration_cast<milliseconds>(events_.Now() - waiting.arrived_at);
  reply.core_incarnation = core.incarnation;
  reply.is_counting = core.usage->IsCounting();
  reply.limits_revision = core.limits_revision;
  if (waiting.request.core_incarnation != core.incarnation ||
      waiting.request.limits_revision < core.limits_revision) {
    reply.limits = {core.limits};
  }
  const milliseconds delay = LinkDelay(vms_[waiting.vm], number);
  const steady_time sent_at = waiting.arrived_at - delay;
  events_.After(delay, [this, vm = waiting.vm, call = waiting.call, reply, sent_at] {
    OnReply(vm, call, reply, sent_at);
  });
}

void sim_rate_fleet::AnswerWatchers(std::size_t number) {
  core_vm& core = cores_[number];
  core.is_answer_scheduled = false;
  if (!core.IsRunning()) {
    return;
  }
  const steady_time now = events_.Now();
  std::vector<watcher> kept;
  for (watcher& waiting : std::exchange(core.watchers, {})) {
    const bool has_news = waiting.request.limits_revision < core.limits_revision ||
                          (policy_ && waiting.request.policy_version < policy_->Version());
    const milliseconds waited = duration_cast<milliseconds>(now - waiting.arrived_at);
    if (waited >= kWatchHold || (has_news && waited >= kAnswerDelay)) {
      Answer(number, waiting);
    } else {
      kept.push_back(std::move(waiting));
    }
  }
  core.watchers = std::move(kept);
}

void sim_rate_fleet::OnReport(std::size_t number, report_request request) {
  core_vm& core = cores_[number];
  QueueArrivals(number, core.usage->OnReport(request));
  core.usage->Count(request.seen, /*is_own_region=*/true);
  if (events_.Now() >= core.next_limits) {
    RefreshLimits(number);
  }
  for (std::size_t i = 0; i < kCores; ++i) {
    observations& seen = core.outboxes[i].share.seen;
    MergeCounts(seen.workspaces, request.seen.workspaces);
    seen.late.insert(seen.late.end(), request.seen.late.begin(), request.seen.late.end());
  }
  if (!std::exchange(core.outboxes[number].is_scheduled, true)) {
    events_.After(kShareInterval, [this, number] { ShareInRegion(number); });
  }
  const steady_time now = events_.Now();
  if (core.is_near_limit && now + kShareIntervalNearLimit < core.next_share_across) {
    core.next_share_across = now + kShareIntervalNearLimit;
    events_.After(kShareIntervalNearLimit, [this, number] { ShareAcrossRegions(number); });
  }
}

// ---- Limits ----

void sim_rate_fleet::Tick(std::size_t number, std::uint64_t incarnation) {
  core_vm& core = cores_[number];
  if (!core.IsRunning() || core.incarnation != incarnation) {
    return;
  }
  RequestCounts(number);
  core.usage->Refresh(policy_, core.limits);
  RefreshLimits(number);
  ShareInRegion(number);
  ShareAcrossRegions(number);
  events_.After(kTickInterval, [this, number, incarnation] { Tick(number, incarnation); });
}

void sim_rate_fleet::RefreshLimits(std::size_t number) {
  core_vm& core = cores_[number];
  core.next_limits = events_.Now() + kMinLimitsInterval;
  if (!policy_) {
    return;
  }
  shared_limits current;
  bool is_near_limit = false;
  for (const limited_workspace& each : core.usage->LimitWorkspaces(policy_, core.limits)) {
    is_near_limit = is_near_limit || each.is_near_limit;
    if (each.share.per_mille < kPerMille || each.share.room_per_mille < kMaxRoomPerMille) {
      current.workspaces.push_back(each.share);
    }
  }
  core.is_near_limit = core.usage->UpdateNearLimit(is_near_limit);
  const std::uint32_t active = core.usage->UpdateFleetSize();
  const bool is_similar =
      active * 10 >= core.limits.active_vms * 9 && active <= core.limits.active_vms;
  current.active_vms = is_similar ? core.limits.active_vms : active;
  if (current == core.limits) {
    return;
  }
  core.limits = std::move(current);
  ++core.limits_revision;
  if (!std::exchange(core.is_answer_scheduled, true)) {
    events_.After(milliseconds(1), [this, number] { AnswerWatchers(number); });
  }
}

void sim_rate_fleet::RequestCounts(std::size_t number) {
  core_vm& core = cores_[number];
  if (core.usage->HasCompleteCounts() || events_.Now() < core.next_counts) {
    return;
  }
  core.next_counts = events_.Now() + kCountsRequestInterval;
  const std::size_t asked = core.next_member++ % kCores;
  if (asked == number || !cores_[asked].IsRunning()) {
    return;
  }
  const counts_reply reply = cores_[asked].usage->MakeCountsReply();
  events_.After(2 * kDelayInRegion, [this, number, reply] {
    if (cores_[number].IsRunning() && cores_[number].usage->OnCounts(reply)) {
      RefreshLimits(number);
    }
  });
}

// ---- Shares ----

void sim_rate_fleet::QueueArrivals(std::size_t number, const std::vector<vm_arrival>& arrivals) {
  for (outbox& box : cores_[number].outboxes) {
    box.share.arrivals.insert(box.share.arrivals.end(), arrivals.begin(), arrivals.end());
  }
}

void sim_rate_fleet::ShareInRegion(std::size_t number) {
  core_vm& core = cores_[number];
  core.outboxes[number].is_scheduled = false;
  for (std::size_t to = 0; core.IsRunning() && to < kCores; ++to) {
    if (to != number && kCoreRegions[to] == kCoreRegions[number]) {
      SendShare(number, to);
    }
  }
}

void sim_rate_fleet::ShareAcrossRegions(std::size_t number) {
  core_vm& core = cores_[number];
  const steady_time now = events_.Now();
  if (!core.IsRunning() || now < core.next_share_across) {
    return;
  }
  core.next_share_across =
      now + (core.is_near_limit ? kShareIntervalNearLimit : kShareIntervalAcross);
  for (std::size_t to = 0; to < kCores; ++to) {
    if (kCoreRegions[to] != kCoreRegions[number]) {
      SendShare(number, to);
    }
  }
}

void sim_rate_fleet::SendShare(std::size_t from, std::size_t to) {
  outbox& box = cores_[from].outboxes[to];
  const steady_time now = events_.Now();
  core_share share = std::exchange(box.share, {});
  share.core = NameOf(from);
  share.region = std::to_string(kCoreRegions[from]);
  cores_[from].usage->AddState(share);
  AddUndelivered(box, share, now);
  const bool is_own_region = kCoreRegions[from] == kCoreRegions[to];
  events_.After(is_own_region ? kDelayInRegion : kShareDelayAcross,
                [this, from, to, is_own_region, now, share = std::move(share)]() mutable {
                  if (!cores_[to].IsRunning()) {
                    cores_[from].outboxes[to].undelivered.emplace_back(now, std::move(share));
                    return;
                  }
                  cores_[to].usage->OnShare(share);
                  cores_[to].usage->Count(share.seen, is_own_region);
                });
}

void sim_rate_fleet::AddUndelivered(outbox& box, core_share& share, steady_time now) {
  for (auto& [at, kept] : std::exchange(box.undelivered, {})) {
    const milliseconds age = duration_cast<milliseconds>(now - at);
    share.arrivals.insert(share.arrivals.end(), kept.arrivals.begin(), kept.arrivals.end());
    kept.seen.late.push_back({milliseconds(0), kept.seen.workspaces, {}});
    for (resent_counts& late : kept.seen.late) {
      late.age += age;
      if (late.age < kMaxCountAge && !late.workspaces.empty()) {
        share.seen.late.push_back(late);
      }
    }
  }
}

}  // namespace corianderhoist
