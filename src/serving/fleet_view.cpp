#include "serving/fleet_view.h"

#include "base/log.h"
#include "fleet/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

constexpr double kPerMille = 1000;
// A core VM replies at least every 400 ms. Without a reply, the demand on other VMs may have
// changed unnoticed.
constexpr std::chrono::milliseconds kMaxLimitsAge(700);

}  // namespace

watch_request fleet_view::Known() const {
  watch_request known;
  known.policy_version = policy_version_;
  known.roster_index = roster_index_;
  known.core_incarnation = core_life_;
  known.conditions_revision = conditions_revision_;
  known.limits_revision = limits_revision_;
  return known;
}

void fleet_view::Apply(const watch_reply& reply, steady_time sent_at, steady_time now) {
  if (reply.is_counting) {
    limits_received_at_ = std::max(limits_received_at_, now);
    level_at_ = std::max(level_at_, sent_at);
  }
  ApplyPolicy(reply.changes.policy);
  if (reply.changes.index >= roster_index_) {
    ApplyRoster(reply.changes, now);
  }
  if (reply.core_incarnation != core_life_) {
    for (auto& [handle, upstream] : upstreams_) {
      upstream.has_condition = false;
    }
  }
  for (const upstream_condition& condition : reply.conditions) {
    if (const auto found = upstreams_.find(condition.upstream); found != upstreams_.end()) {
      found->second.condition = condition;
      found->second.has_condition = true;
    }
  }
  if (!reply.limits.empty()) {
    limits_ = reply.limits.front();
    blocked_ = {limits_.blocked_requests.begin(), limits_.blocked_requests.end()};
    has_unapplied_shares_ = true;
  }
  digests_.Confirm(limits_.latency_digests, sent_at);
  // A core VM that does not have complete counts yet cannot compute shares, so the former ones
  // stay.
  if (reply.is_counting && std::exchange(has_unapplied_shares_, false)) {
    has_shares_ = true;
    shares_.clear();
    for (const workspace_share& share : limits_.workspaces) {
      shares_[share.workspace] = share;
    }
  }
  core_life_ = reply.core_incarnation;
  conditions_revision_ = reply.conditions_revision;
  limits_revision_ = reply.limits_revision;
  // The core VM received the call at `sent_at` or later, so by the local clock it made the reply at
  // `sent_at + held` or later. A reply with an older index than the known one does not count.
  if (reply.changes.index >= roster_index_ && policy_version_ != 0) {
    fresh_at_ = std::max(fresh_at_, sent_at + reply.held - reply.age);
  }
}

void fleet_view::ApplyPolicy(const policy_document& document) {
  if (document.version <= policy_version_) {
    return;
  }
  Recover(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(text, UnpackText(document.packed_text));
        BOOST_LEAF_AUTO(policy, decoder_(text));
        policy_ = std::make_shared<const policy_index>(std::move(policy));
        policy_version_ = document.version;
        return true;
      },
      [&](const error& failure) {
        log_event(log_level::kError, "policy_unreadable")
            .Field("version", document.version)
            .Field("cause", failure.detail);
        return false;
      });
  log_event(log_level::kInfo, "policy_in_force").Field("version", policy_version_);
}

void fleet_view::ApplyRoster(const fleet_changes& changes, steady_time now) {
  const bool is_first_roster = roster_index_ == 0;
  roster_index_ = changes.index;
  if (changes.is_whole_roster) {
    std::set<upstream_handle> listed;
    for (const upstream_entry& entry : changes.upstreams) {
      listed.insert(entry.handle);
    }
    std::erase_if(upstreams_, [&](const auto& item) { return !listed.contains(item.first); });
  }
  for (const upstream_entry& entry : changes.upstreams) {
    if (entry.state == upstream_state::kGone) {
      upstreams_.erase(entry.handle);
      replaced_.erase(entry.handle);
      continue;
    }
    const auto [position, is_new] = upstreams_.try_emplace(entry.handle);
    known_upstream& known = position->second;
    known.entry = entry;
    known.address = Recover([&] { return ParseEndpoint(entry.address); },
                            [](const error&) { return endpoint(); });
    if (is_new) {
      known.known_since = now;
      known.is_added_after_start = !is_first_roster;
    }
  }
  if (!changes.upstreams.empty() || changes.is_whole_roster) {
    IndexServices();
  }
}

void fleet_view::IndexServices() {
  ready_by_service_.clear();
  for (const auto& [handle, upstream] : upstreams_) {
    if (upstream.entry.state == upstream_state::kReady && upstream.address.port != 0 &&
        !replaced_.contains(handle)) {
      ready_by_service_[upstream.entry.service].push_back(&upstream);
    }
  }
}

void fleet_view::MarkReplaced(upstream_handle handle) {
  replaced_.insert(handle);
  IndexServices();
}

double fleet_view::AdmittedShare(const std::string& workspace) const {
  const auto found = shares_.find(workspace);
  return found == shares_.end() ? 1 : found->second.per_mille / kPerMille;
}

std::uint32_t fleet_view::RoomPerMille(const std::string& workspace) const {
  if (!has_shares_) {
    return 0;
  }
  const auto found = shares_.find(workspace);
  return found == shares_.end() ? kMaxRoomPerMille : found->second.room_per_mille;
}

bool fleet_view::AreLimitsCurrent(steady_time now) const {
  return now - limits_received_at_ <= kMaxLimitsAge;
}

bool fleet_view::IsRepeatBudgetLow(const std::string& service, steady_time now) const {
  return !AreLimitsCurrent(now) ||
         std::find(limits_.low_budget_services.begin(), limits_.low_budget_services.end(),
                   service) != limits_.low_budget_services.end();
}

const std::vector<const known_upstream*>& fleet_view::UpstreamsOf(
    const std::string& service) const {
  static const std::vector<const known_upstream*> kNone;
  const auto found = ready_by_service_.find(service);
  return found == ready_by_service_.end() ? kNone : found->second;
}

const known_upstream* fleet_view::Find(upstream_handle handle) const {
  const auto found = upstreams_.find(handle);
  return found == upstreams_.end() ? nullptr : &found->second;
}

}  // namespace corianderhoist
