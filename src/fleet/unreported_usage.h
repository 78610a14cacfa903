/// Estimates the requests that entry VMs admit without the knowledge of the core VMs.
#pragma once

#include "base/clock.h"
#include "fleet/usage_ledger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Requests of one workspace that the reporters may have admitted or may still admit unseen.
struct unreported_requests {
  double repeated = 0;  ///< In place of counted ones that have left the window.
  double growth = 0;    ///< Beyond the former level.

  double Total() const { return repeated + growth; }
};

/// A reporter is an entry VM, or a core VM on behalf of the entry VMs that report to it. Between
/// two contacts a reporter may admit again what it had admitted in the window before the first of
/// them, and an agreed number of requests more. This permission stays debited until it has ended:
/// counts of a reporter leave the window only while it is in contact. Not thread safe.
class unreported_usage {
 public:
  struct limits {
    std::chrono::milliseconds window{5000};  ///< Sliding window of the rates.
    /// A reporter without contact for this long is silent.
    std::chrono::milliseconds silence{600};
    /// A reporter without contact for this long admits nothing more.
    std::chrono::milliseconds permission{5000};
  };

  explicit unreported_usage(limits bounds) : bounds_(bounds) {}

  void Count(const std::string& reporter,
             const std::string& workspace,
             std::uint64_t admitted,
             steady_time at);
  /// `held_for`: time since the reporter received the answer from which it knows its level.
  void RecordContact(const std::string& reporter,
                     std::chrono::milliseconds held_for,
                     steady_time now);
  /// Drops a reporter that admits nothing more or reports elsewhere.
  void Forget(const std::string& reporter) { reporters_.erase(reporter); }
  void Clear() { reporters_.clear(); }
  /// Only this fraction of the reporter's requests is still admitted there; the rest is reported
  /// elsewhere.
  void SetRemaining(const std::string& reporter, double fraction);
  /// From `since` on reporters are in contact more often: one without contact for `silence` since
  /// then is silent. Empty: only after the time of silence of the limits.
  void SetFrequentContacts(std::optional<steady_time> since, std::chrono::milliseconds silence);
  /// Sets the growth that the workspace is given by each answer to a reporter from now on.
  void SetGrowth(const std::string& workspace, double requests, steady_time now);
  /// Sets the growth that a reporter, if it is known, gives the workspace by itself.
  void SetOwnGrowth(const std::string& reporter, const std::string& workspace, double requests);

  /// Computes the estimates that `Of` returns. Must be called regularly, at least once in half of
  /// the time of silence.
  void Refresh(steady_time now);
  unreported_requests Of(const std::string& workspace) const;
  const std::map<std::string, unreported_requests>& All() const { return estimates_; }
  /// The number of reporters that are silent and may still admit requests.
  std::size_t SilentReporters() const { return silent_reporters_; }

 private:
  struct reporter_state {
    steady_time contact_at;
    steady_time level_at;  ///< When the level was known to the reporter.
    /// The contact before the silence, and the level then, while the reporter counts as silent.
    steady_time silent_since{};
    steady_time silent_level_at{};
    steady_time returned_at{};
    double remaining = 1;
    bool is_silent = false;
    std::map<std::string, sliding_count> admitted;
    std::map<std::string, std::uint64_t> silent_levels;  ///< Computed when it became silent.
    std::map<std::string, double> own_growth;            ///< See `SetOwnGrowth`.
  };
  struct growth_change {
    steady_time at;
    double requests = 0;
  };

  void UpdateSilence(reporter_state& reporter, steady_time now) const;
  void AddLive(const reporter_state& reporter, steady_time now);
  void AddSilent(const reporter_state& reporter, steady_time now);
  double RemainingOf(const reporter_state& reporter, steady_time now) const;
  bool IsOutOfContact(const reporter_state& reporter, steady_time now) const;
  std::chrono::milliseconds Silence() const;
  double GrowthSince(const std::string& workspace, steady_time since) const;

  limits bounds_;
  std::optional<steady_time> frequent_contacts_since_;
  std::chrono::milliseconds frequent_silence_{};
  std::map<std::string, reporter_state> reporters_;
  std::map<std::string, std::vector<growth_change>> growth_;
  std::map<std::string, unreported_requests> estimates_;
  std::size_t silent_reporters_ = 0;
};

}  // namespace corianderhoist
