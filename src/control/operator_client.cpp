#include "control/operator_client.h"

#include <algorithm>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Exceeds the time after which a leader without a majority fails a read.
constexpr milliseconds kReadTimeout(3'000);
constexpr milliseconds kFetchTimeout(60'000);
// Added to the wait of a change. Covers the time after which control fails a change that lacks a
// majority, and the transfer of a large difference.
constexpr milliseconds kChangeReplyMargin(8'000);
constexpr milliseconds kMemberChangeTimeout(10'000);
constexpr milliseconds kRetryInterval(100);

// Returns whether the call may succeed at another member, or at the same one later.
bool IsTransient(const rpc_failure& failure) {
  return failure.kind == error_kind::kNotLeader || failure.kind == error_kind::kTimeout ||
         failure.kind == error_kind::kUnreachable || failure.kind == error_kind::kNotAccepted ||
         failure.kind == error_kind::kStorageFailed || failure.kind == error_kind::kQueueFull;
}

// Returns whether the failure guarantees that the change was not appended to the log.
bool IsNotAppended(const rpc_failure& failure) {
  return failure.kind == error_kind::kNotLeader || failure.kind == error_kind::kQueueFull;
}

}  // namespace

result<operator_settings> ReadOperatorSettings(settings_reader& reader) {
  operator_settings settings;
  settings_reader tls = reader.Object("tls");
  settings.tls.certificate = tls.ExistingFile("certificate");
  settings.tls.private_key = tls.ExistingFile("private_key");
  settings.tls.authority = tls.ExistingFile("authority");
  tls.CheckUnknownKeys();
  settings.control = ReadNamedEndpoints(reader, "control");
  if (settings.control.empty()) {
    reader.AddFault("control", "must name at least one member");
  }
  for (settings_reader& group : reader.Objects("groups", true)) {
    const std::string name = group.String("name");
    if (!settings.groups.emplace(name, ReadNamedEndpoints(group, "members")).second) {
      group.AddFault("name", "'" + name + "' is used twice");
    }
    group.CheckUnknownKeys();
  }
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return settings;
}

operator_client::operator_client(std::shared_ptr<tls_identity> identity,
                                 const std::vector<named_endpoint>& members,
                                 milliseconds leader_timeout,
                                 const clock_source& clock)
    : loop_("operator"), clock_(clock), leader_timeout_(leader_timeout) {
  channels_.reserve(members.size());
  for (const named_endpoint& member : members) {
    channels_.push_back(
        std::make_unique<rpc_channel>(loop_, identity, member.address, member.name));
  }
}

void operator_client::SelectNextMember(const rpc_failure& failure) {
  const auto named = std::find_if(channels_.begin(), channels_.end(), [&](const auto& each) {
    return each->PeerName() == failure.leader;
  });
  if (named != channels_.end()) {
    const auto leader = static_cast<std::size_t>(named - channels_.begin());
    if (leader != current_channel_) {
      current_channel_ = leader;
      return;
    }
  }
  current_channel_ = (current_channel_ + 1) % channels_.size();
  std::this_thread::sleep_for(kRetryInterval);
}

rpc_result<show_reply> operator_client::Show() {
  const auto deadline = clock_.Now() + leader_timeout_;
  std::size_t attempts = 0;
  while (true) {
    auto reply = CallOnce<show_reply>("control.show", show_request{}, kReadTimeout);
    const auto* failure = std::get_if<rpc_failure>(&reply);
    // Each member is called at least once, even after the deadline.
    const bool is_last = ++attempts >= channels_.size() && clock_.Now() >= deadline;
    if (failure == nullptr || !IsTransient(*failure) || is_last) {
      return reply;
    }
    SelectNextMember(*failure);
  }
}

rpc_result<configuration> operator_client::FetchConfiguration() {
  const auto shown = Show();
  if (const auto* failure = std::get_if<rpc_failure>(&shown)) {
    return *failure;
  }
  configuration config;
  while (true) {
    auto reply = CallOnce<config_fetch_reply>(
        "config.fetch", config_fetch_request{config.Version(), {}}, kFetchTimeout);
    if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
      return *failure;
    }
    const auto& update = std::get<config_fetch_reply>(reply);
    if (!update.snapshot && update.changes.empty()) {
      return config;
    }
    const std::optional<rpc_failure> fault = Recover(
        [&]() -> result<std::optional<rpc_failure>> {
          if (update.snapshot) {
            BOOST_LEAF_CHECK(config.Restore(*update.snapshot));
          }
          for (const config_change& change : update.changes) {
            BOOST_LEAF_CHECK(config.Apply(change));
          }
          return std::optional<rpc_failure>();
        },
        [](const error& failure) {
          return std::optional(rpc_failure{failure.kind, failure.detail, {}});
        });
    if (fault) {
      return *fault;
    }
  }
}

// A change is sent only to a member that has just confirmed its leadership with a majority.
// Otherwise nothing is sent, and `kNotAccepted` is a definite outcome.
send_outcome operator_client::Send(const change_request& request) {
  send_outcome outcome;
  bool may_be_committed = false;
  const auto deadline = clock_.Now() + leader_timeout_ + request.wait;
  while (true) {
    const auto shown = Show();
    if (const auto* failure = std::get_if<rpc_failure>(&shown)) {
      outcome.detail = failure->detail;
      outcome.status = may_be_committed        ? send_status::kOutcomeUnknown
                       : IsTransient(*failure) ? send_status::kNotAccepted
                                               : send_status::kRefused;
      return outcome;
    }
    auto reply =
        CallOnce<change_reply>("control.change", request, request.wait + kChangeReplyMargin);
    if (auto* answer = std::get_if<change_reply>(&reply)) {
      outcome.status = send_status::kAnswered;
      outcome.reply = std::move(*answer);
      return outcome;
    }
    const auto& failure = std::get<rpc_failure>(reply);
    outcome.detail = failure.detail;
    may_be_committed = may_be_committed || (IsTransient(failure) && !IsNotAppended(failure));
    if (!IsTransient(failure) || clock_.Now() >= deadline) {
      outcome.status = may_be_committed       ? send_status::kOutcomeUnknown
                       : IsTransient(failure) ? send_status::kNotAccepted
                                              : send_status::kRefused;
      return outcome;
    }
    SelectNextMember(failure);
  }
}

std::map<std::string, member_reply> operator_client::ListMembers() {
  std::map<std::string, member_reply> views;
  for (current_channel_ = 0; current_channel_ < channels_.size(); ++current_channel_) {
    const auto reply = CallOnce<member_reply>("control.member", member_request{}, kReadTimeout);
    const auto* view = std::get_if<member_reply>(&reply);
    views[channels_[current_channel_]->PeerName()] = view == nullptr ? member_reply{} : *view;
  }
  current_channel_ = 0;
  return views;
}

// The leader is determined before the change is sent, so that an unreachable member does not leave
// the outcome unknown.
bool operator_client::FindGroupLeader() {
  const auto deadline = clock_.Now() + leader_timeout_;
  do {
    for (std::size_t i = 0; i < channels_.size(); ++i) {
      current_channel_ = i;
      const auto reply = CallOnce<member_reply>("control.member", member_request{}, kReadTimeout);
      const auto* view = std::get_if<member_reply>(&reply);
      if (view != nullptr && view->role == "leader") {
        return true;
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  } while (clock_.Now() < deadline);
  return false;
}

rpc_result<member_reply> operator_client::ChangeMembers(const member_request& request) {
  if (!FindGroupLeader()) {
    return rpc_failure{
        error_kind::kNotLeader, "no member of the group leads; nothing was sent", {}};
  }
  return CallOnce<member_reply>("control.member", request, kMemberChangeTimeout);
}

}  // namespace corianderhoist
