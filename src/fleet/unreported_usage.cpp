#include "fleet/unreported_usage.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A silent reporter may go on for this long before its next estimate takes effect.
constexpr milliseconds kLookahead = workspace_usage::kHorizons.back();
// A reporter with a younger contact is counted as it reports: what is missing is less than the
// reserve of the steered limit.
constexpr int kContactsPerSilence = 2;

}  // namespace

void unreported_usage::Count(const std::string& reporter,
                             const std::string& workspace,
                             std::uint64_t admitted,
                             steady_time at) {
  const auto [found, is_new] = reporters_.try_emplace(reporter);
  if (is_new) {
    found->second.contact_at = found->second.level_at = at;
  }
  found->second.admitted[workspace].Add(admitted, at);
}

void unreported_usage::RecordContact(const std::string& reporter,
                                     milliseconds held_for,
                                     steady_time now) {
  reporter_state& state = reporters_[reporter];
  state.contact_at = now;
  // A permission that has ended is replaced by the answer to this contact.
  state.level_at = held_for < bounds_.permission ? now - held_for : now;
  if (state.is_silent && state.returned_at <= state.silent_since) {
    state.returned_at = now;
  }
}

void unreported_usage::SetRemaining(const std::string& reporter, double fraction) {
  if (const auto found = reporters_.find(reporter); found != reporters_.end()) {
    found->second.remaining = std::clamp(fraction, 0.0, 1.0);
  }
}

void unreported_usage::SetOwnGrowth(const std::string& reporter,
                                    const std::string& workspace,
                                    double requests) {
  if (const auto found = reporters_.find(reporter); found != reporters_.end()) {
    found->second.own_growth[workspace] = requests;
  }
}

void unreported_usage::SetFrequentContacts(std::optional<steady_time> since, milliseconds silence) {
  frequent_contacts_since_ = since;
  frequent_silence_ = silence;
}

void unreported_usage::SetGrowth(const std::string& workspace, double requests, steady_time now) {
  std::vector<growth_change>& changes = growth_[workspace];
  if (!changes.empty() && changes.back().requests == requests) {
    return;
  }
  changes.push_back({now, requests});
  // The newest of the older changes was still in force at the oldest level.
  const auto first_recent =
      std::find_if(changes.begin(), changes.end(), [&](const growth_change& change) {
        return change.at > now - bounds_.permission - bounds_.window;
      });
  if (first_recent - changes.begin() > 1) {
    changes.erase(changes.begin(), first_recent - 1);
  }
}

double unreported_usage::GrowthSince(const std::string& workspace, steady_time since) const {
  const auto found = growth_.find(workspace);
  if (found == growth_.end()) {
    return 0;
  }
  double largest = 0;
  for (auto change = found->second.rbegin(); change != found->second.rend(); ++change) {
    largest = std::max(largest, change->requests);
    if (change->at <= since) {
      break;
    }
  }
  return largest;
}

milliseconds unreported_usage::Silence() const {
  return frequent_contacts_since_ ? frequent_silence_ : bounds_.silence;
}

bool unreported_usage::IsOutOfContact(const reporter_state& reporter, steady_time now) const {
  const bool is_frequent_one_due =
      frequent_contacts_since_ &&
      now - std::max(reporter.contact_at, *frequent_contacts_since_) > frequent_silence_;
  return is_frequent_one_due || now - reporter.contact_at > bounds_.silence;
}

// A reporter that is back counts as silent for a while longer, until the counts that it could not
// send before have arrived.
void unreported_usage::UpdateSilence(reporter_state& reporter, steady_time now) const {
  const bool is_out_of_contact = IsOutOfContact(reporter, now);
  const bool has_returned = reporter.is_silent && reporter.returned_at > reporter.silent_since;
  if (!is_out_of_contact) {
    if (has_returned && now - reporter.returned_at > Silence()) {
      reporter.is_silent = false;
      reporter.silent_levels.clear();
    }
    return;
  }
  if (reporter.is_silent && !has_returned) {
    return;
  }
  reporter.is_silent = true;
  reporter.silent_since = reporter.contact_at;
  reporter.silent_level_at = reporter.level_at;
  for (const auto& [workspace, admitted] : reporter.admitted) {
    std::uint64_t& level = reporter.silent_levels[workspace];
    level = std::max({level, admitted.Sum(bounds_.window, reporter.contact_at),
                      admitted.Sum(bounds_.window, reporter.level_at)});
  }
}

void unreported_usage::AddLive(const reporter_state& reporter, steady_time now) {
  if (now - reporter.contact_at < Silence() / kContactsPerSilence) {
    return;
  }
  // The reporter may not have received the last answers.
  const bool is_level_old = reporter.contact_at - reporter.level_at > bounds_.silence;
  for (const auto& [workspace, admitted] : reporter.admitted) {
    std::uint64_t level = admitted.Sum(bounds_.window, reporter.contact_at);
    if (is_level_old) {
      level = std::max(level, admitted.Sum(bounds_.window, reporter.level_at));
    }
    const std::uint64_t counted = admitted.Sum(bounds_.window, now);
    if (level > counted) {
      estimates_[workspace].repeated += static_cast<double>(level - counted) * reporter.remaining;
    }
  }
}

// What a silent reporter has admitted leaves the window evenly once its permission has ended.
double unreported_usage::RemainingOf(const reporter_state& reporter, steady_time now) const {
  const std::chrono::duration<double> since_end = now - reporter.silent_since - bounds_.permission;
  const std::chrono::duration<double> window = bounds_.window;
  return reporter.remaining * std::clamp(1 - since_end / window, 0.0, 1.0);
}

void unreported_usage::AddSilent(const reporter_state& reporter, steady_time now) {
  ++silent_reporters_;
  const double remaining = RemainingOf(reporter, now);
  for (const auto& [workspace, level] : reporter.silent_levels) {
    const auto found = reporter.admitted.find(workspace);
    const std::uint64_t counted =
        found == reporter.admitted.end() ? 0 : found->second.Sum(bounds_.window - kLookahead, now);
    if (level > counted) {
      estimates_[workspace].repeated += static_cast<double>(level - counted) * remaining;
    }
  }
  for (const auto& [workspace, changes] : growth_) {
    estimates_[workspace].growth += GrowthSince(workspace, reporter.silent_level_at) * remaining;
  }
  for (const auto& [workspace, growth] : reporter.own_growth) {
    estimates_[workspace].growth += growth * remaining;
  }
}

void unreported_usage::Refresh(steady_time now) {
  estimates_.clear();
  silent_reporters_ = 0;
  std::erase_if(reporters_, [&](const auto& item) {
    return now - item.second.contact_at > bounds_.permission + bounds_.window;
  });
  for (auto& [name, reporter] : reporters_) {
    UpdateSilence(reporter, now);
    if (reporter.is_silent) {
      AddSilent(reporter, now);
    } else {
      AddLive(reporter, now);
      std::erase_if(reporter.admitted, [&](const auto& item) {
        return item.second.Sum(bounds_.window + bounds_.silence, now) == 0;
      });
    }
  }
}

unreported_requests unreported_usage::Of(const std::string& workspace) const {
  const auto found = estimates_.find(workspace);
  return found == estimates_.end() ? unreported_requests() : found->second;
}

}  // namespace corianderhoist
