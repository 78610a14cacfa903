/// A simulated fleet of entry VMs and core VMs that limit the rates of workspaces with the real
/// modules (`admission`, `fleet_view`, `fleet_usage`) and exchange their messages with delays.
///
/// Answers the load of many workspaces over many small VMs, with core VMs that freeze or restart.
/// Times follow `fleet_link` and `fleet_core`: reports 15 ms after the first count, answers to
/// watch calls 40 to 400 ms apart, counts between core VMs of a region each 40 ms, across regions
/// each second, or each 50 ms near a limit. Not simulated: elections, lost messages, the age of the
/// state.
#pragma once

#include "experiment/event_queue.h"
#include "fleet/fleet_usage.h"
#include "serving/admission.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

/// The clock of an event queue. Its wall clock stands still.
class event_clock final : public clock_source {
 public:
  explicit event_clock(const event_queue& events) : events_(events) {}
  steady_time Now() const override { return events_.Now(); }
  system_time WallNow() const override { return {}; }

 private:
  const event_queue& events_;
};

/// Why an entry VM refused a request.
enum class rate_refusal {
  kShare,         ///< By the admitted share of a core VM.
  kOutOfContact,  ///< By the local quota, without limits of a core VM.
  kGrowth,        ///< By what a VM in contact may admit beyond its level.
  kNoLease        ///< No answer of a core VM for so long that no keyed request is served.
};

class sim_rate_fleet {
 public:
  static constexpr std::array<std::size_t, 5> kCoreRegions = {0, 0, 1, 1, 2};
  static constexpr rate_tolerance kTolerance{std::chrono::milliseconds(5000), 0.1, 20};

  sim_rate_fleet(event_queue& events, std::size_t vms, std::uint64_t seed);

  /// Puts a policy in force at all core VMs that are up. VMs get it with their next answer.
  void SetPolicy(serving_policy policy);
  /// Decides a request of the workspace at a VM. Empty if it is admitted.
  std::optional<rate_refusal> Request(std::size_t vm, std::size_t workspace);

  void Freeze(std::size_t core, std::chrono::milliseconds duration);
  /// Stops all core VMs. Their successors, which know nothing, start after `duration`.
  void RestartCores(std::chrono::milliseconds duration);

 private:
  struct outbox {
    core_share share;
    bool is_scheduled = false;
    std::vector<std::pair<steady_time, core_share>> undelivered;
  };
  struct watcher {
    std::size_t vm;
    std::uint64_t call;
    watch_request request;
    steady_time arrived_at;
  };
  struct core_vm {
    std::unique_ptr<fleet_usage> usage;  ///< Null while it is stopped.
    std::uint64_t incarnation = 0;
    bool is_frozen = false;
    bool is_near_limit = false;
    bool is_answer_scheduled = false;
    shared_limits limits;
    std::uint64_t limits_revision = 0;
    steady_time next_limits{};
    steady_time next_share_across{};
    steady_time next_counts{};
    std::size_t next_member = 0;
    std::vector<watcher> watchers;
    std::array<outbox, kCoreRegions.size()> outboxes;

    bool IsRunning() const { return usage != nullptr && !is_frozen; }
  };
  struct timed_counts {
    steady_time at;
    std::vector<named_counts> workspaces;
  };
  struct core_choice {
    int failures = 0;
    steady_time backoff_until{};
  };
  struct entry_vm {
    std::string name;
    std::size_t region = 0;
    std::vector<std::size_t> preferred;  ///< Core VMs, the nearest first.
    std::unique_ptr<fleet_view> view;
    std::unique_ptr<admission> admission_control;
    std::array<core_choice, kCoreRegions.size()> choices;
    std::size_t core = kCoreRegions.size();
    std::uint64_t core_incarnation = 0;
    std::uint64_t former_incarnation = 0;
    std::uint64_t call = 0;  ///< Number of the watch call in progress.
    steady_time replied_at{};
    bool is_report_scheduled = false;
    bool is_former_due = false;
    std::vector<named_counts> unsent;
    std::vector<timed_counts> undelivered;
    std::deque<timed_counts> delivered;
  };

  void StartCore(std::size_t number);
  std::chrono::milliseconds LinkDelay(const entry_vm& vm, std::size_t core) const;

  // Entry VMs.
  std::size_t ChooseCore(const entry_vm& vm) const;
  void Watch(std::size_t number);
  void OnWatchFailed(std::size_t number, std::uint64_t call);
  void OnReply(std::size_t number, std::uint64_t call, const watch_reply& reply, steady_time sent);
  void ScheduleReport(std::size_t number);
  void Report(std::size_t number);
  void KeepUndelivered(std::size_t number, const report_request& request, steady_time sent_at);
  static void KeepDelivered(entry_vm& vm, const report_request& request, steady_time sent_at);

  // Core VMs.
  void OnWatch(std::size_t core, watcher waiting);
  void Answer(std::size_t core, const watcher& waiting);
  void AnswerWatchers(std::size_t core);
  void OnReport(std::size_t core, report_request request);
  void QueueArrivals(std::size_t core, const std::vector<vm_arrival>& arrivals);
  void Tick(std::size_t core, std::uint64_t incarnation);
  void RefreshLimits(std::size_t core);
  void RequestCounts(std::size_t core);
  void ShareInRegion(std::size_t core);
  void ShareAcrossRegions(std::size_t core);
  void SendShare(std::size_t from, std::size_t to);
  static void AddUndelivered(outbox& box, core_share& share, steady_time now);

  event_queue& events_;
  event_clock clock_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, serving_policy> policies_;  ///< By version.
  policy_ptr policy_;
  std::uint64_t next_incarnation_ = 1;
  std::vector<core_vm> cores_;
  std::vector<entry_vm> vms_;
};

}  // namespace corianderhoist
