/// An entry VM that serves under a lease: it decides on its own and reports to the core VMs.
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
  endpoint listen;  ///< For callers.
  fleet_link_settings link;
  serving_settings serving;
  /// Time from the request to stop until open connections are asked to leave; the balancer has
  /// noticed by then.
  std::chrono::milliseconds drain_delay{1500};
  std::chrono::milliseconds drain_deadline{5500};  ///< Until the process ends whatever runs.
};

/// All of it runs on one loop: a VM has a fifth of a core at most, so a second thread would add
/// switches and no time.
class serving_vm {
 public:
  serving_vm(serving_vm_settings settings, policy_decoder decoder, const clock_source& clock);
  ~serving_vm();
  serving_vm(const serving_vm&) = delete;
  serving_vm& operator=(const serving_vm&) = delete;

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Start();
  /// Replaces the addresses of the core VMs, after a change of the settings.
  void SetSeeds(std::vector<endpoint> seeds);
  /// Whether callers should be sent here. Thread safe.
  bool IsReady() const { return is_ready_; }
  /// Ends running requests and idle connections, then calls `on_stopped`, on the loop.
  void Drain(std::function<void()> on_stopped);

  io_loop& Loop() { return loop_; }
  /// State for dumps; must be called on the loop.
  QJsonObject Dump() const;

 private:
  void Accept(int descriptor);
  void Sweep();
  void UpdateReady();
  void PollDrain();
  front_limits Limits() const;

  const serving_vm_settings settings_;
  const clock_source& clock_;
  std::atomic<bool> is_ready_ = false;

  // On the thread of `loop_`, and destroyed there.
  std::unique_ptr<fleet_view> view_;
  std::unique_ptr<fleet_link> link_;
  std::unique_ptr<serving_context> context_;
  std::unique_ptr<front_context> front_;
  std::unique_ptr<tcp_listener> listener_;
  std::unordered_map<front_connection*, std::shared_ptr<front_connection>> connections_;
  std::unique_ptr<QTimer> sweep_timer_;
  std::function<void()> on_stopped_;
  steady_time drain_started_{};
  steady_time next_upstream_sweep_{};
  bool is_draining_ = false;

  io_loop loop_;
};

}  // namespace corianderhoist
