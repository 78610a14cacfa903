#include "coordinator/crash_registry.h"

namespace corianderhoist {
namespace {

constexpr std::size_t kCrashesUntilBlock = 2;
// The slot of a lost request stays in use for this long after its deadline.
constexpr std::chrono::seconds kSuspectRunGrace(1);

}  // namespace

bool crash_registry::OnCrash(const digest& fingerprint,
                             const upstream_id& upstream,
                             steady_time now) {
  suspect& entry = suspects_[fingerprint];
  if (!entry.crashed.empty() && now - entry.last_crash >= kCrashRetention) {
    entry.crashed.clear();
  }
  entry.last_crash = now;
  entry.crashed.insert(upstream);
  return entry.crashed.size() >= kCrashesUntilBlock;
}

void crash_registry::OnAnswered(const digest& fingerprint) {
  suspects_.erase(fingerprint);
}

bool crash_registry::IsSuspect(const digest& fingerprint, steady_time now) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() && now - found->second.last_crash < kCrashRetention;
}

bool crash_registry::TryStart(const digest& fingerprint,
                              const std::string& request_id,
                              steady_time now,
                              steady_time deadline) {
  if (!IsSuspect(fingerprint, now)) {
    return true;
  }
  suspect& entry = suspects_[fingerprint];
  if (!entry.running.empty() && entry.running != request_id && now < entry.running_until) {
    return false;
  }
  entry.running = request_id;
  entry.running_until = deadline + kSuspectRunGrace;
  return true;
}

void crash_registry::End(const digest& fingerprint, const std::string& request_id) {
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() && found->second.running == request_id) {
    found->second.running.clear();
  }
}

void crash_registry::Release(const digest& fingerprint) {
  suspects_.erase(fingerprint);
}

void crash_registry::Sweep(steady_time now) {
  std::erase_if(suspects_,
                [&](const auto& each) { return now - each.second.last_crash >= kCrashRetention; });
}

}  // namespace corianderhoist
