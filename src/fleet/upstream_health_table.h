/// Aggregates the request outcomes that entry VMs report and derives the condition of each
/// upstream.
#pragma once

#include "base/clock.h"
#include "fleet/health_filter.h"
#include "fleet/messages.h"
#include "fleet/usage_ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// Result of a refresh of conditions.
struct condition_changes {
  bool has_changed = false;
  std::vector<upstream_handle> urgent;  ///< Found to be failing or silent, or due for a trial.
};

/// Health of each upstream as seen by all VMs. Every change of a condition gets a revision, so that
/// an entry VM can request only the changes it lacks. Not thread safe.
class upstream_health_table {
 public:
  /// `announcement_interval`: time between two announcements of an upstream.
  upstream_health_table(std::chrono::milliseconds announcement_interval, steady_time now);

  void Observe(const attempt_outcome& outcome, steady_time now);
  /// Counts a cancelled attempt as slow, but neither as a success nor as a failure.
  void ObserveLostRace(const lost_race& race, steady_time now);
  /// Records that an announcement of the upstream has arrived at this or another core VM.
  void RecordAnnouncement(upstream_handle upstream, steady_time now);
  /// Sets the number of requests in progress at the upstream, summed over all VMs.
  void SetRunning(upstream_handle upstream, std::uint32_t running, steady_time now);
  /// Records what an answer of the upstream states; 0 for no limit.
  void SetLimit(upstream_handle upstream, std::uint64_t per_kilosecond, steady_time now);
  /// Discards the records of all upstreams that are not in `known`.
  void Retain(const std::set<upstream_handle>& known);

  /// Selects the upstreams of one service that are due for a trial request. Every upstream that may
  /// be healthy must receive requests: otherwise the usable capacity of the service falls below its
  /// required minimum unnoticed. An upstream is trusted while it is probably healthy and its mean
  /// latency is within the objective. It is then tried when it has been idle for one to two
  /// seconds. A failing one is tried at longer intervals, which become shorter while the service is
  /// degraded or too many of its upstreams are idle. Under strain each idle upstream counts; else
  /// it counts by the probability that it has recovered, since most trials of failing upstreams are
  /// lost requests and the capacity is not needed. After a success the next trial follows quickly,
  /// so that a recovered upstream is trusted again after a few requests.
  void PlanTrials(const std::vector<upstream_handle>& service,
                  service_strain strain,
                  steady_time now);

  /// Recomputes all conditions, which also depend on the time.
  condition_changes Refresh(steady_time now);
  /// Recomputes the conditions of upstreams with outcomes or loads since the last call.
  condition_changes RefreshObserved(steady_time now);

  std::uint64_t Revision() const { return revision_; }
  /// Conditions with a revision above `revision`.
  std::vector<upstream_condition> ChangedSince(std::uint64_t revision) const;

  /// Upstreams without an announcement or a successful response for longer than `silence`.
  std::vector<upstream_handle> SilentFor(std::chrono::milliseconds silence, steady_time now) const;

 private:
  struct record {
    explicit record(steady_time now)
        : health(now), started_at(now), used_at(now), announced_at(now), last_good_at(now) {}

    health_filter health;
    double relative_latency = 0;  ///< Exponential moving average; 0 before the first good outcome.
    double answered = 1;          ///< The same of 1 for a good outcome and 0 for a lost race.
    std::uint32_t running = 0;
    steady_time started_at;                    ///< When a request last started.
    steady_time used_at;                       ///< When a request last started or finished.
    bool was_good = true;                      ///< Whether the newest outcome was good.
    std::optional<steady_time> unanswered_at;  ///< When a request last got no response in time.
    upstream_trial trial = upstream_trial::kNone;
    steady_time announced_at;
    steady_time last_good_at;
    std::uint64_t limit_per_kilosecond = 0;
    steady_time limit_heard_at{};
    upstream_condition published;
    std::uint64_t revision = 0;
  };

  upstream_trial ChooseTrial(const record& entry, bool is_degraded, steady_time now) const;
  static double IdleWeight(const record& entry, service_strain strain, steady_time now);
  static double MeanRelativeLatency(const record& entry);
  record& RecordOf(upstream_handle upstream, steady_time now);
  void RefreshRecord(upstream_handle upstream,
                     record& entry,
                     steady_time now,
                     condition_changes& changes);
  upstream_condition ConditionOf(upstream_handle upstream,
                                 const record& entry,
                                 steady_time now) const;

  const std::chrono::milliseconds announcement_interval_;
  const steady_time started_;
  std::map<upstream_handle, record> records_;
  std::set<upstream_handle> observed_;  ///< Since the last refresh.
  std::map<std::uint64_t, upstream_handle> by_revision_;
  std::uint64_t revision_ = 0;
};

/// Detects requests that crash upstreams. A request is blocked once it has crashed
/// `kCrashesUntilBlocked` different upstreams and has never succeeded. Not thread safe.
class crash_tracker {
 public:
  void Record(const crash_report& note, steady_time now);
  /// Fingerprints of the blocked requests. A block ends a minute after the last crash.
  std::vector<std::uint64_t> Blocked(steady_time now) const;

  static constexpr std::size_t kCrashesUntilBlocked = 2;

 private:
  struct request_record {
    std::set<upstream_handle> crashed;
    bool has_succeeded = false;
    steady_time last_crash_at;
  };
  std::map<std::uint64_t, request_record> requests_;  ///< By fingerprint.
};

}  // namespace corianderhoist
