/// Copy-on-write ordered map.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace corianderhoist {

/// Stores sorted entries in reference-counted chunks of up to 128 entries. Copying a map copies one
/// pointer per chunk. A modification first copies the affected chunk if another map shares it, so
/// one thread can modify a map while other threads read copies of it. A single object is not thread
/// safe. Iterators are constant and are invalidated by any modification.
template <class Key, class Value>
class chunked_map {
  using chunk = std::vector<std::pair<Key, Value>>;

 public:
  using key_type = Key;
  using mapped_type = Value;
  using value_type = std::pair<Key, Value>;

  class const_iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = std::pair<Key, Value>;
    using difference_type = std::ptrdiff_t;
    using pointer = const value_type*;
    using reference = const value_type&;

    const_iterator() = default;
    reference operator*() const { return (*map_->chunks_[chunk_])[position_]; }
    pointer operator->() const { return &**this; }
    const_iterator& operator++() {
      if (++position_ == map_->chunks_[chunk_]->size()) {
        ++chunk_;
        position_ = 0;
      }
      return *this;
    }
    const_iterator operator++(int) {
      const_iterator before = *this;
      ++*this;
      return before;
    }
    bool operator==(const const_iterator&) const = default;

   private:
    friend class chunked_map;
    const_iterator(const chunked_map* map, std::size_t chunk_index, std::size_t position)
        : map_(map), chunk_(chunk_index), position_(position) {}

    const chunked_map* map_ = nullptr;
    std::size_t chunk_ = 0;
    std::size_t position_ = 0;
  };
  using iterator = const_iterator;

  chunked_map() = default;
  chunked_map(std::initializer_list<value_type> entries) {
    for (const value_type& entry : entries) {
      emplace(entry.first, entry.second);
    }
  }

  const_iterator begin() const { return {this, 0, 0}; }
  const_iterator end() const { return {this, chunks_.size(), 0}; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  /// Returns the first entry whose key is not less than `key`.
  template <class Other>
  const_iterator lower_bound(const Other& key) const {
    const auto found = std::lower_bound(
        chunks_.begin(), chunks_.end(), key,
        [](const std::shared_ptr<chunk>& each, const Other& k) { return each->back().first < k; });
    if (found == chunks_.end()) {
      return end();
    }
    const auto entry =
        std::lower_bound((*found)->begin(), (*found)->end(), key,
                         [](const value_type& each, const Other& k) { return each.first < k; });
    return {this, static_cast<std::size_t>(found - chunks_.begin()),
            static_cast<std::size_t>(entry - (*found)->begin())};
  }

  template <class Other>
  const_iterator find(const Other& key) const {
    const const_iterator found = lower_bound(key);
    return found != end() && found->first == key ? found : end();
  }

  template <class Other>
  bool contains(const Other& key) const {
    return find(key) != end();
  }

  template <class Other>
  std::size_t count(const Other& key) const {
    return contains(key) ? 1 : 0;
  }

  template <class Other>
  const Value& at(const Other& key) const {
    const const_iterator found = find(key);
    if (found == end()) {
      throw std::out_of_range("no entry with this key");
    }
    return found->second;
  }

  /// Inserts an entry unless the key is present.
  std::pair<const_iterator, bool> emplace(Key key, Value value) {
    // Appending in key order needs no search.
    const bool is_last = chunks_.empty() || chunks_.back()->back().first < key;
    const const_iterator found = is_last ? end() : lower_bound(key);
    if (found != end() && found->first == key) {
      return {found, false};
    }
    ++size_;
    return {Insert(found, value_type(std::move(key), std::move(value))), true};
  }

  std::pair<const_iterator, bool> insert_or_assign(Key key, Value value) {
    const auto [found, is_new] = emplace(std::move(key), Value{});
    DetachChunk(found.chunk_)[found.position_].second = std::move(value);
    return {found, is_new};
  }

  /// Returns the value of `key`, inserting a default value if the key is missing. The reference is
  /// invalidated by the next modification.
  Value& operator[](const Key& key) {
    const const_iterator found = emplace(key, Value{}).first;
    return DetachChunk(found.chunk_)[found.position_].second;
  }

  std::size_t erase(const Key& key) {
    const const_iterator found = find(key);
    if (found == end()) {
      return 0;
    }
    --size_;
    chunk& changed = DetachChunk(found.chunk_);
    changed.erase(changed.begin() + static_cast<std::ptrdiff_t>(found.position_));
    MergeWithNext(found.chunk_);
    return 1;
  }

  void clear() {
    chunks_.clear();
    size_ = 0;
  }

  friend bool operator==(const chunked_map& left, const chunked_map& right) {
    return left.size_ == right.size_ && std::equal(left.begin(), left.end(), right.begin());
  }

 private:
  static constexpr std::size_t kMaxEntries = 128;

  // Returns the chunk at `index`, copied first if another map shares it.
  chunk& DetachChunk(std::size_t index) {
    std::shared_ptr<chunk>& owned = chunks_[index];
    if (owned.use_count() > 1) {
      owned = std::make_shared<chunk>(*owned);
    } else {
      // Orders reads by a former owner on another thread before the modification that follows.
      std::atomic_thread_fence(std::memory_order_acquire);
    }
    return *owned;
  }

  const_iterator Insert(const_iterator where, value_type entry) {
    if (where == end()) {
      // Appending in key order fills each chunk completely.
      if (chunks_.empty() || chunks_.back()->size() >= kMaxEntries) {
        chunks_.push_back(std::make_shared<chunk>());
      }
      chunk& last = DetachChunk(chunks_.size() - 1);
      last.push_back(std::move(entry));
      return {this, chunks_.size() - 1, last.size() - 1};
    }
    if (chunks_[where.chunk_]->size() >= kMaxEntries) {
      SplitChunk(where.chunk_);
      if (where.position_ > kMaxEntries / 2) {
        where = {this, where.chunk_ + 1, where.position_ - kMaxEntries / 2};
      }
    }
    chunk& changed = DetachChunk(where.chunk_);
    changed.insert(changed.begin() + static_cast<std::ptrdiff_t>(where.position_),
                   std::move(entry));
    return where;
  }

  void SplitChunk(std::size_t index) {
    chunk& lower = DetachChunk(index);
    const auto middle = lower.begin() + static_cast<std::ptrdiff_t>(kMaxEntries / 2);
    auto upper = std::make_shared<chunk>(std::make_move_iterator(middle),
                                         std::make_move_iterator(lower.end()));
    lower.erase(middle, lower.end());
    lower.shrink_to_fit();
    chunks_.insert(chunks_.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(upper));
  }

  // Removes the chunk at `index` if it is empty, or merges it with the next chunk if both together
  // fill at most half a chunk.
  void MergeWithNext(std::size_t index) {
    const auto where = chunks_.begin() + static_cast<std::ptrdiff_t>(index);
    if ((*where)->empty()) {
      chunks_.erase(where);
      return;
    }
    if (index + 1 < chunks_.size() &&
        (*where)->size() + (*(where + 1))->size() <= kMaxEntries / 2) {
      chunk& joined = DetachChunk(index);
      joined.insert(joined.end(), chunks_[index + 1]->begin(), chunks_[index + 1]->end());
      chunks_.erase(chunks_.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    }
  }

  std::vector<std::shared_ptr<chunk>> chunks_;  // No chunk is empty.
  std::size_t size_ = 0;
};

}  // namespace corianderhoist
