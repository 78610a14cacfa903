/// Counters and latency distributions of a process (Boost.Accumulators).
#pragma once

#include <QJsonObject>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace corianderhoist {

/// A monotonically increasing counter. Thread safe.
class counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

/// Count, mean, maximum and estimated quantiles of recorded durations. Thread safe.
class latency_metric {
 public:
  latency_metric();
  ~latency_metric();
  void Add(std::chrono::microseconds value);
  /// Returns `count`, `mean_us`, `max_us`, `p50_us` and `p99_us`; only `count` without samples, no
  /// quantiles with fewer than ten samples.
  QJsonObject Dump() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Registry of all metrics of the process by name. References stay valid for the lifetime of the
/// process, so hot paths can look up a metric once and keep the reference. Thread safe.
class metrics {
 public:
  static metrics& Instance();
  counter& Counter(std::string_view name);
  latency_metric& Latency(std::string_view name);
  QJsonObject Dump() const;

 private:
  mutable std::mutex lock_;
  std::map<std::string, std::unique_ptr<counter>, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<latency_metric>, std::less<>> latencies_;
};

}  // namespace corianderhoist
