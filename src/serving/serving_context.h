/// What all requests of an entry VM share: settings, the view of the fleet, and local records.
#pragma once

#include "base/buffer_budget.h"
#include "base/clock.h"
#include "http/answer_time.h"
#include "http/drain_schedule.h"
#include "serving/admission.h"
#include "serving/crash_evidence.h"
#include "serving/fleet_link.h"
#include "serving/fleet_view.h"
#include "serving/hedge_policy.h"
#include "serving/queue_dispatch.h"
#include "serving/repeat_budget.h"
#include "serving/state_wait.h"
#include "serving/transfer_cost.h"
#include "serving/upstream_call.h"
#include "serving/upstream_limits.h"
#include "serving/upstream_statements.h"
#include "serving/upstream_tracker.h"

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace corianderhoist {

/// Names of the header fields of the protocol with callers.
struct caller_header_names {
  std::string attempt_id;   ///< Unique per attempt of the caller; forwarded.
  std::string deadline_ms;  ///< Time for which the caller waits, in milliseconds.
  std::string key;          ///< API key; never forwarded.
};

struct serving_settings {
  std::string vm;
  vm_place place;
  caller_header_names callers;
  upstream_header_names upstreams;
  admission_settings admission;
  repeat_bound repeats;
  hedge_settings hedging;
  cost_range cross_data_centre_cost;  ///< Of traffic with another data centre of the region.
  cost_range cross_region_cost;       ///< Of traffic with another region.
  /// Bytes that the VM may buffer for all callers and upstreams.
  std::size_t buffer_bytes = 64UL << 20U;
  drain_settings drain;
  state_wait_settings state_wait;
  service_queue_settings queues;
};

class request_flow;

/// State shared by all requests of an entry VM. Used on one thread.
struct serving_context {
  serving_context(serving_settings initial_settings,
                  fleet_view& shared_view,
                  fleet_link& shared_link,
                  const clock_source& time);

  const serving_settings settings;
  const clock_source& clock;
  buffer_budget buffers;  ///< Before all that holds bytes of it.
  fleet_view& view;
  fleet_link& link;
  admission admission_control;
  repeat_budget repeats;
  hedge_policy hedges;
  connection_cache connections;
  upstream_tracker tracker;
  upstream_statements statements;
  upstream_limits limits;
  crash_evidence crashes;
  std::mt19937_64 random;
  std::unordered_map<request_flow*, std::shared_ptr<request_flow>> flows;
  /// Requests that have ended while another attempt still runs. They are owned here, since that
  /// attempt uses this context when it ends.
  std::unordered_map<request_flow*, std::shared_ptr<request_flow>> ended_flows;
  std::map<std::string, double> answer_kilobytes;   ///< Moving average, by route.
  std::map<std::string, answer_time> answer_times;  ///< By route.
  std::map<std::string, double> split_positions;    ///< By route; see `ChoosePart`.
  drain_schedule drain;
  state_wait waits;
  std::map<state_wait::waiter_id, std::weak_ptr<request_flow>> waiting_flows;
  queue_dispatch queues;
};

/// Records and logs what an answer says about its upstream.
void NoteStatement(serving_context& context,
                   upstream_handle upstream,
                   const upstream_incarnation& incarnation,
                   const answer_head& head);

/// Counts an attempt that is not sent because of a statement of its upstream.
void NoteKeptAway(serving_context& context, const upstream_incarnation& incarnation);

}  // namespace corianderhoist
