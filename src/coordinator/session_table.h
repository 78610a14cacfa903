/// Sessions of entry VMs and the slot leases that they hold.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// A session expires when it has not been renewed for this long.
inline constexpr std::chrono::milliseconds kSessionTimeout(2000);
/// An entry VM discards a reply that arrives later than this. A lease older than this that a
/// renewal does not list was therefore never used or has ended.
inline constexpr std::chrono::milliseconds kMaxReplyDelay(2000);

/// Not thread safe; each shard has its own table.
class session_table {
 public:
  /// Renews the session without a list of leases; any call from an entry VM does so.
  void Touch(const std::string& session, steady_time now);
  void AddLease(const std::string& session, const std::string& lease, steady_time now);
  void RemoveLease(const std::string& session, const std::string& lease);

  struct renewal {
    std::vector<std::string> ended;    ///< Leases that the entry VM no longer holds.
    std::vector<std::string> unknown;  ///< Leases that this leader did not issue.
  };
  /// Renews the session and compares its leases with those that the entry VM holds.
  renewal Renew(const std::string& session, const std::vector<std::string>& held, steady_time now);
  /// Removes a session that its entry VM has closed.
  void Close(const std::string& session);

  bool IsAlive(const std::string& session, steady_time now) const;
  std::size_t CountAlive(steady_time now) const;
  /// Removes sessions that have not been renewed for a minute.
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
