/// The upstreams of one service, as they announce themselves.
#pragma once

#include "base/clock.h"
#include "coordinator/messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace corianderhoist {

/// An upstream without a new announcement for this long gets no new work.
inline constexpr std::chrono::milliseconds kUpstreamFreshness(3000);
/// An upstream that has fallen silent counts as announced capacity for this long, so that a mass
/// loss does not lower the floor of those that remain.
inline constexpr std::chrono::milliseconds kCapacityMemory(13'000);

/// Identifies one life of an upstream.
struct upstream_id {
  std::string name;
  std::string incarnation;

  auto operator<=>(const upstream_id&) const = default;
};

/// What is known of an upstream.
struct upstream_entry {
  announcement last;
  steady_time first_seen;
  steady_time ready_since;  ///< Of the first announcement as ready; `first_seen` before.
  steady_time last_seen;
  std::deque<std::string> former_incarnations;

  upstream_id Id() const { return {last.upstream, last.incarnation}; }
  bool IsFresh(steady_time now) const { return now - last_seen < kUpstreamFreshness; }
  /// May receive new work as far as its announcements go.
  bool IsReady(steady_time now) const {
    return last.state == upstream_state::kReady && IsFresh(now);
  }
};

enum class announce_result { kNew, kRenewed, kIgnored };

/// Not thread safe. An incarnation moves from starting over ready to leaving and never back; one
/// that another has replaced never returns.
class upstream_directory {
 public:
  announce_result Announce(const announcement& news, steady_time now);

  const upstream_entry* Find(const upstream_id& id) const;
  const std::map<std::string, upstream_entry>& Entries() const { return entries_; }

  /// Forgets upstreams that have been silent for an hour.
  void Sweep(steady_time now);

 private:
  bool MayReplace(const upstream_entry& current, const announcement& news, steady_time now) const;
  void EvictFromAddress(const announcement& news);

  std::map<std::string, upstream_entry> entries_;
};

}  // namespace corianderhoist
