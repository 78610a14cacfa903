/// The simulated upstream: an HTTP/1.1 server that announces itself, counts the requests that it
/// executes and injects faults on demand.
///
/// Control endpoints; a request to any other path is work:
///   GET  /health             200 while ready, 503 otherwise, or `health_status`
///   GET  /load               {"load": share of slots in use}
///   GET  /_test/executions   {"orders": {id: n}, "paths": {path: n}, "total": n, "shed": n}
///   GET  /_test/headers      {"headers": {name: [values]}}: all headers of work requests
///   POST /_test/faults       members of `ApplyFaults`
///   POST /_test/reset        clears counts and headers
#pragma once

#include "base/endpoint.h"
#include "coordinator/messages.h"
#include "support/upstream_faults.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QTcpServer>
#include <QTimer>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

using upstream_request = boost::beast::http::request<boost::beast::http::string_body>;

/// What the upstream announces and how it serves.
struct upstream_settings {
  announcement announced;  ///< `address`, `incarnation` and `started_at_ms` are filled in.
  std::vector<endpoint> announce_to;
  std::chrono::milliseconds announce_every{1000};
  std::chrono::milliseconds service_time{5};
  std::chrono::milliseconds cold_start{0};  ///< Announced as `starting` for this long.
  /// Time of service after `leaving` is announced; the fleet must stop sending work within 3 s.
  std::chrono::milliseconds drain_grace{3000};
  std::uint32_t seed = 1;
};

/// Must be used on one thread with an event loop.
class simulated_upstream {
 public:
  /// `exit(code)` ends the process: 0 after a drain, 70 on a crash request.
  simulated_upstream(upstream_settings settings, std::function<void(int code)> exit);

  /// Opens the port and returns it, 0 on failure.
  std::uint16_t Listen(const endpoint& address);
  /// Announces `leaving`, finishes running work and then exits with 0.
  void Drain();

  const upstream_faults& Faults() const { return faults_; }
  /// Draws at random, with probability `answer_share`, whether `answer` applies to the request.
  bool DrawAnswerFault();
  /// Whether a request is work, as opposed to a request to a control endpoint.
  static bool IsWork(const upstream_request& request);
  /// Counts an execution and takes a slot. False when the request is shed.
  bool BeginWork(const upstream_request& request);
  void EndWork();
  /// Serializes the answer to a request that `BeginWork` has accepted.
  std::string WorkAnswer(const upstream_request& request);
  std::string ShedAnswer(const upstream_request& request);
  /// Serializes the answer of a control endpoint.
  std::string ControlAnswer(const upstream_request& request);
  std::chrono::milliseconds ServiceTime() const;
  /// Exits when the request has the header `crash_header` or its body contains `crash_body`.
  void CrashIfMarked(const upstream_request& request);

 private:
  void Announce();
  void ExitAfterDrain();
  bool DrawFailure();
  std::string HealthAnswer(const upstream_request& request) const;
  QJsonObject Executions() const;
  QJsonObject SeenHeaders() const;
  void ResetCounts();

  upstream_settings settings_;
  std::function<void(int)> exit_;
  upstream_faults faults_;
  QTcpServer server_;
  QTimer announce_timer_;
  QNetworkAccessManager announcer_;
  std::mt19937 random_;
  std::chrono::steady_clock::time_point started_;
  std::uint32_t running_ = 0;
  std::uint64_t shed_ = 0;
  std::map<std::string, int> orders_;
  std::map<std::string, int> paths_;
  std::map<std::string, std::set<std::string>> headers_;
};

/// Formats an answer with a JSON body.
std::string FormatAnswer(const upstream_request& request,
                         int status,
                         const std::string& body,
                         const std::string& extra_header = {});

}  // namespace corianderhoist
