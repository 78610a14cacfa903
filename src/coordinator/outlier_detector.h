/// Outlier detection for the upstreams of one service, based on the request outcomes that all
/// entry VMs report.
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

inline constexpr std::chrono::milliseconds kBaseEjectionTime(5'000);
inline constexpr std::chrono::milliseconds kMaxEjectionTime(300'000);

/// Ejection state of an upstream: healthy ones receive requests, ejected ones receive none, and
/// those on trial receive single trial requests.
enum class ejection_state { kHealthy, kEjected, kTrial };

/// An ejection as stored in the replicated log of the region.
struct ejection {
  std::string service;
  std::string upstream;
  std::string incarnation;
  std::uint32_t repetition =
      0;                 ///< 0 for the first ejection; each repetition doubles its duration.
  std::string evidence;  ///< Reason for the ejection, as text for operators.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.service);
    visit(2, self.upstream);
    visit(3, self.incarnation);
    visit(4, self.repetition);
    visit(5, self.evidence);
  }
};

/// Log entry for the begin or end of an ejection.
struct ejection_change {
  ejection subject;
  bool is_ejected = false;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.subject);
    visit(2, self.is_ejected);
  }
};

/// Duration of an ejection: exponential backoff from `kBaseEjectionTime` to `kMaxEjectionTime`.
std::chrono::milliseconds EjectionTime(std::uint32_t repetition);

/// Capacity of one upstream according to its announcements.
struct upstream_capacity {
  upstream_id id;
  std::string place;  ///< "region/data_centre"
  std::uint32_t slots = 0;
  bool is_ready = false;  ///< Ready and fresh; other entries count towards announced capacity only.
};

/// Outcome of one attempt at an upstream.
struct outcome_report {
  upstream_id upstream;
  std::string reporter;  ///< Entry VM that sent the attempt.
  attempt_result result = attempt_result::kSuccess;
  std::chrono::microseconds latency{};
  bool is_trial = false;
  bool is_suspect = false;     ///< A request with this fingerprint crashed an upstream.
  bool is_warming_up = false;  ///< The upstream became ready recently.
};

/// Outlier detector that runs a sequential probability ratio test per upstream. Each outcome
/// changes a score by the log-likelihood ratio between a faulty upstream and the median of its
/// peers; a score above the threshold makes the upstream a candidate for ejection. An overload of
/// all upstreams raises the median and with it the tolerated failure share. Ejections never reduce
/// the healthy capacity of a place below its floor. Not thread safe.
class outlier_detector {
 public:
  void Observe(const outcome_report& report, steady_time now);

  /// Ejects at most one upstream and returns its ejection. `capacities` lists all upstreams of the
  /// service; the floor is a percentage of the announced capacity of each place.
  std::optional<ejection> EjectOutlier(const std::vector<upstream_capacity>& capacities,
                                       std::uint32_t floor_percent,
                                       steady_time now);

  /// Whether any upstream is ejected or on trial.
  bool HasEjections() const;
  /// Whether `EjectOutlier` has any upstream to examine.
  bool HasEjectionCandidates() const { return !ejection_candidates_.empty(); }

  /// Ends ejections in places whose healthy capacity fell below the floor because of drains, losses
  /// or a changed rule. Must be called after every change of capacity. Returns the upstreams that
  /// are back in service.
  std::vector<upstream_id> EnforceFloor(const std::vector<upstream_capacity>& capacities,
                                        std::uint32_t floor_percent,
                                        steady_time now);

  /// Starts the trials of upstreams whose ejection time has passed. Returns the upstreams that are
  /// back in service.
  std::vector<upstream_id> Advance(steady_time now);

  ejection_state StateOf(const upstream_id& upstream) const;
  /// True for an upstream that only the floor keeps in service; it receives requests only when no
  /// other upstream has a free slot. A score below the threshold has no such effect, because
  /// without requests it could neither grow nor decay.
  bool IsSuspected(const upstream_id& upstream) const;
  /// Whether an upstream on trial may receive this request now. Requests that are not idempotent
  /// are allowed only after the upstream has been on trial for `kNonIdempotentTrialDelay`.
  bool MaySendTrial(const upstream_id& upstream, bool is_idempotent, steady_time now) const;
  void StartTrial(const upstream_id& upstream, steady_time now);
  /// Ends a trial request that had no outcome.
  void CancelTrial(const upstream_id& upstream);

  /// Restores an ejection from the log. Its full duration starts again at `now`.
  void Restore(const ejection& former, steady_time now);
  /// Erases the state of incarnations that are no longer announced. Returns those that were
  /// ejected.
  std::vector<upstream_id> Retain(const std::set<upstream_id>& known, steady_time now);

  /// An active ejection with its evidence, for dumps.
  struct ejection_view {
    upstream_id upstream;
    ejection_state state;
    std::uint32_t repetition;
    steady_time since;
    steady_time until;
    std::string evidence;
  };
  std::vector<ejection_view> Ejections() const;
  /// Entry VMs that see failures at most upstreams where others see none. The fault is assumed to
  /// be in their network link, so their outcomes are ignored.
  std::set<std::string> ReportersWithBadLink() const { return reporters_with_bad_link_; }

 private:
  /// Outcome counts that decay exponentially with a half-life of `kOutcomeHalfLifeSeconds`.
  struct decaying_counts {
    double successes = 0;
    double failures = 0;
    steady_time at;

    void DecayTo(steady_time now);
    double FailureShare() const;
  };
  struct upstream_health {
    double score = 0;
    std::optional<steady_time> first_failure;  // First failure since the score was last 0.
    steady_time last_failure;
    decaying_counts all;
    std::map<std::string, decaying_counts> by_reporter;
    double latency_us = 0;       // Exponential moving average over successful answers.
    double peer_latency_us = 0;  // Median of the peers' averages at the last `Advance`.
    ejection_state state = ejection_state::kHealthy;
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

  static std::optional<bool> IsFailure(const outcome_report& report, double expected_latency_us);
  void UpdateScore(upstream_health& entry,
                   const outcome_report& report,
                   bool is_failure,
                   steady_time now);
  void FinishTrial(upstream_health& entry, bool is_failure, steady_time now);
  void Eject(upstream_health& entry, std::string evidence, steady_time now);
  void FindReportersWithBadLink(steady_time now);
  bool IsCorroborated(const upstream_health& entry, steady_time now) const;
  bool IsCommonCause(const upstream_id& upstream) const;
  double MedianPeerFailureShare(const upstream_id& upstream) const;
  double MedianPeerLatency(const upstream_id& upstream) const;
  bool AllowsEjection(const std::vector<upstream_capacity>& capacities,
                      const upstream_capacity& candidate,
                      std::uint32_t floor_percent) const;
  std::string DescribeEvidence(const upstream_id& upstream, const upstream_health& entry) const;

  std::map<upstream_id, upstream_health> upstreams_;
  std::set<std::string> reporters_with_bad_link_;
  steady_time reporters_checked_at_;
  std::set<upstream_id> ejection_candidates_;
};

}  // namespace corianderhoist
