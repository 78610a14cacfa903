/// Sessions of entry VMs and the slot leases that run under them.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// A session that has not been renewed for this long has lapsed.
inline constexpr std::chrono::milliseconds kSessionLife(2000);
/// An entry VM discards a reply that arrives later than this, so a lease of this age that a renewal
/// does not list was never used or has ended.
inline constexpr std::chrono::milliseconds kReplyValidity(2000);

/// Not thread safe; used by shard.
class session_table {
 public:
  /// Any call of an entry VM shows that its session lives.
  void Touch(const std::string& session, steady_time now);
  void AddLease(const std::string& session, const std::string& lease, steady_time now);
  void RemoveLease(const std::string& session, const std::string& lease);

  struct renewal {
    std::vector<std::string> ended;    ///< Leases that the entry VM no longer has.
    std::vector<std::string> unknown;  ///< Leases that this leader has not issued.
  };
  /// Renews a session with the list of its running leases.
  renewal Renew(const std::string& session,
                const std::vector<std::string>& running,
                steady_time now);
  /// The entry VM has closed its session.
  void Close(const std::string& session);

  bool IsAlive(const std::string& session, steady_time now) const;
  std::size_t CountAlive(steady_time now) const;
  /// Forgets sessions that lapsed a minute ago.
  void Sweep(steady_time now);
  void Clear() { sessions_.clear(); }

 private:
  struct entry {
    steady_time renewed;
    std::unordered_map<std::string, steady_time> leases;
  };

  std::unordered_map<std::string, entry> sessions_;
};

}  // namespace corianderhoist
