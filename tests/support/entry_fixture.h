/// An entry VM and simulated upstreams as real processes, with a stand-in for the coordinators.
#pragma once

#include "experiment/http_client.h"
#include "support/child_process.h"
#include "support/fake_region.h"
#include "support/test_fleet_keys.h"

#include <QJsonObject>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

/// What the tests vary.
struct entry_options {
  int upstreams = 1;
  int service_ms = 1;
  int entries = 1;
  QJsonObject settings;  ///< Added to the settings of each entry VM.
};

/// Rules: service `orders`; GET and POST below /orders need a key of workspace `shop`, whose text
/// is `kKey`; GET below /open is open; each with a timeout of 3 s. POST runs once, GET is
/// idempotent.
class entry_fixture {
 public:
  static constexpr const char* kKey = "test-key-0123456789abcdef0123456789abcdef";

  explicit entry_fixture(entry_options options = {});

  fake_region& Region() { return region_; }
  child_process& Entry(std::size_t index = 0) { return *entries_.at(index); }
  child_process& Upstream(std::size_t index = 0) { return *upstreams_.at(index); }
  endpoint Callers(std::size_t index = 0);
  endpoint Announcements(std::size_t index = 0);
  QJsonObject State(std::size_t index = 0);

  http_reply Call(const http_call& call, std::size_t entry = 0);
  /// A call with the key, and an idempotency key unless that is empty.
  http_reply Get(const std::string& target);
  http_reply Post(const std::string& target,
                  const std::string& body,
                  const std::string& idempotency_key = {},
                  std::size_t entry = 0);

  /// Sends raw bytes on a connection of its own and returns everything that comes back until the
  /// connection ends or `bound` passes.
  std::string SendRaw(const std::string& bytes,
                      std::chrono::milliseconds bound = std::chrono::seconds(10));

  void SetFaults(const std::string& json, std::size_t upstream = 0);
  QJsonObject Executions(std::size_t upstream = 0);
  /// Sum over all upstreams of the requests that they have executed.
  int TotalExecutions();
  /// Waits until the coordinator has received this many outcomes and returns them.
  std::vector<complete_request> WaitForCompletes(std::size_t count);

 private:
  void AddEntry(int number, const entry_options& options);
  void AddUpstream(int number, const entry_options& options);

  test_fleet_keys keys_;
  fake_region region_;
  std::vector<std::unique_ptr<child_process>> entries_;
  std::vector<std::unique_ptr<child_process>> upstreams_;
};

}  // namespace corianderhoist
