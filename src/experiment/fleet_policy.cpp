#include "experiment/fleet_policy.h"

#include "base/hash.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A follower's answer plus one sync of a disk.
constexpr milliseconds kCommitTime(3);
constexpr milliseconds kLongestTokenWait(50);
constexpr milliseconds kRaiseInterval(250);
constexpr milliseconds kReportRetry(100);
constexpr int kMostAttempts = 3;

digest FingerprintOf(const sim_request& request) {
  return Sha256(request.is_poison ? "poison" : std::to_string(request.id));
}

std::string VmName(std::size_t vm) {
  return "entry-" + std::to_string(vm);
}

}  // namespace

fleet_policy::fleet_policy(sim_world& world) : world_(world), regions_(kSimRegions) {
  for (region& each : regions_) {
    each.ledger.Start(world.events.Now());
    each.board.Start({}, world.events.Now());
    each.board.SetFloor(static_cast<std::uint32_t>(world.plan.floor_percent));
  }
  for (std::size_t i = 0; i < world.vm_regions.size(); ++i) {
    budgets_.push_back(std::make_unique<retry_budget>());
  }
}

int fleet_policy::HomeOf(const sim_request& request) const {
  return world_.workspaces[request.workspace].regions.front();
}

void fleet_policy::Acquire(const sim_request& request, std::function<void(sim_decision)> done) {
  if (request.attempt == 1) {
    budgets_[request.vm]->OnRequest();
  }
  auto subject = std::make_shared<call>(call{request, std::move(done), world_.events.Now()});
  const int home = HomeOf(request);
  if (world_.IsCut(VmRegion(request), home)) {
    Refuse(subject, error_kind::kCoordinatorUnavailable);
    return;
  }
  world_.events.After(world_.Link(VmRegion(request), home), [this, subject] { Admit(subject); });
}

void fleet_policy::Admit(const call_ptr& subject) {
  region& home = regions_[static_cast<std::size_t>(HomeOf(subject->request))];
  const digest fingerprint = FingerprintOf(subject->request);
  const steady_time now = world_.events.Now();
  if (home.blocked.contains(fingerprint)) {
    Refuse(subject, error_kind::kRequestBlocked);
    return;
  }
  if (!home.crashes.TryStart(fingerprint, subject->request.AttemptId(), now,
                             subject->request.deadline)) {
    Refuse(subject, error_kind::kQueueTimeout);
    return;
  }
  subject->started = now;
  TakeToken(subject);
}

void fleet_policy::Propose(rate_bucket& bucket,
                           int region_index,
                           const std::string& workspace,
                           bool may_raise) {
  const auto tokens = bucket.ProposeGuarantee(world_.events.Now(), may_raise);
  if (tokens) {
    world_.events.After(kCommitTime, [this, region_index, workspace, tokens] {
      regions_[static_cast<std::size_t>(region_index)].ledger.Find(workspace)->OnCommitted(*tokens);
    });
  }
}

void fleet_policy::TakeToken(const call_ptr& subject) {
  const sim_workspace& workspace = world_.workspaces[subject->request.workspace];
  const int home = HomeOf(subject->request);
  const steady_time now = world_.events.Now();
  const nanoseconds longest =
      std::max<nanoseconds>(nanoseconds(0), kLongestTokenWait - (now - subject->started));
  rate_bucket& bucket = regions_[static_cast<std::size_t>(home)].ledger.Bucket(
      workspace.name, workspace.limit, [](const std::string&) { return std::nullopt; }, now);
  const take_result taken = bucket.TryTake(now, longest);
  Propose(bucket, home, workspace.name, false);
  if (taken.status == take_status::kTaken) {
    SeekSlot(subject, home);
  } else if (taken.status == take_status::kReserved) {
    world_.events.After(taken.wait, [this, subject, home] { SeekSlot(subject, home); });
  } else if (taken.status == take_status::kCheckpoint && taken.wait <= longest) {
    world_.events.After(taken.wait, [this, subject] { TakeToken(subject); });
  } else {
    regions_[static_cast<std::size_t>(home)].crashes.End(FingerprintOf(subject->request),
                                                         subject->request.AttemptId());
    Refuse(subject, error_kind::kOverRate);
  }
}

