#include "entry/session_keeper.h"

#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A coordinator drops a session after 2 s; three renewals may be lost before that.
constexpr milliseconds kRenewal(500);
constexpr milliseconds kTryTimeout(500);
constexpr milliseconds kLeaveDeadline(1000);

}  // namespace

session_keeper::session_keeper(entry_context& context, clients& coordinators)
    : context_(context),
      coordinators_(coordinators),
      renewing_(std::make_shared<std::set<std::string>>()) {}

session_keeper::~session_keeper() = default;

void session_keeper::Start() {
  context_.leases.Touch(context_.settings.region);
  timer_ = std::make_unique<QTimer>();
  QObject::connect(timer_.get(), &QTimer::timeout, timer_.get(), [this] { Renew(); });
  timer_->start(kRenewal);
  Renew();
}

void session_keeper::Renew() {
  for (const auto& [region, leases] : context_.leases.Snapshot()) {
    // A renewal that still retries would arrive after newer ones, with an outdated list.
    if (!renewing_->insert(region).second) {
      continue;
    }
    Send(region, {context_.settings.process.name, context_.session, leases, false},
         [renewing = renewing_, region = region] { renewing->erase(region); });
  }
}

void session_keeper::Leave(const std::function<void()>& done) {
  timer_.reset();
  const auto regions = context_.leases.Snapshot();
  const auto left = std::make_shared<std::size_t>(regions.size());
  for (const auto& [region, leases] : regions) {
    Send(region, {context_.settings.process.name, context_.session, leases, true}, [left, done] {
      if (--*left == 0) {
        done();
      }
    });
  }
}

void session_keeper::Send(const std::string& region,
                          const session_request& message,
                          const std::function<void()>& done) {
  const auto found = coordinators_.find(region);
  if (found == coordinators_.end()) {
    done();
    return;
  }
  found->second->Call<empty_message>(
      {"coordinator.session", [message] { return Encode(message); }, kTryTimeout,
       context_.clock.Now() + kLeaveDeadline},
      [done](const rpc_result<empty_message>&, steady_time) { done(); });
}

}  // namespace corianderhoist
