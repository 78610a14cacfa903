#include "control/control_service.h"

#include "base/log.h"
#include "observe/metrics.h"

#include <QJsonArray>

#include <algorithm>
#include <future>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExpiryInterval(50);
// A commit takes one network round trip and one disk sync; after 5 s the majority counts as
// unavailable.
constexpr milliseconds kCommitTimeout(5'000);
constexpr milliseconds kMaxRequestWait(30'000);
constexpr std::size_t kMinChangeIdBytes = 8;
constexpr std::size_t kMaxChangeIdBytes = 64;
// Bytes of rule lines in one change. A log entry must fit into one message to the followers.
constexpr std::size_t kMaxChangeRuleBytes = 32U << 20U;
constexpr std::size_t kMaxOpenChanges = 1'000;
constexpr std::size_t kMaxOpenFetches = 1'000;

milliseconds UnixTime(const clock_source& clock) {
  return std::chrono::duration_cast<milliseconds>(clock.WallNow().time_since_epoch());
}

// Returns why the request is invalid, or an empty string.
std::string ValidateRequest(const change_request& request) {
  const bool is_plain = std::all_of(request.change_id.begin(), request.change_id.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
  });
  if (!is_plain || request.change_id.size() < kMinChangeIdBytes ||
      request.change_id.size() > kMaxChangeIdBytes) {
    return "a change id has 8 to 64 letters, digits or '-'";
  }
  std::size_t bytes = 0;
  for (const auto* lines : {&request.removed_rules, &request.added_rules}) {
    for (const std::string& line : *lines) {
      bytes += line.size();
    }
  }
  return bytes > kMaxChangeRuleBytes ? "the difference exceeds 32 MiB; apply it in parts" : "";
}

std::string_view StatusName(change_status status) {
  switch (status) {
    case change_status::kCommitted:
      return "committed";
    case change_status::kRefused:
      return "refused";
    case change_status::kVersionConflict:
      return "version_conflict";
  }
  return "unknown";
}

std::string_view KindName(change_kind kind) {
  switch (kind) {
    case change_kind::kApplyRules:
      return "apply_rules";
    case change_kind::kGiveKey:
      return "give_key";
    case change_kind::kWithdrawKey:
      return "withdraw_key";
    case change_kind::kReleaseRequest:
      return "release_request";
  }
  return "unknown";
}

result<change_result> DecodeResult(const std::string& bytes) {
  return Decode<change_result>(bytes);
}

}  // namespace

control_service::control_service(replica& group,
                                 control_application& application,
                                 const clock_source& clock,
                                 std::vector<std::string> regions)
    : group_(group),
      application_(application),
      state_(application.State()),
      clock_(clock),
      regions_(std::move(regions)),
      loop_(std::make_unique<io_loop>("control")) {
  application_.on_applied = [this] { OnApplied(); };
  group_.OnLeadership([this](bool is_leader) { OnLeadership(is_leader); });
}

control_service::~control_service() = default;

void control_service::Register(rpc_server& server) {
  server.Handle<change_request, change_reply>(
      "control.change", {"operator"},
      [this](const rpc_context& context, change_request request, rpc_callback<change_reply> reply) {
        group_.Post([this, caller = context.peer.name, request = std::move(request),
                     reply = std::move(reply)] { Change(caller, request, reply); });
      });
  server.Handle<show_request, show_reply>(
      "control.show", {"operator"},
      [this](const rpc_context&, const show_request&, rpc_callback<show_reply> reply) {
        group_.Post([this, reply = std::move(reply)] { Show(reply); });
      });
  server.Handle<config_fetch_request, config_fetch_reply>(
      "config.fetch", {"coordinator", "operator"},
      [this](const rpc_context&, const config_fetch_request& request,
             rpc_callback<config_fetch_reply> reply) {
        const steady_time deadline = clock_.Now() + std::min(request.wait, kMaxRequestWait);
        group_.Post(
            [this, fetch = open_fetch{request, std::move(reply), deadline}] { Fetch(fetch); });
      });
  server.Handle<config_ack_request, empty_message>(
      "config.ack", {"coordinator"},
      [this](const rpc_context&, config_ack_request request, rpc_callback<empty_message> reply) {
        group_.Post([this, request = std::move(request), reply = std::move(reply)] {
          Acknowledge(request, reply);
        });
      });
}

