/// Distribution of the response times of each service, pooled over the entry VMs.
///
/// Entry VMs count response times in buckets of equal ratio, core VMs add the counts and publish a
/// few quantiles of each service, and entry VMs derive the delay of hedged requests from them
/// (`serving/hedge_policy`). Answers a service with a few slow upstreams: one VM sees too few
/// requests to know what is slow. Soft state; a lost report only makes the sample smaller.
#pragma once

#include "base/clock.h"
#include "fleet/messages.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// Buckets of response times: bucket `i` ends at 2^(i/4) ms. The first one holds all up to 1 ms,
/// the last one all from 60 s on.
inline constexpr std::size_t kLatencyBuckets = 65;
/// Services that a core VM publishes; the least used ones are dropped first.
inline constexpr std::size_t kMaxDigestServices = 64;
/// The digest has the quantile (1 - share) for each of these shares of the requests.
inline constexpr std::array<double, 8> kDigestShares{0.2,  0.1,   0.05,  0.02,
                                                     0.01, 0.005, 0.002, 0.001};

/// Index of the bucket that holds `taken`.
std::uint32_t LatencyBucketOf(std::chrono::nanoseconds taken);

/// Adds one response time to the counts of a service.
void CountLatency(std::vector<latency_counts>& counts,
                  const std::string& service,
                  std::chrono::nanoseconds taken);
/// Adds the counts of `from` to those in `to`.
void MergeLatencies(std::vector<latency_counts>& to, const std::vector<latency_counts>& from);

/// The time that a share of the responses exceeds, from 0.001 to 0.2; interpolated between the
/// quantiles of the digest. Zero for a digest of another format.
std::chrono::microseconds TimeExceededBy(double share, const service_digest& digest);

/// Pool of a core VM. Counts lose half of their weight every 10 s. Not thread safe.
class latency_pool {
 public:
  explicit latency_pool(steady_time now) : halved_at_(now) {}

  void Add(const std::vector<latency_counts>& counts, steady_time now);
  /// Returns the digests of the services with at least 100 responses, the newest at most 30 s old.
  /// Changes at most once a second, and only if a quantile has moved by more than a step.
  const std::vector<service_digest>& Publish(steady_time now);

 private:
  struct histogram {
    std::array<double, kLatencyBuckets> counts{};
    double total = 0;
    steady_time added_at{};
    std::vector<std::uint32_t> published;  ///< Quantiles; empty if none are published.
  };

  void Halve(steady_time now);
  void DropUnused(steady_time now);
  static void RefreshQuantiles(histogram& entry);

  std::map<std::string, histogram> services_;
  std::vector<service_digest> published_;
  steady_time halved_at_;
  steady_time next_publication_{};
};

/// The digests that an entry VM has received. Not thread safe.
class latency_digests {
 public:
  struct known_digest {
    service_digest digest;
    steady_time as_of;  ///< When a core VM last confirmed it.
  };

  /// Records what a core VM publishes at `as_of`. A digest that it does not publish stays until it
  /// is too old, since a core VM that has just started has none.
  void Confirm(const std::vector<service_digest>& published, steady_time as_of);
  /// The digest of the service, if a core VM has confirmed it within the last 30 s, or null.
  const known_digest* Find(const std::string& service, steady_time now) const;

 private:
  std::map<std::string, known_digest> services_;
};

}  // namespace corianderhoist
