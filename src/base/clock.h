/// The clock interface, the process clock and a manually advanced clock for tests.
#pragma once

#include <time.h>

#include <chrono>

namespace corianderhoist {

/// Meets the standard Clock requirements on top of CLOCK_BOOTTIME. `std::chrono::steady_clock` does
/// not advance while a machine is suspended, so a holder that measures its lease with it could use
/// the lease after the grantor considers it expired.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
  }
};

using steady_time = boot_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Source of time. Decisions use `Now`, which is monotonic; `WallNow` is for display and expiry
/// dates.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual steady_time Now() const = 0;
  virtual system_time WallNow() const = 0;
};

/// The clocks of this machine.
class process_clock final : public clock_source {
 public:
  steady_time Now() const override { return boot_clock::now(); }
  system_time WallNow() const override { return std::chrono::system_clock::now(); }
};

/// The clocks of this machine, for code without an injected clock, such as transport timers.
inline const clock_source& SystemClock() {
  static const process_clock kClock;
  return kClock;
}

/// A clock that advances only when `Advance` is called. Not thread safe.
class manual_clock final : public clock_source {
 public:
  steady_time Now() const override { return now_; }
  system_time WallNow() const override { return wall_; }

  /// Moves both clocks forward by `step`.
  void Advance(std::chrono::nanoseconds step) {
    now_ += step;
    wall_ += std::chrono::duration_cast<std::chrono::system_clock::duration>(step);
  }
  /// Steps the wall clock forward or backward, like a clock adjustment.
  void JumpWall(std::chrono::nanoseconds step) {
    wall_ += std::chrono::duration_cast<std::chrono::system_clock::duration>(step);
  }

 private:
  steady_time now_ = steady_time(std::chrono::hours(1));
  system_time wall_ = system_time(std::chrono::hours(24 * 365 * 50));
};

}  // namespace corianderhoist
