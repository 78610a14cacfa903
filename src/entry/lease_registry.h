/// Slot leases held by this entry VM, per region. Also lists the regions whose coordinators know
/// the VM's session but have issued no lease.
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace corianderhoist {

/// Thread safe.
class lease_registry {
 public:
  /// Records that the coordinators of `region` may issue leases to this VM.
  void AddRegion(const std::string& region) {
    const std::lock_guard guard(lock_);
    leases_.try_emplace(region);
  }
  void Add(const std::string& region, const std::string& lease) {
    const std::lock_guard guard(lock_);
    leases_[region].insert(lease);
  }
  void Remove(const std::string& region, const std::string& lease) {
    const std::lock_guard guard(lock_);
    leases_[region].erase(lease);
  }
  std::map<std::string, std::vector<std::string>> Snapshot() const {
    const std::lock_guard guard(lock_);
    std::map<std::string, std::vector<std::string>> copy;
    for (const auto& [region, leases] : leases_) {
      copy.emplace(region, std::vector<std::string>(leases.begin(), leases.end()));
    }
    return copy;
  }

 private:
  mutable std::mutex lock_;
  std::map<std::string, std::set<std::string>> leases_;
};

}  // namespace corianderhoist
