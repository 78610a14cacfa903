#include "support/fake_coordinator.h"

#include "rules/rules_file.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::uint32_t kIdleConnections = 4;

}  // namespace

fake_coordinator::fake_coordinator(test_certificate_authority& keys, std::string region)
    : name_("coordinator-" + region + "-1"), server_(keys.Identity("coordinator", name_), 2) {
  server_.Handle<acquire_request, acquire_reply>(
      "coordinator.acquire", {"entry"},
      [this](const rpc_context&, const acquire_request& request,
             const rpc_callback<acquire_reply>& reply) { OnAcquire(request, reply); });
  server_.Handle<complete_request, empty_message>(
      "coordinator.complete", {"entry"},
      [this](const rpc_context&, const complete_request& request,
             const rpc_callback<empty_message>& reply) {
        {
          const std::lock_guard guard(lock_);
          completes_.push_back(request);
        }
        reply(empty_message{});
      });
  server_.Handle<session_request, empty_message>(
      "coordinator.session", {"entry"},
      [this](const rpc_context&, const session_request& request,
             const rpc_callback<empty_message>& reply) {
        {
          const std::lock_guard guard(lock_);
          sessions_.push_back(request);
        }
        reply(empty_message{});
      });
  server_.Handle<announcement, empty_message>(
      "coordinator.announce", {"entry"},
      [this](const rpc_context&, const announcement& upstream,
             const rpc_callback<empty_message>& reply) {
        {
          const std::lock_guard guard(lock_);
          announcements_.push_back(upstream);
          upstreams_[upstream.upstream] = upstream;
        }
        reply(empty_message{});
      });
  server_.Handle<config_fetch_request, config_fetch_reply>(
      "config.fetch", {"entry"},
      [this](const rpc_context&, const config_fetch_request& request,
             const rpc_callback<config_fetch_reply>& reply) { OnFetch(request, reply); });
  port_ = Expect([&] { return server_.Listen({"127.0.0.1", 0}); });
}

void fake_coordinator::SetRules(const std::string& rules) {
  const auto parsed = ParseRules(rules);
  if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed)) {
    throw std::runtime_error(FormatFault("test rules", faults->front()));
  }
  const std::lock_guard guard(lock_);
  snapshot_.rules = CanonicalLines(std::get<rule_set>(parsed));
  PublishLocked();
}

void fake_coordinator::SetKey(const std::string& key,
                              const std::string& workspace,
                              bool is_withdrawn) {
  const std::lock_guard guard(lock_);
  const digest hash = Sha256(key);
  std::erase_if(snapshot_.keys, [&](const key_record& record) { return record.key_hash == hash; });
  snapshot_.keys.push_back({"id-" + ToHex(hash).substr(0, 8), hash, workspace, is_withdrawn});
  PublishLocked();
}

void fake_coordinator::SetDecision(decision decide) {
  const std::lock_guard guard(lock_);
  decision_ = std::move(decide);
}

void fake_coordinator::SetUpstream(announcement upstream) {
  const std::lock_guard guard(lock_);
  upstreams_[upstream.upstream] = std::move(upstream);
}

std::vector<complete_request> fake_coordinator::Completes() const {
  const std::lock_guard guard(lock_);
  return completes_;
}

std::vector<acquire_request> fake_coordinator::Acquires() const {
  const std::lock_guard guard(lock_);
  return acquires_;
}

std::vector<session_request> fake_coordinator::Sessions() const {
  const std::lock_guard guard(lock_);
  return sessions_;
}

std::vector<announcement> fake_coordinator::Announcements() const {
  const std::lock_guard guard(lock_);
  return announcements_;
}

void fake_coordinator::OnAcquire(const acquire_request& request,
                                 const rpc_callback<acquire_reply>& reply) {
  decision decide;
  acquire_reply granted;
  {
    const std::lock_guard guard(lock_);
    acquires_.push_back(request);
    decide = decision_;
    for (const auto& [name, upstream] : upstreams_) {
      const bool is_avoided =
          std::find(request.avoid.begin(), request.avoid.end(), name) != request.avoid.end();
      if (upstream.service == request.service && upstream.state == upstream_state::kReady &&
          (granted.lease.empty() || !is_avoided)) {
        granted = {"lease-" + std::to_string(next_lease_++),
                   name,
                   upstream.incarnation,
                   upstream.address,
                   upstream.region + "/" + upstream.data_centre,
                   {},
                   {},
                   {},
                   kIdleConnections};
      }
    }
  }
  if (decide && decide(request, reply)) {
    return;
  }
  if (granted.lease.empty()) {
    reply(rpc_failure{error_kind::kNoUpstream, "no upstream has announced itself", {}});
    return;
  }
  reply(std::move(granted));
}

void fake_coordinator::OnFetch(const config_fetch_request& request,
                               const rpc_callback<config_fetch_reply>& reply) {
  const std::lock_guard guard(lock_);
  if (snapshot_.version > request.after_version) {
    reply(config_fetch_reply{snapshot_, {}});
  } else {
    pending_fetches_.emplace_back(request.after_version, reply);
  }
}

void fake_coordinator::PublishLocked() {
  ++snapshot_.version;
  snapshot_.routing_version = snapshot_.version;
  for (const auto& [version, reply] : std::exchange(pending_fetches_, {})) {
    reply(config_fetch_reply{snapshot_, {}});
  }
}

}  // namespace corianderhoist
