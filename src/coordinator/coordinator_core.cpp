#include "coordinator/coordinator_core.h"

#include "base/log.h"
#include "coordinator/lease_id.h"
#include "observe/metrics.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSweepInterval(1'000);
constexpr milliseconds kUsedAdmissionRetention(60'000);
// A service accepts about 27 connections per upstream (330 for 12). Those not needed for the slots
// in use may stay open while idle.
constexpr std::size_t kMaxIdleConnectionsPerUpstream = 20;

}  // namespace

bool used_admission_set::Use(const std::string& admission, steady_time now) {
  return used_at_.emplace(admission, now).second;
}

void used_admission_set::Sweep(steady_time now) {
  std::erase_if(used_at_,
                [&](const auto& each) { return now - each.second > kUsedAdmissionRetention; });
}

coordinator_core::coordinator_core(std::string region,
                                   region_state& state,
                                   region_log& log,
                                   const clock_source& clock,
                                   scheduler after)
    : region_(std::move(region)),
      state_(state),
      log_(log),
      clock_(clock),
      after_(std::move(after)),
      writer_(std::make_shared<log_writer>(log, clock)) {}

bool coordinator_core::IsCurrent(std::uint64_t term) const {
  return term != 0 && log_.HasLease() && log_.LeadingTerm() == term && term_.load() == term;
}

bool coordinator_core::IsActiveLeader() const {
  return IsCurrent(term_.load());
}

rpc_failure coordinator_core::NotLeader() const {
  return {error_kind::kNotLeader, "another member leads region '" + region_ + "'",
          log_.LeaderName()};
}

bool coordinator_core::EnsureStarted() {
  if (!log_.HasLease()) {
    return false;
  }
  const std::uint64_t term = log_.LeadingTerm();
  if (term == 0) {
    return false;
  }
  if (term_.load() != term) {
    Start(term);
  }
  return true;
}

void coordinator_core::Start(std::uint64_t term) {
  const std::lock_guard guard(start_lock_);
  if (term_.load() == term) {
    return;
  }
  const steady_time now = clock_.Now();
  started_ = now;
  allocator_effects effects;
  allocators_.ForEach([&](allocator_map& allocators) {
    for (auto& [service, allocator] : allocators) {
      allocator.RefuseAll(error_kind::kNotLeader, "the leader has changed", effects);
    }
    allocators.clear();
  });
  bucket_tables_.ForEach([&](token_bucket_table& table) { table.Start(now); });
  crashes_.ForEach([](crash_registry& crashes) { crashes = {}; });
  sessions_.ForEach([](session_table& sessions) { sessions.Clear(); });
  admissions_.ForEach([](used_admission_set& admissions) { admissions.Clear(); });
  term_ = term;
  ApplyEffects(effects);
  log_event(log_level::kInfo, "leadership_started").Field("region", region_).Field("term", term);
}

std::optional<std::uint32_t> coordinator_core::FloorOf(const std::string& service) const {
  return state_.WithConfig([&](const configuration& config) -> std::optional<std::uint32_t> {
    const auto found = config.Rules().services.find(service);
    return found == config.Rules().services.end() ? std::nullopt
                                                  : std::optional(found->second.floor_percent);
  });
}

bool coordinator_core::IsSessionAlive(const std::string& session, steady_time now) {
  return sessions_.WithLockedShard(
      session, [&](session_table& table) { return table.IsAlive(session, now); });
}

std::uint32_t coordinator_core::IdleConnections(const std::string& session,
                                                const std::string& upstream) {
  const std::size_t vms = std::max<std::size_t>(live_sessions_.load(), 1);
  if (vms <= kMaxIdleConnectionsPerUpstream) {
    return static_cast<std::uint32_t>(kMaxIdleConnectionsPerUpstream / vms);
  }
  return FastHash(session + upstream) % vms < kMaxIdleConnectionsPerUpstream ? 1 : 0;
}

void coordinator_core::ApplyEffects(allocator_effects& effects) {
  for (const std::function<void()>& answer : effects.answers) {
    answer();
  }
  for (const ejection_change& each : effects.ejections) {
    log_event(log_level::kWarning, each.is_ejected ? "upstream_ejected" : "upstream_returned")
        .Field("service", each.subject.service)
        .Field("upstream", each.subject.upstream)
        .Field("incarnation", each.subject.incarnation)
        .Field("cause", each.subject.evidence);
  }
  if (!effects.ejections.empty()) {
    writer_->AddEjectionChanges(std::move(effects.ejections));
  }
  for (const slot_lease& each : effects.lost) {
    sessions_.WithLockedShard(
        each.session, [&](session_table& table) { table.RemoveLease(each.session, each.id); });
    if (!each.idempotency_key.empty()) {
      writer_->End({each.workspace, each.idempotency_key, each.request_id, each.id,
                    record_ending::kUnknown, std::nullopt},
                   [](const rpc_result<empty_message>&) {});
    }
  }
}

void coordinator_core::Announce(const announcement& update,
                                const rpc_callback<empty_message>& reply) {
  if (!EnsureStarted()) {
    reply(NotLeader());
    return;
  }
  if (update.region != region_) {
    reply(
        rpc_failure{error_kind::kNotFound, "this coordinator serves region '" + region_ + "'", {}});
    return;
  }
  announce_result outcome = announce_result::kIgnored;
  const bool is_known =
      WithAllocator(update.service, [&](slot_allocator& allocator, allocator_effects& effects) {
        outcome = allocator.Announce(update, clock_.Now(), effects);
      });
  if (!is_known) {
    reply(rpc_failure{error_kind::kNotFound, "no rule names service '" + update.service + "'", {}});
    return;
  }
  if (outcome == announce_result::kNew) {
    log_event(log_level::kInfo, "upstream_announced")
        .Field("service", update.service)
        .Field("upstream", update.upstream)
        .Field("incarnation", update.incarnation);
  }
  reply(empty_message{});
}

