/// Checks the promises of the users' platform from what callers, upstreams and the operator see.
#pragma once

#include "soak/fault_schedule.h"

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist::soak {

/// Values of the rules that the platform hands to its processes.
struct promised_bounds {
  run_time stable_window{4000};
  run_time drain{2500};
  run_time grace{6000};
  run_time policy{2500};
  run_time withdrawal{5000};
};

/// A request whose last byte a caller has sent.
struct sent_request {
  std::string attempt;
  run_time at{};
  std::size_t entry = 0;
  bool is_unsafe = false;
  std::string key;
  run_time time_limit{};
};

/// A request that an upstream has begun to run.
struct upstream_run {
  std::string attempt;
  run_time at{};
  std::string upstream;
  int status = 0;
  std::string signature;
  std::string body;
  run_time work{};       ///< Time until its answer is written.
  bool is_sound = true;  ///< Whether the upstream writes the answer in full and nothing else.
  std::string fault;     ///< What is wrong with the request as received; empty if nothing is.
};

/// What a caller received for a request.
struct caller_outcome {
  std::string attempt;
  run_time at{};
  int status = 0;  ///< 0: no answer.
  bool is_complete = false;
  bool has_timed_out = false;  ///< The caller closed the connection itself.
  std::string echoed_attempt;
  std::string signature;
  std::string body;
};

struct fault_record {
  fault_kind kind{};
  std::size_t target = 0;
  std::string name;  ///< Of the process or upstream.
  run_time begin{};
  std::optional<run_time> end;
};

struct finding {
  run_time at{};
  std::string rule;
  std::string detail;
};

/// Members may be called from any thread. A broken promise is reported once, when the last fact
/// that proves it arrives.
class judge {
 public:
  explicit judge(promised_bounds bounds, std::function<void(const finding&)> report = {});

  std::size_t BeginFault(fault_record fault);
  void EndFault(std::size_t fault, run_time at);

  void Sent(const sent_request& request);
  void Ran(const upstream_run& run);
  void Ended(const caller_outcome& outcome);
  /// A caller read bytes on a connection with no request waiting.
  void ReceivedUnasked(run_time at, std::size_t entry, const std::string& bytes);

  void AcknowledgedLeaving(const std::string& upstream, run_time at);
  /// A change that withdraws `key` is sent; it may be in force from now on.
  void SentWithdrawal(const std::string& key);
  void AcknowledgedChange(std::int64_t version,
                          run_time at,
                          const std::optional<std::string>& withdrawn_key,
                          const std::optional<std::string>& added_key = {});
  /// `sent` is when the read was sent; `is_as_sent` says whether the content is that of `version`.
  void ReadConfiguration(std::int64_t version, run_time sent, run_time at, bool is_as_sent);
  /// The configuration could not be read after the last fault.
  void LostConfiguration(run_time at);
  void ProcessEnded(const std::string& process, run_time at, const std::string& how);

  std::vector<finding> Findings() const;
  std::vector<fault_record> Faults() const;
  /// Counts of requests, runs and outcomes, one per line.
  std::string Summary() const;

 private:
  struct request_record {
    std::optional<sent_request> sent;
    std::vector<upstream_run> runs;
    std::optional<caller_outcome> outcome;
    bool is_lost = false;
  };

  void Report(run_time at, const std::string& rule, const std::string& detail);
  void JudgeAnswer(const request_record& record);
  void JudgeRefusal(const request_record& record, run_time at);
  void JudgeLoss(request_record& record, run_time at);
  void JudgeLeft(const request_record& record, const upstream_run& run);
  bool IsAllowedByAll(const sent_request& request) const;
  bool HasUnplannedFault(run_time begin, run_time end) const;
  bool IsInTouch(std::size_t entry, const std::string& upstream, run_time at) const;
  /// The latest SIGTERM of the entry VM that precedes `at`, unless its grace has long passed.
  std::optional<run_time> StopAround(std::size_t entry, run_time at) const;

  const promised_bounds bounds_;
  const std::function<void(const finding&)> report_;
  mutable std::mutex lock_;
  std::map<std::string, request_record> requests_;
  std::vector<fault_record> faults_;
  std::vector<finding> findings_;
  std::map<std::string, run_time> left_;
  std::map<std::string, run_time> withdrawn_;
  std::map<std::string, run_time> added_;
  std::set<std::string> withdrawing_;
  std::map<std::int64_t, run_time> acknowledged_;
  std::map<int, int> statuses_;
  std::map<std::size_t, int> calm_losses_;
  int refused_proper_ = 0;
  int timeouts_ = 0;
};

}  // namespace corianderhoist::soak
