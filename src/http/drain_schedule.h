/// Decides during a graceful shutdown of an entry VM which requests are still sent to an upstream,
/// and until when they are answered.
#pragma once

#include "base/clock.h"
#include "http/answer_time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace corianderhoist {

struct drain_settings {
  /// From the start of the drain until the load balancer has seen that the VM is not ready. It may
  /// go on sending callers afterwards if too few other VMs are ready.
  std::chrono::milliseconds delay{1500};
  /// From the start of the drain until the process ends.
  std::chrono::milliseconds deadline{5500};
};

/// Does no I/O and starts no timers. Before `Begin`, every request may start and no time is
/// limited.
class drain_schedule {
 public:
  explicit drain_schedule(drain_settings settings) : settings_(settings) {}

  void Begin(steady_time now) {
    started_ = now;
    end_ = now + settings_.deadline;
  }
  /// Moves the end of the drain to `now`: no further request may start.
  void End(steady_time now) { end_ = std::min(end_, now); }
  bool HasBegun() const { return started_.has_value(); }
  /// Time since `Begin` at `time`; negative for a time before it and if there is no drain.
  std::chrono::milliseconds ElapsedAt(steady_time time) const;

  /// Whether a request that has not been sent to an upstream may still be sent. `deadline` is that
  /// of the request, `expected` the estimate of its route.
  bool MayStart(steady_time now, steady_time deadline, const answer_estimate& expected) const;
  /// Returns the time until which an upstream may work on a request with this deadline.
  steady_time UpstreamDeadline(steady_time deadline) const;
  /// Returns the time by which a request with this deadline has to be answered.
  steady_time AnswerDeadline(steady_time deadline) const;

  /// Whether idle connections are closed, because callers are expected to be elsewhere.
  bool IsClosingIdleConnections(steady_time now) const;
  /// Whether the process has to end.
  bool IsOver(steady_time now) const;

 private:
  steady_time AnswerEnd() const;
  steady_time UpstreamEnd() const;

  const drain_settings settings_;
  std::optional<steady_time> started_;
  steady_time end_ = steady_time::max();
};

}  // namespace corianderhoist
