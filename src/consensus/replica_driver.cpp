#include "consensus/replica_driver.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <cstring>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSnapshotIntervalEntries = 1000;
constexpr milliseconds kMaxTickInterval(25);
constexpr milliseconds kMinTickInterval(5);
constexpr int kTicksPerHeartbeat = 4;
// A disk that has room again is used within the larger pause. A disk that stays full costs one
// attempt and one line of the log each.
constexpr milliseconds kMinRecoveryPause(250);
constexpr milliseconds kMaxRecoveryPause(2000);
constexpr int kMaxRecoveryDoublings = 3;
// Timeout of a snapshot part in multiples of the election timeout: a part of 1 MiB can take long on
// a shared link.
constexpr int kSnapshotTimeoutElectionTimeouts = 10;

std::uint64_t RandomId() {
  std::uint64_t id = 0;
  const std::string bytes = RandomBytes(sizeof(id));
  std::memcpy(&id, bytes.data(), sizeof(id));
  return id | 1;
}

std::string MethodOf(message_kind kind) {
  switch (kind) {
    case message_kind::kPreVote:
    case message_kind::kVote:
      return "raft.vote";
    case message_kind::kAppend:
      return "raft.append";
    case message_kind::kSnapshot:
      return "raft.snapshot";
    default:
      return "raft.found";
  }
}

core_settings MakeCoreSettings(const replica_settings& settings) {
  core_settings made;
  made.name = settings.name;
  made.heartbeat = settings.heartbeat;
  made.election_timeout = settings.election_timeout;
  made.seed = RandomId();
  for (const replica_member& member : settings.initial_members) {
    made.initial_members.push_back({member.name, 0, FormatEndpoint(member.address), true});
  }
  return made;
}

}  // namespace

replica::driver::driver(replica_settings settings,
                        erased_application application,
                        std::shared_ptr<tls_identity> identity,
                        const clock_source& clock)
    : settings_(std::move(settings)),
      application_(std::move(application)),
      identity_(std::move(identity)),
      clock_(clock),
      loop_("replica"),
      disk_loop_("replica-disk") {}

result<void> replica::driver::Load() {
  BOOST_LEAF_ASSIGN(files_, file_disk::Open(settings_.folder));
  BOOST_LEAF_ASSIGN(store_, replica_store::Open(*files_, RandomId()));
  stored_state stored = store_->TakeRecovered();
  if (stored.last_snapshot) {
    application_.restore(stored.last_snapshot->data);
    applied_index_ = stored.last_snapshot->index;
  }
  core_ = std::make_unique<consensus_core>(MakeCoreSettings(settings_), std::move(stored),
                                           clock_.Now());
  log_event(log_level::kInfo, "replica_recovered")
      .Field("group", settings_.group)
      .Field("term", core_->Term())
      .Field("led_term", core_->LedTermBeforeStart())
      .Field("last_index", core_->Log().LastIndex())
      .Field("snapshot_index", core_->Log().SnapshotIndex());
  PublishStatus();
  return {};
}

void replica::driver::Register(rpc_server& server) {
  for (const auto kind : {message_kind::kVote, message_kind::kAppend, message_kind::kSnapshot,
                          message_kind::kBootstrap}) {
    server.Handle<raft_message, raft_message>(
        MethodOf(kind), {settings_.role},
        [weak = weak_from_this()](const rpc_context& context, raft_message request,
                                  rpc_callback<raft_message> respond) {
          const auto self = weak.lock();
          if (!self) {
            return respond(rpc_failure{error_kind::kShuttingDown, "the replica has ended", {}});
          }
          const bool is_sender_mismatch =
              !context.peer.name.empty() && request.from != context.peer.name;
          if (is_sender_mismatch || IsAnswer(request.kind)) {
            return respond(rpc_failure{error_kind::kForbidden, "not a call of this peer", {}});
          }
          self->loop_.Post([raw = self.get(), request = std::move(request),
                            respond = std::move(respond)]() mutable {
            raw->OnCall(std::move(request), std::move(respond));
          });
        });
  }
}

void replica::driver::Start() {
  loop_.Post([this] {
    if (!std::exchange(is_started_, true)) {
      Tick();
    }
  });
}

void replica::driver::Stop() {
  loop_.RunAndWait([this] {
    is_stopped_ = true;
    channels_.clear();
    FailPendingCalls("the replica is shutting down");
    lease_end_ = 0;
    leading_term_ = 0;
  });
  // A write in flight must complete before the files are closed.
  disk_loop_.RunAndWait([] {});
}

void replica::driver::Tick() {
  if (!IsRunning()) {
    return;
  }
  core_->Tick(clock_.Now());
  ExpireAnswers();
  Flush();
  const milliseconds interval =
      std::clamp(settings_.heartbeat / kTicksPerHeartbeat, kMinTickInterval, kMaxTickInterval);
  loop_.After(interval, [this] { Tick(); });
}

