#include "support/control_group.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fstream>
#include <iterator>
#include <optional>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongPollTimeout(1'000);
constexpr milliseconds kCallTimeout(4'000);

fleet_plan MakePlan() {
  fleet_plan plan;
  plan.coordinators = 1;  // Never started; `region_follower` uses their certificates.
  plan.entries = 0;
  plan.services = {};
  return plan;
}

template <class Reply, class Request>
std::optional<Reply> CallAndWait(rpc_channel& channel,
                                 const std::string& method,
                                 const Request& request) {
  std::promise<rpc_result<Reply>> promise;
  channel.Call<Reply>(method, request, kCallTimeout,
                      [&](rpc_result<Reply> reply) { promise.set_value(std::move(reply)); });
  auto reply = promise.get_future().get();
  auto* value = std::get_if<Reply>(&reply);
  return value == nullptr ? std::nullopt : std::optional(std::move(*value));
}

change_request NewChange(change_kind kind) {
  change_request request;
  request.change_id = ToHex(RandomBytes(16));
  request.kind = kind;
  return request;
}

}  // namespace

region_follower::region_follower(std::shared_ptr<tls_identity> identity,
                                 const std::vector<named_endpoint>& control,
                                 std::string region)
    : region_(std::move(region)) {
  for (const named_endpoint& member : control) {
    channels_.push_back(
        std::make_unique<rpc_channel>(loop_, identity, member.address, member.name));
  }
  thread_ = std::thread([this] { Run(); });
}

region_follower::~region_follower() {
  is_stopping_ = true;
  thread_.join();
}

void region_follower::Run() {
  while (!is_stopping_) {
    for (const auto& channel : channels_) {
      Follow(*channel);
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
}

// Polls the same member as long as it answers, as a coordinator does.
void region_follower::Follow(rpc_channel& channel) {
  while (!is_stopping_) {
    const auto reply = CallAndWait<config_fetch_reply>(
        channel, "config.fetch", config_fetch_request{version_, kLongPollTimeout});
    if (!reply) {
      return;
    }
    for (const config_change& change : reply->changes) {
      has_unordered_versions_ = has_unordered_versions_ || change.version != version_ + 1;
      version_ = change.version;
    }
    if (reply->snapshot) {
      has_unordered_versions_ = has_unordered_versions_ || reply->snapshot->version < version_;
      version_ = reply->snapshot->version;
    }
    if (!CallAndWait<empty_message>(channel, "config.ack", config_ack_request{region_, version_})) {
      return;
    }
  }
}

control_group::control_group() : processes_(MakePlan()) {
  for (const std::string& name : processes_.Names("control-")) {
    members_.push_back({name, AddressOf(name)});
  }
  identity_ = IdentityOf("operator-1");
}

std::shared_ptr<tls_identity> control_group::IdentityOf(const std::string& name) const {
  const auto folder = processes_.Folder();
  return Expect([&] {
    return tls_identity::Load(
        {folder / (name + ".pem"), folder / (name + ".key"), folder / "authority.pem"});
  });
}

endpoint control_group::AddressOf(const std::string& member) const {
  std::ifstream file(processes_.Folder() / (member + ".json"));
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const QJsonObject settings = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
  return Expect([&] { return ParseEndpoint(settings["listen"].toString().toStdString()); });
}

void control_group::StartAll() {
  for (const named_endpoint& member : members_) {
    processes_.Start(member.name);
  }
}

std::unique_ptr<region_follower> control_group::Follow(const std::string& region) {
  return std::make_unique<region_follower>(IdentityOf("coordinator-" + region + "-1"), members_,
                                           region);
}

std::unique_ptr<operator_client> control_group::NewOperatorClient(milliseconds timeout) {
  return std::make_unique<operator_client>(identity_, members_, timeout);
}

std::string control_group::WaitForLeader() {
  const auto shown = NewOperatorClient()->Show();
  const auto* reply = std::get_if<show_reply>(&shown);
  if (reply == nullptr) {
    throw std::runtime_error("no leader: " + std::get<rpc_failure>(shown).detail);
  }
  return reply->leader;
}

std::vector<std::string> control_group::Followers() {
  const std::string leader = WaitForLeader();
  std::vector<std::string> followers = processes_.Names("control-");
  std::erase(followers, leader);
  return followers;
}

change_request RulesChange(std::uint64_t base_version,
                           std::vector<std::string> removed,
                           std::vector<std::string> added) {
  change_request request = NewChange(change_kind::kApplyRules);
  request.base_version = base_version;
  request.removed_rules = std::move(removed);
  request.added_rules = std::move(added);
  return request;
}

change_request KeyChange(const std::string& workspace, const std::string& key) {
  change_request request = NewChange(change_kind::kGiveKey);
  request.workspace = workspace;
  request.key_hash = Sha256(key);
  return request;
}

change_request ReleaseChange() {
  return NewChange(change_kind::kReleaseRequest);
}

}  // namespace corianderhoist
