#include "coordinator/config_publisher.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::chrono::milliseconds kMaxPollWait(30'000);

}  // namespace

void config_publisher::Fetch(const config_fetch_request& request,
                             rpc_callback<config_fetch_reply> reply) {
  {
    // The version is read under the lock, so that `Publish` cannot miss a call that is about to
    // wait.
    const std::lock_guard guard(lock_);
    if (state_.ConfigVersion() <= request.after_version && request.wait.count() > 0) {
      waiters_.push_back({request.after_version,
                          clock_.Now() + std::min(request.wait, kMaxPollWait), std::move(reply)});
      return;
    }
  }
  reply(state_.ConfigAfter(request.after_version));
}

void config_publisher::Publish() {
  std::vector<waiter> due;
  {
    const std::lock_guard guard(lock_);
    const std::uint64_t version = state_.ConfigVersion();
    const steady_time now = clock_.Now();
    const auto first_due = std::partition(
        waiters_.begin(), waiters_.end(),
        [&](const waiter& each) { return version <= each.after_version && now < each.deadline; });
    std::move(first_due, waiters_.end(), std::back_inserter(due));
    waiters_.erase(first_due, waiters_.end());
  }
  for (const waiter& each : due) {
    each.reply(state_.ConfigAfter(each.after_version));
  }
}

void config_publisher::Close() {
  std::vector<waiter> all;
  {
    const std::lock_guard guard(lock_);
    all = std::exchange(waiters_, {});
  }
  for (const waiter& each : all) {
    each.reply(config_fetch_reply{});
  }
}

}  // namespace corianderhoist
