/// Keeps the requests of the fleet to an upstream within the limit that the upstream states.
#pragma once

#include "base/clock.h"
#include "serving/fleet_view.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace corianderhoist {

/// An upstream states how many requests a second it takes from all VMs together. Each VM gets the
/// same part of them without asking the others: a short slot in every period of `active_vms /
/// limit`, at an offset that differs between VMs, in which it may send one request. A slot that is
/// not used ends, so that unused permissions of many VMs do not add up. What VMs hear is shared
/// through the core VMs. Not thread safe.
class upstream_limits {
 public:
  /// `seed` differs between VMs.
  upstream_limits(const fleet_view& view, const clock_source& clock, std::uint64_t seed)
      : view_(view), clock_(clock), seed_(seed) {}

  /// Records an answer of the upstream, with the limit that it states, in requests per 1,000 s.
  /// Returns whether the core VMs have to know.
  bool Note(upstream_handle upstream, std::optional<std::uint64_t> per_kilosecond);
  /// The limit that this VM obeys, in requests per 1,000 s.
  std::optional<std::uint64_t> LimitOf(upstream_handle upstream) const;
  /// Whether a request may be sent to the upstream now.
  bool MaySend(upstream_handle upstream) const;
  /// The same, and uses up the slot if there is a limit.
  bool TakeSlot(upstream_handle upstream);
  /// Time until a request may be sent; zero if it may be sent now.
  std::chrono::milliseconds TimeUntilOpen(upstream_handle upstream) const;
  /// Drops the records of upstreams that are gone.
  void Sweep();

 private:
  struct record {
    std::uint64_t per_kilosecond = 0;  ///< 0: this VM has heard of no limit.
    steady_time heard_at{};
    steady_time sent_at{};  ///< Last request that used a slot.
  };
  struct slot {
    steady_time begins_at;  ///< Of the current or the next one.
    std::chrono::nanoseconds length;
  };

  std::optional<slot> SlotOf(upstream_handle upstream) const;

  const fleet_view& view_;
  const clock_source& clock_;
  const std::uint64_t seed_;
  std::map<upstream_handle, record> records_;
};

}  // namespace corianderhoist
