#include "support/coordinator_fixture.h"

#include <stdexcept>

namespace corianderhoist {

using std::chrono::milliseconds;

void test_timers::RunDue() {
  while (!tasks_.empty() && tasks_.begin()->first <= clock_.Now()) {
    auto task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    task();
  }
}

coordinator_fixture::coordinator_fixture(const std::vector<std::string>& rules,
                                         const std::vector<std::string>& workspaces)
    : core(std::make_shared<coordinator_core>(
          "north",
          state,
          log,
          clock,
          [this](std::chrono::nanoseconds delay, std::function<void()> task) {
            timers.After(delay, std::move(task));
          })) {
  state.SetConfigObserver(
      [this](const std::vector<limit_change>& limits, const std::vector<digest>& released) {
        core->OnConfig(limits, released);
      });
  config_change initial;
  initial.version = 1;
  for (const std::string& rule : rules) {
    initial.added_rules.push_back(rule + " # test");
  }
  for (const std::string& workspace : workspaces) {
    initial.keys.push_back({"key-" + workspace, Sha256("key of " + workspace), workspace, false});
  }
  ApplyConfig(std::move(initial));
}

void coordinator_fixture::ApplyConfig(config_change change) {
  config_fetch_reply update;
  update.changes.push_back(std::move(change));
  core->Writer()->CommitConfig(std::move(update), [](const rpc_result<region_result>& reply) {
    const auto* outcome = std::get_if<region_result>(&reply);
    if (outcome == nullptr || !outcome->config_fault.empty()) {
      throw std::runtime_error("configuration refused: " +
                               (outcome == nullptr ? "no leader" : outcome->config_fault));
    }
  });
}

void coordinator_fixture::AdvanceTime(milliseconds duration) {
  constexpr milliseconds kStep(5);
  constexpr milliseconds kAnnounceInterval(1000);
  for (milliseconds elapsed(0); elapsed < duration; elapsed += kStep) {
    clock.Advance(kStep);
    timers.RunDue();
    const auto now = std::chrono::duration_cast<milliseconds>(clock.Now().time_since_epoch());
    if (now % coordinator_core::kTickInterval == milliseconds(0)) {
      core->Tick();
    }
    if (now % kAnnounceInterval == milliseconds(0)) {
      for (const announcement& upstream : upstreams) {
        core->Announce(upstream, [](const rpc_result<empty_message>&) {});
      }
      core->Session({"entry-1", "s1", {}, false}, [](const rpc_result<empty_message>&) {});
    }
  }
}

void coordinator_fixture::AnnounceUpstreams(const std::string& service,
                                            int count,
                                            std::uint32_t slots) {
  for (int i = 0; i < count; ++i) {
    announcement upstream;
    upstream.upstream = service + '-' + std::to_string(i);
    upstream.incarnation = "first";
    upstream.started_at_ms = 1;
    upstream.service = service;
    upstream.region = "north";
    upstream.data_centre = "a";
    upstream.address = "127.0.0.1:" + std::to_string(10'000 + upstreams.size());
    upstream.slots = slots;
    upstreams.push_back(upstream);
    core->Announce(upstream, [](const rpc_result<empty_message>&) {});
  }
}

acquire_request coordinator_fixture::Request(const std::string& workspace,
                                             const std::string& service) {
  acquire_request request;
  request.request_id = "request-" + std::to_string(next_request_++);
  request.entry_vm = "entry-1";
  request.session = "s1";
  request.workspace = workspace;
  request.key_hash = Sha256("key of " + workspace);
  request.service = service;
  request.config_version = state.ConfigVersion();
  request.fingerprint = Sha256(request.request_id);
  request.body_digest = Sha256("body");
  request.is_idempotent = true;
  request.remaining = std::chrono::seconds(10);
  return request;
}

void coordinator_fixture::StartAcquire(const acquire_request& request) {
  core->Acquire(request, [this, id = request.request_id](rpc_result<acquire_reply> reply) {
    replies_.insert_or_assign(id, std::move(reply));
  });
}

std::optional<rpc_result<acquire_reply>> coordinator_fixture::ReplyTo(
    const std::string& request_id) const {
  const auto found = replies_.find(request_id);
  return found == replies_.end() ? std::nullopt : std::optional(found->second);
}

rpc_result<acquire_reply> coordinator_fixture::Acquire(const acquire_request& request,
                                                       milliseconds timeout) {
  replies_.erase(request.request_id);
  StartAcquire(request);
  for (milliseconds elapsed(0); elapsed < timeout && !replies_.contains(request.request_id);
       elapsed += milliseconds(5)) {
    AdvanceTime(milliseconds(5));
  }
  const auto found = replies_.find(request.request_id);
  if (found == replies_.end()) {
    throw std::runtime_error("timed out waiting for the acquire reply");
  }
  return found->second;
}

void coordinator_fixture::Complete(const acquire_request& request,
                                   const acquire_reply& granted,
                                   attempt_result outcome,
                                   std::optional<stored_answer> answer) {
  complete_request report;
  report.request_id = request.request_id;
  report.entry_vm = request.entry_vm;
  report.session = request.session;
  report.lease = granted.lease;
  report.workspace = request.workspace;
  report.upstream = granted.upstream;
  report.incarnation = granted.incarnation;
  report.outcome = outcome;
  report.latency = std::chrono::milliseconds(5);
  report.fingerprint = request.fingerprint;
  report.idempotency_key = request.idempotency_key;
  report.answer = std::move(answer);
  core->Complete(report, [](const rpc_result<empty_message>&) {});
}

std::optional<error_kind> KindOf(const rpc_result<acquire_reply>& reply) {
  const auto* failure = std::get_if<rpc_failure>(&reply);
  return failure == nullptr ? std::nullopt : std::optional(failure->kind);
}

}  // namespace corianderhoist
