/// The replicated state of the fleet: the policy document and the roster of upstreams.
#pragma once

#include "fleet/upstream_roster.h"
#include "wire/codec.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// A policy as it was sent, compressed.
struct policy_document {
  std::uint64_t version = 0;  ///< 0: none yet.
  std::string packed_text;    ///< See `PackText`.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.version);
    visit(2, self.packed_text);
  }
};

/// Compresses a text for the log and for the way to the entry VMs.
std::string PackText(std::string_view text);
/// Fails with `kMalformedMessage`.
result<std::string> UnpackText(std::string_view packed);

/// One entry of the log.
struct fleet_command {
  policy_document policy;  ///< Taken when its version is the highest.
  std::vector<upstream_notice> notices;
  std::vector<upstream_handle> expired;  ///< Not heard of for long.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.policy);
    visit(2, self.notices);
    visit(3, self.expired);
  }
};

/// What a reader of the state lacks.
struct fleet_changes {
  std::uint64_t index = 0;  ///< Newest log entry that the changes include.
  policy_document policy;   ///< Version 0: the reader has the newest one.
  std::vector<upstream_entry> upstreams;
  bool is_whole_roster = false;  ///< Entries that are not listed are gone.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.index);
    visit(2, self.policy);
    visit(3, self.upstreams);
    visit(4, self.is_whole_roster);
  }
};

/// The application of the replicated log. Thread safe: the log is applied on one thread and read on
/// others.
class fleet_state {
 public:
  // For `replica`.
  std::string Apply(std::uint64_t index, std::string_view command);
  std::string Snapshot();
  void Restore(std::string_view bytes);

  policy_document Policy() const;
  std::uint64_t PolicyVersion() const;
  std::uint64_t AppliedIndex() const;
  bool IsNews(const upstream_notice& notice) const;
  std::vector<upstream_entry> Upstreams() const;

  /// What a reader lacks that has the policy `version` and the roster up to `index`.
  fleet_changes ChangesSince(std::uint64_t version, std::uint64_t index) const;

 private:
  mutable std::mutex lock_;
  policy_document policy_;
  upstream_roster roster_;
  std::uint64_t applied_index_ = 0;
};

}  // namespace corianderhoist
