/// An entry VM in the test process, with scripted upstreams and a fleet state that the test sets.
#pragma once

#include "base/clock.h"
#include "serving/serving_vm.h"
#include "support/scripted_upstream.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

/// A core VM without a replica group that answers with the fleet state set by the test.
class fake_core {
 public:
  /// `document` is a policy in the platform's form.
  fake_core(std::string document, std::uint64_t version);
  ~fake_core();

  const endpoint& Address() const { return address_; }
  /// Adds an upstream that is ready.
  void AddUpstream(const std::string& id,
                   const std::string& service,
                   std::uint16_t port,
                   const std::string& data_centre = "dc1");
  /// Marks an upstream as draining.
  void Drain(const std::string& id);
  /// Sets the condition of an upstream as derived from the outcomes of all VMs.
  void SetCondition(const std::string& id, upstream_condition condition);
  void SetLimits(shared_limits limits);
  void SetPolicy(std::string document, std::uint64_t version);
  /// Sets the core VMs that are named to entry VMs.
  void SetCores(std::vector<std::string> addresses);
  void SetDataCentre(const std::string& data_centre);
  std::size_t WatchCalls() const { return watch_calls_; }
  /// The number of watch requests that are held until there is a state.
  std::size_t AwaitingCalls() const { return awaiting_calls_; }
  /// Removes the policy, as in a core VM that has no leader yet: calls that await a state are held
  /// until `SetPolicy` or the end of their hold.
  void RemovePolicy();
  /// Whether the limits are reliable; true at first.
  void SetCounting(bool is_counting) { is_counting_ = is_counting; }
  /// Stops or resumes answering watch requests.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }
  observations ReportedObservations() const;

 private:
  void Answer(const watch_request& request, const rpc_callback<watch_reply>& respond);
  void Respond(const watch_request& request,
               steady_time arrived,
               const rpc_callback<watch_reply>& respond);
  bool MustAwait(const watch_request& request) const;

  mutable std::mutex lock_;
  fleet_changes state_;
  shared_limits limits_;
  std::uint64_t limits_revision_ = 1;
  std::vector<upstream_condition> conditions_;
  std::uint64_t conditions_revision_ = 0;
  observations observations_;
  std::vector<std::string> cores_;
  std::string data_centre_;
  std::atomic<bool> is_silent_ = false;
  std::atomic<bool> is_counting_ = true;
  std::atomic<std::size_t> watch_calls_ = 0;
  std::atomic<std::size_t> awaiting_calls_ = 0;
  endpoint address_;
  rpc_server server_{nullptr, 1};
  io_loop loop_{"fake core"};  ///< Destroyed before the server, which its tasks reference.
};

/// The answer that a caller receives.
struct caller_answer {
  int status = 0;  ///< 0: no complete answer was received.
  std::string head;
  std::string body;
  std::chrono::milliseconds duration{};

  std::string Header(const std::string& name) const;
};

/// The bytes that a caller received until its connection ended.
struct discarded_answer {
  bool has_ended = false;  ///< The connection ended within the timeout.
  std::string first;       ///< The first bytes, enough for the head.
  std::string last;        ///< The last bytes, enough for the end of a chunked body.
  std::size_t bytes = 0;
  std::chrono::milliseconds duration{};
};

/// A caller's connection with blocking reads.
class test_caller {
 public:
  /// With `is_slow_link`, the kernels of both sides buffer few bytes.
  explicit test_caller(std::uint16_t port, bool is_slow_link = false);
  ~test_caller();
  test_caller(const test_caller&) = delete;
  test_caller& operator=(const test_caller&) = delete;

  void Send(const std::string& bytes);
  /// Reads one answer; waits for `timeout` at most.
  caller_answer Receive(std::chrono::milliseconds timeout = std::chrono::seconds(5));
  /// Reads and discards bytes until the connection ends; waits for `timeout` at most.
  discarded_answer Discard(std::chrono::milliseconds timeout);
  /// Returns whether the peer closes the connection within `timeout`.
  bool IsClosed(std::chrono::milliseconds timeout);

 private:
  bool ReadMore(std::chrono::steady_clock::time_point deadline);

  int descriptor_ = -1;
  std::string buffer_;
};

/// A request with host, attempt id, deadline and API key.
struct caller_request {
  std::string method = "GET";
  std::string path = "/safe/1";
  std::string id = "id1";
  std::string key = "key-a";
  int deadline_ms = 3000;
  std::string more_headers;
  std::string body;

  std::string Bytes() const;
};

/// Owns the entry VM, its core VM and its upstreams.
class serving_fixture {
 public:
  serving_fixture();
  static const std::string& PolicyDocument();

  /// Adds an upstream of the service with a script.
  scripted_upstream& Add(const std::string& id,
                         const std::string& service,
                         std::function<scripted_answer(const scripted_request&)> script,
                         const std::string& data_centre = "dc1");
  /// Starts the VM and waits until it is ready.
  void Start();
  /// Starts the VM with these addresses of core VMs, or else that of `Core`.
  void StartUnready(std::vector<endpoint> seeds = {});
  void WaitUntilReady();
  caller_answer Call(const caller_request& request);
  std::uint16_t Port() const { return port_; }
  fake_core& Core() { return *core_; }
  serving_vm& Vm() { return *vm_; }
  /// Sets the times of a shutdown; call before `Start`.
  void SetDrain(std::chrono::milliseconds delay, std::chrono::milliseconds deadline);
  /// Sets the bytes that the VM may buffer; call before `Start`.
  void SetBufferBytes(std::size_t bytes) { buffer_bytes_ = bytes; }
  /// Sets the number of requests that may wait for the state; call before `Start`.
  void SetMaxWaiting(std::size_t count) { max_waiting_ = count; }
  /// The number of requests that wait for the state now.
  std::size_t Waiting();
  /// Turns hedging on; call before `Start`.
  void SetHedging(hedge_settings hedging) { hedging_ = std::move(hedging); }
  /// Sets how many requests may wait for capacity; call before `Start`.
  void SetQueue(std::size_t max_requests) { max_waiting_requests_ = max_requests; }
  /// The bytes that the VM buffers now.
  std::size_t BufferedBytes();
  /// Starts the shutdown of the VM and returns once it has ended and the VM is destroyed, as at the
  /// end of its process. Returns the time that this took.
  std::chrono::milliseconds Stop();

 private:
  std::unique_ptr<fake_core> core_;
  std::vector<std::unique_ptr<scripted_upstream>> upstreams_;
  std::unique_ptr<serving_vm> vm_;
  std::uint16_t port_ = 0;
  std::chrono::milliseconds drain_delay_{200};
  std::chrono::milliseconds drain_deadline_{3000};
  std::size_t buffer_bytes_ = serving_settings().buffer_bytes;
  std::size_t max_waiting_ = 0;
  hedge_settings hedging_;
  std::size_t max_waiting_requests_ = 0;
};

}  // namespace corianderhoist
