/// A coordinator under a clock that tests advance by hand.
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

/// Tasks that run when the clock of a test reaches their time.
class test_timers {
 public:
  explicit test_timers(manual_clock& clock) : clock_(clock) {}

  void After(std::chrono::nanoseconds delay, std::function<void()> task) {
    tasks_.emplace(clock_.Now() + delay, std::move(task));
  }
  /// Runs the tasks that are due.
  void RunDue();

 private:
  manual_clock& clock_;
  std::multimap<steady_time, std::function<void()>> tasks_;
};

/// One region with one leader and a configuration.
class coordinator_fixture {
 public:
  /// `rules` are rule lines without comments.
  explicit coordinator_fixture(const std::vector<std::string>& rules,
                               const std::vector<std::string>& workspaces = {"acme"});

  /// Moves time in steps of 5 ms; runs due tasks and ticks.
  void Run(std::chrono::milliseconds span);
  /// All announced upstreams renew their announcements during `Run`.
  void AnnounceUpstreams(const std::string& service, int count, std::uint32_t slots);

  acquire_request Request(const std::string& workspace, const std::string& service);
  /// Starts a call; the reply is found later in `Replies()`.
  void Start(const acquire_request& request);
  /// Returns the reply to the request, if it has one.
  std::optional<rpc_result<acquire_reply>> ReplyTo(const std::string& request_id) const;
  /// Starts a call and runs up to `span` until it is answered.
  rpc_result<acquire_reply> Acquire(
      const acquire_request& request,
      std::chrono::milliseconds span = std::chrono::milliseconds(2000));
  void Complete(const acquire_request& request,
                const acquire_reply& granted,
                attempt_result outcome,
                std::optional<stored_answer> answer = std::nullopt);
  void Change(config_change change);

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

/// The error kind of a reply, or nothing for a success.
std::optional<error_kind> KindOf(const rpc_result<acquire_reply>& reply);

}  // namespace corianderhoist
