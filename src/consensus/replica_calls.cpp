// Public operations, status and leadership notifications of a replica.
#include "base/log.h"
#include "consensus/replica_driver.h"
#include "observe/metrics.h"

#include <utility>

namespace corianderhoist {
namespace {

// Timeout of a read barrier in multiples of the minimum election timeout.
constexpr int kReadTimeoutElectionTimeouts = 3;

rpc_failure ToFailure(membership_result outcome) {
  switch (outcome) {
    case membership_result::kNotFound:
      return {error_kind::kNotFound, "no member of that name", {}};
    case membership_result::kExists:
      return {error_kind::kVersionConflict, "a member of that name exists already", {}};
    case membership_result::kNotCaughtUp:
      return {error_kind::kVersionConflict, "the learner does not hold the log yet", {}};
    case membership_result::kLastVoter:
      return {error_kind::kVersionConflict, "the last voter cannot be removed", {}};
    default:
      return {error_kind::kVersionConflict, "another membership change is under way", {}};
  }
}

}  // namespace

rpc_failure replica::driver::NotLeader() const {
  const std::string leader = core_->LeaderName();
  return {error_kind::kNotLeader,
          !IsRunning() ? "the replica has stopped"
                       : (leader.empty() ? "no leader is known" : "the leader is " + leader),
          !IsRunning() ? std::string() : leader};
}

void replica::driver::Propose(std::string command, proposal_callback done) {
  loop_.Post([this, command = std::move(command), done = std::move(done)]() mutable {
    const auto index = !IsRunning() ? std::nullopt : core_->Propose(std::move(command));
    if (!index) {
      return done(NotLeader());
    }
    pending_proposals_[*index] = {core_->Term(), std::move(done)};
    ScheduleFlush();
  });
}

void replica::driver::ReadBarrier(proposal_callback done) {
  loop_.Post([this, done = std::move(done)]() mutable {
    const std::uint64_t token = next_read_++;
    if (!IsRunning() || !core_->RequestReadIndex(token)) {
      return done(NotLeader());
    }
    reads_[token] = std::move(done);
    loop_.After(settings_.election_timeout * kReadTimeoutElectionTimeouts, [this, token] {
      if (const auto found = reads_.find(token); found != reads_.end()) {
        const proposal_callback expired = std::move(found->second);
        reads_.erase(found);
        expired(rpc_failure{error_kind::kTimeout, "no majority has answered in time", {}});
      }
    });
    ScheduleFlush();
  });
}

void replica::driver::FinishReads(const std::vector<std::uint64_t>& tokens, bool is_confirmed) {
  for (const std::uint64_t token : tokens) {
    const auto found = reads_.find(token);
    if (found == reads_.end()) {
      continue;
    }
    const proposal_callback done = std::move(found->second);
    reads_.erase(found);
    if (is_confirmed) {
      done(std::string());
    } else {
      done(NotLeader());
    }
  }
}

void replica::driver::ChangeMembership(std::function<membership_result(consensus_core&)> change,
                                       proposal_callback done) {
  loop_.Post([this, change = std::move(change), done = std::move(done)]() mutable {
    const auto outcome = !IsRunning() ? membership_result::kNotLeader : change(*core_);
    if (outcome == membership_result::kNotLeader) {
      return done(NotLeader());
    }
    if (outcome != membership_result::kStarted) {
      return done(ToFailure(outcome));
    }
    pending_proposals_[core_->Log().LastIndex()] = {core_->Term(), std::move(done)};
    ScheduleFlush();
  });
}

// Requests the replica id of the learner before the membership change is proposed.
void replica::driver::AddLearner(const replica_member& member, proposal_callback done) {
  loop_.Post([this, member, done = std::move(done)]() mutable {
    if (!IsRunning() || !core_->IsLeader()) {
      return done(NotLeader());
    }
    raft_message request;
    request.kind = message_kind::kIdentify;
    request.from = settings_.name;
    request.from_id = core_->ReplicaId();
    request.to = member.name;
    const std::string address = FormatEndpoint(member.address);
    Channel(member.name, address)
        .Call<raft_message>(
            "raft.found", request, settings_.election_timeout,
            [this, member, address, done](rpc_result<raft_message> reply) {
              if (auto* failure = std::get_if<rpc_failure>(&reply)) {
                return done(std::move(*failure));
              }
              const raft_message& answer = std::get<raft_message>(reply);
              if (answer.group != 0 && answer.group != core_->Group()) {
                return done(rpc_failure{
                    error_kind::kVersionConflict, member.name + " belongs to another group", {}});
              }
              ChangeMembership(
                  [learner = group_member{member.name, answer.from_id, address, false}](
                      consensus_core& core) { return core.AddLearner(learner); },
                  done);
            });
  });
}

void replica::driver::FailPendingCalls(const std::string& cause) {
  for (auto& [index, proposal] : std::exchange(pending_proposals_, {})) {
    proposal.done(rpc_failure{error_kind::kNotAccepted, cause, {}});
  }
  for (auto& [token, done] : std::exchange(reads_, {})) {
    done(rpc_failure{error_kind::kNotLeader, cause, {}});
  }
  for (auto& [call, answer] : std::exchange(pending_answers_, {})) {
    answer.respond(rpc_failure{error_kind::kUnreachable, cause, {}});
  }
}

bool replica::driver::HasLease() const {
  const std::int64_t end = lease_end_.load();
  return end != 0 && clock_.Now().time_since_epoch().count() < end;
}

steady_time replica::driver::FreshAt() const {
  // The clock is read before the lease end, because the lease must hold at the returned time.
  const steady_time now = clock_.Now();
  const std::int64_t lease_end = lease_end_.load();
  if (lease_end != 0 && now.time_since_epoch().count() < lease_end) {
    return now;
  }
  return steady_time(steady_time::duration(fresh_at_.load()));
}

replica_status replica::driver::Status() const {
  const std::lock_guard guard(status_lock_);
  return status_;
}

void replica::driver::AddObserver(std::function<void(bool)> observer) {
  const std::lock_guard guard(status_lock_);
  observers_.push_back(std::move(observer));
}

std::string replica::driver::RoleName() const {
  if (core_->Group() == 0) {
    return "joining";
  }
  if (core_->IsLeader()) {
    return "leader";
  }
  if (!core_->Log().Members().IsVoter(core_->ReplicaId())) {
    return "learner";
  }
  return core_->Role() == core_role::kFollower ? "follower" : "candidate";
}

void replica::driver::PublishStatus() {
  const core_log& log = core_->Log();
  lease_end_ = core_->LeaseEnd().time_since_epoch().count();
  leading_term_ = core_->IsLeader() ? core_->Term() : 0;
  // What was complete up to a time before a recovery stays so.
  fresh_at_ = std::max<std::int64_t>(fresh_at_, core_->FreshAt().time_since_epoch().count());
  RemoveStaleChannels();
  {
    const std::lock_guard guard(status_lock_);
    status_.role = RoleName();
    status_.leader = core_->LeaderName();
    status_.term = core_->Term();
    status_.commit_index = core_->CommitIndex();
    status_.applied_index = core_->AppliedIndex();
    status_.last_index = log.LastIndex();
    status_.snapshot_index = log.SnapshotIndex();
    status_.replica_id = core_->ReplicaId();
    status_.members = log.Members().members;
    status_.progress = core_->Progress();
    status_.voters.clear();
    status_.learners.clear();
    for (const group_member& member : log.Members().members) {
      (member.is_voter ? status_.voters : status_.learners).push_back(member.name);
    }
  }
  PublishLeadership();
}

void replica::driver::PublishLeadership() {
  const bool is_leader = IsRunning() && core_->IsLeader();
  if (std::exchange(was_leader_, is_leader) == is_leader) {
    return;
  }
  log_event(log_level::kInfo, is_leader ? "leader_elected" : "leader_resigned")
      .Field("group", settings_.group)
      .Field("term", core_->Term())
      .Field("is_resumed", core_->HasResumed());
  if (core_->HasResumed()) {
    metrics::Instance().Counter("raft.leaders_resumed").Add();
  }
  if (!is_leader) {
    // The next leader may or may not have these entries, so their outcome is unknown.
    for (auto& [index, proposal] : std::exchange(pending_proposals_, {})) {
      proposal.done(rpc_failure{error_kind::kNotAccepted, "leadership was lost", {}});
    }
  }
  std::vector<std::function<void(bool)>> observers;
  {
    const std::lock_guard guard(status_lock_);
    observers = observers_;
  }
  for (const auto& observer : observers) {
    observer(is_leader);
  }
}

// ---- Public interface ----

replica::replica(std::shared_ptr<driver> driver) : driver_(std::move(driver)) {}

replica::~replica() {
  driver_->Stop();
}

result<std::unique_ptr<replica>> replica::OpenTypeErased(replica_settings settings,
                                                         erased_application application,
                                                         rpc_server& server,
                                                         std::shared_ptr<tls_identity> identity,
                                                         const clock_source& clock) {
  auto made = std::make_shared<driver>(std::move(settings), std::move(application),
                                       std::move(identity), clock);
  BOOST_LEAF_CHECK(made->Load());
  made->Register(server);
  return std::unique_ptr<replica>(new replica(std::move(made)));
}

void replica::Start() {
  driver_->Start();
}

void replica::Propose(std::string command, proposal_callback done) {
  driver_->Propose(std::move(command), std::move(done));
}

void replica::ReadBarrier(proposal_callback done) {
  driver_->ReadBarrier(std::move(done));
}

bool replica::HasLease() const {
  return driver_->HasLease();
}

steady_time replica::FreshAt() const {
  return driver_->FreshAt();
}

std::uint64_t replica::LeadingTerm() const {
  return driver_->LeadingTerm();
}

void replica::OnLeadership(std::function<void(bool is_leader)> observer) {
  driver_->AddObserver(std::move(observer));
}

void replica::AddLearner(replica_member member, proposal_callback done) {
  driver_->AddLearner(member, std::move(done));
}

void replica::Promote(std::string name, proposal_callback done) {
  driver_->ChangeMembership(
      [name = std::move(name)](consensus_core& core) { return core.Promote(name); },
      std::move(done));
}

void replica::Remove(std::string name, proposal_callback done) {
  driver_->ChangeMembership(
      [name = std::move(name)](consensus_core& core) { return core.Remove(name); },
      std::move(done));
}

replica_status replica::Status() const {
  return driver_->Status();
}

std::string replica::LeaderName() const {
  return driver_->Status().leader;
}

void replica::Post(std::function<void()> task) {
  driver_->Loop().Post(std::move(task));
}

}  // namespace corianderhoist
