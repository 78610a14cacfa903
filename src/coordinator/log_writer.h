/// Group commit to the replicated log of a region.
#pragma once

#include "base/clock.h"
#include "coordinator/region_command.h"
#include "wire/rpc.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Interface of the region's replicated log, as a coordinator uses it. Thread safe.
class region_log {
 public:
  virtual ~region_log() = default;
  /// Whether this member is the leader and no other one can be.
  virtual bool HasLease() const = 0;
  /// The term in which this member is the leader, or 0 if it is not.
  virtual std::uint64_t LeadingTerm() const = 0;
  /// Name of the leader as far as it is known, else empty.
  virtual std::string LeaderName() const = 0;
  /// Commits `command` and passes the encoded `region_result` to `done`. Fails with `kNotLeader`
  /// (nothing was appended) or `kNotAccepted` (the outcome is unknown).
  virtual void Propose(std::string command, std::function<void(rpc_result<std::string>)> done) = 0;
};

/// Batches changes while earlier commands are being committed, and proposes each batch as one
/// command. Thread safe.
class log_writer : public std::enable_shared_from_this<log_writer> {
 public:
  template <class Value>
  using callback = std::function<void(rpc_result<Value>)>;

  log_writer(region_log& log, const clock_source& clock) : log_(log), clock_(clock) {}

  // Each function commits a change. `done` is called when it is committed or the proposal has
  // failed; see `region_log::Propose` for the errors.
  void Begin(record_begin begin, callback<begin_result> done);
  void End(record_end end, callback<empty_message> done);
  void AddEjectionChanges(std::vector<ejection_change> ejections);
  void Block(const digest& fingerprint);
  void CommitGuarantees(std::vector<guarantee_change> changes, std::function<void(bool)> done);
  /// Proposes the update at once, since a command holds at most one.
  void CommitConfig(config_fetch_reply update, callback<region_result> done);
  /// Commits an empty command if none has been sent recently, so that region time advances.
  void AdvanceRegionTime();

 private:
  using completion = std::function<void(const rpc_result<region_result>&)>;
  struct batch {
    region_command command;
    std::vector<completion> completions;
  };

  /// Calls `fill(batch&)` under the lock, then proposes the pending batch if a command may be sent.
  template <class Fill>
  void AddToBatch(Fill&& fill) {
    {
      const std::lock_guard guard(lock_);
      fill(pending_);
      has_pending_ = true;
    }
    Flush();
  }
  void Flush();
  void OnReply(const batch& sent, const rpc_result<std::string>& reply);

  region_log& log_;
  const clock_source& clock_;
  std::mutex lock_;
  batch pending_;
  bool has_pending_ = false;
  int in_flight_ = 0;
  std::uint64_t term_ = 0;
  steady_time sent_at_;
};

}  // namespace corianderhoist
