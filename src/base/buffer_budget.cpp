#include "base/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {

std::size_t buffer_budget::BufferLimit(std::size_t largest, std::size_t smallest) const {
  const std::size_t half = capacity_ / 2;
  if (used_ <= half || largest <= smallest) {
    return largest;
  }
  const double left = static_cast<double>(capacity_ - std::min(used_, capacity_)) /
                      static_cast<double>(capacity_ - half);
  return smallest + static_cast<std::size_t>(left * static_cast<double>(largest - smallest));
}

void buffer_hold::Set(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->used_ = budget_->used_ - bytes_ + bytes;
  }
  bytes_ = bytes;
}

void buffer_hold::Use(buffer_budget* budget) {
  const std::size_t bytes = std::exchange(bytes_, 0);
  if (budget_ != nullptr) {
    budget_->used_ -= bytes;
  }
  budget_ = budget;
  Set(bytes);
}

}  // namespace corianderhoist
