/// Bounded queue with deficit round robin between flows and earliest deadline first within a flow.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corianderhoist {

/// Deficit round robin over flows (one per workspace) with equal weights. Costs and `quantum` share
/// any unit, for example milliseconds of slot time. A full queue drops the entry with the latest
/// deadline from its longest flow, so that a noisy workspace cannot crowd out others. Not thread
/// safe.
template <class Entry>
class fair_queue {
 public:
  fair_queue(std::size_t capacity, std::uint32_t quantum)
      : capacity_(capacity), quantum_(std::max<std::uint32_t>(quantum, 1)) {}

  /// Adds an entry. Returns the entry that a full queue drops, which may be the new one.
  std::optional<Entry> Push(const std::string& flow_name,
                            steady_time deadline,
                            std::uint32_t cost,
                            Entry entry) {
    std::optional<Entry> removed;
    if (size_ >= capacity_) {
      const auto longest = LongestFlow();
      const auto own = flows_.find(flow_name);
      const std::size_t own_size = own == flows_.end() ? 0 : own->second.entries.size();
      if (longest == flows_.end() || longest->second.entries.size() <= own_size) {
        return entry;
      }
      removed = Remove(longest, std::prev(longest->second.entries.end()));
    }
    auto [found, is_new] = flows_.try_emplace(flow_name);
    if (is_new) {
      found->second.position = service_order_.insert(service_order_.end(), flow_name);
    }
    found->second.entries.emplace(deadline,
                                  queued{std::max<std::uint32_t>(cost, 1), std::move(entry)});
    ++size_;
    return removed;
  }

  /// Removes and returns the next entry that `is_eligible(entry)` accepts, in order of deadlines
  /// within a flow. Skips entries past their deadline; `TakeExpired` removes those.
  template <class Predicate>
  std::optional<Entry> Pop(steady_time now, Predicate&& is_eligible) {
    while (true) {
      bool has_eligible_entry = false;
      for (std::size_t visits = service_order_.size(); visits > 0; --visits) {
        const auto found = flows_.find(service_order_.front());
        auto next = NextEligible(found->second, now, is_eligible);
        if (next == found->second.entries.end()) {
          Rotate();
          continue;
        }
        has_eligible_entry = true;
        if (found->second.deficit < next->second.cost) {
          found->second.deficit += quantum_;
        }
        if (found->second.deficit < next->second.cost) {
          Rotate();
          continue;
        }
        found->second.deficit -= next->second.cost;
        const bool is_quantum_spent = found->second.deficit < next->second.cost;
        const bool is_last = found->second.entries.size() == 1;
        Entry entry = Remove(found, next);
        if (is_quantum_spent && !is_last) {
          Rotate();
        }
        return entry;
      }
      if (!has_eligible_entry) {
        return std::nullopt;
      }
    }
  }

  /// Removes all entries whose deadline has passed.
  std::vector<Entry> TakeExpired(steady_time now) {
    std::vector<Entry> expired;
    for (auto found = flows_.begin(); found != flows_.end();) {
      const auto following = std::next(found);
      while (found->second.entries.begin()->first <= now) {
        const bool is_last = found->second.entries.size() == 1;
        expired.push_back(Remove(found, found->second.entries.begin()));
        if (is_last) {
          break;
        }
      }
      found = following;
    }
    return expired;
  }

  std::size_t Size() const { return size_; }

  /// Number of entries in each flow.
  std::map<std::string, std::size_t> Lengths() const {
    std::map<std::string, std::size_t> lengths;
    for (const auto& [name, each] : flows_) {
      lengths[name] = each.entries.size();
    }
    return lengths;
  }

 private:
  struct queued {
    std::uint32_t cost;
    Entry entry;
  };
  struct flow {
    std::multimap<steady_time, queued> entries;
    std::uint64_t deficit = 0;
    std::list<std::string>::iterator position;
  };
  using flow_map = std::map<std::string, flow>;
  using entry_iterator = typename std::multimap<steady_time, queued>::iterator;

  template <class Predicate>
  static entry_iterator NextEligible(flow& owner, steady_time now, Predicate& is_eligible) {
    auto next = owner.entries.upper_bound(now);
    while (next != owner.entries.end() && !is_eligible(next->second.entry)) {
      ++next;
    }
    return next;
  }

  typename flow_map::iterator LongestFlow() {
    return std::max_element(flows_.begin(), flows_.end(), [](const auto& left, const auto& right) {
      return left.second.entries.size() < right.second.entries.size();
    });
  }

  void Rotate() {
    service_order_.splice(service_order_.end(), service_order_, service_order_.begin());
  }

  Entry Remove(typename flow_map::iterator owner, entry_iterator position) {
    Entry entry = std::move(position->second.entry);
    owner->second.entries.erase(position);
    if (owner->second.entries.empty()) {
      service_order_.erase(owner->second.position);
      flows_.erase(owner);
    }
    --size_;
    return entry;
  }

  const std::size_t capacity_;
  const std::uint32_t quantum_;
  flow_map flows_;
  std::list<std::string> service_order_;  // Round-robin order; the front flow is served next.
  std::size_t size_ = 0;
};

}  // namespace corianderhoist