void fleet_policy::SeekSlot(const call_ptr& subject, int region_index) {
  const sim_request& request = subject->request;
  const sim_workspace& workspace = world_.workspaces[request.workspace];
  service_board& board = regions_[static_cast<std::size_t>(region_index)].board;
  const steady_time now = world_.events.Now();
  const std::vector<place> own = {{SimRegionName(region_index), {}}};
  const bool has_second = workspace.regions.size() > 1 && region_index == HomeOf(request);
  if (has_second && board.IsWarm(now) && !board.HasUpstream(own, now)) {
    // The entry VM carries the admission to the second place.
    const int second = workspace.regions[1];
    if (world_.IsCut(VmRegion(request), second)) {
      Refuse(subject, error_kind::kCoordinatorUnavailable);
      return;
    }
    world_.events.After(
        world_.Link(region_index, VmRegion(request)) + world_.Link(VmRegion(request), second),
        [this, subject, second] { SeekSlot(subject, second); });
    return;
  }
  slot_request wanted;
  wanted.term = 1;
  wanted.number = next_lease_++;
  wanted.request_id = request.AttemptId();
  wanted.session = VmName(request.vm) + "/1";
  wanted.workspace = workspace.name;
  wanted.fingerprint = FingerprintOf(request);
  wanted.places = own;
  for (const std::size_t each : request.avoid) {
    wanted.avoid.push_back(world_.upstreams[each].name);
  }
  wanted.deadline = request.deadline;
  wanted.is_idempotent = request.is_idempotent;
  wanted.is_suspect = regions_[static_cast<std::size_t>(HomeOf(request))].crashes.IsSuspect(
      wanted.fingerprint, now);
  wanted.done = [this, subject, region_index](const slot_outcome& outcome) {
    OnSlot(subject, region_index, outcome);
  };
  board_effects effects;
  board.Acquire(std::move(wanted), now, effects);
  CarryOut(effects);
}

std::size_t fleet_policy::IndexOf(const std::string& upstream) const {
  const auto found = std::find_if(world_.upstreams.begin(), world_.upstreams.end(),
                                  [&](const sim_upstream& each) { return each.name == upstream; });
  return static_cast<std::size_t>(found - world_.upstreams.begin());
}

void fleet_policy::OnSlot(const call_ptr& subject, int region_index, const slot_outcome& outcome) {
  sim_decision decision;
  if (const auto* refusal = std::get_if<slot_refusal>(&outcome)) {
    decision.refusal = refusal->kind;
    region& home = regions_[static_cast<std::size_t>(HomeOf(subject->request))];
    home.crashes.End(FingerprintOf(subject->request), subject->request.AttemptId());
    if (rate_bucket* bucket =
            home.ledger.Find(world_.workspaces[subject->request.workspace].name)) {
      bucket->Refund(1, world_.events.Now());
    }
    Reply(subject, region_index, decision);
    return;
  }
  const auto& grant = std::get<slot_grant>(outcome);
  decision.is_granted = true;
  decision.lease = grant.lease.id;
  decision.id = grant.lease.upstream;
  decision.upstream = IndexOf(decision.id.name);
  // The record of an order is committed before the reply.
  const auto commit = subject->request.is_idempotent ? milliseconds(0) : kCommitTime;
  world_.events.After(
      commit, [this, subject, region_index, decision] { Reply(subject, region_index, decision); });
}

void fleet_policy::Reply(const call_ptr& subject, int from_region, const sim_decision& decision) {
  world_.events.After(world_.Link(from_region, VmRegion(subject->request)),
                      [subject, decision] { subject->done(decision); });
}

void fleet_policy::Refuse(const call_ptr& subject, error_kind kind) {
  sim_decision refused;
  refused.refusal = kind;
  Reply(subject, HomeOf(subject->request), refused);
}

