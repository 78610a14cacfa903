/// An entry VM that admits and forwards requests. It decides locally, from the fleet state that the
/// core VMs send, and reports outcomes to them.
#pragma once

#include "base/clock.h"
#include "http/front_connection.h"
#include "net/tcp_stream.h"
#include "serving/fleet_link.h"
#include "serving/fleet_view.h"
#include "serving/request_flow.h"
#include "wire/io_loop.h"

#include <QJsonObject>
#include <QTimer>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

struct serving_vm_settings {
  endpoint listen;  ///< Address for callers.
  fleet_link_settings link;
  serving_settings serving;
};

/// Serves all requests on one event loop. A VM has at most a fifth of a CPU core, so further
/// threads would only add context switches.
class serving_vm {
 public:
  serving_vm(serving_vm_settings settings, policy_decoder decoder, const clock_source& clock);
  ~serving_vm();
  serving_vm(const serving_vm&) = delete;
  serving_vm& operator=(const serving_vm&) = delete;

  /// Starts listening and returns the port. Fails with `kUnreachable`.
  result<std::uint16_t> Start();
  /// Replaces the seed addresses of the core VMs after a change of the settings.
  void SetSeeds(std::vector<endpoint> seeds);
  /// Whether the load balancer should send callers here. Thread safe.
  bool IsReady() const { return is_ready_; }
  /// Finishes running requests, closes idle connections and then calls `on_stopped` on the loop,
  /// once. Requests that can no longer be finished are refused, so that callers turn to another VM.
  void Drain(std::function<void()> on_stopped);

  io_loop& Loop() { return loop_; }
  /// Returns the state for dumps. Must be called on the loop.
  QJsonObject Dump() const;

 private:
  void Accept(int descriptor);
  void Sweep();
  void UpdateReady();
  void GiveUpSlowCallers();
  void ContinueDrain();
  void FinishDrain();
  front_limits Limits() const;

  const serving_vm_settings settings_;
  const clock_source& clock_;
  std::atomic<bool> is_ready_ = false;

  // Used and destroyed on the thread of `loop_`.
  std::unique_ptr<fleet_view> view_;
  std::unique_ptr<fleet_link> link_;
  std::unique_ptr<serving_context> context_;
  std::unique_ptr<front_context> front_;
  std::unique_ptr<tcp_listener> listener_;
  std::unordered_map<front_connection*, std::shared_ptr<front_connection>> connections_;
  std::unique_ptr<QTimer> sweep_timer_;
  std::function<void()> on_stopped_;
  steady_time next_upstream_sweep_{};
  std::uint64_t connections_while_draining_ = 0;  ///< Accepted after the start of the drain.
  bool has_drained_ = false;

  io_loop loop_;
};

}  // namespace corianderhoist
