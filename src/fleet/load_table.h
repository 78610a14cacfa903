/// Requests in progress per upstream, summed over the VMs that report them.
#pragma once

#include "base/clock.h"
#include "fleet/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// Reporters send absolute loads and resend unchanged ones periodically. A load that is not resent
/// expires, and so do all loads of a reporter that stops reporting. A lost message therefore cannot
/// leave a stale load that keeps requests away from an upstream. Not thread safe.
class load_table {
 public:
  /// Applies the loads that `reporter` sent; returns the upstreams whose sum has changed.
  std::vector<upstream_handle> Update(const std::string& reporter,
                                      const std::vector<load_report>& loads,
                                      steady_time now);
  /// Removes loads that were not renewed for longer than `silence`, and reporters that sent nothing
  /// for that long; returns the upstreams whose sum has changed.
  std::vector<upstream_handle> Expire(std::chrono::milliseconds silence, steady_time now);
  std::uint32_t Sum(upstream_handle upstream) const;
  const std::map<upstream_handle, std::uint32_t>& Sums() const { return sums_; }

 private:
  struct load {
    std::uint32_t running = 0;
    steady_time renewed_at;
  };
  struct reporter_loads {
    std::map<upstream_handle, load> loads;
    steady_time reported_at;
  };
  std::map<std::string, reporter_loads> reporters_;
  std::map<upstream_handle, std::uint32_t> sums_;
};

/// Tracks the loads last sent to one receiver, which gets changed loads at once and unchanged ones
/// every `kResendInterval`. Not thread safe.
class load_change_tracker {
 public:
  /// Returns the loads to send to the receiver given the current `loads`, and records them as sent.
  std::vector<load_report> Update(const std::map<upstream_handle, std::uint32_t>& loads,
                                  steady_time now);
  /// The load last sent to the receiver, or 0.
  std::uint32_t LastSent(upstream_handle upstream) const;
  void Clear() { sent_.clear(); }

  /// An unchanged load is resent after this time; receivers drop it after three times this.
  static constexpr std::chrono::milliseconds kResendInterval{1000};

 private:
  struct sent_load {
    std::uint32_t running = 0;
    steady_time sent_at;
  };
  std::map<upstream_handle, sent_load> sent_;
};

}  // namespace corianderhoist
