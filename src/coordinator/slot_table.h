/// Slot leases on the upstreams of one service.
#pragma once

#include "base/clock.h"
#include "base/hash.h"
#include "coordinator/upstream_directory.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// A slot of a lapsed entry VM session is held until this long after the deadline of its request.
inline constexpr std::chrono::milliseconds kLapsedSessionSlotHold(1000);
/// An upstream stops work on a closed connection within this time. The slot is held for as long
/// when the entry VM reports that the upstream may still be working.
inline constexpr std::chrono::milliseconds kBusyUpstreamSlotHold(1000);

/// The lease of one slot by one request.
struct slot_lease {
  std::string id;
  upstream_id upstream;
  std::string place;    ///< "region/data_centre"
  std::string session;  ///< "entry VM/incarnation"
  std::string workspace;
  std::string request_id;
  std::string idempotency_key;
  digest fingerprint{};
  steady_time opened;
  steady_time deadline;
  bool is_trial = false;
  bool is_suspect = false;  ///< A request with this fingerprint crashed an upstream.
  bool is_completed = false;
  std::optional<steady_time> held_until;  ///< Set once the lease is no longer renewed.
};

/// Open slot leases with the number of slots in use per upstream. Not thread safe.
class slot_table {
 public:
  void Open(slot_lease lease);

  const slot_lease* Find(const std::string& id) const;
  /// The running lease of a request, or null.
  const slot_lease* FindByRequest(const std::string& request_id) const;
  std::uint32_t InUse(const upstream_id& upstream) const;
  /// True when a suspected request is running at the upstream.
  bool HasSuspect(const upstream_id& upstream) const;

  /// Completes a lease and returns it, or nullopt if it is unknown or already completed. The slot
  /// stays in use for up to `kBusyUpstreamSlotHold` when the upstream may still be working.
  std::optional<slot_lease> Complete(const std::string& id, bool is_upstream_busy, steady_time now);

  /// Releases slots whose hold time has passed. Returns the leases that ended without an outcome.
  std::vector<slot_lease> Sweep(steady_time now,
                                const std::function<bool(const std::string& session)>& is_alive);

  const std::unordered_map<std::string, slot_lease>& Leases() const { return leases_; }

 private:
  void Release(const std::string& id);

  std::unordered_map<std::string, slot_lease> leases_;
  std::unordered_map<std::string, std::string> lease_of_request_;
  std::map<upstream_id, std::uint32_t> in_use_;
  std::map<upstream_id, std::uint32_t> suspects_;
};

}  // namespace corianderhoist
