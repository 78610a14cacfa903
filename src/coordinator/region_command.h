/// Commands in the replicated log of a region, and their results.
#pragma once

#include "control/configuration.h"
#include "coordinator/messages.h"
#include "coordinator/outlier_detector.h"
#include "coordinator/record_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Creates an idempotency record, or adds an attempt to the record of the same request.
struct record_begin {
  std::string workspace;
  std::string key;
  digest body_digest{};
  std::string request_id;
  std::string attempt;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspace);
    visit(2, self.key);
    visit(3, self.body_digest);
    visit(4, self.request_id);
    visit(5, self.attempt);
  }
};

/// How an attempt that holds an idempotency record ended.
enum class record_ending {
  kFinished,   ///< With a complete answer.
  kAbandoned,  ///< The request was certainly not run.
  kUnknown,    ///< The request may have run; its outcome is unknown.
};

/// Ends an attempt of the request that created an idempotency record.
struct record_end {
  std::string workspace;
  std::string key;
  std::string request_id;
  std::string attempt;
  record_ending ending = record_ending::kUnknown;
  std::optional<stored_answer> answer;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspace);
    visit(2, self.key);
    visit(3, self.request_id);
    visit(4, self.attempt);
    visit(5, self.ending);
    visit(6, self.answer);
  }
};

/// Number of tokens that a new leader may assume in the token bucket of a workspace.
struct guarantee_change {
  std::string workspace;
  std::uint64_t tokens = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.workspace);
    visit(2, self.tokens);
  }
};

/// One log entry. It carries a batch of changes (group commit).
struct region_command {
  /// Time since the leader's previous command, measured by its steady clock. The sum over all
  /// commands is the region time, which is independent of wall clock jumps.
  std::chrono::milliseconds elapsed{};
  std::vector<record_begin> begins;
  std::vector<record_end> ends;
  std::vector<ejection_change> ejections;
  std::vector<digest> blocks;  ///< Fingerprints to block from now on.
  std::vector<guarantee_change> guarantees;
  std::optional<config_fetch_reply> config;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.elapsed);
    visit(2, self.begins);
    visit(3, self.ends);
    visit(4, self.ejections);
    visit(5, self.blocks);
    visit(6, self.guarantees);
    visit(7, self.config);
  }
};

/// Result of a `record_begin`.
struct begin_result {
  record_verdict verdict = record_verdict::kBegin;
  std::optional<stored_answer> answer;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.verdict);
    visit(2, self.answer);
  }
};

/// Result of a command. `begins` has the order of `region_command::begins`.
struct region_result {
  std::vector<begin_result> begins;
  std::uint64_t config_version = 0;
  std::string config_fault;  ///< Why the configuration was rejected; empty if it was applied.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.begins);
    visit(2, self.config_version);
    visit(3, self.config_fault);
  }
};

/// A request fingerprint that is blocked after crashes.
struct block_entry {
  digest fingerprint{};
  std::chrono::milliseconds blocked_at{};  ///< In region time.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.fingerprint);
    visit(2, self.blocked_at);
  }
};

/// Serialized form of `region_state`.
struct region_snapshot {
  std::uint64_t format = 0;
  std::chrono::milliseconds time{};  ///< Region time.
  std::vector<idempotency_record> records;
  std::vector<ejection> ejections;
  std::vector<block_entry> blocks;
  std::vector<guarantee_change> guarantees;
  config_snapshot config;
  std::vector<config_change> changes;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.format);
    visit(2, self.time);
    visit(3, self.records);
    visit(4, self.ejections);
    visit(5, self.blocks);
    visit(6, self.guarantees);
    visit(7, self.config);
    visit(8, self.changes);
  }
};

}  // namespace corianderhoist
