/// Runs entry VMs and simulated upstreams as real processes, with an in-process coordinator.
#pragma once

#include "experiment/http_client.h"
#include "support/child_process.h"
#include "support/fake_coordinator.h"
#include "support/test_certificate_authority.h"

#include <QJsonObject>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

/// Parameters of `entry_fixture`.
struct entry_options {
  int upstreams = 1;
  int service_ms = 1;
  int entries = 1;
  QJsonObject settings;  ///< Merged into the settings of each entry VM.
};

/// Entry VMs and upstreams of service `orders`. GET and POST below /orders need `kKey`, the key of
/// workspace `shop`; GET below /open needs no key. Each route has a timeout of 3 s. POST runs
/// once; GET is idempotent.
class entry_fixture {
 public:
  static constexpr const char* kKey = "test-key-0123456789abcdef0123456789abcdef";

  explicit entry_fixture(entry_options options = {});

  fake_coordinator& Region() { return region_; }
  child_process& Entry(std::size_t index = 0) { return *entries_.at(index); }
  child_process& Upstream(std::size_t index = 0) { return *upstreams_.at(index); }
  endpoint CallerAddress(std::size_t index = 0);
  endpoint AnnouncementAddress(std::size_t index = 0);
  QJsonObject State(std::size_t index = 0);

  http_reply Call(const http_call& call, std::size_t entry = 0);
  /// Sends a call with `kKey`, and with the idempotency key if it is not empty.
  http_reply Get(const std::string& target);
  http_reply Post(const std::string& target,
                  const std::string& body,
                  const std::string& idempotency_key = {},
                  std::size_t entry = 0);

  /// Sends raw bytes on a new connection and returns all received bytes once the connection closes
  /// or `timeout` expires.
  std::string SendRaw(const std::string& bytes,
                      std::chrono::milliseconds timeout = std::chrono::seconds(10));

  void SetFaults(const std::string& json, std::size_t upstream = 0);
  QJsonObject Executions(std::size_t upstream = 0);
  /// Returns the number of requests executed by all upstreams.
  int TotalExecutions();
  /// Waits until the coordinator has received `count` outcomes and returns all of them.
  std::vector<complete_request> WaitForCompletes(std::size_t count);

 private:
  void AddEntry(int number, const entry_options& options);
  void AddUpstream(int number, const entry_options& options);

  test_certificate_authority keys_;
  fake_coordinator region_;
  std::vector<std::unique_ptr<child_process>> entries_;
  std::vector<std::unique_ptr<child_process>> upstreams_;
};

}  // namespace corianderhoist
