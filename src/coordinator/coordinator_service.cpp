#include "coordinator/coordinator_service.h"

#include "base/log.h"
#include "consensus/replica.h"
#include "control/member_service.h"
#include "coordinator/config_follower.h"
#include "coordinator/config_publisher.h"
#include "coordinator/coordinator_core.h"
#include "status/status_server.h"
#include "wire/rpc.h"

#include <QJsonArray>

#include <atomic>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRole = "coordinator";

/// Adapts a `replica` to `region_log`. Every call fails or returns a default until `Attach`.
class replica_log final : public region_log {
 public:
  void Attach(replica* member) { replica_ = member; }

  bool HasLease() const override { return replica_ != nullptr && replica_->HasLease(); }
  std::uint64_t LeadingTerm() const override {
    return replica_ == nullptr ? 0 : replica_->LeadingTerm();
  }
  std::string LeaderName() const override {
    return replica_ == nullptr ? std::string() : replica_->LeaderName();
  }
  void Propose(std::string command, std::function<void(rpc_result<std::string>)> done) override {
    if (replica_ == nullptr) {
      done(rpc_failure{error_kind::kNotLeader, "the log is not open", {}});
      return;
    }
    replica_->Propose(std::move(command), std::move(done));
  }

 private:
  replica* replica_ = nullptr;
};

QJsonArray ToJsonArray(const std::vector<std::string>& names) {
  QJsonArray array;
  for (const std::string& each : names) {
    array.append(QString::fromStdString(each));
  }
  return array;
}

QJsonObject DumpReplica(const replica_status& status) {
  return {{"role", QString::fromStdString(status.role)},
          {"leader", QString::fromStdString(status.leader)},
          {"term", static_cast<qint64>(status.term)},
          {"commit_index", static_cast<qint64>(status.commit_index)},
          {"applied_index", static_cast<qint64>(status.applied_index)},
          {"last_index", static_cast<qint64>(status.last_index)},
          {"snapshot_index", static_cast<qint64>(status.snapshot_index)},
          {"voters", ToJsonArray(status.voters)},
          {"learners", ToJsonArray(status.learners)}};
}

}  // namespace

struct coordinator_service::impl {
  impl(coordinator_settings process_config, const clock_source& time_source)
      : settings(std::move(process_config)),
        clock(time_source),
        region(settings.region),
        publisher(region, clock),
        timers(std::make_unique<io_loop>("timers")),
        control_loop("control") {}

