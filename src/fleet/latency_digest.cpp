#include "fleet/latency_digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kBucketsPerDoubling = 4;
constexpr milliseconds kHalvingInterval(10'000);
constexpr milliseconds kPublicationInterval(1000);
constexpr milliseconds kMaxDigestAge(30'000);
// With fewer responses the 95th percentile is set by the slowest few of them.
constexpr double kMinResponses = 100;
// Hysteresis, in buckets: a quantile between two buckets does not change with every sample.
constexpr double kMinQuantileChange = 0.75;

// Position of the quantile in buckets, such that a time of 2^(p/4) ms has the position p.
double PositionOf(double quantile, const std::array<double, kLatencyBuckets>& counts) {
  double total = 0;
  for (const double count : counts) {
    total += count;
  }
  double rest = quantile * total;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0 && rest <= counts[i]) {
      return std::max(0.0, static_cast<double>(i) - 1 + rest / counts[i]);
    }
    rest -= counts[i];
  }
  return static_cast<double>(kLatencyBuckets - 1);
}

void AddTo(latency_counts& to, std::uint32_t bucket, std::uint64_t count) {
  const auto found = std::find_if(to.buckets.begin(), to.buckets.end(),
                                  [&](const bucket_count& each) { return each.bucket == bucket; });
  if (found == to.buckets.end()) {
    to.buckets.push_back({bucket, count});
  } else {
    found->count += count;
  }
}

latency_counts& CountsOf(std::vector<latency_counts>& counts, const std::string& service) {
  const auto found = std::find_if(counts.begin(), counts.end(), [&](const latency_counts& each) {
    return each.service == service;
  });
  return found != counts.end() ? *found : counts.emplace_back(latency_counts{service, {}});
}

}  // namespace

std::uint32_t LatencyBucketOf(std::chrono::nanoseconds taken) {
  const double time_ms = std::chrono::duration<double, std::milli>(taken).count();
  if (time_ms <= 1) {
    return 0;
  }
  const double position = std::ceil(kBucketsPerDoubling * std::log2(time_ms));
  return static_cast<std::uint32_t>(std::min(position, static_cast<double>(kLatencyBuckets - 1)));
}

void CountLatency(std::vector<latency_counts>& counts,
                  const std::string& service,
                  std::chrono::nanoseconds taken) {
  AddTo(CountsOf(counts, service), LatencyBucketOf(taken), 1);
}

void MergeLatencies(std::vector<latency_counts>& to, const std::vector<latency_counts>& from) {
  for (const latency_counts& each : from) {
    latency_counts& merged = CountsOf(to, each.service);
    for (const bucket_count& note : each.buckets) {
      AddTo(merged, note.bucket, note.count);
    }
  }
}

microseconds TimeExceededBy(double share, const service_digest& digest) {
  if (digest.quantiles.size() != kDigestShares.size()) {
    return microseconds(0);
  }
  const double wanted = std::clamp(share, kDigestShares.back(), kDigestShares.front());
  std::size_t i = 1;
  while (i + 1 < kDigestShares.size() && wanted < kDigestShares[i]) {
    ++i;
  }
  const double part =
      std::log(kDigestShares[i - 1] / wanted) / std::log(kDigestShares[i - 1] / kDigestShares[i]);
  const double position = digest.quantiles[i - 1] +
                          part * (double(digest.quantiles[i]) - double(digest.quantiles[i - 1]));
  const double bounded = std::clamp(position, 0.0, static_cast<double>(kLatencyBuckets - 1));
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double, std::milli>(std::exp2(bounded / kBucketsPerDoubling)));
}

// ---- latency_pool ----

void latency_pool::Add(const std::vector<latency_counts>& counts, steady_time now) {
  for (const latency_counts& each : counts) {
    // `Publish` drops the least used services; until then a few more are counted.
    if (services_.size() >= 2 * kMaxDigestServices && !services_.contains(each.service)) {
      continue;
    }
    histogram& entry = services_[each.service];
    entry.added_at = now;
    for (const bucket_count& note : each.buckets) {
      const auto bucket = std::min<std::size_t>(note.bucket, kLatencyBuckets - 1);
      entry.counts[bucket] += static_cast<double>(note.count);
      entry.total += static_cast<double>(note.count);
    }
  }
}

void latency_pool::Halve(steady_time now) {
  if (now - halved_at_ < kHalvingInterval) {
    return;
  }
  const auto intervals = (now - halved_at_) / kHalvingInterval;
  halved_at_ += intervals * kHalvingInterval;
  const double factor = std::exp2(-static_cast<double>(intervals));
  for (auto& [service, entry] : services_) {
    entry.total *= factor;
    for (double& count : entry.counts) {
      count *= factor;
    }
  }
}

void latency_pool::DropUnused(steady_time now) {
  std::erase_if(services_,
                [&](const auto& item) { return now - item.second.added_at > kMaxDigestAge; });
  while (services_.size() > kMaxDigestServices) {
    services_.erase(std::min_element(
        services_.begin(), services_.end(),
        [](const auto& a, const auto& b) { return a.second.total < b.second.total; }));
  }
}

void latency_pool::RefreshQuantiles(histogram& entry) {
  if (entry.total < kMinResponses) {
    entry.published.clear();
    return;
  }
  const bool is_new = entry.published.empty();
  entry.published.resize(kDigestShares.size());
  for (std::size_t i = 0; i < kDigestShares.size(); ++i) {
    const double position = PositionOf(1 - kDigestShares[i], entry.counts);
    if (is_new || std::abs(position - entry.published[i]) > kMinQuantileChange) {
      entry.published[i] = static_cast<std::uint32_t>(std::lround(position));
    }
  }
}

const std::vector<service_digest>& latency_pool::Publish(steady_time now) {
  if (now < next_publication_) {
    return published_;
  }
  next_publication_ = now + kPublicationInterval;
  Halve(now);
  DropUnused(now);
  published_.clear();
  for (auto& [service, entry] : services_) {
    RefreshQuantiles(entry);
    if (!entry.published.empty()) {
      published_.push_back({service, entry.published});
    }
  }
  return published_;
}

// ---- latency_digests ----

void latency_digests::Confirm(const std::vector<service_digest>& published, steady_time as_of) {
  for (const service_digest& digest : published) {
    known_digest& known = services_[digest.service];
    known.digest = digest;
    known.as_of = std::max(known.as_of, as_of);
  }
  std::erase_if(services_,
                [&](const auto& item) { return as_of - item.second.as_of > kMaxDigestAge; });
}

const latency_digests::known_digest* latency_digests::Find(const std::string& service,
                                                           steady_time now) const {
  const auto found = services_.find(service);
  const bool is_recent = found != services_.end() && now - found->second.as_of <= kMaxDigestAge;
  return is_recent ? &found->second : nullptr;
}

}  // namespace corianderhoist
