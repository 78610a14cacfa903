// Lifecycle, proposals, reads and group membership of a core VM.
#include "fleet/fleet_core.h"

#include "base/hash.h"
#include "base/log.h"

#include <QJsonArray>

#include <algorithm>
#include <cstring>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval(100);
// A follower's state is confirmed after two heartbeats and a round trip between regions.
constexpr milliseconds kHeartbeatInterval(250);
constexpr milliseconds kElectionTimeout(700);
constexpr milliseconds kNoticeBatchDelay(8);
constexpr milliseconds kJoinInterval(300);
// Operator calls time out after one second.
constexpr milliseconds kProposalTimeout(850);
constexpr milliseconds kProposalRetryDelay(60);
constexpr milliseconds kReadTimeout(850);
constexpr milliseconds kFreshnessPollInterval(15);
// Longer than a change of leader takes.
constexpr milliseconds kMaxStateAgeForAnnouncements(2500);
constexpr int kServerThreads = 1;

std::uint64_t RandomIncarnation() {
  std::uint64_t life = 0;
  const std::string bytes = RandomBytes(sizeof(life));
  std::memcpy(&life, bytes.data(), sizeof(life));
  return life | 1;
}

rpc_failure NotAccepted(std::string detail) {
  return {error_kind::kNotAccepted, std::move(detail), {}};
}

}  // namespace

fleet_core::fleet_core(fleet_core_settings settings,
                       policy_decoder decoder,
                       const clock_source& clock)
    : settings_(std::move(settings)),
      decoder_(std::move(decoder)),
      clock_(clock),
      incarnation_(RandomIncarnation()),
      loop_("fleet"),
      server_(nullptr, kServerThreads),
      membership_(settings_.voters),
      health_(settings_.announcement_interval, clock.Now()),
      latencies_(clock.Now()),
      usage_({settings_.region, settings_.rates, settings_.repeats, settings_.withdrawal_bound},
             incarnation_,
             clock) {
  versions_.incarnation = incarnation_;
}

fleet_core::~fleet_core() {
  loop_.RunAndWait([this] {
    is_stopped_ = true;
    watchers_.clear();
    queued_callbacks_.clear();
  });
  server_.Close();
  loop_.RunAndWait([this] { channels_.clear(); });
  // Timers of waiting reads and announcements still use the replica.
  loop_.Stop();
  replica_.reset();
}

result<void> fleet_core::Start() {
  replica_settings group;
  group.group = "fleet";
  group.name = settings_.name;
  group.role = "core";
  group.recovers_in_process = true;
  group.folder = settings_.folder;
  group.heartbeat = kHeartbeatInterval;
  group.election_timeout = kElectionTimeout;
  const bool is_seed =
      std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                  [this](const replica_member& seed) { return seed.name == settings_.name; });
  if (settings_.may_bootstrap && is_seed) {
    group.initial_members = settings_.seeds;
  }
  BOOST_LEAF_ASSIGN(replica_, replica::Open(std::move(group), state_, server_, nullptr, clock_));
  RegisterCalls();
  BOOST_LEAF_CHECK(server_.Listen(settings_.listen));
  replica_->Start();
  loop_.Post([this] { Tick(); });
  return {};
}

void fleet_core::SetSeeds(std::vector<replica_member> seeds) {
  loop_.Post([this, seeds = std::move(seeds)] { settings_.seeds = seeds; });
}

void fleet_core::RegisterCalls() {
  server_.Handle<watch_request, watch_reply>(
      "fleet.watch", {},
      [this](const rpc_context&, watch_request request, rpc_callback<watch_reply> respond) {
        loop_.Post([this, request = std::move(request), respond = std::move(respond)]() mutable {
          OnWatch(std::move(request), std::move(respond));
        });
      });
  server_.Handle<report_request, done_reply>(
      "fleet.report", {},
      [this](const rpc_context&, report_request request, const rpc_callback<done_reply>& respond) {
        respond(done_reply{});
        loop_.Post(
            [this, request = std::move(request)]() mutable { OnReport(std::move(request)); });
      });
  server_.Handle<share_request, done_reply>(
      "fleet.share", {},
      [this](const rpc_context&, share_request request, const rpc_callback<done_reply>& respond) {
        respond(done_reply{});
        loop_.Post([this, request = std::move(request)]() mutable { OnShare(std::move(request)); });
      });
  server_.Handle<counts_request, counts_reply>(
      "fleet.counts", {},
      [this](const rpc_context&, const counts_request&, rpc_callback<counts_reply> respond) {
        loop_.Post([this, respond = std::move(respond)] { respond(usage_.MakeCountsReply()); });
      });
  server_.Handle<propose_request, done_reply>(
      "fleet.propose", {},
      [this](const rpc_context&, const propose_request& request, rpc_callback<done_reply> respond) {
        replica_->Propose(Encode(request.command),
                          [respond = std::move(respond)](const rpc_result<std::string>& reply) {
                            if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
                              respond(*failure);
                            } else {
                              respond(done_reply{});
                            }
                          });
      });
  server_.Handle<join_request, done_reply>(
      "fleet.join", {},
      [this](const rpc_context&, join_request request, rpc_callback<done_reply> respond) {
        loop_.Post([this, request = std::move(request), respond = std::move(respond)] {
          OnJoin(request, respond);
        });
      });
}

