/// HTTP load generator that measures latency from the intended start of each request.
#pragma once

#include "base/endpoint.h"
#include "experiment/http_client.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// The identity of a caller. No key is sent when `key` is empty.
struct load_workspace {
  std::string name;
  std::string key;
};

struct load_plan {
  std::vector<endpoint> addresses;         ///< Connections are assigned round robin.
  std::vector<load_workspace> workspaces;  ///< Requests are assigned round robin; at least one.
  http_call call;
  /// Requests per second (open loop). With 0, each connection sends its next request after the
  /// previous response (closed loop).
  double rate = 0;
  int connections = 8;
  std::chrono::milliseconds duration{5000};
  std::chrono::milliseconds timeout{10'000};
  bool has_idempotency_keys = false;  ///< Adds a new Idempotency-Key to each request.
};

/// Results of one workspace, or of all workspaces merged.
struct load_result {
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t> ends;  ///< Counts by status or by connection failure.
  /// Of responses with status below 400. In the open loop measured from the intended start, so that
  /// a stall counts for all requests that it delays and not only for those in flight (coordinated
  /// omission).
  std::vector<std::chrono::microseconds> latencies;

  void Merge(const load_result& other);
  std::uint64_t Served() const { return latencies.size(); }
};

using load_results = std::map<std::string, load_result>;  ///< By workspace.

/// Generates the load with one thread per connection. Starts no request after the plan's duration
/// and returns when the last response has arrived.
load_results RunLoad(const load_plan& plan);

/// The quantile `share` in [0, 1] of the latencies, or 0 when there are none.
std::chrono::microseconds Quantile(std::vector<std::chrono::microseconds> latencies, double share);

/// Members `sent`, `served`, `per_second`, `p50_us`, `p99_us`, `p999_us`, `max_us`, `ends`.
QJsonObject ToJson(const load_result& result, std::chrono::milliseconds duration);

}  // namespace corianderhoist
