/// Chooses the upstream of an attempt from the shared and local records of an entry VM.
#pragma once

#include "serving/serving_context.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace corianderhoist {

/// What decides whether a request can be sent to another upstream if its next attempt fails.
struct repeat_prospect {
  bool is_idempotent = false;
  bool is_repeat = false;           ///< The next attempt is a repeat already.
  std::uint32_t possible_runs = 0;  ///< Attempts that an upstream may have run.
  std::uint32_t allowed_runs = 1;   ///< Of the route.
  bool is_budget_low = false;       ///< The repeat budget of the service is running low.
};

/// Whether a failure of the next attempt is likely to be repaired by a repeat. While the budget is
/// low a repeat is granted rarely: a request that risked its first attempt would end with the
/// failure, and keep the budget low. Answers a burst while upstreams fail.
bool MayFail(const repeat_prospect& prospect);

/// What a request needs of its upstream.
struct upstream_query {
  std::string service;
  const std::set<upstream_handle>* tried = nullptr;  ///< Not to be chosen again; not null.
  bool may_fail = false;  ///< The request can be sent to another upstream if it fails.
  /// The longest time for which a connection may have been idle to be reused.
  std::chrono::milliseconds max_idle_time{};
  double transfer_kilobytes = 0;  ///< Of the request and the expected answer.
};

struct selected_upstream {
  const known_upstream* upstream = nullptr;
  placement_candidate candidate;
  std::size_t candidates = 0;  ///< Upstreams that could have been chosen.
};

/// Returns the upstream with the least expected loss, or nothing if none accepts the request.
/// Upstreams that leave, want no requests or are at their stated limit are passed over.
std::optional<selected_upstream> SelectUpstream(serving_context& context,
                                                const upstream_query& query);

}  // namespace corianderhoist
