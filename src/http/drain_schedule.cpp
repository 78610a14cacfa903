#include "http/drain_schedule.h"

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
  // A request that cannot be finished here is better served by another VM.
  const steady_time end = UpstreamDeadline(steady_time::max());
  return deadline <= end || now + expected <= end;
}

steady_time drain_schedule::UpstreamDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, AnswerDeadline(steady_time::max()) - kUpstreamAnswerTime)
                  : deadline;
}

steady_time drain_schedule::AnswerDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, end_ - kAnswerDeliveryTime) : deadline;
}

bool drain_schedule::IsClosing(steady_time now) const {
  return started_ && now >= *started_ + settings_.delay;
}

bool drain_schedule::IsOver(steady_time now) const {
  return started_ && now >= end_;
}

}  // namespace corianderhoist
