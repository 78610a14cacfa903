/// State partitioned by key into shards, each protected by its own mutex.
#pragma once

#include "base/hash.h"

#include <array>
#include <mutex>
#include <string_view>
#include <utility>

namespace corianderhoist {

/// Holds `Count` instances of `State`. An operation locks only the shard of its key.
template <class State, std::size_t Count = 16>
class sharded {
 public:
  /// Calls `function(State&)` with the shard of `key` locked and returns its result.
  template <class Function>
  auto WithLockedShard(std::string_view key, Function&& function) {
    return WithShard(FastHash(key) % Count, std::forward<Function>(function));
  }

  /// Calls `function(State&)` for every shard, holding one lock at a time.
  template <class Function>
  void ForEach(Function&& function) {
    for (std::size_t i = 0; i < Count; ++i) {
      WithShard(i, function);
    }
  }

 private:
  struct shard {
    std::mutex lock;
    State state;
  };

  template <class Function>
  auto WithShard(std::size_t index, Function&& function) {
    shard& chosen = shards_[index];
    const std::lock_guard guard(chosen.lock);
    return function(chosen.state);
  }

  std::array<shard, Count> shards_;
};

}  // namespace corianderhoist
