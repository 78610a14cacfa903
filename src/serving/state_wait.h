/// Decides whether a request waits while the entry VM lacks the state of the fleet that admission
/// needs, and in which order waiting requests pass through admission.
///
/// Load: callers that wait for 5 to 15 s reach a VM that has just started, was frozen or was cut
/// off, while its state usually arrives within one to two seconds.
///
/// Times are points of the VM's clock, passed in with each call. Nothing fails; what is not
/// accepted is to be refused at once as not run. No I/O, no timers.
#pragma once

#include "base/buffer_budget.h"
#include "base/clock.h"
#include "http/answer_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace corianderhoist {

struct state_wait_settings {
  std::size_t max_requests = 0;  ///< Waiting at the same time; 0: refuse at once.
};

/// What a request waits for.
enum class state_wait_reason : std::uint8_t {
  kNoPolicy,
  kLeaseExpired,  ///< Withdrawals of keys may be unknown.
  kNameUnknown,   ///< The route or key may be newer than the state.
  kRatesUnknown,  ///< No core VM has ever sent limits.
};

std::string_view NameOf(state_wait_reason reason);

/// What the VM knows of the fleet. Time points are the epoch if there was no such event.
struct state_knowledge {
  steady_time fresh_at{};    ///< As of which policy and roster are known to be complete.
  steady_time replied_at{};  ///< Last reply of a core VM.
  bool is_recent = false;    ///< The state is young enough for every decision of admission.
};

/// A request that is waiting or asks to.
struct state_waiter {
  static constexpr std::uint32_t kLowestPriority = std::numeric_limits<std::uint32_t>::max();

  /// Empty once the state that it needs has arrived.
  std::optional<state_wait_reason> reason;
  steady_time deadline;
  /// Time from the start of the first attempt to the response; empty if the route is unknown.
  std::optional<std::chrono::milliseconds> response_time;
  std::uint32_t workspace_priority = kLowestPriority;  ///< 0 is served first.
  std::uint32_t route_priority = kLowestPriority;
};

/// One per entry VM. Not thread safe.
class state_wait {
 public:
  using waiter_id = std::uint64_t;  ///< In the order of arrival; never 0.

  /// `lease`: how long a VM without contact to core VMs serves requests with a key. `started`: when
  /// the process started.
  state_wait(state_wait_settings settings,
             std::chrono::milliseconds lease,
             const buffer_budget& buffers,
             steady_time started);

  bool IsEnabled() const { return settings_.max_requests > 0; }
  /// Must be called before each decision, and at least every 100 ms: a longer pause is taken for
  /// one of the process, which says nothing about the core VMs.
  void Update(const state_knowledge& known, steady_time now);

  /// Returns when the state is expected, which is later the longer it has been missing.
  steady_time ExpectedArrival(state_wait_reason reason, steady_time now) const;
  /// Returns the time after which a refused caller should return.
  std::chrono::milliseconds ReturnTime(steady_time now) const;

  /// Lets the request wait if the state is expected early enough for a response before its deadline
  /// and the number and bytes of the waiting requests permit it.
  std::optional<waiter_id> TryStart(const state_waiter& waiter, steady_time now);
  /// Replaces what is known of a waiting request.
  void Renew(waiter_id id, const state_waiter& waiter);
  void End(waiter_id id) { waiters_.erase(id); }
  std::size_t Size() const { return waiters_.size(); }

  /// Waiting requests that cannot be expected to be answered in time any more.
  std::vector<waiter_id> Late(steady_time now) const;
  /// Waiting requests whose state has arrived, in the order of admission: by priority of the
  /// workspace, priority of the route, and arrival.
  std::vector<waiter_id> Ready() const;

 private:
  bool IsCutOff(steady_time now) const;
  bool IsInTime(const state_waiter& waiter, steady_time now) const;
  steady_time GapStart(state_wait_reason reason) const;
  std::chrono::milliseconds LikelyGap(state_wait_reason reason) const;

  const state_wait_settings settings_;
  const std::chrono::milliseconds lease_;
  const buffer_budget& buffers_;
  /// When the process started, or when it last went on after a pause.
  steady_time running_since_;
  steady_time last_update_;
  state_knowledge known_;
  bool is_in_gap_ = true;
  answer_time gaps_;  ///< Durations of earlier gaps.
  bool has_gaps_ = false;
  std::map<waiter_id, state_waiter> waiters_;
  waiter_id last_id_ = 0;
};

}  // namespace corianderhoist
