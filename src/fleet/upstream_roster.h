/// Replicated roster of the upstreams that have announced themselves.
#pragma once

#include "base/endpoint.h"
#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// Identifies one incarnation of an upstream in the roster; never reused.
using upstream_handle = std::uint32_t;

enum class upstream_state : std::uint8_t {
  kReady,
  kDraining,  ///< Gets no new requests.
  kGone,      ///< Deregistered, superseded or expired.
};

/// One incarnation of an upstream, that is, one run of its process.
struct upstream_entry {
  upstream_handle handle = 0;
  std::string id;
  /// Start of the incarnation, Unix milliseconds; 0 if unknown.
  std::int64_t incarnation_start_ms = 0;
  std::string address;  ///< In the format of `FormatEndpoint`.
  std::string service;
  std::string data_centre;
  std::uint32_t slots = 1;  ///< Requests that it can process concurrently.
  upstream_state state = upstream_state::kReady;
  bool is_expired = false;     ///< Gone only because it was silent; a newer notice restores it.
  std::int64_t sequence = -1;  ///< Of the newest announcement that was applied.
  std::uint64_t changed_index = 0;  ///< Index of the log entry of the last change.

  bool operator==(const upstream_entry&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.handle);
    visit(2, self.id);
    visit(3, self.incarnation_start_ms);
    visit(4, self.address);
    visit(5, self.service);
    visit(6, self.data_centre);
    visit(7, self.slots);
    visit(8, self.state);
    visit(9, self.sequence);
    visit(10, self.changed_index);
    visit(11, self.is_expired);
  }
};

/// Announcement or deregistration that an upstream sends.
struct upstream_notice {
  std::string id;
  /// Start of the incarnation, Unix milliseconds; 0 if unknown.
  std::int64_t incarnation_start_ms = 0;
  std::string address;
  std::string service;
  std::string data_centre;
  std::uint32_t slots = 1;
  upstream_state state = upstream_state::kReady;  ///< `kGone` for a deregistration, which may
                                                  ///< have no other field than `id`.
  std::int64_t sequence = -1;  ///< Increases with each announcement of an incarnation.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.id);
    visit(2, self.incarnation_start_ms);
    visit(3, self.address);
    visit(4, self.service);
    visit(5, self.data_centre);
    visit(6, self.slots);
    visit(7, self.state);
    visit(8, self.sequence);
  }
};

/// Deterministic. A notice is compared with the entries of the same id and of the same address:
///  - a notice of an older incarnation or with an older sequence number is ignored;
///  - a newer incarnation supersedes the entry with its id and any older one at its address;
///  - `kDraining` and `kGone` are final for an incarnation, except that a newer notice restores an
///    entry that expired because it was silent.
class upstream_roster {
 public:
  /// Whether `notice` would change the roster.
  bool WouldChange(const upstream_notice& notice) const;
  /// Applies the notice in log entry `index`; returns whether the roster has changed.
  bool Apply(const upstream_notice& notice, std::uint64_t index);
  /// Marks an incarnation as gone because there was no contact with it for too long.
  void Expire(upstream_handle handle, std::uint64_t index);

  /// The current entry with `id`, or null.
  const upstream_entry* Find(const std::string& id) const;
  const upstream_entry* Find(upstream_handle handle) const;
  /// Entries that changed after log entry `index`, including those that are gone.
  std::vector<upstream_entry> ChangedSince(std::uint64_t index) const;
  const std::map<upstream_handle, upstream_entry>& Entries() const { return entries_; }

  /// Log index up to which changes may have been evicted. A reader that is further behind needs the
  /// whole roster.
  std::uint64_t EvictedIndex() const { return evicted_index_; }

  /// Replaces the roster by the entries of a snapshot.
  void Restore(std::vector<upstream_entry> entries,
               std::uint32_t next_handle,
               std::uint64_t evicted_index);
  std::uint32_t NextHandle() const { return next_handle_; }

 private:
  enum class effect { kNone, kUpdate, kReplace };
  effect EffectOf(const upstream_notice& notice) const;
  void RetireFormerAtAddress(const upstream_notice& notice, std::uint64_t index);
  bool IsSupersededIncarnation(const upstream_notice& notice) const;
  void EvictOldestGone();

  std::map<upstream_handle, upstream_entry> entries_;
  std::map<std::string, upstream_handle> by_id_;
  std::map<std::string, upstream_handle> by_address_;
  std::uint32_t next_handle_ = 1;
  std::uint64_t evicted_index_ = 0;
};

}  // namespace corianderhoist
