/// State shared by the requests of an entry VM.
#pragma once

#include "base/clock.h"
#include "entry/coordinator_client.h"
#include "entry/entry_settings.h"
#include "entry/lease_registry.h"
#include "entry/retry_budget.h"
#include "http/answer_time.h"
#include "http/drain_schedule.h"
#include "routing/router.h"
#include "upstream/upstream_connection_pool.h"
#include "wire/io_loop.h"
#include "wire/tls_identity.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

class proxied_request;

/// State shared by all threads of the process. Thread safe.
struct entry_context {
  const clock_source& clock = SystemClock();
  entry_settings settings;
  std::string session;  ///< Session id; identifies this incarnation of the entry VM.
  std::shared_ptr<tls_identity> identity;
  router routes;
  lease_registry leases;
  idle_connection_quota idle_connections;
  retry_budget retries;
  std::atomic<std::size_t> active_request_count = 0;  ///< Requests that are not answered yet.
  std::atomic<std::size_t> pending_completes =
      0;  ///< Reports not yet acknowledged by a coordinator.
};

/// State of one thread. Created, used and destroyed on the thread of its loop.
struct entry_worker {
  entry_worker(io_loop& own_loop, entry_context& shared)
      : loop(own_loop),
        context(shared),
        drain({shared.settings.drain_delay, shared.settings.drain_deadline}),
        pool(shared.idle_connections, shared.clock) {
    for (const coordinator_group& group : shared.settings.coordinators) {
      coordinators.emplace(group.region, std::make_unique<coordinator_client>(
                                             own_loop, shared.identity, group, shared.clock));
    }
  }

  /// Returns null for a region without coordinators in the settings.
  coordinator_client* FindCoordinator(const std::string& region) {
    const auto found = coordinators.find(region);
    return found == coordinators.end() ? nullptr : found->second.get();
  }

  /// Returns a copy, because a request may end while the others are visited.
  std::vector<std::shared_ptr<proxied_request>> ActiveRequests() const {
    std::vector<std::shared_ptr<proxied_request>> requests;
    for (const auto& [key, request] : active_requests) {
      requests.push_back(request);
    }
    return requests;
  }

  io_loop& loop;
  entry_context& context;
  drain_schedule drain;
  std::map<std::string, answer_time> answer_times;  ///< By route id.
  upstream_connection_pool pool;
  std::map<std::string, std::unique_ptr<coordinator_client>> coordinators;
  std::unordered_map<proxied_request*, std::shared_ptr<proxied_request>> active_requests;
};

}  // namespace corianderhoist
