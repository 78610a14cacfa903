/// A coordinator on a clock that tests advance manually.
#pragma once

#include "base/clock.h"
#include "coordinator/coordinator_core.h"
#include "coordinator/local_log.h"
#include "coordinator/region_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Runs tasks when the manual clock reaches their due time.
class test_timers {
 public:
  explicit test_timers(manual_clock& clock) : clock_(clock) {}

  void After(std::chrono::nanoseconds delay, std::function<void()> task) {
    tasks_.emplace(clock_.Now() + delay, std::move(task));
  }
  /// Runs all due tasks, including those that due tasks add.
  void RunDue();

 private:
  manual_clock& clock_;
  std::multimap<steady_time, std::function<void()>> tasks_;
};

/// A coordinator group with one region, one leader and a configuration.
class coordinator_fixture {
 public:
  /// `rules` are rule lines without comments; the fixture adds the comment that each line needs.
  explicit coordinator_fixture(const std::vector<std::string>& rules,
                               const std::vector<std::string>& workspaces = {"acme"});

  /// Advances the clock by `duration` in steps of 5 ms, with due tasks, ticks and announcements.
  void AdvanceTime(std::chrono::milliseconds duration);
  /// Announces upstreams, whose announcements `AdvanceTime` renews.
  void AnnounceUpstreams(const std::string& service, int count, std::uint32_t slots);

  acquire_request Request(const std::string& workspace, const std::string& service);
  /// Starts an acquire call. `ReplyTo` returns its reply once there is one.
  void StartAcquire(const acquire_request& request);
  /// Returns the reply to a request, or nothing while it is pending.
  std::optional<rpc_result<acquire_reply>> ReplyTo(const std::string& request_id) const;
  /// Starts an acquire call and runs until its reply. Throws if there is none within `timeout`.
  rpc_result<acquire_reply> Acquire(
      const acquire_request& request,
      std::chrono::milliseconds timeout = std::chrono::milliseconds(2000));
  void Complete(const acquire_request& request,
                const acquire_reply& granted,
                attempt_result outcome,
                std::optional<stored_answer> answer = std::nullopt);
  void ApplyConfig(config_change change);

  manual_clock clock;
  test_timers timers{clock};
  region_state state{"north"};
  local_log log{state};
  std::shared_ptr<coordinator_core> core;
  std::vector<announcement> upstreams;

 private:
  std::map<std::string, rpc_result<acquire_reply>> replies_;
  int next_request_ = 0;
};

/// Returns the error kind of a reply, or nothing for a success.
std::optional<error_kind> KindOf(const rpc_result<acquire_reply>& reply);

}  // namespace corianderhoist