void fleet_core::Tick() {
  if (is_stopped_) {
    return;
  }
  status_ = replica_->Status();
  RefreshRoster();
  const steady_time now = clock_.Now();
  RestartCountingAfterPause();
  const bool is_leader = replica_->LeadingTerm() != 0;
  if (is_leader && !std::exchange(was_leader_, is_leader)) {
    membership_.OnElected(now);
  }
  was_leader_ = is_leader;
  if (is_leader) {
    UpdateMembership();
    ExpireSilent();
  } else {
    RequestJoin();
  }
  RequestCounts();
  RefreshPolicy();
  usage_.Refresh(policy_, limits_);
  RefreshLimits();
  PlanTrials();
  OnConditionsChanged(health_.Refresh(now));
  ExpireLoads();
  ShareInRegion();
  ShareAcrossRegions();
  AnswerWatchers();
  loop_.After(kTickInterval, [this] { Tick(); });
}

// ---- Proposals and reads ----

void fleet_core::PutPolicy(policy_document document, callback<done_reply> done) {
  loop_.Post([this, document = std::move(document), done = std::move(done)]() mutable {
    if (document.version <= state_.PolicyVersion()) {
      return done(done_reply{});
    }
    log_event(log_level::kInfo, "policy_proposed")
        .Field("version", document.version)
        .Field("former_version", state_.PolicyVersion());
    auto pending = std::make_shared<proposal>();
    pending->command.policy = std::move(document);
    pending->deadline = clock_.Now() + kProposalTimeout;
    pending->done = std::move(done);
    Submit(pending);
  });
}

// A retry may commit a command twice, which is safe: `fleet_state` applies a policy version or a
// notice only once.
void fleet_core::Submit(const std::shared_ptr<proposal>& pending) {
  if (is_stopped_) {
    return pending->done(NotAccepted("the process is stopping"));
  }
  auto on_reply = [this, pending](const rpc_result<std::string>& reply) {
    loop_.Post([this, pending, reply] { OnSubmitted(pending, reply); });
  };
  if (replica_->LeadingTerm() != 0) {
    replica_->Propose(Encode(pending->command), on_reply);
    return;
  }
  status_ = replica_->Status();
  rpc_channel* leader = ChannelTo(status_.leader);
  if (leader == nullptr) {
    return OnSubmitted(pending, NotAccepted("no leader is known"));
  }
  const auto left = std::chrono::duration_cast<milliseconds>(pending->deadline - clock_.Now());
  leader->Call<done_reply>(
      "fleet.propose", propose_request{pending->command}, std::max(left, kProposalRetryDelay),
      [this, pending](const rpc_result<done_reply>& reply) {
        const auto* failure = std::get_if<rpc_failure>(&reply);
        OnSubmitted(pending, failure != nullptr ? rpc_result<std::string>(*failure)
                                                : rpc_result<std::string>(std::string()));
      });
}

void fleet_core::OnSubmitted(const std::shared_ptr<proposal>& pending,
                             const rpc_result<std::string>& reply) {
  const auto* failure = std::get_if<rpc_failure>(&reply);
  if (failure == nullptr) {
    return pending->done(done_reply{});
  }
  if (is_stopped_ || clock_.Now() + kProposalRetryDelay >= pending->deadline) {
    log_event(log_level::kWarning, "proposal_failed")
        .Field("policy_version", pending->command.policy.version)
        .Field("notices", std::uint64_t(pending->command.notices.size()))
        .Field("cause", failure->detail);
    return pending->done(NotAccepted(failure->detail));
  }
  loop_.After(kProposalRetryDelay, [this, pending] { Submit(pending); });
}

