/// Client of an entry VM for the core VMs: watches the fleet state and reports observations.
#pragma once

#include "base/clock.h"
#include "fleet/load_table.h"
#include "fleet/messages.h"
#include "serving/fleet_view.h"
#include "wire/io_loop.h"
#include "wire/rpc.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace corianderhoist {

struct fleet_link_settings {
  std::string vm;               ///< Name of this entry VM.
  std::string data_centre;      ///< Of this entry VM.
  std::vector<endpoint> seeds;  ///< Initial core VM addresses; may be unreachable or outdated.
};

/// Watches the core VM of the own data centre or else with the shortest round trip, and switches to
/// another one if it does not reply or its state is outdated. Must be used on the thread of its
/// loop.
class fleet_link {
 public:
  fleet_link(io_loop& loop,
             fleet_link_settings settings,
             fleet_view& view,
             const clock_source& clock);
  ~fleet_link();
  fleet_link(const fleet_link&) = delete;
  fleet_link& operator=(const fleet_link&) = delete;

  void Start();
  /// Replaces the seeds after a change of the settings. Core VMs that are already known stay.
  void SetSeeds(std::vector<endpoint> seeds);

  // The following functions queue an observation, which is sent with others after a short delay.
  // The delay is shorter for crashes and for attempts that did not succeed in time.
  void NoteOutcome(const attempt_outcome& outcome);
  void NoteWorkspace(const std::string& workspace, bool is_admitted);
  enum class service_event {
    kRequest,  ///< A request was admitted; its repeats do not count.
    kRepeat,   ///< A retry or hedged request was sent.
    kFailure,  ///< A request ended without success.
  };
  void NoteService(const std::string& service, service_event event);
  /// Records that a request has crashed an upstream, or that it has succeeded.
  void NoteCrash(const crash_report& note);
  /// Records what an answer of the upstream states about the requests that it takes.
  void NoteLimit(const stated_limit& limit);
  /// Records the time until the response to a first attempt began, for the digest of the service.
  void NoteResponseTime(const std::string& service, std::chrono::nanoseconds taken);
  void NoteLostRace(const lost_race& race);
  /// Records how many requests of this VM are running at the upstream.
  void NoteLoad(upstream_handle upstream, std::uint32_t running);
  /// Records the services for which requests of this VM wait. Reported when they change, and
  /// repeatedly while there are any, since core VMs drop reports that are not renewed.
  void NoteWaiting(std::vector<service_waiting> waiting);
  /// The number of running requests that was last sent to a core VM.
  std::uint32_t ReportedLoad(upstream_handle upstream) const;
  /// Sends all pending observations.
  void Flush();
  /// The same, and tells the core VM that this VM admits no more requests.
  void FlushLast();

  /// When a core VM last replied; the epoch if none has.
  steady_time RepliedAt() const { return replied_at_; }

  /// Called after each reply that was applied to the view.
  std::function<void()> on_update;

 private:
  struct core_vm {
    endpoint address;
    std::unique_ptr<rpc_channel> channel;
    std::chrono::microseconds round_trip{};  ///< Minimum so far; 0 before the first reply.
    steady_time backoff_until{};
    int failures = 0;
    bool is_same_data_centre = false;
    bool is_probed = false;  ///< A probe of the start is in progress.
  };

  struct timed_counts {
    steady_time at;
    std::vector<named_counts> workspaces;
    std::vector<named_counts> services;
  };

  core_vm& AddCore(const endpoint& address);
  rpc_channel& ChannelOf(core_vm& peer);
  core_vm* ChooseCore();
  void Watch();
  // Start (fleet_link_start.cpp).
  /// Whether the process has started shortly before.
  bool IsYoung() const;
  /// The same, and it has no state yet.
  bool IsStarting() const;
  void ProbeAtStart(core_vm& peer);
  void OnStartProbe(core_vm& peer, const rpc_result<watch_reply>& reply, steady_time sent_at);
  /// Starts the sequence of watch calls, once.
  void BeginWatch();
  void OnReply(core_vm& peer, const rpc_result<watch_reply>& reply, steady_time sent_at);
  void NoteAnswered(core_vm& peer);
  void BackOff(core_vm& peer, const std::string& cause);
  watch_request MakeProbeRequest() const;
  void AddCores(const watch_reply& news);
  void ProbeCores();
  bool IsProbeDue(const core_vm& peer) const;
  void OnProbed(core_vm& peer, const rpc_result<watch_reply>& reply, steady_time sent_at);
  void ProbeForFresherState(core_vm& stale, std::chrono::milliseconds age);
  void RecordRoundTrip(core_vm& peer, const watch_reply& reply, steady_time sent_at);
  void ScheduleReport(bool is_urgent);
  void NoteDelivered(const observations& seen, steady_time sent_at);
  std::vector<resent_counts> FormerCounts(steady_time now) const;
  void RetainCounts(const observations& seen, steady_time sent_at);

  io_loop& loop_;
  fleet_link_settings settings_;
  fleet_view& view_;
  const clock_source& clock_;
  std::map<endpoint, std::unique_ptr<core_vm>> cores_;
  core_vm* current_ = nullptr;
  std::uint64_t cores_digest_ = 0;  ///< Of the list of core VMs received last.
  observations unsent_;
  std::vector<timed_counts> undelivered_;  ///< Counts of reports that failed.
  std::deque<timed_counts> delivered_;     ///< Counts of workspaces, of a window.
  bool is_last_due_ = false;
  bool is_former_due_ = false;  ///< The current core VM lacks the counts of `delivered_`.
  std::uint64_t current_incarnation_ = 0;           ///< Of `current_`; 0 before its first reply.
  std::uint64_t former_incarnation_ = 0;            ///< Of the last core VM before that replied.
  std::map<upstream_handle, std::uint32_t> loads_;  ///< Running requests; no entry for 0.
  std::vector<service_waiting> waiting_;            ///< Services with waiting requests.
  steady_time waiting_reported_at_{};
  bool is_waiting_due_ = false;   ///< The current core VM lacks `waiting_`.
  load_change_tracker reported_;  ///< What the current core VM was sent.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  steady_time started_at_{};
  bool is_watching_ = false;
  std::mt19937_64 random_{std::random_device{}()};  ///< Of retries at the start.
  steady_time replied_at_{};
  steady_time next_probe_{};
  steady_time next_freshness_probe_{};
  std::uint64_t report_generation_ = 0;
  bool is_report_scheduled_ = false;
  bool is_urgent_scheduled_ = false;
};

}  // namespace corianderhoist
