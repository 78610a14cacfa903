/// Idempotency records: the state and outcome of each request with an idempotency key.
///
/// Region time is the time that the commands in the log add up to; see `region_command::elapsed`.
#pragma once

#include "base/hash.h"
#include "coordinator/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corianderhoist {

/// A record without an outcome counts as `kUnknown` after this span of region time.
inline constexpr std::chrono::milliseconds kRecordOutcomeTimeout(60'000);
/// Records are kept for this span of region time.
inline constexpr std::chrono::milliseconds kRecordRetention(24 * 3600 * 1000);

enum class record_state {
  kBegun,     ///< The request may be running.
  kFinished,  ///< The request ran, and its outcome is known.
  kUnknown,   ///< The request may have run; its outcome is unknown.
};

struct idempotency_record {
  std::string workspace;
  std::string key;
  digest body_digest{};
  std::string request_id;
  record_state state = record_state::kBegun;
  std::chrono::milliseconds begun_at{};  ///< In region time.
  std::optional<stored_answer> answer;
  /// Slot leases or admissions that were issued for the request and not returned unused.
  std::vector<std::string> attempts;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspace);
    visit(2, self.key);
    visit(3, self.body_digest);
    visit(4, self.request_id);
    visit(5, self.state);
    visit(6, self.begun_at);
    visit(7, self.answer);
    visit(8, self.attempts);
  }
};

/// Result of looking up the idempotency key of a request.
enum class record_verdict {
  kBegin,         ///< No record, or the record of this request: it may run.
  kMismatch,      ///< The key was used with a different body.
  kStillRunning,  ///< Another request with this key is running.
  kReplay,        ///< The stored answer must be replayed.
  kNotStored,     ///< The request ran, but its answer was too large to store.
  kUnknown,       ///< The request may have run; its outcome is unknown.
};

/// Deterministic, since all times are region times from the log. An abandoned record is removed, so
/// that a resent request creates a new one. Not thread safe.
class record_store {
 public:
  /// Returns the verdict without changing the store.
  record_verdict Check(const std::string& workspace,
                       const std::string& key,
                       const digest& body_digest,
                       const std::string& request_id,
                       std::chrono::milliseconds now) const;

  /// Like `Check`, but a verdict of `kBegin` creates the record or adds the attempt to it.
  record_verdict Begin(const std::string& workspace,
                       const std::string& key,
                       const digest& body_digest,
                       const std::string& request_id,
                       const std::string& attempt,
                       std::chrono::milliseconds now);
  /// Stores the answer. Only the request that created the record can finish it. An answer that
  /// arrives after the record became `kUnknown` replaces that state.
  void Finish(const std::string& workspace,
              const std::string& key,
              const std::string& request_id,
              std::optional<stored_answer> answer);
  /// Removes an attempt that ended before a byte was sent, and the record with its last attempt. A
  /// repeated `acquire` can leave two attempts, of which the sender returns one and runs the other.
  void Abandon(const std::string& workspace,
               const std::string& key,
               const std::string& request_id,
               const std::string& attempt);
  /// Marks the record `kUnknown`: the request may have run and will not report an outcome.
  void MarkUnknown(const std::string& workspace,
                   const std::string& key,
                   const std::string& request_id);

  /// Removes records older than `kRecordRetention`.
  void Expire(std::chrono::milliseconds now);

  const idempotency_record* Find(const std::string& workspace, const std::string& key) const;
  /// Adds a record from a snapshot.
  void Restore(idempotency_record record);
  void Clear();
  std::size_t Size() const { return records_.size(); }
  template <class Function>
  void ForEach(Function&& function) const {
    for (const auto& [key, record] : records_) {
      function(record);
    }
  }

 private:
  using record_map = std::unordered_map<std::string, idempotency_record>;
  idempotency_record* FindForRequest(const std::string& workspace,
                                     const std::string& key,
                                     const std::string& request_id);

  record_map records_;
  std::multimap<std::chrono::milliseconds, std::string> by_age_;
};

}  // namespace corianderhoist