// Waits until the applied state includes everything that was committed before `since`.
void fleet_core::AwaitFreshState(steady_time since,
                                 steady_time deadline,
                                 std::function<void(bool)> done) {
  if (replica_->FreshAt() >= since) {
    return done(true);
  }
  if (is_stopped_ || clock_.Now() >= deadline) {
    return done(false);
  }
  loop_.After(kFreshnessPollInterval, [this, since, deadline, done = std::move(done)] {
    AwaitFreshState(since, deadline, done);
  });
}

void fleet_core::ReadPolicy(callback<policy_document> done) {
  loop_.Post([this, done = std::move(done)] {
    const steady_time now = clock_.Now();
    AwaitFreshState(now, now + kReadTimeout, [this, done](bool is_fresh) {
      if (!is_fresh) {
        return done(NotAccepted("the newest version cannot be confirmed"));
      }
      policy_document document = state_.Policy();
      if (document.version == 0) {
        return done(rpc_failure{error_kind::kNotFound, "no policy yet", {}});
      }
      done(std::move(document));
    });
  });
}

void fleet_core::Announce(upstream_notice notice, callback<done_reply> done) {
  loop_.Post([this, notice = std::move(notice), done = std::move(done)]() mutable {
    const steady_time now = clock_.Now();
    // An isolated core VM must reject announcements, so that upstreams announce to another one.
    if (now - replica_->FreshAt() > kMaxStateAgeForAnnouncements) {
      return done(NotAccepted("this core VM hears no leader"));
    }
    if (state_.WouldChange(notice)) {
      return QueueNotice(std::move(notice), std::move(done));
    }
    if (notice.state == upstream_state::kReady) {
      for (const upstream_entry& entry : state_.Upstreams()) {
        if (entry.id == notice.id && entry.incarnation_start_ms == notice.incarnation_start_ms &&
            entry.state == upstream_state::kReady) {
          health_.RecordAnnouncement(entry.handle, now);
          OwnShare(pending_for_region_).announced.push_back(entry.handle);
          OwnShare(pending_across_regions_).announced.push_back(entry.handle);
        }
      }
    }
    done(done_reply{});
  });
}

void fleet_core::QueueNotice(upstream_notice notice, callback<done_reply> done) {
  log_event(log_level::kInfo, "upstream_notice")
      .Field("upstream", notice.id)
      .Field("service", notice.service)
      .Field("address", notice.address)
      .Field("state", static_cast<int>(notice.state))
      .Field("sequence", notice.sequence)
      .Field("born_ms", notice.incarnation_start_ms);
  queued_notices_.push_back(std::move(notice));
  queued_callbacks_.push_back(std::move(done));
  if (!std::exchange(is_flush_scheduled_, true)) {
    loop_.After(kNoticeBatchDelay, [this] { FlushNotices(); });
  }
}

void fleet_core::FlushNotices() {
  is_flush_scheduled_ = false;
  auto pending = std::make_shared<proposal>();
  pending->command.notices = std::exchange(queued_notices_, {});
  pending->deadline = clock_.Now() + kProposalTimeout;
  pending->done = [callbacks =
                       std::exchange(queued_callbacks_, {})](const rpc_result<done_reply>& reply) {
    for (const auto& callback : callbacks) {
      callback(reply);
    }
  };
  Submit(pending);
}

// ---- Membership ----

void fleet_core::UpdateMembership() {
  if (is_changing_members_) {
    return;
  }
  const auto change = membership_.NextChange(status_, clock_.Now());
  if (!change) {
    return;
  }
  is_changing_members_ = true;
  const auto on_done = [this, change = *change](const rpc_result<std::string>& reply) {
    const auto* failure = std::get_if<rpc_failure>(&reply);
    log_event(log_level::kInfo, "member_change")
        .Field("step", static_cast<int>(change.step))
        .Field("member", change.subject.name)
        .Field("reason", change.reason)
        .Field("outcome", failure == nullptr ? std::string("done") : failure->detail);
    loop_.Post([this] { is_changing_members_ = false; });
  };
  switch (change->step) {
    case member_step::kAddLearner: {
      const endpoint address = Recover([&] { return ParseEndpoint(change->subject.address); },
                                       [](const error&) { return endpoint(); });
      replica_->AddLearner({change->subject.name, address}, on_done);
      break;
    }
    case member_step::kPromote:
      replica_->Promote(change->subject.name, on_done);
      break;
    case member_step::kRemove:
      replica_->Remove(change->subject.name, on_done);
      break;
  }
}