void coordinator_core::Session(const session_request& renewal,
                               const rpc_callback<empty_message>& reply) {
  if (!EnsureStarted()) {
    reply(NotLeader());
    return;
  }
  const steady_time now = clock_.Now();
  const std::string session = renewal.entry_vm + '/' + renewal.session;
  const session_table::renewal found =
      sessions_.WithLockedShard(session, [&](session_table& table) {
        if (renewal.is_leaving && renewal.leases.empty()) {
          table.Close(session);
          return session_table::renewal{};
        }
        return table.Renew(session, renewal.leases, now);
      });
  for (const std::string& lease : found.ended) {
    if (const auto parts = ParseLease(lease)) {
      WithAllocator(parts->service, [&](slot_allocator& allocator, allocator_effects& effects) {
        allocator.Drop(lease, now, effects);
      });
    }
  }
  for (const std::string& lease : found.unknown) {
    const auto parts = ParseLease(lease);
    // Only leases of former leaders are adopted. An unknown lease of this term has already ended.
    if (parts && parts->term < term_.load()) {
      WithAllocator(parts->service, [&](slot_allocator& allocator, allocator_effects&) {
        allocator.Adopt(lease, session, now);
      });
    }
  }
  reply(empty_message{});
}

void coordinator_core::OnConfig(const std::vector<limit_change>& limits,
                                const std::vector<digest>& released) {
  const steady_time now = clock_.Now();
  for (const limit_change& each : limits) {
    bucket_tables_.WithLockedShard(each.workspace, [&](token_bucket_table& table) {
      if (token_bucket* bucket = table.Find(each.workspace)) {
        const rate_limit limit{each.rate_per_second, each.burst};
        bucket->ChangeLimit(
            limit, state_.Guarantee(each.workspace).value_or(DefaultGuarantee(limit)), now);
      }
    });
  }
  for (const digest& each : released) {
    crashes_.WithLockedShard(ShardKey(each),
                             [&](crash_registry& crashes) { crashes.Release(each); });
  }
  allocators_.ForEach([&](allocator_map& allocators) {
    for (auto& [service, allocator] : allocators) {
      if (const auto floor = FloorOf(service)) {
        allocator.SetFloor(*floor);
      }
    }
  });
}

void coordinator_core::StartDrain() {
  is_draining_ = true;
}

void coordinator_core::Tick() {
  const steady_time now = clock_.Now();
  const bool is_deciding = EnsureStarted();
  allocator_effects effects;
  allocators_.ForEach([&](allocator_map& allocators) {
    for (auto& [service, allocator] : allocators) {
      if (is_deciding) {
        allocator.Tick(
            now, [&](const std::string& session) { return IsSessionAlive(session, now); }, effects);
      } else {
        allocator.RefuseAll(error_kind::kNotLeader, "the leader has lost its lease", effects);
      }
    }
  });
  ApplyEffects(effects);
  if (!is_deciding || now - swept_at_.load() < kSweepInterval) {
    return;
  }
  swept_at_ = now;
  std::size_t alive = 0;
  sessions_.ForEach([&](session_table& table) {
    table.Sweep(now);
    alive += table.CountAlive(now);
  });
  live_sessions_ = alive;
  crashes_.ForEach([&](crash_registry& crashes) { crashes.Sweep(now); });
  admissions_.ForEach([&](used_admission_set& admissions) { admissions.Sweep(now); });
  RaiseGuarantees(now);
  writer_->AdvanceRegionTime();
}

void coordinator_core::Refund(const std::string& workspace) {
  const steady_time now = clock_.Now();
  bucket_tables_.WithLockedShard(workspace, [&](token_bucket_table& table) {
    if (token_bucket* bucket = table.Find(workspace)) {
      bucket->Refund(1, now);
    }
  });
}

void coordinator_core::ProposeGuarantees(std::vector<guarantee_change> changes) {
  const std::vector<guarantee_change> proposed = changes;
  writer_->CommitGuarantees(std::move(changes), [self = shared_from_this(), term = term_.load(),
                                                 proposed](bool is_committed) {
    if (self->term_.load() != term) {
      return;
    }
    for (const guarantee_change& each : proposed) {
      self->bucket_tables_.WithLockedShard(each.workspace, [&](token_bucket_table& table) {
        token_bucket* bucket = table.Find(each.workspace);
        if (bucket == nullptr) {
          return;
        }
        if (is_committed) {
          bucket->OnCommitted(each.tokens);
        } else {
          bucket->OnProposalFailed(each.tokens);
        }
      });
    }
  });
}

void coordinator_core::RaiseGuarantees(steady_time now) {
  std::vector<guarantee_change> changes;
  bucket_tables_.ForEach([&](token_bucket_table& table) {
    table.ForEach([&](const std::string& workspace, token_bucket& bucket) {
      if (const auto tokens = bucket.ProposeGuarantee(now, true)) {
        changes.push_back({workspace, *tokens});
      }
    });
  });
  if (!changes.empty()) {
    ProposeGuarantees(std::move(changes));
  }
}

}  // namespace corianderhoist
