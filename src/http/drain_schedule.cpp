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

bool drain_schedule::MayStart(steady_time now,
                              steady_time deadline,
                              const answer_estimate& expected) const {
  if (!started_) {
    return true;
  }
  // Any other request is better served by another VM. After the delay, few callers should still
  // come.
  const milliseconds time = IsClosingIdleConnections(now) ? expected.nearly_all : expected.likely;
  return deadline <= UpstreamEnd() || now + time <= UpstreamEnd();
}

steady_time drain_schedule::AnswerEnd() const {
  return end_ - kAnswerDeliveryTime;
}

steady_time drain_schedule::UpstreamEnd() const {
  return AnswerEnd() - kUpstreamAnswerTime;
}

steady_time drain_schedule::UpstreamDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, UpstreamEnd()) : deadline;
}

steady_time drain_schedule::AnswerDeadline(steady_time deadline) const {
  return started_ ? std::min(deadline, AnswerEnd()) : deadline;
}

bool drain_schedule::IsClosingIdleConnections(steady_time now) const {
  return started_ && now >= *started_ + settings_.delay;
}

bool drain_schedule::IsOver(steady_time now) const {
  return started_ && now >= end_;
}

}  // namespace corianderhoist