// Repeated while this VM is not a member or has no contact with the leader, since the group may
// have removed it in the meantime.
void fleet_core::RequestJoin() {
  const steady_time now = clock_.Now();
  const bool is_member = std::any_of(
      status_.members.begin(), status_.members.end(),
      [this](const group_member& member) { return member.replica_id == status_.replica_id; });
  const bool has_leader_contact = now - replica_->FreshAt() < kElectionTimeout * 2;
  if ((is_member && has_leader_contact) || now < next_join_ || status_.role == "failed") {
    return;
  }
  next_join_ = now + kJoinInterval;
  std::map<std::string, endpoint> targets;
  for (const replica_member& seed : settings_.seeds) {
    targets[seed.name] = seed.address;
  }
  for (const group_member& member : status_.members) {
    targets[member.name] = Recover([&] { return ParseEndpoint(member.address); },
                                   [](const error&) { return endpoint(); });
  }
  targets.erase(settings_.name);
  if (targets.empty()) {
    return;
  }
  auto target = targets.begin();
  std::advance(target, static_cast<std::ptrdiff_t>(next_seed_++ % targets.size()));
  const join_request request{settings_.name, FormatEndpoint(settings_.listen), status_.replica_id};
  Channel(target->first, target->second)
      .Call<done_reply>("fleet.join", request, kJoinInterval * 3,
                        [name = target->first](const rpc_result<done_reply>& reply) {
                          if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
                            log_event(log_level::kInfo, "join_not_taken")
                                .Field("asked", name)
                                .Field("cause", failure->detail);
                          }
                        });
}

void fleet_core::OnJoin(const join_request& request, const rpc_callback<done_reply>& respond) {
  if (replica_->LeadingTerm() != 0) {
    membership_.RecordCandidate({request.name, request.address, request.replica_id}, clock_.Now());
    return respond(done_reply{});
  }
  status_ = replica_->Status();
  rpc_channel* leader = ChannelTo(status_.leader);
  if (leader == nullptr || status_.leader == request.name) {
    return respond(rpc_failure{error_kind::kNotLeader, "no leader is known", {}});
  }
  leader->Call<done_reply>("fleet.join", request, kJoinInterval * 2, respond);
}

const group_member* fleet_core::FindMember(const std::string& name) const {
  const auto found = std::find_if(status_.members.begin(), status_.members.end(),
                                  [&](const group_member& member) { return member.name == name; });
  return found == status_.members.end() ? nullptr : &*found;
}

rpc_channel* fleet_core::ChannelTo(const std::string& name) {
  const group_member* member = FindMember(name);
  if (member == nullptr || name == settings_.name) {
    return nullptr;
  }
  return &Channel(name, Recover([&] { return ParseEndpoint(member->address); },
                                [](const error&) { return endpoint(); }));
}

rpc_channel& fleet_core::Channel(const std::string& name, const endpoint& address) {
  std::unique_ptr<rpc_channel>& channel = channels_[name];
  if (!channel) {
    channel = std::make_unique<rpc_channel>(loop_, nullptr, address, name);
  }
  return *channel;
}

QJsonObject fleet_core::Dump() const {
  const replica_status status = replica_->Status();
  const auto age = std::chrono::duration_cast<milliseconds>(clock_.Now() - replica_->FreshAt());
  QJsonArray members;
  for (const group_member& member : status.members) {
    members.append(QString::fromStdString(member.name + (member.is_voter ? " voter" : " learner")));
  }
  return {{"role", QString::fromStdString(status.role)},
          {"leader", QString::fromStdString(status.leader)},
          {"term", static_cast<qint64>(status.term)},
          {"applied_index", static_cast<qint64>(status.applied_index)},
          {"policy_version", static_cast<qint64>(state_.PolicyVersion())},
          {"upstreams", static_cast<qint64>(state_.Upstreams().size())},
          {"state_age_ms", static_cast<qint64>(age.count())},
          {"members", members}};
}

}  // namespace corianderhoist
