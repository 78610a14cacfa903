/// Judges the upstreams of one service by the outcomes that all entry VMs report.
#pragma once

#include "base/clock.h"
#include "coordinator/messages.h"
#include "coordinator/upstream_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

inline constexpr std::chrono::milliseconds kFirstEjection(5'000);
inline constexpr std::chrono::milliseconds kLongestEjection(300'000);

/// Whether an upstream receives work.
enum class standing { kHealthy, kEjected, kTrial };

/// An ejection as the region's log keeps it.
struct ejection {
  std::string service;
  std::string upstream;
  std::string incarnation;
  std::uint32_t repetition = 0;  ///< 0 for the first ejection; each one doubles the time.
  std::string evidence;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.service);
    visit(2, self.upstream);
    visit(3, self.incarnation);
    visit(4, self.repetition);
    visit(5, self.evidence);
  }
};

/// An ejection begins or ends.
struct ejection_change {
  ejection subject;
  bool is_ejected = false;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.subject);
    visit(2, self.is_ejected);
  }
};

/// Time of an ejection.
std::chrono::milliseconds EjectionTime(std::uint32_t repetition);

/// Capacity of one upstream, as its announcements give it.
struct upstream_capacity {
  upstream_id id;
  std::string place;
  std::uint32_t slots = 0;
  bool is_ready = false;  ///< Ready and fresh; other entries count as announced only.
};

/// One outcome of a request.
struct outcome_report {
  upstream_id upstream;
  std::string reporter;  ///< Entry VM.
  attempt_result result = attempt_result::kSuccess;
  std::chrono::microseconds latency{};
  bool is_trial = false;
  bool is_suspect = false;     ///< The request has crashed an upstream before.
  bool is_warming_up = false;  ///< The upstream became known a short time ago.
};

/// Sequential test per upstream: each outcome moves a score by the logarithm of the likelihood
/// ratio between a sick upstream and the median of its peers, and a score above the threshold is
/// evidence of sickness. Overload of all raises the median, and so the share of bad outcomes that
/// an upstream may have. Ejections leave the floor of healthy capacity untouched. Not thread safe.
class health_judge {
 public:
  void Observe(const outcome_report& report, steady_time now);

  /// Upstreams that leave service now, at most one per call. `capacities` lists all upstreams of
  /// the service; the floor is in percent of the announced capacity of a place.
  std::optional<ejection> Judge(const std::vector<upstream_capacity>& capacities,
                                std::uint32_t floor_percent,
                                steady_time now);

  /// Whether any upstream is ejected or on trial.
  bool HasEjections() const;
  /// Whether `Judge` has anything to look at.
  bool HasCandidates() const { return !over_threshold_.empty(); }

  /// Returns ejected upstreams to service where drains, losses or a new rule left the healthy
  /// capacity of a place below the floor. Called after every change of capacity.
  std::vector<upstream_id> EnforceFloor(const std::vector<upstream_capacity>& capacities,
                                        std::uint32_t floor_percent,
                                        steady_time now);

  /// Moves on ejections whose time has passed. Returns upstreams that are back in service.
  std::vector<upstream_id> Advance(steady_time now);

  standing StandingOf(const upstream_id& upstream) const;
  /// The floor keeps a sick upstream in service: it gets work only when no other upstream has a
  /// free slot. Evidence below the threshold has no such effect, because without work it would
  /// neither grow nor go away.
  bool IsSuspected(const upstream_id& upstream) const;
  /// Whether an upstream on trial may get this request now. Trials that are not idempotent are
  /// allowed once the trial has waited `kTrialPatience`.
  bool MayTry(const upstream_id& upstream, bool is_idempotent, steady_time now) const;
  void StartTrial(const upstream_id& upstream, steady_time now);
  /// The trial request ended without evidence.
  void CancelTrial(const upstream_id& upstream);

  /// Takes over an ejection from the log: the full time starts again.
  void Restore(const ejection& former, steady_time now);
  /// Drops what is known of incarnations that are no longer announced. Returns those that were
  /// ejected.
  std::vector<upstream_id> Retain(const std::set<upstream_id>& known, steady_time now);

  /// An ejection in force with its evidence, for dumps.
  struct ejection_view {
    upstream_id upstream;
    standing state;
    std::uint32_t repetition;
    steady_time since;
    steady_time until;
    std::string evidence;
  };
  std::vector<ejection_view> Ejections() const;
  std::set<std::string> BadReporters() const { return bad_reporters_; }

 private:
  /// Counts that halve every `kHalfLife`.
  struct decaying_counts {
    double good = 0;
    double bad = 0;
    steady_time at;

    void DecayTo(steady_time now);
    double Share() const;
  };
  struct record {
    double score = 0;
    std::optional<steady_time> first_bad;  // Of the present run of evidence.
    steady_time last_bad;
    decaying_counts all;
    std::map<std::string, decaying_counts> by_reporter;
    double latency_us = 0;       // Moving mean of answers.
    double peer_latency_us = 0;  // Median of the peers' means, as of the last `Advance`.
    standing state = standing::kHealthy;
    std::uint32_t repetition = 0;
    bool was_ejected = false;
    steady_time since;
    steady_time until;
    std::string evidence;
    bool is_trial_running = false;
    steady_time trial_started;
    std::uint32_t trial_successes = 0;
    bool is_kept_by_floor = false;
  };

  static std::optional<bool> IsBad(const outcome_report& report, double usual_latency_us);
  void Count(record& entry, const outcome_report& report, bool is_bad, steady_time now);
  void FinishTrial(record& entry, bool is_bad, steady_time now);
  void Eject(record& entry, std::string evidence, steady_time now);
  void FindBadReporters(steady_time now);
  bool IsTrusted(const record& entry, steady_time now) const;
  bool IsCommonCause(const upstream_id& upstream) const;
  double MedianShareOfPeers(const upstream_id& upstream) const;
  double MedianLatencyOfPeers(const upstream_id& upstream) const;
  bool AllowsEjection(const std::vector<upstream_capacity>& capacities,
                      const upstream_capacity& candidate,
                      std::uint32_t floor_percent) const;
  std::string Describe(const upstream_id& upstream, const record& entry) const;

  std::map<upstream_id, record> records_;
  std::set<std::string> bad_reporters_;
  steady_time reporters_judged_at_;
  std::set<upstream_id> over_threshold_;
};

}  // namespace corianderhoist
