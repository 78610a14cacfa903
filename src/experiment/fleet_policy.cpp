#include "experiment/fleet_policy.h"

#include "base/hash.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// One round trip to a follower plus one disk sync.
constexpr milliseconds kLogCommitLatency(3);
constexpr milliseconds kMaxTokenWait(50);
constexpr milliseconds kGuaranteeRaiseInterval(250);
constexpr milliseconds kReportRetryInterval(100);
constexpr int kMaxAttemptsPerRequest = 3;

digest FingerprintOf(const sim_request& request) {
  return Sha256(request.is_poison ? "poison" : std::to_string(request.id));
}

std::string VmName(std::size_t vm) {
  return "entry-" + std::to_string(vm);
}

}  // namespace

fleet_policy::fleet_policy(sim_world& world) : world_(world), regions_(kSimRegions) {
  for (region_modules& each : regions_) {
    each.bucket_table.Start(world.events.Now());
    each.allocator.Start({}, world.events.Now());
    each.allocator.SetFloor(static_cast<std::uint32_t>(world.plan.floor_percent));
  }
  for (std::size_t i = 0; i < world.vm_regions.size(); ++i) {
    budgets_.push_back(std::make_unique<retry_budget>());
  }
}

int fleet_policy::HomeRegion(const sim_request& request) const {
  return world_.workspaces[request.workspace].regions.front();
}

void fleet_policy::Acquire(const sim_request& request, std::function<void(sim_decision)> done) {
  if (request.attempt == 1) {
    budgets_[request.vm]->OnRequest();
  }
  auto pending =
      std::make_shared<acquisition>(acquisition{request, std::move(done), world_.events.Now()});
  const int home = HomeRegion(request);
  if (world_.IsPartitioned(VmRegion(request), home)) {
    Refuse(pending, error_kind::kCoordinatorUnavailable);
    return;
  }
  world_.events.After(world_.LinkLatency(VmRegion(request), home),
                      [this, pending] { Admit(pending); });
}

void fleet_policy::Admit(const acquisition_ptr& pending) {
  region_modules& home = regions_[static_cast<std::size_t>(HomeRegion(pending->request))];
  const digest fingerprint = FingerprintOf(pending->request);
  const steady_time now = world_.events.Now();
  if (home.blocked.contains(fingerprint)) {
    Refuse(pending, error_kind::kRequestBlocked);
    return;
  }
  if (!home.crashes.TryStart(fingerprint, pending->request.AttemptId(), now,
                             pending->request.deadline)) {
    Refuse(pending, error_kind::kQueueTimeout);
    return;
  }
  pending->started = now;
  TakeToken(pending);
}

void fleet_policy::ProposeGuarantee(token_bucket& bucket,
                                    int region_index,
                                    const std::string& workspace,
                                    bool may_raise) {
  const auto tokens = bucket.ProposeGuarantee(world_.events.Now(), may_raise);
  if (tokens) {
    world_.events.After(kLogCommitLatency, [this, region_index, workspace, tokens] {
      regions_[static_cast<std::size_t>(region_index)].bucket_table.Find(workspace)->OnCommitted(
          *tokens);
    });
  }
}

void fleet_policy::TakeToken(const acquisition_ptr& pending) {
  const sim_workspace& workspace = world_.workspaces[pending->request.workspace];
  const int home = HomeRegion(pending->request);
  const steady_time now = world_.events.Now();
  const nanoseconds max_wait =
      std::max<nanoseconds>(nanoseconds(0), kMaxTokenWait - (now - pending->started));
  token_bucket& bucket = regions_[static_cast<std::size_t>(home)].bucket_table.Bucket(
      workspace.name, workspace.limit, [](const std::string&) { return std::nullopt; }, now);
  const take_result taken = bucket.TryTake(now, max_wait);
  ProposeGuarantee(bucket, home, workspace.name, false);
  if (taken.status == take_status::kTaken) {
    RequestSlot(pending, home);
  } else if (taken.status == take_status::kReserved) {
    world_.events.After(taken.wait, [this, pending, home] { RequestSlot(pending, home); });
  } else if (taken.status == take_status::kCheckpoint && taken.wait <= max_wait) {
    world_.events.After(taken.wait, [this, pending] { TakeToken(pending); });
  } else {
    regions_[static_cast<std::size_t>(home)].crashes.End(FingerprintOf(pending->request),
                                                         pending->request.AttemptId());
    Refuse(pending, error_kind::kOverRate);
  }
}

