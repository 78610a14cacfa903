/// Callers that send orders without pause while a test breaks the fleet.
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

/// Each thread sends one order after the other, and resends an order with its idempotency key, over
/// the next entry VM, until it is answered 200 or the answer says that the outcome stays unknown.
class order_stream {
 public:
  order_stream(fleet& target, std::vector<std::string> entries, std::string key, int threads);
  ~order_stream();
  order_stream(const order_stream&) = delete;
  order_stream& operator=(const order_stream&) = delete;

  /// Waits until so many orders have been answered with 200 in all.
  void AwaitAnswered(int count);
  void Stop();
  /// A description of the first order whose executions do not fit its answers, empty when all fit:
  /// no order ran twice, an order answered 200 ran once, and one that was only ever refused as not
  /// run did not run.
  std::string FindFault();

 private:
  enum class order_end { kAnswered, kNotRun, kUnknown };

  void Send(int thread);
  order_end SendOne(const std::string& order, std::size_t first_entry);

  fleet& target_;
  const std::vector<endpoint> entries_;
  const std::string key_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> answered_ = 0;
  std::mutex lock_;
  std::map<std::string, order_end> ends_;
  std::vector<std::thread> threads_;
};

}  // namespace corianderhoist
