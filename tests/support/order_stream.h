/// Callers that send orders continuously while a test injects faults into the fleet.
#pragma once

#include "support/fleet.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist {

/// Each thread sends orders one after the other. It resends an order with its idempotency key
/// through the next entry VM until the answer is 200 or reports a permanently unknown outcome.
class order_stream {
 public:
  order_stream(fleet& target, std::vector<std::string> entries, std::string key, int threads);
  ~order_stream();
  order_stream(const order_stream&) = delete;
  order_stream& operator=(const order_stream&) = delete;

  /// Waits until `count` orders in total have been answered with 200.
  void AwaitAnswered(int count);
  void Stop();
  /// Describes the first order whose executions contradict its answers; empty when there is none.
  /// No order may run twice, an order answered 200 must have run once, and an order that was only
  /// refused as not run must not have run.
  std::string FindViolation();

 private:
  enum class order_result { kAnswered, kNotRun, kUnknown };

  void SendOrders(int thread);
  order_result SendOne(const std::string& order, std::size_t first_entry);

  fleet& target_;
  const std::vector<endpoint> entries_;
  const std::string key_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> answered_ = 0;
  std::mutex lock_;
  std::map<std::string, order_result> results_;
  std::vector<std::thread> threads_;
};

}  // namespace corianderhoist