void replica::driver::OnCall(raft_message request, rpc_callback<raft_message> respond) {
  if (!IsRunning() || !is_started_) {
    return respond(rpc_failure{error_kind::kShuttingDown, "the replica does not run", {}});
  }
  request.call = next_call_++;
  const steady_time now = clock_.Now();
  pending_answers_[request.call] = {std::move(respond), now + settings_.election_timeout};
  core_->Receive(request, now);
  ScheduleFlush();
}

// The core never answers requests that it ignores, for example those of another group.
void replica::driver::ExpireAnswers() {
  const steady_time now = clock_.Now();
  while (!pending_answers_.empty() && pending_answers_.begin()->second.deadline < now) {
    const auto respond = std::move(pending_answers_.begin()->second.respond);
    pending_answers_.erase(pending_answers_.begin());
    respond(rpc_failure{error_kind::kTimeout, "the replica did not answer", {}});
  }
}

void replica::driver::ScheduleFlush() {
  if (!std::exchange(is_flush_posted_, true)) {
    loop_.Post([this] { Flush(); });
  }
}

void replica::driver::Flush() {
  is_flush_posted_ = false;
  while (IsRunning()) {
    core_output output = core_->TakeOutput();
    if (output.IsEmpty()) {
      break;
    }
    HandleOutput(std::move(output));
    CompactIfDue();
  }
  if (IsRunning()) {
    PublishStatus();
  }
}

void replica::driver::HandleOutput(core_output output) {
  if (output.write) {
    StartWrite(std::move(*output.write));
  }
  SendAll(std::move(output.messages));
  if (output.restore && output.restore->index > applied_index_) {
    application_.restore(output.restore->data);
    applied_index_ = output.restore->index;
  }
  Apply(output.committed);
  FinishReads(output.confirmed_reads, true);
  FinishReads(output.failed_reads, false);
}

void replica::driver::StartWrite(storage_write write) {
  disk_loop_.Post([this, write = std::move(write)] {
    const std::string failure = Recover(
        [&]() -> result<std::string> {
          BOOST_LEAF_CHECK(store_->Write(write));
          return std::string();
        },
        [](const error& cause) { return cause.detail; });
    loop_.Post([this, sequence = write.sequence, failure] { OnWritten(sequence, failure); });
  });
}

void replica::driver::OnWritten(std::uint64_t sequence, const std::string& failure) {
  if (!IsRunning()) {
    return;
  }
  if (!failure.empty()) {
    return StopWithFailure(failure);
  }
  failed_recoveries_ = 0;
  core_->WriteDone(sequence, clock_.Now());
  ScheduleFlush();
}

// After a failed write the content of the files is unknown, and a second sync could report success
// although data was lost. The replica ends, and begins anew from what the disk has.
void replica::driver::StopWithFailure(const std::string& cause) {
  log_event(log_level::kError, "replica_storage_failed")
      .Field("group", settings_.group)
      .Field("cause", cause);
  has_failed_ = true;
  channels_.clear();
  FailPendingCalls("storage failed: " + cause);
  lease_end_ = 0;
  leading_term_ = 0;
  {
    const std::lock_guard guard(status_lock_);
    status_.role = "failed";
    status_.failure = cause;
    status_.leader.clear();
  }
  PublishLeadership();
  if (settings_.recovers_in_process) {
    ScheduleRecovery();
  }
}

void replica::driver::ScheduleRecovery() {
  const milliseconds longest =
      std::min(kMinRecoveryPause * (1 << std::min(failed_recoveries_, kMaxRecoveryDoublings)),
               kMaxRecoveryPause);
  ++failed_recoveries_;
  // Drawn from the upper half, so that replicas whose disks had room at once do not begin together.
  const auto drawn =
      static_cast<std::int64_t>(RandomId() % static_cast<std::uint64_t>(longest.count() / 2));
  loop_.After(longest / 2 + milliseconds(drawn), [this] {
    if (!is_stopped_) {
      BeginRecovery();
    }
  });
}

void replica::driver::BeginRecovery() {
  disk_loop_.Post([this] {
    const auto stored = std::make_shared<stored_state>();
    const std::string failure = Recover(
        [&]() -> result<std::string> {
          store_.reset();
          files_.reset();
          BOOST_LEAF_ASSIGN(files_, file_disk::Open(settings_.folder));
          BOOST_LEAF_ASSIGN(store_, replica_store::Open(*files_, RandomId()));
          BOOST_LEAF_CHECK(store_->Rewrite());
          *stored = store_->TakeRecovered();
          return std::string();
        },
        [](const error& cause) { return cause.detail; });
    loop_.Post([this, stored, failure] { FinishRecovery(*stored, failure); });
  });
}

