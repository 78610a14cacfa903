/// Idempotency records: what became of each order that carried an idempotency key.
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

/// A record without an outcome becomes `unknown` after this time of the region.
inline constexpr std::chrono::milliseconds kBegunLimit(60'000);
/// Records are kept for this time of the region.
inline constexpr std::chrono::milliseconds kRecordLife(24 * 3600 * 1000);

enum class record_state { kBegun, kFinished, kUnknown };

struct idempotency_record {
  std::string workspace;
  std::string key;
  digest body_digest{};
  std::string request_id;
  record_state state = record_state::kBegun;
  std::chrono::milliseconds begun_at{};  ///< In the time of the region.
  std::optional<stored_answer> answer;
  /// Slot leases or admissions that were issued for the request and have not been returned unused.
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

/// What a request with an idempotency key meets.
enum class record_verdict {
  kBegin,         ///< No record, or the own one of the same request: it may run.
  kMismatch,      ///< The key was used with another body.
  kStillRunning,  ///< Another request with the key runs.
  kReplay,        ///< The stored answer is to be sent.
  kNotStored,     ///< It was run, but its answer was too large to keep.
  kUnknown,       ///< It may have run.
};

/// Deterministic: times are those of the region's log. A record without a state is absent: an
/// abandoned record is removed, so that a resend starts afresh. Not thread safe.
class record_store {
 public:
  /// Verdict without any change.
  record_verdict Check(const std::string& workspace,
                       const std::string& key,
                       const digest& body_digest,
                       const std::string& request_id,
                       std::chrono::milliseconds now) const;

  /// As `Check`; a verdict `kBegin` creates the record or adds the attempt to it.
  record_verdict Begin(const std::string& workspace,
                       const std::string& key,
                       const digest& body_digest,
                       const std::string& request_id,
                       const std::string& attempt,
                       std::chrono::milliseconds now);
  /// Stores the answer. Only the request that began the record can end it. An answer that arrives
  /// after the record became unknown replaces this state.
  void Finish(const std::string& workspace,
              const std::string& key,
              const std::string& request_id,
              std::optional<stored_answer> answer);
  /// An attempt ended before a byte was sent. The record is removed once this holds for all its
  /// attempts: a repeated `acquire` can leave two, of which the sender returns one while the other
  /// runs.
  void Abandon(const std::string& workspace,
               const std::string& key,
               const std::string& request_id,
               const std::string& attempt);
  /// The request may have run and will have no outcome.
  void Lose(const std::string& workspace, const std::string& key, const std::string& request_id);

  /// Removes records whose life has passed.
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
  idempotency_record* FindOwn(const std::string& workspace,
                              const std::string& key,
                              const std::string& request_id);

  record_map records_;
  std::multimap<std::chrono::milliseconds, std::string> by_age_;
};

}  // namespace corianderhoist
