/// State split into shards by key, each shard under its own lock.
#pragma once

#include "base/hash.h"

#include <array>
#include <mutex>
#include <string_view>
#include <utility>

namespace corianderhoist {

/// `Count` instances of `State`; an operation locks only the shard of its key.
template <class State, std::size_t Count = 16>
class sharded {
 public:
  /// Calls `function(State&)` under the lock of the shard that holds `key` and returns its value.
  template <class Function>
  auto With(std::string_view key, Function&& function) {
    return WithShard(FastHash(key) % Count, std::forward<Function>(function));
  }

  /// Calls `function(State&)` for every shard, one lock at a time.
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
