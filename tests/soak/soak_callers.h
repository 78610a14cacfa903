/// Callers of a soak run and the load balancer that spreads their connections.
#pragma once

#include "soak/blocking_http.h"
#include "soak/judge.h"
#include "soak/run_clock.h"
#include "soak/soak_operator.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist::soak {

/// Addresses of an entry VM.
struct entry_addresses {
  endpoint callers;
  endpoint ready;
};

/// Asks each entry VM once a second whether it is ready; two misses take it out of rotation.
class load_balancer {
 public:
  explicit load_balancer(std::vector<entry_addresses> entries);
  ~load_balancer();
  load_balancer(const load_balancer&) = delete;
  load_balancer& operator=(const load_balancer&) = delete;

  /// Number of an entry VM in rotation. All are used when fewer than half are in rotation.
  std::size_t Pick(seeded_numbers& numbers) const;
  bool AreAllReady() const;
  const endpoint& Callers(std::size_t entry) const { return entries_[entry].callers; }

 private:
  void Watch(std::size_t entry);

  const std::vector<entry_addresses> entries_;
  std::vector<std::atomic<int>> misses_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> threads_;
};

/// Each caller has a thread and sends on one connection at a time. It keeps a connection until the
/// VM closes it, also while the VM stops.
class caller_group {
 public:
  caller_group(std::size_t callers,
               std::uint64_t seed,
               const run_clock& clock,
               judge& verdicts,
               const load_balancer& balancer,
               soak_operator& keys);
  /// Waits for the answers to the requests in flight.
  ~caller_group();
  caller_group(const caller_group&) = delete;
  caller_group& operator=(const caller_group&) = delete;

 private:
  class caller;

  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace corianderhoist::soak