void fleet_policy::RequestSlot(const acquisition_ptr& pending, int region_index) {
  const sim_request& request = pending->request;
  const sim_workspace& workspace = world_.workspaces[request.workspace];
  slot_allocator& allocator = regions_[static_cast<std::size_t>(region_index)].allocator;
  const steady_time now = world_.events.Now();
  const std::vector<place> own = {{SimRegionName(region_index), {}}};
  const bool has_second = workspace.regions.size() > 1 && region_index == HomeRegion(request);
  if (has_second && allocator.IsWarm(now) && !allocator.HasUpstream(own, now)) {
    // The entry VM forwards the admission to the coordinator of the second region.
    const int second = workspace.regions[1];
    if (world_.IsPartitioned(VmRegion(request), second)) {
      Refuse(pending, error_kind::kCoordinatorUnavailable);
      return;
    }
    world_.events.After(world_.LinkLatency(region_index, VmRegion(request)) +
                            world_.LinkLatency(VmRegion(request), second),
                        [this, pending, second] { RequestSlot(pending, second); });
    return;
  }
  slot_request slot;
  slot.term = 1;
  slot.number = next_lease_++;
  slot.request_id = request.AttemptId();
  slot.session = VmName(request.vm) + "/1";
  slot.workspace = workspace.name;
  slot.fingerprint = FingerprintOf(request);
  slot.places = own;
  for (const std::size_t each : request.avoid) {
    slot.avoid.push_back(world_.upstreams[each].name);
  }
  slot.deadline = request.deadline;
  slot.is_idempotent = request.is_idempotent;
  slot.is_suspect = regions_[static_cast<std::size_t>(HomeRegion(request))].crashes.IsSuspect(
      slot.fingerprint, now);
  slot.done = [this, pending, region_index](const slot_outcome& outcome) {
    OnSlotOutcome(pending, region_index, outcome);
  };
  allocator_effects effects;
  allocator.Acquire(std::move(slot), now, effects);
  ApplyEffects(effects);
}

std::size_t fleet_policy::UpstreamIndex(const std::string& upstream) const {
  const auto found = std::find_if(world_.upstreams.begin(), world_.upstreams.end(),
                                  [&](const sim_upstream& each) { return each.name == upstream; });
  return static_cast<std::size_t>(found - world_.upstreams.begin());
}

void fleet_policy::OnSlotOutcome(const acquisition_ptr& pending,
                                 int region_index,
                                 const slot_outcome& outcome) {
  sim_decision decision;
  if (const auto* refusal = std::get_if<slot_refusal>(&outcome)) {
    decision.refusal = refusal->kind;
    region_modules& home = regions_[static_cast<std::size_t>(HomeRegion(pending->request))];
    home.crashes.End(FingerprintOf(pending->request), pending->request.AttemptId());
    if (token_bucket* bucket =
            home.bucket_table.Find(world_.workspaces[pending->request.workspace].name)) {
      bucket->Refund(1, world_.events.Now());
    }
    Reply(pending, region_index, decision);
    return;
  }
  const auto& grant = std::get<slot_grant>(outcome);
  decision.is_granted = true;
  decision.lease = grant.lease.id;
  decision.id = grant.lease.upstream;
  decision.upstream = UpstreamIndex(decision.id.name);
  // The record of a non-idempotent request is committed before the reply.
  const auto commit = pending->request.is_idempotent ? milliseconds(0) : kLogCommitLatency;
  world_.events.After(
      commit, [this, pending, region_index, decision] { Reply(pending, region_index, decision); });
}

void fleet_policy::Reply(const acquisition_ptr& pending,
                         int from_region,
                         const sim_decision& decision) {
  world_.events.After(world_.LinkLatency(from_region, VmRegion(pending->request)),
                      [pending, decision] { pending->done(decision); });
}

void fleet_policy::Refuse(const acquisition_ptr& pending, error_kind kind) {
  sim_decision refused;
  refused.refusal = kind;
  Reply(pending, HomeRegion(pending->request), refused);
}

void fleet_policy::Complete(const sim_request& request,
                            const sim_decision& decision,
                            attempt_result outcome,
                            std::chrono::microseconds latency) {
  const int upstream_region = world_.upstreams[decision.upstream].region;
  if (world_.IsPartitioned(VmRegion(request), upstream_region)) {
    world_.events.After(kReportRetryInterval, [this, request, decision, outcome, latency] {
      Complete(request, decision, outcome, latency);
    });
    return;
  }
  world_.events.After(world_.LinkLatency(VmRegion(request), upstream_region),
                      [this, request, decision, outcome, latency] {
                        DeliverReport(request, decision, outcome, latency);
                      });
}

