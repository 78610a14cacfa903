#include "coordinator/session_table.h"

#include <algorithm>
#include <unordered_set>

namespace corianderhoist {
namespace {

constexpr std::chrono::minutes kSessionRetention(1);

}  // namespace

void session_table::Touch(const std::string& session, steady_time now) {
  sessions_[session].renewed = now;
}

void session_table::AddLease(const std::string& session,
                             const std::string& lease,
                             steady_time now) {
  sessions_[session].leases.emplace(lease, now);
}

void session_table::RemoveLease(const std::string& session, const std::string& lease) {
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    found->second.leases.erase(lease);
  }
}

session_table::renewal session_table::Renew(const std::string& session,
                                            const std::vector<std::string>& held,
                                            steady_time now) {
  entry& renewed = sessions_[session];
  renewed.renewed = now;
  renewal found;
  const std::unordered_set<std::string> listed(held.begin(), held.end());
  std::erase_if(renewed.leases, [&](const auto& lease) {
    if (listed.contains(lease.first) || now - lease.second <= kMaxReplyDelay) {
      return false;
    }
    found.ended.push_back(lease.first);
    return true;
  });
  for (const std::string& lease : held) {
    if (renewed.leases.emplace(lease, now).second) {
      found.unknown.push_back(lease);
    }
  }
  return found;
}

void session_table::Close(const std::string& session) {
  sessions_.erase(session);
}

bool session_table::IsAlive(const std::string& session, steady_time now) const {
  const auto found = sessions_.find(session);
  return found != sessions_.end() && now - found->second.renewed < kSessionTimeout;
}

std::size_t session_table::CountAlive(steady_time now) const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [&](const auto& each) { return now - each.second.renewed < kSessionTimeout; }));
}

void session_table::Sweep(steady_time now) {
  std::erase_if(sessions_,
                [&](const auto& each) { return now - each.second.renewed > kSessionRetention; });
}

}  // namespace corianderhoist
