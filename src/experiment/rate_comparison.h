/// Three ways to keep a workspace's rate over many entry VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class rate_scheme {
  kFixedShares,     ///< Each VM holds rate / VMs and burst / VMs, at least one token.
  kGrantsByDemand,  ///< A VM without a token asks the owner for a grant that lapses after 1 s.
  kAskTheOwner,     ///< The owner decides on each request; it may wait up to 50 ms.
};

std::string SchemeName(rate_scheme scheme);

struct rate_measure {
  rate_scheme scheme = rate_scheme::kFixedShares;
  int entry_vms = 0;
  double refused = 0;        ///< Share of the requests within rate that were refused.
  double worst_refused = 0;  ///< The same, of the workspace with the highest share.
  /// Windows, begun at any admission, in which more than rate x time + burst was admitted.
  std::uint64_t violations = 0;
  double messages_per_request = 0;  ///< Between VMs and owners; a call and its answer count two.
};

/// 8 workspaces of which 2 are large, 60 s, each sending 80 % of its rate over a few connections
/// per VM that are spread at random. The owner's side is the coordinator's `rate_bucket`.
rate_measure CompareRate(rate_scheme scheme, int entry_vms, std::uint32_t seed);

/// All schemes over 32 and 44 entry VMs.
std::vector<rate_measure> CompareRates(std::uint32_t seed);

}  // namespace corianderhoist