void fleet_policy::DeliverReport(const sim_request& request,
                                 const sim_decision& decision,
                                 attempt_result outcome,
                                 std::chrono::microseconds latency) {
  const steady_time now = world_.events.Now();
  complete_request report;
  report.request_id = request.AttemptId();
  report.entry_vm = VmName(request.vm);
  report.session = "1";
  report.lease = decision.lease;
  report.workspace = world_.workspaces[request.workspace].name;
  report.upstream = decision.id.name;
  report.incarnation = decision.id.incarnation;
  report.outcome = outcome;
  report.latency = latency;
  report.is_upstream_busy = outcome == attempt_result::kTimeout;
  report.fingerprint = FingerprintOf(request);
  region_modules& home = regions_[static_cast<std::size_t>(HomeRegion(request))];
  const bool is_suspect = home.crashes.IsSuspect(report.fingerprint, now);
  const auto upstream_region = static_cast<std::size_t>(world_.upstreams[decision.upstream].region);
  allocator_effects effects;
  regions_[upstream_region].allocator.Complete(report, is_suspect, now, effects);
  ApplyEffects(effects);
  if (WasNotRun(outcome)) {
    if (token_bucket* bucket = home.bucket_table.Find(report.workspace)) {
      bucket->Refund(1, now);
    }
  }
  RecordCrash(request, decision, outcome);
}

void fleet_policy::RecordCrash(const sim_request& request,
                               const sim_decision& decision,
                               attempt_result outcome) {
  const digest fingerprint = FingerprintOf(request);
  const auto upstream_region = static_cast<std::size_t>(world_.upstreams[decision.upstream].region);
  region_modules& home = regions_[static_cast<std::size_t>(HomeRegion(request))];
  home.crashes.End(fingerprint, request.AttemptId());
  if (outcome == attempt_result::kSuccess || outcome == attempt_result::kServerError) {
    home.crashes.OnAnswered(fingerprint);
  }
  const bool is_bad_link =
      regions_[upstream_region].allocator.Detector().ReportersWithBadLink().contains(
          VmName(request.vm));
  if (outcome == attempt_result::kConnectionLost && !is_bad_link &&
      home.crashes.OnCrash(fingerprint, decision.id, world_.events.Now())) {
    world_.events.After(kLogCommitLatency,
                        [&home, fingerprint] { home.blocked.insert(fingerprint); });
  }
}

void fleet_policy::Announce(const announcement& message, std::size_t upstream) {
  world_.events.After(2 * kIntraRegionLatency, [this, message, upstream] {
    allocator_effects effects;
    regions_[static_cast<std::size_t>(world_.upstreams[upstream].region)].allocator.Announce(
        message, world_.events.Now(), effects);
    ApplyEffects(effects);
  });
}

void fleet_policy::Tick() {
  const steady_time now = world_.events.Now();
  const bool may_raise = now - guarantees_raised_at_ >= kGuaranteeRaiseInterval;
  for (int i = 0; i < kSimRegions; ++i) {
    region_modules& each = regions_[static_cast<std::size_t>(i)];
    allocator_effects effects;
    each.allocator.Tick(
        now, [](const std::string&) { return true; }, effects);
    ApplyEffects(effects);
    if (may_raise) {
      guarantees_raised_at_ = now;
      each.crashes.Sweep(now);
      each.bucket_table.ForEach([&](const std::string& workspace, token_bucket& bucket) {
        ProposeGuarantee(bucket, i, workspace, true);
      });
    }
  }
}

void fleet_policy::ApplyEffects(allocator_effects& effects) {
  for (const ejection_change& each : effects.ejections) {
    if (each.is_ejected) {
      world_.on_ejection(UpstreamIndex(each.subject.upstream), -1);
    }
  }
  for (const auto& answer : effects.answers) {
    answer();
  }
}

bool fleet_policy::MayRetry(const sim_request& request, attempt_result outcome) {
  const bool is_unsent =
      outcome == attempt_result::kConnectFailed || outcome == attempt_result::kNotSent;
  return (request.is_idempotent || WasNotRun(outcome)) &&
         request.attempt < kMaxAttemptsPerRequest && (is_unsent || budgets_[request.vm]->TryTake());
}

double fleet_policy::EjectedShare(std::size_t upstream) const {
  const sim_upstream& target = world_.upstreams[upstream];
  const auto& allocator = regions_[static_cast<std::size_t>(target.region)].allocator;
  return allocator.Detector().StateOf(target.Id()) == ejection_state::kHealthy ? 0 : 1;
}

}  // namespace corianderhoist
