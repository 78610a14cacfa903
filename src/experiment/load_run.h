/// Load generation over HTTP with latencies that are measured from the intended start.
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

/// A caller's identity. An empty key sends none.
struct load_workspace {
  std::string name;
  std::string key;
};

struct load_plan {
  std::vector<endpoint> addresses;         ///< Connections are spread over them.
  std::vector<load_workspace> workspaces;  ///< Take turns; at least one.
  http_call call;
  /// Requests per second (open loop), or 0: each connection sends its next request after the answer
  /// (closed loop).
  double rate = 0;
  int connections = 8;
  std::chrono::milliseconds duration{5000};
  std::chrono::milliseconds timeout{10'000};
  bool has_idempotency_keys = false;  ///< Adds a new Idempotency-Key to each request.
};

/// What one workspace, or all of them together, saw.
struct load_result {
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t> ends;  ///< By status, or by failure of the connection.
  /// Of answers below 400. In the open loop from the intended start, so that a stall counts for all
  /// requests that it delays and not only for those that were on their way.
  std::vector<std::chrono::microseconds> latencies;

  void Merge(const load_result& other);
  std::uint64_t Served() const { return latencies.size(); }
};

using load_results = std::map<std::string, load_result>;  ///< By workspace.

/// Runs the load on threads of its own and returns when the plan's duration has passed.
load_results RunLoad(const load_plan& plan);

/// The quantile `share` in [0, 1] of the latencies, 0 without any.
std::chrono::microseconds Quantile(std::vector<std::chrono::microseconds> latencies, double share);

/// Members `sent`, `served`, `per_second`, `p50_us`, `p99_us`, `p999_us`, `max_us`, `ends`.
QJsonObject ToJson(const load_result& result, std::chrono::milliseconds duration);

}  // namespace corianderhoist
