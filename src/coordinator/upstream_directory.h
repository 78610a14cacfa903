/// Upstreams of one service according to their announcements.
#pragma once

#include "base/clock.h"
#include "coordinator/messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace corianderhoist {

/// An upstream without an announcement for this long receives no new requests.
inline constexpr std::chrono::milliseconds kAnnouncementValidity(3000);
/// A silent upstream counts towards the announced capacity for this long, so that the loss of many
/// upstreams does not lower the floor for the remaining ones.
inline constexpr std::chrono::milliseconds kSilentCapacityRetention(13'000);

/// Identifies one incarnation of an upstream.
struct upstream_id {
  std::string name;
  std::string incarnation;

  auto operator<=>(const upstream_id&) const = default;
};

/// State of the current incarnation of an upstream.
struct upstream_entry {
  announcement last;
  steady_time first_seen;
  steady_time
      ready_since;  ///< Time of the first announcement as ready; equals `first_seen` until then.
  steady_time last_seen;
  std::deque<std::string> former_incarnations;

  upstream_id Id() const { return {last.upstream, last.incarnation}; }
  bool IsFresh(steady_time now) const { return now - last_seen < kAnnouncementValidity; }
  /// Whether the upstream may receive new requests according to its announcements.
  bool IsReady(steady_time now) const {
    return last.state == upstream_state::kReady && IsFresh(now);
  }
};

enum class announce_result {
  kNew,      ///< First announcement of the incarnation.
  kRenewed,  ///< Repeated announcement of the current incarnation.
  kIgnored,  ///< Announcement of a replaced or older incarnation.
};

/// Tracks the current incarnation of each upstream. The state of an incarnation only advances, from
/// starting through ready to leaving, and a replaced incarnation never returns. Not thread safe.
class upstream_directory {
 public:
  announce_result Announce(const announcement& update, steady_time now);

  const upstream_entry* Find(const upstream_id& id) const;
  const std::map<std::string, upstream_entry>& Entries() const { return entries_; }

  /// Erases upstreams that have been silent for an hour.
  void Sweep(steady_time now);

 private:
  bool MayReplace(const upstream_entry& current, const announcement& update, steady_time now) const;
  void MarkOthersAtAddressLeaving(const announcement& update);

  std::map<std::string, upstream_entry> entries_;
};

}  // namespace corianderhoist
