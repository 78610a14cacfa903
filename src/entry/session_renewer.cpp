#include "entry/session_renewer.h"

#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A coordinator ends a session 2 s after the last renewal, so three renewals may be lost.
constexpr milliseconds kRenewalInterval(500);
constexpr milliseconds kTryTimeout(500);
constexpr milliseconds kCallTimeout(1000);

}  // namespace

session_renewer::session_renewer(entry_context& context, clients& coordinators)
    : context_(context),
      coordinators_(coordinators),
      renewing_(std::make_shared<std::set<std::string>>()) {}

session_renewer::~session_renewer() = default;

void session_renewer::Start() {
  context_.leases.AddRegion(context_.settings.region);
  timer_ = std::make_unique<QTimer>();
  QObject::connect(timer_.get(), &QTimer::timeout, timer_.get(), [this] { Renew(); });
  timer_->start(kRenewalInterval);
  Renew();
}

void session_renewer::Renew() {
  for (const auto& [region, leases] : context_.leases.Snapshot()) {
    // A renewal that is still being retried could arrive after a newer one, with an outdated list.
    if (!renewing_->insert(region).second) {
      continue;
    }
    Send(region, {context_.settings.process.name, context_.session, leases, false},
         [renewing = renewing_, region = region] { renewing->erase(region); });
  }
}

void session_renewer::EndSessions(const std::function<void()>& done) {
  timer_.reset();
  const auto regions = context_.leases.Snapshot();
  const auto pending = std::make_shared<std::size_t>(regions.size());
  for (const auto& [region, leases] : regions) {
    Send(region, {context_.settings.process.name, context_.session, leases, true}, [pending, done] {
      if (--*pending == 0) {
        done();
      }
    });
  }
}

void session_renewer::Send(const std::string& region,
                           const session_request& message,
                           const std::function<void()>& done) {
  const auto found = coordinators_.find(region);
  if (found == coordinators_.end()) {
    done();
    return;
  }
  found->second->Call<empty_message>(
      {"coordinator.session", [message] { return Encode(message); }, kTryTimeout,
       context_.clock.Now() + kCallTimeout},
      [done](const rpc_result<empty_message>&, steady_time) { done(); });
}

}  // namespace corianderhoist
