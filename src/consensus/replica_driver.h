/// Connects the consensus core of one replica to the network, the disk and the clock.
///
/// All state is confined to the thread of `loop_`, except members marked as shared. Writes run on
/// the thread of `disk_loop_`, one at a time; inputs that arrive during a write are batched into
/// the next one.
#pragma once

#include "consensus/core.h"
#include "consensus/replica.h"
#include "storage/file_disk.h"
#include "storage/replica_store.h"
#include "wire/io_loop.h"
#include "wire/rpc.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace corianderhoist {

struct replica::driver : std::enable_shared_from_this<driver> {
 public:
  driver(replica_settings settings,
         erased_application application,
         std::shared_ptr<tls_identity> identity,
         const clock_source& clock);

  result<void> Load();
  void Register(rpc_server& server);
  void Start();
  void Stop();

  void Propose(std::string command, proposal_callback done);
  void ReadBarrier(proposal_callback done);
  void ChangeMembership(std::function<membership_result(consensus_core&)> change,
                        proposal_callback done);
  void AddLearner(const replica_member& member, proposal_callback done);

  // Thread-safe.
  bool HasLease() const;
  steady_time FreshAt() const;
  std::uint64_t LeadingTerm() const { return leading_term_.load(); }
  replica_status Status() const;
  void AddObserver(std::function<void(bool)> observer);
  io_loop& Loop() { return loop_; }

 private:
  struct pending_proposal {
    std::uint64_t term = 0;
    proposal_callback done;
  };
  struct pending_answer {
    rpc_callback<raft_message> respond;
    steady_time deadline;
  };

  void OnCall(raft_message request, rpc_callback<raft_message> respond);
  void Tick();
  void ScheduleFlush();
  void Flush();
  void HandleOutput(core_output output);
  void StartWrite(storage_write write);
  void OnWritten(std::uint64_t sequence, const std::string& failure);
  void SendAll(std::vector<raft_message> messages);
  void Call(raft_message request);
  rpc_channel* ChannelTo(const std::string& name, std::uint64_t replica_id);
  rpc_channel& Channel(const std::string& name, const std::string& address);
  void RemoveStaleChannels();
  void Apply(const std::vector<log_entry>& entries);
  void CompactIfDue();
  void FinishReads(const std::vector<std::uint64_t>& tokens, bool is_confirmed);
  void FailPendingCalls(const std::string& cause);
  void ExpireAnswers();
  void PublishStatus();
  void PublishLeadership();
  void StopWithFailure(const std::string& cause);
  void ScheduleRecovery();
  void BeginRecovery();
  void FinishRecovery(stored_state& stored, const std::string& failure);
  bool IsRunning() const { return !is_stopped_ && !has_failed_; }
  rpc_failure NotLeader() const;
  std::string RoleName() const;

  const replica_settings settings_;
  const erased_application application_;
  const std::shared_ptr<tls_identity> identity_;
  const clock_source& clock_;

  std::unique_ptr<file_disk> files_;
  std::unique_ptr<replica_store> store_;  ///< Used by the disk thread after `Load`, like `files_`.
  std::unique_ptr<consensus_core> core_;
  std::map<std::string, std::unique_ptr<rpc_channel>> channels_;
  std::uint64_t channels_members_index_ = 0;

  std::map<std::uint64_t, pending_proposal> pending_proposals_;
  std::map<std::uint64_t, proposal_callback> reads_;
  std::map<std::uint64_t, pending_answer> pending_answers_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_read_ = 1;
  std::uint64_t compaction_requested_index_ = 0;
  std::uint64_t applied_index_ = 0;  ///< Of the application, which a recovery leaves as it is.
  std::uint64_t recoveries_ = 0;
  int failed_recoveries_ = 0;  ///< Since the last successful write.
  bool is_flush_posted_ = false;
  bool is_started_ = false;
  bool is_stopped_ = false;
  bool has_failed_ = false;  ///< A write has failed, and the replica has not recovered.
  bool was_leader_ = false;

  mutable std::mutex status_lock_;  ///< Guards `status_` and `observers_`.
  replica_status status_;
  std::vector<std::function<void(bool)>> observers_;
  // Shared, without a lock.
  std::atomic<std::int64_t> lease_end_{0};      ///< Nanoseconds on the steady clock; 0 for none.
  std::atomic<std::int64_t> fresh_at_{0};       ///< Same unit as `lease_end_`.
  std::atomic<std::uint64_t> leading_term_{0};  ///< 0 when not the leader.

  io_loop loop_;
  io_loop disk_loop_;
};

}  // namespace corianderhoist
