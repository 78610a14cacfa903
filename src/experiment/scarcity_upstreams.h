/// Simulated upstreams for the comparison of what entry VMs do without capacity.
#pragma once

#include "experiment/event_queue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace corianderhoist {

enum class scarcity_outcome : std::uint8_t { kAnswered, kShed, kDropped };

/// An attempt at an upstream.
struct scarcity_attempt {
  /// Whether the VM has given up. An attempt that has not begun is then dropped.
  std::function<bool()> is_given_up;
  std::function<void(scarcity_outcome outcome)> on_end;
};

/// Each upstream runs up to `kSlots` attempts, queues `kQueue` more and sheds others. Response
/// times are log-normal with a mean of 250 ms; the first `kSlowUpstreams` take three times as long.
class scarcity_upstreams {
 public:
  static constexpr std::size_t kUpstreams = 16;
  static constexpr std::size_t kSlowUpstreams = 5;
  static constexpr std::uint32_t kSlots = 4;
  static constexpr std::size_t kQueue = 8;

  scarcity_upstreams(event_queue& events, std::mt19937_64& random);

  /// The attempt is sent; it arrives after the network time, which also an answer takes.
  void Send(std::size_t upstream, scarcity_attempt attempt);
  std::chrono::duration<double> MeanResponse(std::size_t upstream) const {
    return upstreams_[upstream].mean_response;
  }
  /// Attempts that run or are queued, by upstream.
  std::vector<std::uint32_t> Running() const;

 private:
  struct state {
    std::chrono::duration<double> mean_response;
    std::uint32_t busy = 0;
    std::deque<scarcity_attempt> queued;
  };

  void OnArrival(std::size_t upstream, scarcity_attempt attempt);
  void Begin(std::size_t upstream, scarcity_attempt attempt);
  void OnSlotFree(std::size_t upstream);

  event_queue& events_;
  std::mt19937_64& random_;
  std::vector<state> upstreams_;
};

}  // namespace corianderhoist
