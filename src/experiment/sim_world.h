/// State of a simulated fleet as policies see it: upstreams, workspaces, entry VMs and links.
#pragma once

#include "coordinator/messages.h"
#include "coordinator/token_bucket_table.h"
#include "coordinator/upstream_directory.h"
#include "experiment/event_queue.h"
#include "experiment/scenario.h"
#include "rules/rule_set.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace corianderhoist {

inline constexpr int kSimRegions = 3;
inline constexpr std::chrono::milliseconds kIntraRegionLatency{1};
inline constexpr std::chrono::milliseconds kInterRegionLatency{30};

std::string SimRegionName(int region);

struct sim_workspace {
  std::string name;
  /// Allowed regions in order of preference; the first is the home region.
  std::vector<int> regions;
  std::vector<place> places;
  double mean_rate = 0;  ///< Requests per second.
  rate_limit limit;
  double local_share = 1;  ///< Expected share of its requests that arrive in the home region.
  std::vector<std::size_t> connections;  ///< Entry VM of each of its callers' connections.
};

struct sim_request {
  std::uint64_t id = 0;
  std::size_t workspace = 0;
  std::size_t vm = 0;
  bool is_idempotent = false;
  bool is_poison = false;   ///< Crashes the upstream that runs it.
  bool is_in_rate = false;  ///< Within rate and burst, counted over all arrivals of its workspace.
  steady_time arrived;
  steady_time deadline;
  int attempt = 1;
  std::vector<std::size_t> avoid;  ///< Upstreams of earlier attempts.
  bool may_have_run = false;

  std::string AttemptId() const { return std::to_string(id) + '/' + std::to_string(attempt); }
};

/// The decision of a policy: a granted upstream or the reason of a refusal.
struct sim_decision {
  bool is_granted = false;
  std::size_t upstream = 0;
  std::string lease;
  upstream_id id;
  error_kind refusal = error_kind::kNoUpstream;
};

/// One simulated upstream. Its health endpoint always reports healthy.
struct sim_upstream {
  std::string name;
  int region = 0;
  int data_centre = 1;
  std::uint32_t slots = 0;
  std::uint32_t incarnation = 1;
  upstream_state state = upstream_state::kReady;
  bool is_down = false;
  std::uint32_t running = 0;
  steady_time warm_at;  ///< Until then requests take longer.

  upstream_id Id() const { return {name, std::to_string(incarnation)}; }
  announcement MakeAnnouncement() const;
};

/// The environment of a policy. Policies read it and report ejections; the current time is
/// `events.Now()`.
struct sim_world {
  event_queue events;
  scenario plan;
  steady_time started;
  std::vector<sim_upstream> upstreams;
  std::vector<sim_workspace> workspaces;
  std::vector<int> vm_regions;
  std::mt19937_64 service_random;
  /// Called when an ejection begins; `vm` is -1 when it applies to all entry VMs.
  std::function<void(std::size_t upstream, int vm)> on_ejection;

  explicit sim_world(const scenario& scenario_plan);

  /// The first active fault of the kind, or null. A negative `target` matches any target.
  const scenario_fault* ActiveFault(fault_kind kind, int target = -1) const;
  /// Whether a region cut separates the two regions.
  bool IsPartitioned(int from_region, int to_region) const;
  std::chrono::milliseconds LinkLatency(int from_region, int to_region) const;
  /// Whether the upstream is in the share of upstreams that the fault affects.
  bool IsAffected(const scenario_fault& fault, std::size_t upstream) const;
  /// Whether a fault that makes the upstream faulty is active, so that ejecting it is right.
  bool IsFaulty(std::size_t upstream) const;
  /// The load in [0, 1] that the load endpoint of the upstream reports.
  double ReportedLoad(std::size_t upstream) const;
  /// True with the given probability.
  bool SampleBernoulli(double probability);
};

/// Assigns requests to upstreams. Schedules its own delays on `sim_world::events`.
class sim_policy {
 public:
  virtual ~sim_policy() = default;
  /// Decides on the request and passes the decision to `done` at the entry VM.
  virtual void Acquire(const sim_request& request, std::function<void(sim_decision)> done) = 0;
  /// Reports the end of the attempt that `decision` granted.
  virtual void Complete(const sim_request& request,
                        const sim_decision& decision,
                        attempt_result outcome,
                        std::chrono::microseconds latency) = 0;
  /// Delivers an announcement of `upstream`.
  virtual void Announce(const announcement& message, std::size_t upstream) = 0;
  /// Called every 20 ms of simulated time.
  virtual void Tick() = 0;
  /// Whether the entry VM may retry the request after an attempt that ended with `outcome`.
  virtual bool MayRetry(const sim_request& request, attempt_result outcome) = 0;
  /// Share in [0, 1] of the entry VMs in the upstream's region that have ejected it.
  virtual double EjectedShare(std::size_t upstream) const = 0;
};

}  // namespace corianderhoist
