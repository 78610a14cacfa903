/// Coordinator of a region: admission of requests, slot allocation and outcomes.
#pragma once

#include "base/clock.h"
#include "base/sharded.h"
#include "coordinator/crash_registry.h"
#include "coordinator/log_writer.h"
#include "coordinator/messages.h"
#include "coordinator/region_state.h"
#include "coordinator/session_table.h"
#include "coordinator/slot_allocator.h"
#include "coordinator/token_bucket_table.h"
#include "wire/rpc.h"

#include <QJsonObject>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// Returns the bytes of a digest as the key that selects its shard.
inline std::string_view ShardKey(const digest& value) {
  return {reinterpret_cast<const char*>(value.data()), value.size()};
}

/// Admissions issued by other regions that have been used in this one. Not thread safe; each shard
/// has its own.
class used_admission_set {
 public:
  /// Marks the admission as used. Returns false if it was used before.
  bool Use(const std::string& admission, steady_time now);
  void Sweep(steady_time now);
  void Clear() { used_at_.clear(); }

 private:
  std::unordered_map<std::string, steady_time> used_at_;
};

/// Serves requests while this member leads its group with a valid lease. All state except
/// `region_state` is soft and is rebuilt with each leadership. Thread safe.
class coordinator_core : public std::enable_shared_from_this<coordinator_core> {
 public:
  /// Runs a task after a delay.
  using scheduler = std::function<void(std::chrono::nanoseconds, std::function<void()>)>;

  /// All references must outlive the core.
  coordinator_core(std::string region,
                   region_state& state,
                   region_log& log,
                   const clock_source& clock,
                   scheduler after);

  // RPC methods, described with their messages. All fail with `kNotLeader` on any other member.
  void Acquire(acquire_request request, rpc_callback<acquire_reply> reply);
  void Complete(complete_request report, rpc_callback<empty_message> reply);
  void Announce(const announcement& update, const rpc_callback<empty_message>& reply);
  void Session(const session_request& renewal, const rpc_callback<empty_message>& reply);

  /// Sets an observer of each rate limit token that a request takes, with the time by this member's
  /// clock. For tests; must be set before the first call.
  void SetTokenObserver(
      std::function<void(const std::string& request_id, steady_time at)> observer) {
    token_observer_ = std::move(observer);
  }

  /// Periodic work; should be called every `kTickInterval`.
  void Tick();
  /// Applies changed rate limits, unblocked fingerprints (`released`) and capacity floors; must be
  /// called from the observer of the region's state.
  void OnConfig(const std::vector<limit_change>& limits, const std::vector<digest>& released);
  /// Refuses new requests, so that they go to the next leader; queued requests continue.
  void StartDrain();

  const std::shared_ptr<log_writer>& Writer() const { return writer_; }
  /// True while this member leads with a valid lease and its soft state belongs to that term.
  bool IsActiveLeader() const;
  /// Returns the state of the coordinator for operators.
  QJsonObject Dump();

  static constexpr std::chrono::milliseconds kTickInterval{20};

 private:
  /// An `Acquire` call in progress.
  struct call {
    acquire_request request;
    rpc_callback<acquire_reply> reply;
    std::uint64_t term = 0;
    steady_time started;
    steady_time deadline;
    rate_limit limit;
    std::vector<place> places;  // Allowed by the rules, in order of preference.
    bool is_keyed = false;      // The request has an API key, and therefore a workspace.
    bool is_home = false;       // This is the home region of the request, which admits it.
    bool is_suspect = false;    // A request with this fingerprint crashed an upstream.
    bool has_token = false;     // A token was taken and must be refunded if the request is not run.
    std::optional<steady_time> token_requested_at;  // Excludes the time of other waits.
  };
  using call_ptr = std::shared_ptr<call>;
  using allocator_map = std::map<std::string, slot_allocator>;

  // Leadership.
  bool EnsureStarted();
  void Start(std::uint64_t term);
  bool IsCurrent(std::uint64_t term) const;
  rpc_failure NotLeader() const;

