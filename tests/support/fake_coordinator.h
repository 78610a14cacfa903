/// A fake coordinator of one region for tests of entry VMs alone. It decides without queues, rates
/// or records.
#pragma once

#include "control/configuration.h"
#include "coordinator/messages.h"
#include "support/test_certificate_authority.h"
#include "wire/rpc.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace corianderhoist {

/// Serves as the only coordinator of a region. All functions are thread safe.
class fake_coordinator {
 public:
  /// Handles a `coordinator.acquire` request. Returns true if it replies itself, false to use the
  /// default decision.
  using decision = std::function<bool(const acquire_request&, const rpc_callback<acquire_reply>&)>;

  fake_coordinator(test_certificate_authority& keys, std::string region);

  const std::string& Name() const { return name_; }
  std::uint16_t Port() const { return port_; }

  void SetRules(const std::string& rules);
  void SetKey(const std::string& key, const std::string& workspace, bool is_withdrawn = false);
  void SetDecision(decision decide);
  /// Adds an upstream without an announcement, or replaces the announced one of the same name.
  void SetUpstream(announcement upstream);

  std::vector<complete_request> Completes() const;
  std::vector<acquire_request> Acquires() const;
  std::vector<session_request> Sessions() const;
  std::vector<announcement> Announcements() const;

 private:
  using pending_fetch = std::pair<std::uint64_t, rpc_callback<config_fetch_reply>>;

  void OnAcquire(const acquire_request& request, const rpc_callback<acquire_reply>& reply);
  void OnFetch(const config_fetch_request& request, const rpc_callback<config_fetch_reply>& reply);
  void PublishLocked();

  const std::string name_;
  mutable std::mutex lock_;
  config_snapshot snapshot_;
  std::vector<pending_fetch> pending_fetches_;
  std::map<std::string, announcement> upstreams_;
  decision decision_;
  std::vector<complete_request> completes_;
  std::vector<acquire_request> acquires_;
  std::vector<session_request> sessions_;
  std::vector<announcement> announcements_;
  std::uint64_t next_lease_ = 1;
  std::uint16_t port_ = 0;
  rpc_server server_;  // Declared last, because its threads use the members above.
};

}  // namespace corianderhoist
