/// Discrete-event simulation: an event queue with a simulated clock.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace corianderhoist {

/// Runs events in order of time. Events of equal time run in the order of their creation, so that
/// a run is reproducible from its seed. Not thread safe.
class event_queue {
 public:
  steady_time Now() const { return now_; }

  /// Schedules `run` at `delay` from now.
  void After(std::chrono::nanoseconds delay, std::function<void()> run) {
    events_.push({now_ + delay, next_number_++, std::move(run)});
  }

  /// Runs all events up to and including `end` and sets the clock to `end`.
  void RunUntil(steady_time end) {
    while (!events_.empty() && events_.top().time <= end) {
      // `top()` is const; moving from it is safe because the event is popped right after.
      event next = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = next.time;
      next.run();
    }
    now_ = end;
  }

 private:
  struct event {
    steady_time time;
    std::uint64_t number;
    std::function<void()> run;

    bool operator<(const event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  steady_time now_ = steady_time(std::chrono::hours(1));
  std::uint64_t next_number_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace corianderhoist
