#include "control/control_node.h"

#include "control/member_service.h"

#include <algorithm>
#include <set>

namespace corianderhoist {

result<control_settings> ReadControlSettings(settings_reader& reader) {
  control_settings settings;
  settings.process = ReadProcessSettings(reader);
  settings.data_folder = reader.Directory("data_folder");
  settings.members = ReadNamedEndpoints(reader, "members");
  settings.regions = reader.Strings("regions");
  const bool is_member =
      std::any_of(settings.members.begin(), settings.members.end(),
                  [&](const named_endpoint& each) { return each.name == settings.process.name; });
  // A VM that joins an existing group is not among the initial members.
  if (settings.members.empty()) {
    reader.AddFault("members", "must name at least one member");
  } else if (!is_member) {
    log_event(log_level::kInfo, "joins_as_learner").Field("name", settings.process.name);
  }
  const std::set<std::string> distinct(settings.regions.begin(), settings.regions.end());
  if (settings.regions.empty() || distinct.size() != settings.regions.size()) {
    reader.AddFault("regions", "must name at least one region, each of them once");
  }
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return settings;
}

result<std::unique_ptr<control_node>> control_node::Start(control_settings settings) {
  std::unique_ptr<control_node> node(new control_node());
  BOOST_LEAF_CHECK(node->Open(std::move(settings)));
  return node;
}

result<void> control_node::Open(control_settings settings) {
  BOOST_LEAF_AUTO(identity, tls_identity::Load(settings.process.tls));
  server_ = std::make_unique<rpc_server>(identity, settings.process.threads);
  replica_settings group;
  group.group = "control";
  group.name = settings.process.name;
  group.role = "control";
  group.folder = settings.data_folder;
  for (const named_endpoint& member : settings.members) {
    group.initial_members.push_back({member.name, member.address});
  }
  BOOST_LEAF_ASSIGN(replica_,
                    replica::Open(std::move(group), application_, *server_, identity, clock_));
  service_ = std::make_unique<control_service>(*replica_, application_, clock_,
                                               std::move(settings.regions));
  service_->Register(*server_);
  RegisterMemberService(*server_, *replica_);
  BOOST_LEAF_CHECK(Listen(settings.process));
  replica_->Start();
  service_->Start();
  return {};
}

result<void> control_node::Listen(const process_settings& process) {
  status_ = std::make_unique<status_server>();
  status_->AddSection("control", [this] { return service_->Dump(); });
  status_->SetReadiness([this] { return !replica_->LeaderName().empty(); });
  BOOST_LEAF_AUTO(rpc_port, server_->Listen(process.listen));
  LogListening("rpc", rpc_port);
  BOOST_LEAF_AUTO(status_port, status_->Listen(process.status_listen));
  LogListening("status", status_port);
  return {};
}

control_node::~control_node() {
  status_.reset();
  if (service_) {
    service_->Close();
  }
  if (server_) {
    server_->Close();
  }
  // Destroyed before the service and the application, which the replica's callbacks reference.
  replica_.reset();
}

}  // namespace corianderhoist
