/// Compares schemes that enforce the rate limit of a workspace over many entry VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

enum class rate_scheme {
  kFixedShares,     ///< Each VM enforces rate / VMs and burst / VMs, at least one token.
  kGrantsByDemand,  ///< A VM without a token requests a grant from the owner; it expires after 1 s.
  kAskTheOwner,     ///< The owner decides on each request, which may wait up to 50 ms.
};

std::string SchemeName(rate_scheme scheme);

struct rate_measure {
  rate_scheme scheme = rate_scheme::kFixedShares;
  int entry_vms = 0;
  double refused = 0;        ///< Share of the requests within rate that were refused.
  double worst_refused = 0;  ///< The highest such share of any workspace.
  /// Admissions that end a window in which more than rate x time + burst was admitted.
  std::uint64_t violations = 0;
  /// Between VMs and owners; a request and its response count as two.
  double messages_per_request = 0;
};

/// Simulates 8 workspaces, 2 of them large, for 60 s. Each sends 80 % of its rate over connections
/// that are assigned to VMs at random. The owner uses the coordinator's `token_bucket`.
rate_measure MeasureRateScheme(rate_scheme scheme, int entry_vms, std::uint32_t seed);

/// Measures all schemes with 32 and 44 entry VMs.
std::vector<rate_measure> CompareRates(std::uint32_t seed);

}  // namespace corianderhoist
