/// Requests under way per upstream, summed over the VMs that report them.
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

/// Each reporter names absolute numbers; those of a reporter that falls silent lapse. Not thread
/// safe.
class load_table {
 public:
  /// Takes what `reporter` says; returns the upstreams whose sum has changed.
  std::vector<upstream_handle> Take(const std::string& reporter,
                                    const std::vector<load_note>& loads,
                                    steady_time now);
  /// Drops reporters that have said nothing for `silence`; returns the upstreams whose sum has
  /// changed.
  std::vector<upstream_handle> Expire(std::chrono::milliseconds silence, steady_time now);
  /// Notes that `reporter` is alive.
  void Touch(const std::string& reporter, steady_time now);
  std::uint32_t Sum(upstream_handle upstream) const;

 private:
  struct reported {
    std::map<upstream_handle, std::uint32_t> loads;
    steady_time at;
  };
  std::map<std::string, reported> reporters_;
  std::map<upstream_handle, std::uint32_t> sums_;
};

}  // namespace corianderhoist
