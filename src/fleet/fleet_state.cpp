#include "fleet/fleet_state.h"

#include "base/log.h"
#include "wire/body_compression.h"

#include <QByteArray>

#include <utility>

namespace corianderhoist {
namespace {

constexpr int kDefaultCompression = -1;

struct state_snapshot {
  policy_document policy;
  std::vector<upstream_entry> upstreams;
  std::uint32_t next_handle = 1;
  std::uint64_t evicted_index = 0;
  std::uint64_t applied_index = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.policy);
    visit(2, self.upstreams);
    visit(3, self.next_handle);
    visit(4, self.evicted_index);
    visit(5, self.applied_index);
  }
};

}  // namespace

std::string PackText(std::string_view text) {
  const QByteArray packed = qCompress(reinterpret_cast<const uchar*>(text.data()),
                                      static_cast<qsizetype>(text.size()), kDefaultCompression);
  return packed.toStdString();
}

result<std::string> UnpackText(std::string_view packed) {
  const QByteArray text = qUncompress(reinterpret_cast<const uchar*>(packed.data()),
                                      static_cast<qsizetype>(packed.size()));
  if (text.isEmpty() && !packed.empty()) {
    return Fail(error_kind::kMalformedMessage, "packed text cannot be unpacked");
  }
  return text.toStdString();
}

std::string fleet_state::Apply(std::uint64_t index, std::string_view command) {
  return Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_AUTO(change, Decode<fleet_command>(command));
        const std::lock_guard guard(lock_);
        applied_index_ = index;
        if (change.policy.version > policy_.version) {
          policy_ = std::move(change.policy);
        }
        for (const upstream_notice& notice : change.notices) {
          roster_.Apply(notice, index);
        }
        for (const upstream_handle handle : change.expired) {
          roster_.Expire(handle, index);
        }
        return std::string();
      },
      [&](const error& failure) {
        log_event(log_level::kError, "log_entry_unreadable")
            .Field("index", index)
            .Field("cause", failure.detail);
        return std::string();
      });
}

std::string fleet_state::Snapshot() {
  const std::lock_guard guard(lock_);
  return Encode(state_snapshot{policy_, roster_.ChangedSince(0), roster_.NextHandle(),
                               roster_.EvictedIndex(), applied_index_});
}

void fleet_state::Restore(std::string_view bytes) {
  auto restored =
      Recover([&] { return Decode<state_snapshot>(bytes); },
              [](const error& failure) {
                log_event(log_level::kError, "snapshot_unreadable").Field("cause", failure.detail);
                return state_snapshot();
              });
  const std::lock_guard guard(lock_);
  policy_ = std::move(restored.policy);
  roster_.Restore(std::move(restored.upstreams), restored.next_handle, restored.evicted_index);
  applied_index_ = restored.applied_index;
}

policy_document fleet_state::Policy() const {
  const std::lock_guard guard(lock_);
  return policy_;
}

std::uint64_t fleet_state::PolicyVersion() const {
  const std::lock_guard guard(lock_);
  return policy_.version;
}

std::uint64_t fleet_state::AppliedIndex() const {
  const std::lock_guard guard(lock_);
  return applied_index_;
}

bool fleet_state::WouldChange(const upstream_notice& notice) const {
  const std::lock_guard guard(lock_);
  return roster_.WouldChange(notice);
}

std::vector<upstream_entry> fleet_state::Upstreams() const {
  const std::lock_guard guard(lock_);
  return roster_.ChangedSince(0);
}

fleet_changes fleet_state::ChangesSince(std::uint64_t version, std::uint64_t index) const {
  const std::lock_guard guard(lock_);
  fleet_changes changes;
  changes.index = applied_index_;
  if (policy_.version > version) {
    changes.policy = policy_;
  }
  changes.is_whole_roster = index < roster_.EvictedIndex() || index == 0;
  changes.upstreams = roster_.ChangedSince(changes.is_whole_roster ? 0 : index);
  return changes;
}

}  // namespace corianderhoist