void fleet_policy::Complete(const sim_request& request,
                            const sim_decision& decision,
                            attempt_result outcome,
                            std::chrono::microseconds latency) {
  const int place = world_.upstreams[decision.upstream].region;
  if (world_.IsCut(VmRegion(request), place)) {
    world_.events.After(kReportRetry, [this, request, decision, outcome, latency] {
      Complete(request, decision, outcome, latency);
    });
    return;
  }
  world_.events.After(
      world_.Link(VmRegion(request), place),
      [this, request, decision, outcome, latency] { Report(request, decision, outcome, latency); });
}

void fleet_policy::Report(const sim_request& request,
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
  region& home = regions_[static_cast<std::size_t>(HomeOf(request))];
  const bool is_suspect = home.crashes.IsSuspect(report.fingerprint, now);
  const auto place = static_cast<std::size_t>(world_.upstreams[decision.upstream].region);
  board_effects effects;
  regions_[place].board.Complete(report, is_suspect, now, effects);
  CarryOut(effects);
  if (WasNotRun(outcome)) {
    if (rate_bucket* bucket = home.ledger.Find(report.workspace)) {
      bucket->Refund(1, now);
    }
  }
  CountCrash(request, decision, outcome);
}

void fleet_policy::CountCrash(const sim_request& request,
                              const sim_decision& decision,
                              attempt_result outcome) {
  const digest fingerprint = FingerprintOf(request);
  const auto place = static_cast<std::size_t>(world_.upstreams[decision.upstream].region);
  region& home = regions_[static_cast<std::size_t>(HomeOf(request))];
  home.crashes.End(fingerprint, request.AttemptId());
  if (outcome == attempt_result::kSuccess || outcome == attempt_result::kServerError) {
    home.crashes.OnAnswered(fingerprint);
  }
  const bool is_bad_link =
      regions_[place].board.Judge().BadReporters().contains(VmName(request.vm));
  if (outcome == attempt_result::kConnectionLost && !is_bad_link &&
      home.crashes.OnCrash(fingerprint, decision.id, world_.events.Now())) {
    world_.events.After(kCommitTime, [&home, fingerprint] { home.blocked.insert(fingerprint); });
  }
}

void fleet_policy::Announce(const announcement& news, std::size_t upstream) {
  world_.events.After(2 * kLinkInRegion, [this, news, upstream] {
    board_effects effects;
    regions_[static_cast<std::size_t>(world_.upstreams[upstream].region)].board.Announce(
        news, world_.events.Now(), effects);
    CarryOut(effects);
  });
}

void fleet_policy::Tick() {
  const steady_time now = world_.events.Now();
  const bool may_raise = now - raised_at_ >= kRaiseInterval;
  for (int i = 0; i < kSimRegions; ++i) {
    region& each = regions_[static_cast<std::size_t>(i)];
    board_effects effects;
    each.board.Tick(
        now, [](const std::string&) { return true; }, effects);
    CarryOut(effects);
    if (may_raise) {
      raised_at_ = now;
      each.crashes.Sweep(now);
      each.ledger.ForEach([&](const std::string& workspace, rate_bucket& bucket) {
        Propose(bucket, i, workspace, true);
      });
    }
  }
}

void fleet_policy::CarryOut(board_effects& effects) {
  for (const ejection_change& each : effects.ejections) {
    if (each.is_ejected) {
      world_.on_ejection(IndexOf(each.subject.upstream), -1);
    }
  }
  for (const auto& answer : effects.answers) {
    answer();
  }
}

bool fleet_policy::MayRetry(const sim_request& request, attempt_result outcome) {
  const bool is_unsent =
      outcome == attempt_result::kConnectFailed || outcome == attempt_result::kNotSent;
  return (request.is_idempotent || WasNotRun(outcome)) && request.attempt < kMostAttempts &&
         (is_unsent || budgets_[request.vm]->TryTake());
}

double fleet_policy::EjectedShare(std::size_t upstream) const {
  const sim_upstream& subject = world_.upstreams[upstream];
  const auto& board = regions_[static_cast<std::size_t>(subject.region)].board;
  return board.Judge().StandingOf(subject.Id()) == standing::kHealthy ? 0 : 1;
}

}  // namespace corianderhoist
