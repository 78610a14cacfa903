/// Single-member in-memory log, for tests and benchmarks.
#pragma once

#include "coordinator/log_writer.h"
#include "coordinator/region_state.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

namespace corianderhoist {

/// Applies each command synchronously. Several logs may share one state to model the members of a
/// group; the test selects the leader and whether its lease is valid. Thread safe except for the
/// setters.
class local_log final : public region_log {
 public:
  explicit local_log(region_state& state, std::uint64_t term = 1) : state_(state), term_(term) {}

  bool HasLease() const override { return has_lease_; }
  std::uint64_t LeadingTerm() const override { return term_; }
  std::string LeaderName() const override { return "local"; }

  void Propose(std::string command, std::function<void(rpc_result<std::string>)> done) override {
    if (term_ == 0 || !is_reachable_) {
      done(rpc_failure{error_kind::kNotLeader, "no leader", {}});
      return;
    }
    std::string outcome;
    {
      const std::lock_guard guard(lock_);
      outcome = state_.Apply(++index_, command);
    }
    done(std::move(outcome));
  }

  void SetLease(bool has_lease) { has_lease_ = has_lease; }
  void SetTerm(std::uint64_t term) { term_ = term; }
  /// Proposals fail while the quorum is unreachable.
  void SetReachable(bool is_reachable) { is_reachable_ = is_reachable; }

 private:
  region_state& state_;
  std::mutex lock_;
  std::uint64_t term_;
  std::uint64_t index_ = 0;
  bool has_lease_ = true;
  bool is_reachable_ = true;
};

}  // namespace corianderhoist