void control_service::Start() {
  ScheduleExpiry();
}

void control_service::Close() {
  std::promise<void> closed;
  group_.Post([&] {
    is_closed_ = true;
    application_.on_applied = nullptr;
    OnLeadership(false);
    closed.set_value();
  });
  closed.get_future().wait();
  loop_.reset();
}

void control_service::ScheduleExpiry() {
  loop_->After(kExpiryInterval, [this] {
    group_.Post([this] {
      if (!is_closed_) {
        Expire();
        ScheduleExpiry();
      }
    });
  });
}

rpc_failure control_service::NotLeaderFailure() const {
  const std::string leader = is_closed_ ? std::string() : group_.LeaderName();
  return {error_kind::kNotLeader,
          leader.empty() ? "no leader of control is known here" : "the leader is " + leader,
          leader};
}

void control_service::Change(const std::string& caller,
                             const change_request& request,
                             rpc_callback<change_reply> reply) {
  if (is_closed_ || group_.LeadingTerm() == 0) {
    reply(NotLeaderFailure());
    return;
  }
  if (const std::string fault = ValidateRequest(request); !fault.empty()) {
    reply(rpc_failure{error_kind::kBadRequest, fault, {}});
    return;
  }
  if (changes_.size() >= kMaxOpenChanges) {
    reply(rpc_failure{error_kind::kQueueFull, "too many changes at once", {}});
    return;
  }
  const steady_time now = clock_.Now();
  auto change = std::make_shared<open_change>();
  change->reply = std::move(reply);
  change->commit_deadline = now + kCommitTimeout;
  change->deadline = now + std::clamp(request.wait, milliseconds(0), kMaxRequestWait);
  changes_.push_back(change);
  group_.Propose(Encode(control_command{request, caller, UnixTime(clock_), regions_}),
                 [this, change, id = request.change_id, kind = request.kind,
                  caller](rpc_result<std::string> outcome) {
                   OnProposed(change, std::move(outcome));
                   log_event(log_level::kInfo, "change_answered")
                       .Field("change_id", id)
                       .Field("kind", KindName(kind))
                       .Field("operator", caller)
                       .Field("status", change->is_committed ? StatusName(change->result.status)
                                                             : "not_committed")
                       .Field("version", change->result.version)
                       .Field("cause", change->result.detail);
                 });
}

void control_service::OnProposed(const std::shared_ptr<open_change>& change,
                                 rpc_result<std::string> outcome) {
  if (change->is_answered) {
    return;
  }
  if (const auto* failure = std::get_if<rpc_failure>(&outcome)) {
    change->is_answered = true;
    change->reply(*failure);
    return;
  }
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(change->result, DecodeResult(std::get<std::string>(outcome)));
        change->is_committed = true;
        AnswerIfInForce(*change);
        return {};
      },
      [&](const error& failure) {
        change->is_answered = true;
        change->reply(rpc_failure{failure.kind, failure.detail, {}});
      });
}

void control_service::AnswerIfInForce(open_change& change) {
  change_reply reply{change.result, {}};
  if (change.result.status == change_status::kCommitted) {
    reply.pending = PendingRegions(change.result);
  }
  if (reply.pending.empty() || clock_.Now() >= change.deadline) {
    change.is_answered = true;
    change.reply(std::move(reply));
  }
}

void control_service::Fetch(open_fetch fetch) {
  if (is_closed_ || fetches_.size() >= kMaxOpenFetches) {
    fetch.reply(NotLeaderFailure());
    return;
  }
  metrics::Instance().Counter("config_fetches").Add();
  group_.ReadBarrier([this, fetch = std::move(fetch)](const rpc_result<std::string>& outcome) {
    if (const auto* failure = std::get_if<rpc_failure>(&outcome)) {
      fetch.reply(*failure);
      return;
    }
    const bool is_waiting =
        state_.Config().Version() == fetch.request.after_version && clock_.Now() < fetch.deadline;
    if (is_waiting && !is_closed_) {
      fetches_.push_back(fetch);
    } else {
      AnswerFetch(fetch);
    }
  });
}

