#include "control/operator_client.h"

#include <algorithm>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Longer than the time after which a leader without a majority gives up a read.
constexpr milliseconds kReadTimeout(3'000);
constexpr milliseconds kFetchTimeout(60'000);
// Added to the wait of a change: the time in which control answers without a majority, and the
// transfer of a large difference.
constexpr milliseconds kChangeTimeout(8'000);
constexpr milliseconds kMemberTimeout(10'000);
constexpr milliseconds kPause(100);

// Failures after which another member, or the same one later, may succeed.
bool IsTransient(const rpc_failure& failure) {
  return failure.kind == error_kind::kNotLeader || failure.kind == error_kind::kTimeout ||
         failure.kind == error_kind::kUnreachable || failure.kind == error_kind::kNotAccepted ||
         failure.kind == error_kind::kStorageFailed || failure.kind == error_kind::kQueueFull;
}

// Failures that say that the change was not appended to the log.
bool IsHarmless(const rpc_failure& failure) {
  return failure.kind == error_kind::kNotLeader || failure.kind == error_kind::kQueueFull;
}

}  // namespace

result<operator_settings> ReadOperatorSettings(settings_reader& reader) {
  operator_settings settings;
  settings_reader tls = reader.Object("tls");
  settings.tls.certificate = tls.ExistingFile("certificate");
  settings.tls.private_key = tls.ExistingFile("private_key");
  settings.tls.authority = tls.ExistingFile("authority");
  tls.Finish();
  settings.control = ReadNamedEndpoints(reader, "control");
  if (settings.control.empty()) {
    reader.Fault("control", "must name at least one member");
  }
  for (settings_reader& group : reader.Objects("groups", true)) {
    const std::string name = group.Text("name");
    if (!settings.groups.emplace(name, ReadNamedEndpoints(group, "members")).second) {
      group.Fault("name", "'" + name + "' is used twice");
    }
    group.Finish();
  }
  reader.Finish();
  BOOST_LEAF_CHECK(reader.Report());
  return settings;
}

operator_client::operator_client(std::shared_ptr<tls_identity> identity,
                                 const std::vector<named_endpoint>& members,
                                 milliseconds patience,
                                 const clock_source& clock)
    : loop_("operator"), clock_(clock), patience_(patience) {
  channels_.reserve(members.size());
  for (const named_endpoint& member : members) {
    channels_.push_back(
        std::make_unique<rpc_channel>(loop_, identity, member.address, member.name));
  }
}

void operator_client::Advance(const rpc_failure& failure) {
  const auto named = std::find_if(channels_.begin(), channels_.end(), [&](const auto& each) {
    return each->PeerName() == failure.leader;
  });
  if (named != channels_.end()) {
    const auto leader = static_cast<std::size_t>(named - channels_.begin());
    if (leader != current_) {
      current_ = leader;
      return;
    }
  }
  current_ = (current_ + 1) % channels_.size();
  std::this_thread::sleep_for(kPause);
}

rpc_result<show_reply> operator_client::Show() {
  const auto deadline = clock_.Now() + patience_;
  std::size_t tries = 0;
  while (true) {
    auto reply = CallOnce<show_reply>("control.show", show_request{}, kReadTimeout);
    const auto* failure = std::get_if<rpc_failure>(&reply);
    // Each member is asked once, however little patience is left.
    const bool is_last = ++tries >= channels_.size() && clock_.Now() >= deadline;
    if (failure == nullptr || !IsTransient(*failure) || is_last) {
      return reply;
    }
    Advance(*failure);
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
    const auto& news = std::get<config_fetch_reply>(reply);
    if (!news.snapshot && news.changes.empty()) {
      return config;
    }
    const std::optional<rpc_failure> fault = Recover(
        [&]() -> result<std::optional<rpc_failure>> {
          if (news.snapshot) {
            BOOST_LEAF_CHECK(config.Restore(*news.snapshot));
          }
          for (const config_change& change : news.changes) {
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

// A change is sent only to a member that has just confirmed with a majority that it leads, so that
// without one the answer "nothing was sent" is certain.
send_outcome operator_client::Send(const change_request& request) {
  send_outcome outcome;
  bool is_open = false;
  const auto deadline = clock_.Now() + patience_ + request.wait;
  while (true) {
    const auto shown = Show();
    if (const auto* failure = std::get_if<rpc_failure>(&shown)) {
      outcome.detail = failure->detail;
      outcome.status = is_open                 ? send_status::kOutcomeUnknown
                       : IsTransient(*failure) ? send_status::kNotAccepted
                                               : send_status::kRefused;
      return outcome;
    }
    auto reply = CallOnce<change_reply>("control.change", request, request.wait + kChangeTimeout);
    if (auto* answer = std::get_if<change_reply>(&reply)) {
      outcome.status = send_status::kAnswered;
      outcome.reply = std::move(*answer);
      return outcome;
    }
    const auto& failure = std::get<rpc_failure>(reply);
    outcome.detail = failure.detail;
    is_open = is_open || (IsTransient(failure) && !IsHarmless(failure));
    if (!IsTransient(failure) || clock_.Now() >= deadline) {
      outcome.status = is_open                ? send_status::kOutcomeUnknown
                       : IsTransient(failure) ? send_status::kNotAccepted
                                              : send_status::kRefused;
      return outcome;
    }
    Advance(failure);
  }
}

std::map<std::string, member_reply> operator_client::ListMembers() {
  std::map<std::string, member_reply> views;
  for (current_ = 0; current_ < channels_.size(); ++current_) {
    const auto reply = CallOnce<member_reply>("control.member", member_request{}, kReadTimeout);
    const auto* view = std::get_if<member_reply>(&reply);
    views[channels_[current_]->PeerName()] = view == nullptr ? member_reply{} : *view;
  }
  current_ = 0;
  return views;
}

// The leader is looked up first, so that a member that cannot be reached leaves no open outcome.
bool operator_client::FindGroupLeader() {
  const auto deadline = clock_.Now() + patience_;
  do {
    for (std::size_t i = 0; i < channels_.size(); ++i) {
      current_ = i;
      const auto reply = CallOnce<member_reply>("control.member", member_request{}, kReadTimeout);
      const auto* view = std::get_if<member_reply>(&reply);
      if (view != nullptr && view->role == "leader") {
        return true;
      }
    }
    std::this_thread::sleep_for(kPause);
  } while (clock_.Now() < deadline);
  return false;
}

rpc_result<member_reply> operator_client::ChangeMembers(const member_request& request) {
  if (!FindGroupLeader()) {
    return rpc_failure{
        error_kind::kNotLeader, "no member of the group leads; nothing was sent", {}};
  }
  return CallOnce<member_reply>("control.member", request, kMemberTimeout);
}

}  // namespace corianderhoist
