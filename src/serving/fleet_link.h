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
  /// Records how many requests of this VM are running at the upstream.
  void NoteLoad(upstream_handle upstream, std::uint32_t running);
  /// The number of running requests that was last sent to a core VM.
  std::uint32_t ReportedLoad(upstream_handle upstream) const;
  /// Sends all pending observations.
  void Flush();
  /// The same, and tells the core VM that this VM admits no more requests.
  void FlushLast();

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
  load_change_tracker reported_;                    ///< What the current core VM was sent.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  steady_time next_probe_{};
  steady_time next_freshness_probe_{};
  std::uint64_t report_generation_ = 0;
  bool is_report_scheduled_ = false;
  bool is_urgent_scheduled_ = false;
};

}  // namespace corianderhoist
