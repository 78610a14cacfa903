#include "serving/state_wait.h"

#include <algorithm>
#include <tuple>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Two election timeouts of the core VMs.
constexpr milliseconds kFirstGapEstimate(1400);
// A watch call of an entry VM is answered within this time.
constexpr milliseconds kWatchInterval(400);
// Updates come every 100 ms; a process that misses several of them was frozen or starved.
constexpr milliseconds kMaxUpdateInterval(500);
// Of a route that is unknown, and the least that a request needs when its state has arrived.
constexpr milliseconds kMinResponseTime(500);
constexpr milliseconds kMinReturnTime(200);
// Between two steps of the estimate the expected time falls; callers of a long gap return rarely.
constexpr int kWaitedPerReturnTime = 4;
// Other VMs may serve the caller sooner than this one.
constexpr milliseconds kMaxReturnTime(5000);

}  // namespace

std::string_view NameOf(state_wait_reason reason) {
  switch (reason) {
    case state_wait_reason::kNoPolicy:
      return "no_policy";
    case state_wait_reason::kLeaseExpired:
      return "lease_expired";
    case state_wait_reason::kNameUnknown:
      return "name_unknown";
    case state_wait_reason::kRatesUnknown:
      return "rates_unknown";
  }
  return "unknown";
}

state_wait::state_wait(state_wait_settings settings,
                       milliseconds lease,
                       const buffer_budget& buffers,
                       steady_time started)
    : settings_(settings),
      lease_(lease),
      buffers_(buffers),
      running_since_(started),
      last_update_(started) {}

void state_wait::Update(const state_knowledge& known, steady_time now) {
  if (now - last_update_ > kMaxUpdateInterval) {
    running_since_ = now;
  }
  last_update_ = now;
  const bool was_in_gap = is_in_gap_;
  const steady_time gap_start = GapStart(state_wait_reason::kNoPolicy);
  known_ = known;
  is_in_gap_ = !known.is_recent;
  if (was_in_gap && !is_in_gap_) {
    // The VM holds no requests in a gap that is longer than its lease, so longer ones all count as
    // that.
    gaps_.Add(std::min(duration_cast<milliseconds>(now - gap_start), lease_));
    has_gaps_ = true;
  }
}

// While the state ages, the gap has lasted since the state was last known to be complete.
steady_time state_wait::GapStart(state_wait_reason reason) const {
  return reason == state_wait_reason::kRatesUnknown ? running_since_
                                                    : std::max(running_since_, known_.fresh_at);
}

// The rates are missing only once in a process, so earlier gaps say nothing about them.
milliseconds state_wait::LikelyGap(state_wait_reason reason) const {
  return has_gaps_ && reason != state_wait_reason::kRatesUnknown
             ? std::max(gaps_.Estimate(lease_, lease_).likely, kWatchInterval)
             : kFirstGapEstimate;
}

// The estimate grows in steps, so that callers with short deadlines are refused early while those
// with long ones go on to wait.
steady_time state_wait::ExpectedArrival(state_wait_reason reason, steady_time now) const {
  const steady_time start = GapStart(reason);
  const auto waited = duration_cast<milliseconds>(now - start);
  milliseconds expected = LikelyGap(reason);
  while (expected <= waited) {
    expected += expected / 2;
  }
  return std::max(start + expected, now + kWatchInterval);
}

milliseconds state_wait::ReturnTime(steady_time now) const {
  const auto reason = state_wait_reason::kNoPolicy;
  const auto expected = std::chrono::ceil<milliseconds>(ExpectedArrival(reason, now) - now);
  const auto waited = duration_cast<milliseconds>(now - GapStart(reason));
  return std::clamp(std::max(expected, waited / kWaitedPerReturnTime), kMinReturnTime,
                    kMaxReturnTime);
}

// Nothing suggests that the state of such a VM will come.
bool state_wait::IsCutOff(steady_time now) const {
  return now - std::max(running_since_, known_.replied_at) > lease_;
}

bool state_wait::IsInTime(const state_waiter& waiter, steady_time now) const {
  const milliseconds response_time = waiter.response_time.value_or(kMinResponseTime);
  if (!waiter.reason) {
    return now + std::min(response_time, kMinResponseTime) <= waiter.deadline;
  }
  return !IsCutOff(now) && ExpectedArrival(*waiter.reason, now) + response_time <= waiter.deadline;
}

std::optional<state_wait::waiter_id> state_wait::TryStart(const state_waiter& waiter,
                                                          steady_time now) {
  if (waiters_.size() >= settings_.max_requests || buffers_.IsLow() || !IsInTime(waiter, now)) {
    return std::nullopt;
  }
  waiters_.emplace(++last_id_, waiter);
  return last_id_;
}

void state_wait::Renew(waiter_id id, const state_waiter& waiter) {
  if (const auto found = waiters_.find(id); found != waiters_.end()) {
    found->second = waiter;
  }
}

std::vector<state_wait::waiter_id> state_wait::Late(steady_time now) const {
  std::vector<waiter_id> late;
  for (const auto& [id, waiter] : waiters_) {
    if (!IsInTime(waiter, now)) {
      late.push_back(id);
    }
  }
  return late;
}

std::vector<state_wait::waiter_id> state_wait::Ready() const {
  std::vector<waiter_id> ready;
  for (const auto& [id, waiter] : waiters_) {
    if (!waiter.reason) {
      ready.push_back(id);
    }
  }
  const auto rank = [this](waiter_id id) {
    const state_waiter& waiter = waiters_.at(id);
    return std::tuple(waiter.workspace_priority, waiter.route_priority, id);
  };
  std::sort(ready.begin(), ready.end(),
            [&](waiter_id left, waiter_id right) { return rank(left) < rank(right); });
  return ready;
}

}  // namespace corianderhoist
