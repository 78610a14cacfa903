#include "experiment/vm_policy.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxAttemptsPerRequest = 3;
constexpr double kFullLoadThreshold = 0.9;
constexpr milliseconds kLoadPollInterval(1000);

bool IsError(attempt_result outcome) {
  return outcome != attempt_result::kSuccess && outcome != attempt_result::kNotSent &&
         outcome != attempt_result::kShed && outcome != attempt_result::kCancelled;
}

}  // namespace

vm_policy::vm_policy(sim_world& world, vm_policy_options options)
    : world_(world), options_(options), known_(world.upstreams.size()) {
  vms_.resize(world.vm_regions.size());
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    vms_[i].upstreams.resize(world.upstreams.size());
    vms_[i].next_upstream = i;
    for (std::size_t workspace = 0; workspace < world.workspaces.size(); ++workspace) {
      const double burst =
          double(world.workspaces[workspace].limit.burst) * LimitShare(i, workspace);
      vms_[i].buckets.push_back({std::max(burst, 1.0), world.events.Now()});
    }
  }
}

double vm_policy::LimitShare(std::size_t vm, std::size_t workspace) const {
  const sim_workspace& info = world_.workspaces[workspace];
  const int home = info.regions.front();
  const auto at_home =
      static_cast<double>(std::count(world_.vm_regions.begin(), world_.vm_regions.end(), home));
  const double elsewhere = static_cast<double>(world_.vm_regions.size()) - at_home;
  return world_.vm_regions[vm] == home ? info.local_share / at_home
                                       : (1 - info.local_share) / elsewhere;
}

bool vm_policy::TakeToken(std::size_t vm, std::size_t workspace) {
  const rate_limit& limit = world_.workspaces[workspace].limit;
  const double limit_share = LimitShare(vm, workspace);
  vm_token_bucket& bucket = vms_[vm].buckets[workspace];
  const steady_time now = world_.events.Now();
  const double elapsed = std::chrono::duration<double>(now - bucket.updated_at).count();
  bucket.updated_at = now;
  bucket.tokens = std::min(std::max(double(limit.burst) * limit_share, 1.0),
                           bucket.tokens + elapsed * double(limit.rate_per_second) * limit_share);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

bool vm_policy::IsUsable(const vm_state& vm,
                         const sim_request& request,
                         std::size_t upstream,
                         int region) const {
  const known_upstream& known = known_[upstream];
  const steady_time now = world_.events.Now();
  const bool is_ready = known.last_announcement.state == upstream_state::kReady &&
                        !known.last_announcement.upstream.empty() &&
                        now - known.seen_at < kAnnouncementValidity;
  const bool is_avoided =
      std::find(request.avoid.begin(), request.avoid.end(), upstream) != request.avoid.end();
  return is_ready && !is_avoided && world_.upstreams[upstream].region == region &&
         vm.upstreams[upstream].ejected_until <= now &&
         !(options_.uses_reported_load && known.load >= kFullLoadThreshold);
}

sim_decision vm_policy::Choose(const sim_request& request) {
  vm_state& vm = vms_[request.vm];
  sim_decision decision;
  for (const int region : world_.workspaces[request.workspace].regions) {
    if (world_.IsPartitioned(world_.vm_regions[request.vm], region)) {
      continue;
    }
    for (std::size_t i = 0; i < known_.size(); ++i) {
      const std::size_t upstream = (vm.next_upstream + i) % known_.size();
      if (IsUsable(vm, request, upstream, region)) {
        vm.next_upstream = upstream + 1;
        decision.is_granted = true;
        decision.upstream = upstream;
        decision.id = world_.upstreams[upstream].Id();
        return decision;
      }
    }
  }
  decision.refusal = error_kind::kNoUpstream;
  return decision;
}

void vm_policy::Acquire(const sim_request& request, std::function<void(sim_decision)> done) {
  if (request.attempt == 1 && !TakeToken(request.vm, request.workspace)) {
    sim_decision refused;
    refused.refusal = error_kind::kOverRate;
    done(refused);
    return;
  }
  done(Choose(request));
}

void vm_policy::Complete(const sim_request& request,
                         const sim_decision& decision,
                         attempt_result outcome,
                         std::chrono::microseconds /*latency*/) {
  upstream_health& health = vms_[request.vm].upstreams[decision.upstream];
  if (outcome == attempt_result::kSuccess) {
    health.errors = 0;
  } else if (IsError(outcome) && options_.errors_until_ejection > 0 &&
             ++health.errors >= options_.errors_until_ejection) {
    Eject(request.vm, decision.upstream);
  }
}

void vm_policy::Eject(std::size_t vm, std::size_t upstream) {
  const steady_time now = world_.events.Now();
  int peers = 0;
  int ejected = 1;
  for (std::size_t i = 0; i < known_.size(); ++i) {
    if (world_.upstreams[i].region == world_.upstreams[upstream].region) {
      ++peers;
      ejected += vms_[vm].upstreams[i].ejected_until > now ? 1 : 0;
    }
  }
  upstream_health& health = vms_[vm].upstreams[upstream];
  if (health.ejected_until > now || ejected * 100 > peers * options_.max_ejection_percent) {
    return;
  }
  health.errors = 0;
  ++health.ejections;
  health.ejected_until = now + options_.base_ejection_time * health.ejections;
  world_.on_ejection(upstream, static_cast<int>(vm));
}

void vm_policy::Announce(const announcement& message, std::size_t upstream) {
  known_[upstream].last_announcement = message;
  known_[upstream].seen_at = world_.events.Now();
}

void vm_policy::Tick() {
  if (!options_.uses_reported_load || world_.events.Now() - load_polled_at_ < kLoadPollInterval) {
    return;
  }
  load_polled_at_ = world_.events.Now();
  for (std::size_t i = 0; i < known_.size(); ++i) {
    known_[i].load = world_.ReportedLoad(i);
  }
}

bool vm_policy::MayRetry(const sim_request& request, attempt_result outcome) {
  const bool is_not_run = WasNotRun(outcome);
  return (request.is_idempotent || is_not_run) && request.attempt < kMaxAttemptsPerRequest;
}

double vm_policy::EjectedShare(std::size_t upstream) const {
  const steady_time now = world_.events.Now();
  int local = 0;
  int ejected = 0;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (world_.vm_regions[i] == world_.upstreams[upstream].region) {
      ++local;
      ejected += vms_[i].upstreams[upstream].ejected_until > now ? 1 : 0;
    }
  }
  return double(ejected) / local;
}

}  // namespace corianderhoist
