/// Messages between entry VMs and coordinators.
///
/// The home region of a request is the region of its most preferred place. The coordinator there
/// (the home coordinator) admits the request: it checks the key, takes a rate limit token and keeps
/// the idempotency record. A place is a data centre, or a whole region. If no allowed place in the
/// home region has a ready upstream, the home coordinator issues an admission, a string that the
/// entry VM presents to the coordinator of another region.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "base/hash.h"
#include "wire/codec.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Lifecycle state that an upstream announces.
enum class upstream_state { kStarting, kReady, kLeaving };

/// `coordinator.announce`: self-description of an upstream, forwarded by an entry VM.
struct announcement {
  std::string upstream;            ///< Name, unique in the fleet.
  std::string incarnation;         ///< Differs for each start of the upstream.
  std::int64_t started_at_ms = 0;  ///< Unix time of the start; orders incarnations of one name.
  std::string service;
  std::string region;
  std::string data_centre;
  std::string address;  ///< "IP:PORT"
  std::uint32_t slots = 0;
  upstream_state state = upstream_state::kReady;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.upstream);
    visit(2, self.incarnation);
    visit(3, self.started_at_ms);
    visit(4, self.service);
    visit(5, self.region);
    visit(6, self.data_centre);
    visit(7, self.address);
    visit(8, self.slots);
    visit(9, self.state);
  }
};

/// `coordinator.acquire`: requests admission from the home region and a slot from the region of the
/// place. One call does both if the regions are the same.
struct acquire_request {
  std::string request_id;  ///< Unique per request; a repeated call gets the first decision.
  std::string entry_vm;
  std::string session;    ///< Incarnation of the entry VM.
  std::string workspace;  ///< Empty on public routes.
  digest key_hash{};
  std::string route_id;
  std::string service;
  std::vector<std::string> places;  ///< "region" or "region/data_centre", in order of preference.
  std::uint64_t config_version = 0;
  digest fingerprint{};
  std::string idempotency_key;  ///< Empty if the request has none.
  digest body_digest{};         ///< Of method, target and body; compared when the key is reused.
  bool is_idempotent = false;
  std::chrono::milliseconds remaining{};  ///< Time until the request's deadline.
  std::string admission;  ///< From the home coordinator, when this call goes to another region.
  std::vector<std::string> avoid;  ///< Upstreams that this request has already tried.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.request_id);
    visit(2, self.entry_vm);
    visit(3, self.session);
    visit(4, self.workspace);
    visit(5, self.key_hash);
    visit(6, self.route_id);
    visit(7, self.service);
    visit(8, self.places);
    visit(9, self.config_version);
    visit(10, self.fingerprint);
    visit(11, self.idempotency_key);
    visit(12, self.body_digest);
    visit(13, self.is_idempotent);
    visit(14, self.remaining);
    visit(15, self.admission);
    visit(16, self.avoid);
  }
};

/// An upstream's response, stored under an idempotency key for replay.
struct stored_answer {
  int status = 0;
  std::vector<std::string> headers;  ///< "Name: value"
  std::string body;
  bool is_complete = true;  ///< False if the body was too large to store.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.status);
    visit(2, self.headers);
    visit(3, self.body);
    visit(4, self.is_complete);
  }
};

/// Decision on an `acquire_request`. A refusal is sent as `rpc_failure` with its error kind; a
/// replay is not a refusal.
struct acquire_reply {
  std::string lease;  ///< Slot lease id; empty for an admission without a slot and for a replay.
  std::string upstream;
  std::string incarnation;
  std::string address;
  std::string place;        ///< "region/data_centre" of the upstream.
  std::string admission;    ///< For `next_region`, if no allowed place is at home.
  std::string next_region;  ///< Region to which `admission` must be sent.
  std::optional<stored_answer> replay;
  std::uint32_t idle_connections = 0;  ///< Idle connections to it that this VM may keep.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.lease);
    visit(2, self.upstream);
    visit(3, self.incarnation);
    visit(4, self.address);
    visit(5, self.place);
    visit(6, self.admission);
    visit(7, self.next_region);
    visit(8, self.replay);
    visit(9, self.idle_connections);
  }
};

/// How an attempt on an upstream ended.
enum class attempt_result {
  kNotSent,         ///< No byte was sent; the slot is returned unused.
  kConnectFailed,   ///< No connection was established; nothing was run.
  kSuccess,         ///< Complete answer, status below 500.
  kServerError,     ///< Complete answer, status 500 or higher.
  kShed,            ///< The upstream rejected the request due to load, before running it.
  kTimeout,         ///< No complete answer in time.
  kBrokenAnswer,    ///< Closed, reset or invalid after part of the answer.
  kConnectionLost,  ///< Closed or reset before the first byte of the answer.
  kCancelled,       ///< The caller disconnected.
};

/// True if the upstream has certainly not run the request. Only then may a request be retried
/// that is not idempotent.
inline bool WasNotRun(attempt_result outcome) {
  return outcome == attempt_result::kNotSent || outcome == attempt_result::kConnectFailed ||
         outcome == attempt_result::kShed;
}

/// True if the upstream has sent a complete answer, regardless of its status.
inline bool IsCompleteAnswer(attempt_result outcome) {
  return outcome == attempt_result::kSuccess || outcome == attempt_result::kServerError;
}

/// `coordinator.complete`: reports the end of an attempt. Idempotent.
struct complete_request {
  std::string request_id;
  std::string entry_vm;
  std::string session;
  std::string lease;
  std::string workspace;
  std::string upstream;
  std::string incarnation;
  attempt_result outcome = attempt_result::kNotSent;
  std::chrono::microseconds latency{};
  bool is_upstream_busy = false;  ///< The upstream may still run it (cancelled, timed out).
  digest fingerprint{};
  std::string idempotency_key;  ///< Set only in the call to the home coordinator.
  std::optional<stored_answer> answer;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.request_id);
    visit(2, self.entry_vm);
    visit(3, self.session);
    visit(4, self.lease);
    visit(5, self.workspace);
    visit(6, self.upstream);
    visit(7, self.incarnation);
    visit(8, self.outcome);
    visit(9, self.latency);
    visit(10, self.is_upstream_busy);
    visit(11, self.fingerprint);
    visit(12, self.idempotency_key);
    visit(13, self.answer);
  }
};

/// `coordinator.session`: renews the session of an entry VM. Leases that it does not list have
/// ended.
struct session_request {
  std::string entry_vm;
  std::string session;
  std::vector<std::string> leases;
  bool is_leaving = false;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.entry_vm);
    visit(2, self.session);
    visit(3, self.leases);
    visit(4, self.is_leaving);
  }
};

}  // namespace corianderhoist
