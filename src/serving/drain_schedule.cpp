#include "serving/drain_schedule.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// The last answer has to reach its caller before the process closes the connection.
constexpr milliseconds kAnswerDeliveryTime(100);
// An upstream reports the end of its time itself, and this answer crosses regions.
constexpr milliseconds kUpstreamAnswerTime(200);

}  // namespace

milliseconds drain_schedule::ElapsedAt(steady_time time) const {
  return started_ ? std::chrono::duration_cast<milliseconds>(time - *started_) : milliseconds(-1);
}

bool drain_schedule::MayStart(steady_time now, steady_time deadline, milliseconds expected) const {
  if (!started_) {
    return true;
  }
  const steady_time end = UpstreamDeadline(steady_time::max());
  if (deadline <= end) {
    return true;
  }
  // The load balancer still sends callers here. The upstream gets less time than the caller allows,
  // which is enough for nearly all requests. Later ones are better served by another VM.
  return !IsClosing(now) && now + expected <= end;
}

steady_time drain_schedule::UpstreamDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, AnswerDeadline(steady_time::max()) - kUpstreamAnswerTime)
                  : deadline;
}

steady_time drain_schedule::AnswerDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, *started_ + settings_.deadline - kAnswerDeliveryTime)
                  : deadline;
}

bool drain_schedule::IsClosing(steady_time now) const {
  return started_ && now >= *started_ + settings_.delay;
}

bool drain_schedule::IsOver(steady_time now) const {
  return started_ && now >= *started_ + settings_.deadline;
}

}  // namespace corianderhoist
