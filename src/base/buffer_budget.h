/// Accounting of the bytes that a VM buffers for all its connections.
#pragma once

#include <cstddef>

namespace corianderhoist {

/// Bytes held by all buffers of a VM. Each connection bounds what it holds; the budget bounds the
/// sum, since many connections with full buffers would exceed the memory of the VM. Not thread
/// safe.
class buffer_budget {
 public:
  /// `capacity` in bytes.
  explicit buffer_budget(std::size_t capacity) : capacity_(capacity) {}

  std::size_t Used() const { return used_; }
  std::size_t Capacity() const { return capacity_; }
  /// Whether the rest is reserved for requests that have been admitted: no more large ones are.
  bool IsLow() const { return used_ >= capacity_ / 4 * 3; }
  bool IsExhausted() const { return used_ >= capacity_; }
  /// The number of bytes that one buffer may hold now: `largest` until half of the capacity is
  /// used, from there on falling to `smallest` when all of it is.
  std::size_t BufferLimit(std::size_t largest, std::size_t smallest) const;

 private:
  friend class buffer_hold;
  const std::size_t capacity_;
  std::size_t used_ = 0;
};

/// The bytes that one owner holds of a budget; given back by the destructor. The budget must
/// outlive it.
class buffer_hold {
 public:
  /// A hold without a budget counts nothing.
  explicit buffer_hold(buffer_budget* budget = nullptr) : budget_(budget) {}
  ~buffer_hold() { Set(0); }
  buffer_hold(const buffer_hold&) = delete;
  buffer_hold& operator=(const buffer_hold&) = delete;

  /// Sets the number of bytes that the owner holds now.
  void Set(std::size_t bytes);
  /// Counts in `budget` from now on.
  void Use(buffer_budget* budget);

 private:
  buffer_budget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace corianderhoist
