/// The number of entry VMs with requests waiting for capacity, by service and rank.
///
/// Pure: the time is passed in. Counts are VMs; there are no errors.
///
/// Load that it answers: a burst on many VMs at once, which have to share the free capacity of a
/// service, and VMs that stop or lose contact while their requests wait.
#pragma once

#include "base/clock.h"
#include "fleet/messages.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// Reporters send absolute counts, which expire if they are not renewed. Not thread safe.
class waiting_table {
 public:
  /// Replaces what `reporter` (an entry VM or another core VM) has sent before.
  void Update(const std::string& reporter, std::vector<service_waiting> waiting, steady_time now);
  /// Drops the counts of reporters that sent nothing for longer than `silence`.
  void Expire(std::chrono::milliseconds silence, steady_time now);
  /// Sums over all reporters, in order of the services and ranks.
  std::vector<service_waiting> Sums() const;
  /// The same, rounded up to powers of two and renewed at most every `kMinStepInterval`, so that
  /// entry VMs do not get an answer for each VM that begins or ends to wait.
  const std::vector<service_waiting>& CoarseSums(steady_time now);

  static constexpr std::chrono::milliseconds kMinStepInterval{250};

 private:
  struct reported {
    std::vector<service_waiting> waiting;
    steady_time at;
  };
  std::map<std::string, reported> reporters_;
  std::vector<service_waiting> coarse_;
  steady_time next_step_{};
};

}  // namespace corianderhoist