  // Threads that use the replica are joined before it is destroyed.
  ~impl() {
    is_closed = true;
    status.reset();
    follower.reset();
    publisher.Close();
    if (server) {
      server->Close();
    }
    timers.reset();
    member.reset();
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void RegisterMethods() {
    server->Handle<acquire_request, acquire_reply>(
        "coordinator.acquire", {"entry"},
        [this](const rpc_context& context, acquire_request request,
               rpc_callback<acquire_reply> reply) {
          // The caller's name comes from its certificate; the message is not trusted.
          request.entry_vm = context.peer.name;
          core->Acquire(std::move(request), std::move(reply));
        });
    server->Handle<complete_request, empty_message>(
        "coordinator.complete", {"entry"},
        [this](const rpc_context& context, complete_request report,
               rpc_callback<empty_message> reply) {
          report.entry_vm = context.peer.name;
          core->Complete(std::move(report), std::move(reply));
        });
    server->Handle<announcement, empty_message>(
        "coordinator.announce", {"entry"},
        [this](const rpc_context&, const announcement& message,
               const rpc_callback<empty_message>& reply) { core->Announce(message, reply); });
    server->Handle<session_request, empty_message>(
        "coordinator.session", {"entry"},
        [this](const rpc_context& context, session_request renewal,
               const rpc_callback<empty_message>& reply) {
          renewal.entry_vm = context.peer.name;
          core->Session(renewal, reply);
        });
    server->Handle<config_fetch_request, config_fetch_reply>(
        "config.fetch", {"entry"},
        [this](const rpc_context&, const config_fetch_request& request,
               rpc_callback<config_fetch_reply> reply) {
          publisher.Fetch(request, std::move(reply));
        });
  }

  replica_settings ReplicaSettings() const {
    replica_settings group;
    group.group = "coordinator/" + settings.region;
    group.name = settings.process.name;
    group.role = kRole;
    group.folder = settings.data_folder;
    for (const named_endpoint& each : settings.members) {
      group.initial_members.push_back({each.name, each.address});
    }
    return group;
  }

  void ScheduleTick() {
    timers->After(coordinator_core::kTickInterval, [this] {
      if (is_closed) {
        return;
      }
      core->Tick();
      publisher.Publish();
      ScheduleTick();
    });
  }

  coordinator_settings settings;
  const clock_source& clock;
  std::atomic<bool> is_closed = false;
  std::atomic<bool> is_draining = false;
  region_state region;
  replica_log log;
  config_publisher publisher;
  std::shared_ptr<tls_identity> identity;
  std::shared_ptr<coordinator_core> core;
  std::unique_ptr<io_loop> timers;
  io_loop control_loop;
  std::unique_ptr<rpc_server> server;
  std::unique_ptr<replica> member;
  std::unique_ptr<config_follower> follower;
  std::unique_ptr<status_server> status;
};

coordinator_service::coordinator_service(coordinator_settings settings, const clock_source& clock)
    : impl_(std::make_unique<impl>(std::move(settings), clock)) {}

coordinator_service::~coordinator_service() = default;

result<coordinator_service::ports> coordinator_service::Start() {
  impl& self = *impl_;
  BOOST_LEAF_AUTO(identity, tls_identity::Load(self.settings.process.tls));
  self.identity = identity;
  self.server = std::make_unique<rpc_server>(identity, self.settings.process.threads);
  self.core = std::make_shared<coordinator_core>(
      self.settings.region, self.region, self.log, self.clock,
      [&timers = *self.timers](std::chrono::nanoseconds delay, std::function<void()> task) {
        timers.After(std::chrono::ceil<milliseconds>(delay), std::move(task));
      });
  self.region.SetConfigObserver(
      [&self](const std::vector<limit_change>& limits, const std::vector<digest>& released) {
        self.core->OnConfig(limits, released);
        self.publisher.Publish();
      });
  BOOST_LEAF_AUTO(member, replica::Open(self.ReplicaSettings(), self.region, *self.server, identity,
                                        self.clock));
  self.member = std::move(member);
  self.log.Attach(self.member.get());
  RegisterMemberService(*self.server, *self.member);
  self.RegisterMethods();
  ports opened;
  BOOST_LEAF_ASSIGN(opened.rpc, self.server->Listen(self.settings.process.listen));
  self.status = std::make_unique<status_server>();
  self.status->AddSection("coordinator", [this] { return Dump(); });
  self.status->SetReadiness([&self] {
    return !self.is_draining && self.region.ConfigVersion() > 0 && !self.log.LeaderName().empty();
  });
  BOOST_LEAF_ASSIGN(opened.status, self.status->Listen(self.settings.process.status_listen));
  self.member->Start();
  self.follower = std::make_unique<config_follower>(
      self.control_loop, identity, self.settings.control, self.settings.region, self.region,
      self.log, self.core->Writer(), self.clock);
  self.follower->Start();
  self.ScheduleTick();
  return opened;
}

void coordinator_service::StartDrain() {
  impl_->is_draining = true;
  impl_->core->StartDrain();
}

QJsonObject coordinator_service::Dump() const {
  QJsonObject dump = impl_->core->Dump();
  dump["name"] = QString::fromStdString(impl_->settings.process.name);
  dump["data_centre"] = QString::fromStdString(impl_->settings.data_centre);
  dump["replica"] = DumpReplica(impl_->member->Status());
  if (impl_->follower) {
    dump["control"] = impl_->follower->Dump();
  }
  return dump;
}

}  // namespace corianderhoist
