/// The operator of a soak run: changes the configuration, reads it back and hands out keys.
#pragma once

#include "base/endpoint.h"
#include "soak/judge.h"
#include "soak/run_clock.h"

#include <QJsonObject>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist::soak {

/// Host and paths of the routes that the operator configures.
inline constexpr const char* kHost = "shop.example";
inline constexpr const char* kSafePath = "/catalogue/";
inline constexpr const char* kUnsafePath = "/orders/";

class soak_operator {
 public:
  soak_operator(std::uint64_t seed,
                const run_clock& clock,
                judge& verdicts,
                std::vector<endpoint> control);
  ~soak_operator();
  soak_operator(const soak_operator&) = delete;
  soak_operator& operator=(const soak_operator&) = delete;

  /// Requests one more change, which adds a key or withdraws one.
  void RequestChange() { ++pending_changes_; }
  bool HasConfigured() const { return acknowledged_ > 0; }
  /// Waits until all changes are acknowledged and the newest one can be read.
  bool WaitUntilReadable(run_time timeout);
  /// A key for a request: mostly a valid one, sometimes a withdrawn one.
  std::string PickKey(seeded_numbers& numbers);

 private:
  void Run();
  void PutNext();
  void Read();
  QJsonObject Configuration(std::int64_t version) const;

  const run_clock& clock_;
  judge& judge_;
  const std::vector<endpoint> control_;
  std::mutex lock_;
  std::vector<std::string> keys_;  ///< The first one is never withdrawn.
  std::vector<std::string> withdrawn_;
  // Used by the thread only.
  seeded_numbers numbers_;
  std::map<std::int64_t, QJsonObject> sent_;
  std::int64_t version_ = 0;
  std::atomic<int> pending_changes_ = 1;
  std::atomic<std::int64_t> acknowledged_ = 0;
  std::atomic<std::int64_t> last_read_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace corianderhoist::soak