// Copying the configuration is cheap. A snapshot is formatted and encoded on another thread, since
// this takes seconds for a configuration of the maximum designed size.
void control_service::AnswerFetch(const open_fetch& fetch) {
  const std::uint64_t version = state_.Config().Version();
  if (fetch.request.after_version > version) {
    fetch.reply(rpc_failure{error_kind::kVersionConflict,
                            "version " + std::to_string(fetch.request.after_version) +
                                " is newer than version " + std::to_string(version) + " of control",
                            {}});
    return;
  }
  if (version == fetch.request.after_version ||
      state_.FindChange(fetch.request.after_version + 1) != nullptr || is_closed_) {
    fetch.reply(state_.ChangesAfter(fetch.request.after_version));
    return;
  }
  loop_->Post([config = state_.Config(), reply = fetch.reply] {
    config_fetch_reply answer;
    answer.snapshot = config.Snapshot();
    reply(std::move(answer));
  });
}

void control_service::Acknowledge(const config_ack_request& request,
                                  const rpc_callback<empty_message>& reply) {
  if (is_closed_ || group_.LeadingTerm() == 0) {
    reply(NotLeaderFailure());
    return;
  }
  if (!IsKnownRegion(request.region) || request.version > state_.Config().Version()) {
    reply(rpc_failure{
        error_kind::kBadRequest,
        "unknown region '" + request.region + "' or version " + std::to_string(request.version),
        {}});
    return;
  }
  region_report& report = reports_[request.region];
  if (report.region.empty() || report.version != request.version) {
    const config_change* change = state_.FindChange(request.version);
    report = {request.region, request.version, UnixTime(clock_),
              change == nullptr ? std::string() : change->changed_by};
    log_event(log_level::kInfo, "region_reported")
        .Field("region", request.region)
        .Field("version", request.version);
    for (const auto& each : changes_) {
      if (each->is_committed && !each->is_answered) {
        AnswerIfInForce(*each);
      }
    }
  }
  reply(empty_message{});
}

void control_service::Show(rpc_callback<show_reply> reply) {
  if (is_closed_) {
    reply(NotLeaderFailure());
    return;
  }
  group_.ReadBarrier([this, reply = std::move(reply)](const rpc_result<std::string>& outcome) {
    if (const auto* failure = std::get_if<rpc_failure>(&outcome)) {
      reply(*failure);
    } else {
      reply(MakeShowReply());
    }
  });
}

void control_service::OnApplied() {
  const std::uint64_t version = state_.Config().Version();
  const auto first_due =
      std::partition(fetches_.begin(), fetches_.end(),
                     [&](const open_fetch& each) { return each.request.after_version >= version; });
  const std::vector<open_fetch> due(first_due, fetches_.end());
  fetches_.erase(first_due, fetches_.end());
  for (const open_fetch& each : due) {
    AnswerFetch(each);
  }
}

// A former leader receives no further changes or region reports, so its callers must retry at the
// new leader.
void control_service::OnLeadership(bool is_leader) {
  if (is_leader) {
    return;
  }
  for (const open_fetch& each : std::exchange(fetches_, {})) {
    each.reply(NotLeaderFailure());
  }
  for (const auto& each : std::exchange(changes_, {})) {
    if (!std::exchange(each->is_answered, true)) {
      each->reply(rpc_failure{error_kind::kNotAccepted,
                              "control lost its leader; the outcome is open, send the change again "
                              "with the same change id",
                              {}});
    }
  }
}

void control_service::Expire() {
  const steady_time now = clock_.Now();
  for (const auto& each : changes_) {
    if (!each->is_answered && each->is_committed && now >= each->deadline) {
      AnswerIfInForce(*each);
    } else if (!each->is_answered && !each->is_committed && now >= each->commit_deadline) {
      each->is_answered = true;
      each->reply(rpc_failure{error_kind::kNotAccepted,
                              "no majority of control has confirmed the change in 5 s; the outcome "
                              "is open, send it again with the same change id",
                              {}});
    }
  }
  std::erase_if(changes_, [](const auto& each) { return each->is_answered; });

  const auto first_due =
      std::partition(fetches_.begin(), fetches_.end(),
                     [&](const open_fetch& each) { return now < each.deadline; });
  const std::vector<open_fetch> due(first_due, fetches_.end());
  fetches_.erase(first_due, fetches_.end());
  for (const open_fetch& each : due) {
    // An empty reply states that no newer version exists, so leadership must be confirmed again.
    Fetch(each);
  }
}

}  // namespace corianderhoist
