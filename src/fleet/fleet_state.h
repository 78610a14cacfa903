/// Replicated state of the fleet: the policy document and the upstream roster.
#pragma once

#include "fleet/upstream_roster.h"
#include "wire/codec.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// A policy in the form in which the operator submitted it, compressed.
struct policy_document {
  std::uint64_t version = 0;  ///< 0: no policy yet.
  std::string packed_text;    ///< Compressed by `PackText`.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.packed_text);
  }
};

/// Compresses a text for the replicated log and for transmission to the entry VMs.
std::string PackText(std::string_view text);
/// Reverses `PackText`. Fails with `kMalformedMessage`.
result<std::string> UnpackText(std::string_view packed);

/// One entry of the replicated log.
struct fleet_command {
  policy_document policy;  ///< Applied if its version is higher than the present one.
  std::vector<upstream_notice> notices;
  std::vector<upstream_handle> expired;  ///< Upstreams without any contact for too long.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.policy);
    visit(2, self.notices);
    visit(3, self.expired);
  }
};

/// Changes that a reader of the state has not seen yet.
struct fleet_changes {
  std::uint64_t index = 0;  ///< Index of the newest log entry that the changes include.
  policy_document policy;   ///< Version 0 if the reader has the newest one.
  std::vector<upstream_entry> upstreams;
  bool is_whole_roster = false;  ///< `upstreams` is complete; entries not listed are gone.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.index);
    visit(2, self.policy);
    visit(3, self.upstreams);
    visit(4, self.is_whole_roster);
  }
};

/// State machine of the replicated log. Thread safe: the log is applied on one thread and the state
/// is read on others.
class fleet_state {
 public:
  // Called by `replica`.
  std::string Apply(std::uint64_t index, std::string_view command);
  std::string Snapshot();
  void Restore(std::string_view bytes);

  policy_document Policy() const;
  std::uint64_t PolicyVersion() const;
  std::uint64_t AppliedIndex() const;
  /// Whether applying `notice` would change the roster.
  bool WouldChange(const upstream_notice& notice) const;
  std::vector<upstream_entry> Upstreams() const;

  /// Changes for a reader that has the policy `version` and the roster up to log entry `index`.
  fleet_changes ChangesSince(std::uint64_t version, std::uint64_t index) const;

 private:
  mutable std::mutex lock_;
  policy_document policy_;
  upstream_roster roster_;
  std::uint64_t applied_index_ = 0;
};

}  // namespace corianderhoist
