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

/// After the session of an entry VM has lapsed, a slot is held for the request's deadline plus
/// this.
inline constexpr std::chrono::milliseconds kLapsedSlotHold(1000);
/// An upstream honours the end of a connection within this time; a slot is held that long when the
/// entry VM reports that the upstream may still be working.
inline constexpr std::chrono::milliseconds kBusySlotHold(1000);

/// One request on one slot.
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
  bool is_suspect = false;  ///< The request has crashed an upstream before.
  bool is_completed = false;
  std::optional<steady_time> held_until;  ///< Set when nobody renews the lease any more.
};

/// Not thread safe.
class slot_table {
 public:
  void Open(slot_lease lease);

  const slot_lease* Find(const std::string& id) const;
  /// The running lease of a request, or null.
  const slot_lease* FindByRequest(const std::string& request_id) const;
  std::uint32_t InUse(const upstream_id& upstream) const;
  /// True when a request that has crashed an upstream before is running there.
  bool HasSuspect(const upstream_id& upstream) const;

  /// Ends the request of a lease and returns the lease, or nothing when it has ended before. The
  /// slot stays taken for up to `kBusySlotHold` when the upstream may still be working.
  std::optional<slot_lease> Complete(const std::string& id, bool is_upstream_busy, steady_time now);

  /// Frees slots whose hold has passed. Returns the leases that were lost without an outcome.
  std::vector<slot_lease> Sweep(steady_time now,
                                const std::function<bool(const std::string& session)>& is_alive);

  const std::unordered_map<std::string, slot_lease>& Leases() const { return leases_; }

 private:
  void Free(const std::string& id);

  std::unordered_map<std::string, slot_lease> leases_;
  std::unordered_map<std::string, std::string> lease_of_request_;
  std::map<upstream_id, std::uint32_t> in_use_;
  std::map<upstream_id, std::uint32_t> suspects_;
};

}  // namespace corianderhoist