void replica::driver::FinishRecovery(stored_state& stored, const std::string& failure) {
  if (is_stopped_) {
    return;
  }
  if (!failure.empty()) {
    log_event(log_level::kWarning, "replica_recovery_failed")
        .Field("group", settings_.group)
        .Field("attempts", failed_recoveries_)
        .Field("cause", failure);
    const std::lock_guard guard(status_lock_);
    status_.failure = failure;
    return ScheduleRecovery();
  }
  if (stored.last_snapshot && stored.last_snapshot->index > applied_index_) {
    application_.restore(stored.last_snapshot->data);
    applied_index_ = stored.last_snapshot->index;
  }
  // The group exists or is founded by others: a replica that lost its folder must not found
  // another.
  core_settings recovered = MakeCoreSettings(settings_);
  recovered.initial_members.clear();
  // A disk that has just failed may fail again, so another replica should lead.
  recovered.resumes_leadership = false;
  core_ = std::make_unique<consensus_core>(std::move(recovered), std::move(stored), clock_.Now());
  has_failed_ = false;
  ++recoveries_;
  channels_members_index_ = 0;
  compaction_requested_index_ = 0;
  {
    const std::lock_guard guard(status_lock_);
    status_.failure.clear();
  }
  log_event(log_level::kInfo, "replica_recovered")
      .Field("group", settings_.group)
      .Field("term", core_->Term())
      .Field("last_index", core_->Log().LastIndex())
      .Field("applied_index", applied_index_);
  PublishStatus();
  Tick();
}

void replica::driver::SendAll(std::vector<raft_message> messages) {
  for (raft_message& message : messages) {
    if (!IsAnswer(message.kind)) {
      Call(std::move(message));
    } else if (const auto found = pending_answers_.find(message.call);
               found != pending_answers_.end()) {
      const auto respond = std::move(found->second.respond);
      pending_answers_.erase(found);
      respond(std::move(message));
    }
  }
}

void replica::driver::Call(raft_message request) {
  rpc_channel* channel = ChannelTo(request.to, request.to_id);
  if (channel == nullptr) {
    return;
  }
  const bool is_snapshot = request.kind == message_kind::kSnapshot;
  const milliseconds timeout =
      settings_.election_timeout * (is_snapshot ? kSnapshotTimeoutElectionTimeouts : 1);
  channel->Call<raft_message>(
      MethodOf(request.kind), request, timeout,
      [this, peer = request.to, life = recoveries_](const rpc_result<raft_message>& reply) {
        const auto* answer = std::get_if<raft_message>(&reply);
        if (!IsRunning() || answer == nullptr || answer->from != peer || !IsAnswer(answer->kind) ||
            life != recoveries_) {
          return;
        }
        core_->Receive(*answer, clock_.Now());
        ScheduleFlush();
      });
}

rpc_channel* replica::driver::ChannelTo(const std::string& name, std::uint64_t replica_id) {
  if (const group_member* member = core_->Log().Members().Find(replica_id)) {
    return &Channel(member->name, member->address);
  }
  for (const replica_member& member : settings_.initial_members) {
    if (member.name == name) {
      return &Channel(name, FormatEndpoint(member.address));
    }
  }
  return nullptr;
}

rpc_channel& replica::driver::Channel(const std::string& name, const std::string& address) {
  std::unique_ptr<rpc_channel>& channel = channels_[name + "@" + address];
  if (!channel) {
    const endpoint target =
        Recover([&] { return ParseEndpoint(address); }, [](const error&) { return endpoint(); });
    channel = std::make_unique<rpc_channel>(loop_, identity_, target, name);
  }
  return *channel;
}

void replica::driver::RemoveStaleChannels() {
  const core_log& log = core_->Log();
  if (std::exchange(channels_members_index_, log.MembersIndex()) == log.MembersIndex()) {
    return;
  }
  std::erase_if(channels_, [&](const auto& item) {
    return std::none_of(log.Members().members.begin(), log.Members().members.end(),
                        [&](const group_member& member) {
                          return member.name + "@" + member.address == item.first;
                        });
  });
}

void replica::driver::Apply(const std::vector<log_entry>& entries) {
  for (const log_entry& entry : entries) {
    // After a recovery the application is ahead of the log: committed entries are not applied
    // twice.
    if (entry.index <= applied_index_) {
      continue;
    }
    applied_index_ = entry.index;
    std::string applied;
    if (entry.kind == entry_kind::kCommand) {
      applied = application_.apply(entry.index, entry.data);
    }
    const auto found = pending_proposals_.find(entry.index);
    if (found == pending_proposals_.end()) {
      continue;
    }
    const pending_proposal proposal = std::move(found->second);
    pending_proposals_.erase(found);
    if (proposal.term == entry.term) {
      proposal.done(std::move(applied));
    } else {
      proposal.done(rpc_failure{error_kind::kNotAccepted, "another leader took over", {}});
    }
  }
}

void replica::driver::CompactIfDue() {
  const std::uint64_t applied_index = core_->AppliedIndex();
  if (applied_index != applied_index_) {
    return;  // The application is ahead, so its snapshot would not be that of this index.
  }
  const std::uint64_t last = std::max(core_->Log().SnapshotIndex(), compaction_requested_index_);
  if (applied_index >= last + kSnapshotIntervalEntries) {
    compaction_requested_index_ = applied_index;
    core_->Compact(applied_index, application_.snapshot());
  }
}

}  // namespace corianderhoist
