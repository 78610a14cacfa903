#include "serving/crash_evidence.h"

#include <utility>

namespace corianderhoist {

bool crash_evidence::NoteLoss(std::uint64_t fingerprint, steady_time now) {
  const outcome* known = Find(fingerprint);
  if (known != nullptr && *known == outcome::kSucceeded) {
    return false;
  }
  Set(fingerprint, outcome::kLost, now);
  return true;
}

bool crash_evidence::NoteSuccess(std::uint64_t fingerprint, steady_time now) {
  const outcome* known = Find(fingerprint);
  const bool was_lost = known != nullptr && *known == outcome::kLost;
  Set(fingerprint, outcome::kSucceeded, now);
  return was_lost;
}

const crash_evidence::outcome* crash_evidence::Find(std::uint64_t fingerprint) const {
  for (const generation* each : {&newer_, &older_}) {
    if (const auto found = each->find(fingerprint); found != each->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void crash_evidence::Set(std::uint64_t fingerprint, outcome value, steady_time now) {
  if (now - newer_since_ >= kMemory || newer_.size() >= kMaxRequests / 2) {
    older_ = std::exchange(newer_, {});
    newer_since_ = now;
  }
  newer_[fingerprint] = value;
}

}  // namespace corianderhoist
