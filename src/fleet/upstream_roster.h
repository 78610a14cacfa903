/// The upstreams that have announced themselves: the replicated part of what is known of them.
#pragma once

#include "base/endpoint.h"
#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// Number of one incarnation of an upstream in the roster; never reused.
using upstream_handle = std::uint32_t;

enum class upstream_state : std::uint8_t {
  kReady,
  kDraining,  ///< Gets no new work.
  kGone,      ///< Has left, was superseded, or was not heard of for long.
};

/// One incarnation of an upstream.
struct upstream_entry {
  upstream_handle handle = 0;
  std::string id;
  std::int64_t born_ms = 0;  ///< Start of the incarnation, Unix milliseconds; 0 when not known.
  std::string address;       ///< As `FormatEndpoint` writes it.
  std::string service;
  std::string data_centre;
  std::uint32_t slots = 1;  ///< Requests that it works on at once.
  upstream_state state = upstream_state::kReady;
  bool is_expired = false;          ///< Gone for silence alone: it returns when it is heard of.
  std::int64_t sequence = -1;       ///< Of the newest announcement that was taken.
  std::uint64_t changed_index = 0;  ///< Log entry of the last change.

  bool operator==(const upstream_entry&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.handle);
    visit(2, self.id);
    visit(3, self.born_ms);
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

/// What an upstream says of itself.
struct upstream_notice {
  std::string id;
  std::int64_t born_ms = 0;
  std::string address;
  std::string service;
  std::string data_centre;
  std::uint32_t slots = 1;
  upstream_state state = upstream_state::kReady;  ///< `kGone` for a farewell, which may have no
                                                  ///< other field than `id`.
  std::int64_t sequence = -1;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.id);
    visit(2, self.born_ms);
    visit(3, self.address);
    visit(4, self.service);
    visit(5, self.data_centre);
    visit(6, self.slots);
    visit(7, self.state);
    visit(8, self.sequence);
  }
};

/// Deterministic. A notice is compared with the entry of the same id and with the one at the same
/// address:
///  - an older incarnation, or an older sequence number, changes nothing;
///  - a newer incarnation supersedes the entry under its id and any older one at its address;
///  - `kDraining` and `kGone` are final for an incarnation, except that an entry that was expired
///    for silence returns with a newer notice.
class upstream_roster {
 public:
  /// Whether `notice` would change the roster.
  bool IsNews(const upstream_notice& notice) const;
  /// Applies the notice of log entry `index`; returns whether it changed anything.
  bool Apply(const upstream_notice& notice, std::uint64_t index);
  /// Marks an incarnation as gone that has not been heard of for long.
  void Expire(upstream_handle handle, std::uint64_t index);

  /// The present entry under `id`, or null.
  const upstream_entry* Find(const std::string& id) const;
  const upstream_entry* Find(upstream_handle handle) const;
  /// Entries with a change after the log entry `index`, gone ones included.
  std::vector<upstream_entry> ChangedSince(std::uint64_t index) const;
  const std::map<upstream_handle, upstream_entry>& Entries() const { return entries_; }

  /// Log entry of the oldest change that `ChangedSince` still reports; a reader that is further
  /// behind must take the whole roster.
  std::uint64_t ForgottenIndex() const { return forgotten_index_; }

  /// Takes over the entries of a snapshot.
  void Restore(std::vector<upstream_entry> entries,
               std::uint32_t next_handle,
               std::uint64_t forgotten_index);
  std::uint32_t NextHandle() const { return next_handle_; }

 private:
  enum class effect { kNone, kUpdate, kReplace };
  effect EffectOf(const upstream_notice& notice) const;
  void SupersedeAt(const upstream_notice& notice, std::uint64_t index);
  bool IsDeadStart(const upstream_notice& notice) const;
  void ForgetOldest();

  std::map<upstream_handle, upstream_entry> entries_;
  std::map<std::string, upstream_handle> by_id_;
  std::map<std::string, upstream_handle> by_address_;
  std::uint32_t next_handle_ = 1;
  std::uint64_t forgotten_index_ = 0;
};

}  // namespace corianderhoist