  // Steps of `Acquire`, in order.
  std::optional<rpc_failure> CheckRules(call& subject) const;
  bool AttachToPendingCall(const call_ptr& subject);
  rpc_callback<acquire_reply> TakeReply(const call_ptr& subject);
  bool AnswerWithRunningLease(const call_ptr& subject);
  void CheckBlockAndRecord(const call_ptr& subject);
  void AcquireToken(const call_ptr& subject);
  void RedeemReservation(const call_ptr& subject, std::uint64_t epoch, steady_time ready);
  void ProceedWithToken(const call_ptr& subject, steady_time at);
  void RequestSlot(const call_ptr& subject);
  void RedirectToRegion(const call_ptr& subject, const std::string& region);
  void OnSlotOutcome(const call_ptr& subject, slot_outcome outcome);
  void CommitRecordBegin(const call_ptr& subject, const std::string& attempt, acquire_reply reply);
  void OnRecordBegun(const call_ptr& subject,
                     const rpc_result<begin_result>& begun,
                     acquire_reply reply);
  void SendReply(const call_ptr& subject, acquire_reply reply);
  void Refuse(const call_ptr& subject, rpc_failure failure, const std::string& lease = {});
  static rpc_result<acquire_reply> ReplyFor(const begin_result& result);

  // Steps of `Complete`.
  void EndLease(const complete_request& report, const std::string& service);
  void UpdateCrashRegistry(const complete_request& report, const std::string& service);
  void EndRecord(const complete_request& report,
                 const std::string& attempt,
                 rpc_callback<empty_message> reply);

  bool IsRecordEndPending(const std::string& workspace, const std::string& key);

  // Tokens.
  void Refund(const std::string& workspace);
  void ProposeGuarantees(std::vector<guarantee_change> changes);
  void RaiseGuarantees(steady_time now);

  /// Calls `function(slot_allocator&, allocator_effects&)` under the lock of its shard and then
  /// applies the effects. Returns false if the rules do not name the service.
  template <class Function>
  bool WithAllocator(const std::string& service, Function&& function);
  void ApplyEffects(allocator_effects& effects);
  std::optional<std::uint32_t> FloorOf(const std::string& service) const;
  std::uint32_t IdleConnections(const std::string& session, const std::string& upstream);
  bool IsSessionAlive(const std::string& session, steady_time now);

  const std::string region_;
  region_state& state_;
  region_log& log_;
  const clock_source& clock_;
  const scheduler after_;
  std::function<void(const std::string&, steady_time)> token_observer_;
  const std::shared_ptr<log_writer> writer_;
  std::atomic<bool> is_draining_ = false;
  std::atomic<std::uint64_t> term_ = 0;  // Term of the soft state; 0 before the first leadership.
  std::atomic<std::uint64_t> next_number_ = 1;
  std::mutex start_lock_;
  std::atomic<steady_time> started_{};
  std::atomic<std::size_t> live_sessions_ = 0;
  std::atomic<steady_time> swept_at_{};

  sharded<token_bucket_table> bucket_tables_;
  sharded<allocator_map> allocators_;
  sharded<crash_registry> crashes_;
  sharded<session_table> sessions_;
  sharded<used_admission_set> admissions_;
  sharded<std::unordered_map<std::string, std::weak_ptr<call>>> pending_calls_;  // By request id.
  sharded<std::multiset<std::string>>
      pending_record_ends_;  // Records whose end is being committed, by `RecordKey`.
};

template <class Function>
bool coordinator_core::WithAllocator(const std::string& service, Function&& function) {
  allocator_effects effects;
  const bool is_known = allocators_.WithLockedShard(service, [&](allocator_map& allocators) {
    auto found = allocators.find(service);
    if (found == allocators.end()) {
      const std::optional<std::uint32_t> floor = FloorOf(service);
      if (!floor) {
        return false;
      }
      found = allocators.emplace(service, slot_allocator(service)).first;
      found->second.Start(state_.Ejections(), started_.load());
      found->second.SetFloor(*floor);
    }
    function(found->second, effects);
    return true;
  });
  ApplyEffects(effects);
  return is_known;
}

}  // namespace corianderhoist
