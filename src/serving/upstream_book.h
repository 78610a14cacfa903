/// What this VM alone knows of the upstreams: its own running requests and newest outcomes.
#pragma once

#include "base/clock.h"
#include "fleet/health_filter.h"
#include "serving/fleet_link.h"
#include "serving/fleet_view.h"
#include "serving/placement.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace corianderhoist {

/// Where this VM is, and where the data centres are.
struct vm_place {
  std::string data_centre;
  std::string region;
  std::map<std::string, std::string> region_of;  ///< By data centre.

  nearness DistanceTo(const std::string& other_data_centre) const;
};

/// Combines the pooled conditions with own outcomes that the pool may not have yet. Not thread
/// safe.
class upstream_book {
 public:
  upstream_book(const fleet_view& view,
                fleet_link& link,
                vm_place place,
                const std::string& vm,
                const clock_source& clock);

  void Start(upstream_handle upstream);
  void End(upstream_handle upstream);
  void Observe(upstream_handle upstream, attempt_evidence evidence);
  /// The upstream has refused a request because it is full.
  void NoteShed(upstream_handle upstream);

  /// What a request could expect there. `may_try`: the request can be repeated elsewhere when it
  /// fails.
  placement_candidate CandidateOf(const known_upstream& upstream, bool may_try);
  /// Drops records of upstreams that are gone and idle.
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
  bool IsDue(const known_upstream& upstream, const record& own, bool may_try) const;

  const fleet_view& view_;
  fleet_link& link_;
  const vm_place place_;
  const std::uint64_t vm_hash_;
  const clock_source& clock_;
  std::map<upstream_handle, record> records_;
};

}  // namespace corianderhoist
