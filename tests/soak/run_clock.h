/// Time since the start of a soak run.
#pragma once

#include "base/clock.h"
#include "soak/fault_schedule.h"

namespace corianderhoist::soak {

class run_clock {
 public:
  explicit run_clock(const clock_source& clock) : clock_(clock), start_(clock.Now()) {}
  run_time Now() const { return std::chrono::duration_cast<run_time>(clock_.Now() - start_); }

 private:
  const clock_source& clock_;
  const steady_time start_;
};

}  // namespace corianderhoist::soak
