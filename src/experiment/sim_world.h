/// The parts of a simulated fleet that policies see: upstreams, workspaces, entry VMs and links.
#pragma once

#include "coordinator/messages.h"
#include "coordinator/rate_ledger.h"
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
inline constexpr std::chrono::milliseconds kLinkInRegion{1};
inline constexpr std::chrono::milliseconds kLinkBetweenRegions{30};

std::string SimRegionName(int region);

struct sim_workspace {
  std::string name;
  std::vector<int> regions;  ///< Allowed places in order of preference; the first one is home.
  std::vector<place> places;
  double mean_rate = 0;
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
  bool is_in_rate = false;  ///< Within rate and burst, judged by all arrivals of its workspace.
  steady_time arrived;
  steady_time deadline;
  int attempt = 1;
  std::vector<std::size_t> avoid;
  bool may_have_run = false;

  std::string AttemptId() const { return std::to_string(id) + '/' + std::to_string(attempt); }
};

/// What a policy decided: an upstream, or a refusal.
struct sim_decision {
  bool is_granted = false;
  std::size_t upstream = 0;
  std::string lease;
  upstream_id id;
  error_kind refusal = error_kind::kNoUpstream;
};

/// One simulated upstream. Its health endpoint always answers that it is healthy.
struct sim_upstream {
  std::string name;
  int region = 0;
  int data_centre = 1;
  std::uint32_t slots = 0;
  std::uint32_t incarnation = 1;
  upstream_state state = upstream_state::kReady;
  bool is_down = false;
  std::uint32_t running = 0;
  steady_time warm_at;  ///< Work is slow before.

  upstream_id Id() const { return {name, std::to_string(incarnation)}; }
  announcement Announce() const;
};

/// Everything around a policy. Policies read it and report ejections; `now` is `events.Now()`.
struct sim_world {
  event_queue events;
  scenario plan;
  steady_time started;
  std::vector<sim_upstream> upstreams;
  std::vector<sim_workspace> workspaces;
  std::vector<int> vm_regions;
  std::mt19937_64 service_random;
  /// `on_ejection(upstream, vm)`: called when an ejection begins; `vm` is -1 when it holds for all.
  std::function<void(std::size_t upstream, int vm)> on_ejection;

  explicit sim_world(const scenario& planned);

  /// The active fault of a kind, or null. `target` is compared when not negative.
  const scenario_fault* Active(fault_kind kind, int target = -1) const;
  bool IsCut(int from_region, int to_region) const;
  std::chrono::milliseconds Link(int from_region, int to_region) const;
  /// Whether the index of an upstream is within the share of upstreams that a fault hits.
  bool IsHit(const scenario_fault& fault, std::size_t upstream) const;
  bool IsSick(std::size_t upstream) const;
  double ReportedLoad(std::size_t upstream) const;
  bool Chance(double share);
};

/// Decides where requests go. Models its own delays on `events`.
class sim_policy {
 public:
  virtual ~sim_policy() = default;
  virtual void Acquire(const sim_request& request, std::function<void(sim_decision)> done) = 0;
  virtual void Complete(const sim_request& request,
                        const sim_decision& decision,
                        attempt_result outcome,
                        std::chrono::microseconds latency) = 0;
  virtual void Announce(const announcement& news, std::size_t upstream) = 0;
  virtual void Tick() = 0;
  /// Whether an attempt that was not run or may be repeated gets another one on this entry VM.
  virtual bool MayRetry(const sim_request& request, attempt_result outcome) = 0;
  /// Share of the entry VMs of its region that send no work to the upstream, in [0, 1].
  virtual double EjectedShare(std::size_t upstream) const = 0;
};

}  // namespace corianderhoist
