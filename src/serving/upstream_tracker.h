/// Local state about the upstreams: running requests and latest outcomes of this VM.
#pragma once

#include "base/clock.h"
#include "fleet/health_filter.h"
#include "serving/fleet_link.h"
#include "serving/fleet_view.h"
#include "serving/placement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace corianderhoist {

/// The location of this VM and the regions of the data centres.
struct vm_place {
  std::string data_centre;
  std::string region;
  std::map<std::string, std::string> region_of;  ///< By data centre.

  network_distance DistanceTo(const std::string& other_data_centre) const;
};

/// Combines the conditions that the core VMs derive from the outcomes of all VMs with local
/// outcomes that they may not include yet. Not thread safe.
class upstream_tracker {
 public:
  upstream_tracker(const fleet_view& view,
                   fleet_link& link,
                   vm_place place,
                   const std::string& vm,
                   const clock_source& clock);

  // Called at the start and end of each attempt of this VM at the upstream.
  void Start(upstream_handle upstream);
  void End(upstream_handle upstream);
  /// Updates the local health estimate with the outcome of an attempt.
  void Observe(upstream_handle upstream, attempt_evidence evidence);
  /// Records that the upstream refused a request because it is at capacity.
  void NoteShed(upstream_handle upstream);

  /// Returns the upstream as a candidate for a request. `may_try` tells that the request can be
  /// repeated at another upstream if it fails.
  placement_candidate CandidateOf(const known_upstream& upstream, bool may_try);
  /// Requests of this VM that run at the upstream.
  std::uint32_t RunningHere(upstream_handle upstream) const;
  /// Called after each end of an attempt.
  std::function<void(upstream_handle)> on_end;
  /// Erases the records of upstreams that are gone and run no request of this VM.
  void Sweep();

 private:
  struct record {
    explicit record(steady_time now) : health(now) {}

    health_filter health;
    std::uint32_t running = 0;
    steady_time failed_at{};
    steady_time shed_at{};
    steady_time started_at{};
  };
  record& RecordOf(upstream_handle upstream);
  bool IsChosenForTrial(upstream_handle upstream, bool is_own_region) const;
  bool IsTrialDue(const known_upstream& upstream, const record& own, bool may_try) const;

  const fleet_view& view_;
  fleet_link& link_;
  const vm_place place_;
  const std::uint64_t vm_hash_;
  const clock_source& clock_;
  std::map<upstream_handle, record> records_;
};

}  // namespace corianderhoist
