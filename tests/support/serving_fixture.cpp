#include "support/serving_fixture.h"

#include "platform/header_names.h"
#include "platform/policy_json.h"
#include "support/test_certificate_authority.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <stdexcept>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval(5);
constexpr std::chrono::seconds kReadyTimeout(10);
constexpr std::chrono::seconds kStopTimeout(20);

const std::string kPolicyDocument = R"({"version":"r1",
  "routes":{
    "safe":{"host":"shop.example","path_prefix":"/safe/","kind":"safe","timeout_ms":1500,
            "goal_ms":600,"priority":1,"service":"reads","attempts":2},
    "once":{"host":"shop.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":1500,
            "goal_ms":600,"priority":1,"service":"orders","attempts":2},
    "open":{"host":"shop.example","path_prefix":"/open/","kind":"safe","timeout_ms":1500,
            "goal_ms":600,"priority":1,"service":"reads","attempts":2,"public":true}},
  "services":{"reads":{"health_path":"/health"},"orders":{"health_path":"/health"}},
  "limits":{"max_header_bytes":4096,"max_body_bytes":4000000,"header_timeout_ms":500,
            "idle_timeout_ms":2000},
  "tenants":{"workspace-a":{"api_keys":["key-a"],"priority":1,"rate_per_s":0,"burst":0}}})";

}  // namespace

// ---- fake_core ----

fake_core::fake_core(std::string document, std::uint64_t version) {
  SetPolicy(std::move(document), version);
  state_.index = 1;
  server_.Handle<watch_request, watch_reply>(
      "fleet.watch", {},
      [this](const rpc_context&, const watch_request& request, rpc_callback<watch_reply> respond) {
        Answer(request, respond);
      });
  server_.Handle<report_request, done_reply>(
      "fleet.report", {},
      [this](const rpc_context&, const report_request& request, rpc_callback<done_reply> respond) {
        const std::lock_guard guard(lock_);
        for (const attempt_outcome& note : request.seen.outcomes) {
          observations_.outcomes.push_back(note);
        }
        for (const crash_report& note : request.seen.crashes) {
          observations_.crashes.push_back(note);
        }
        MergeCounts(observations_.workspaces, request.seen.workspaces);
        MergeCounts(observations_.services, request.seen.services);
        MergeLatencies(observations_.latencies, request.seen.latencies);
        observations_.lost_races.insert(observations_.lost_races.end(),
                                        request.seen.lost_races.begin(),
                                        request.seen.lost_races.end());
        respond(done_reply{});
      });
  address_ = {"127.0.0.1", Expect([&] { return server_.Listen({"127.0.0.1", 0}); })};
}

fake_core::~fake_core() {
  server_.Close();
}

void fake_core::Answer(const watch_request& request, const rpc_callback<watch_reply>& respond) {
  ++watch_calls_;
  if (is_silent_) {
    return;
  }
  const steady_time arrived = SystemClock().Now();
  if (MustAwait(request)) {
    ++awaiting_calls_;
    Respond(request, arrived, respond);
    return;
  }
  // The hold of at most 50 ms keeps the VM from polling in a busy loop.
  loop_.After(std::min(request.hold, milliseconds(50)),
              [this, request, arrived, respond] { Respond(request, arrived, respond); });
}

bool fake_core::MustAwait(const watch_request& request) const {
  const std::lock_guard guard(lock_);
  return request.awaits_state && request.hold.count() > 0 && state_.policy.version == 0;
}

void fake_core::Respond(const watch_request& request,
                        steady_time arrived,
                        const rpc_callback<watch_reply>& respond) {
  if (MustAwait(request) && SystemClock().Now() - arrived < request.hold) {
    loop_.After(milliseconds(1),
                [this, request, arrived, respond] { Respond(request, arrived, respond); });
    return;
  }
  const std::lock_guard guard(lock_);
  watch_reply reply;
  reply.core_incarnation = 1;
  reply.is_counting = is_counting_;
  reply.held = std::chrono::duration_cast<milliseconds>(SystemClock().Now() - arrived);
  reply.changes.index = state_.index;
  reply.changes.is_whole_roster = request.roster_index == 0;
  if (request.policy_version < state_.policy.version) {
    reply.changes.policy = state_.policy;
  }
  for (const upstream_entry& entry : state_.upstreams) {
    if (entry.changed_index > request.roster_index) {
      reply.changes.upstreams.push_back(entry);
    }
  }
  if (request.cores_digest != CoresDigest(cores_)) {
    reply.cores = cores_;
  }
  if (request.core_incarnation != reply.core_incarnation) {
    reply.data_centre = data_centre_;
  }
  reply.conditions_revision = conditions_revision_;
  if (request.conditions_revision < conditions_revision_) {
    reply.conditions = conditions_;
  }
  reply.limits_revision = limits_revision_;
  if (request.limits_revision < limits_revision_) {
    reply.limits = {limits_};
  }
  respond(std::move(reply));
}

void fake_core::RemovePolicy() {
  const std::lock_guard guard(lock_);
  state_.policy = {};
}

void fake_core::SetPolicy(std::string document, std::uint64_t version) {
  const std::lock_guard guard(lock_);
  state_.policy = {version, PackText(document)};
  ++state_.index;
}

void fake_core::AddUpstream(const std::string& id,
                            const std::string& service,
                            std::uint16_t port,
                            const std::string& data_centre) {
  const std::lock_guard guard(lock_);
  upstream_entry entry;
  entry.handle = static_cast<upstream_handle>(state_.upstreams.size() + 1);
  entry.id = id;
  entry.address = "127.0.0.1:" + std::to_string(port);
  entry.service = service;
  entry.data_centre = data_centre;
  entry.slots = 4;
  entry.changed_index = ++state_.index;
  state_.upstreams.push_back(entry);
}

void fake_core::Drain(const std::string& id) {
  const std::lock_guard guard(lock_);
  for (upstream_entry& entry : state_.upstreams) {
    if (entry.id == id) {
      entry.state = upstream_state::kDraining;
      entry.changed_index = ++state_.index;
    }
  }
}

void fake_core::SetCondition(const std::string& id, upstream_condition condition) {
  const std::lock_guard guard(lock_);
  for (const upstream_entry& entry : state_.upstreams) {
    if (entry.id == id) {
      condition.upstream = entry.handle;
      conditions_.push_back(condition);
    }
  }
  ++conditions_revision_;
}

void fake_core::SetLimits(shared_limits limits) {
  const std::lock_guard guard(lock_);
  limits_ = std::move(limits);
  ++limits_revision_;
}

void fake_core::SetCores(std::vector<std::string> addresses) {
  const std::lock_guard guard(lock_);
  cores_ = std::move(addresses);
}

void fake_core::SetDataCentre(const std::string& data_centre) {
  const std::lock_guard guard(lock_);
  data_centre_ = data_centre;
}

observations fake_core::ReportedObservations() const {
  const std::lock_guard guard(lock_);
  return observations_;
}

// ---- test_caller ----

std::string caller_answer::Header(const std::string& name) const {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

test_caller::test_caller(std::uint16_t port, bool is_slow_link) {
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (is_slow_link) {
    constexpr int kSegmentBytes = 536;
    constexpr int kReceiveBytes = 4096;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("cannot connect");
  }
}

test_caller::~test_caller() {
  ::close(descriptor_);
}

void test_caller::Send(const std::string& bytes) {
  ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool test_caller::ReadMore(std::chrono::steady_clock::time_point deadline) {
  const auto remaining =
      std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now()).count();
  pollfd readable{descriptor_, POLLIN, 0};
  if (remaining <= 0 || ::poll(&readable, 1, static_cast<int>(remaining)) <= 0) {
    return false;
  }
  std::array<char, 65536> block{};
  const ssize_t count = ::recv(descriptor_, block.data(), block.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(block.data(), static_cast<std::size_t>(count));
  return true;
}

caller_answer test_caller::Receive(milliseconds timeout) {
  const auto start = std::chrono::steady_clock::now();
  const auto deadline = start + timeout;
  caller_answer answer;
  const auto finish = [&] {
    answer.duration =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
    return answer;
  };
  std::size_t head_end = 0;
  while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(deadline)) {
      return finish();
    }
  }
  answer.head = buffer_.substr(0, head_end + 4);
  buffer_.erase(0, head_end + 4);
  if (answer.head.find("Transfer-Encoding: chunked") != std::string::npos) {
    while (true) {
      std::size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!ReadMore(deadline)) {
          return finish();
        }
      }
      const std::size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2) {
        if (!ReadMore(deadline)) {
          return finish();
        }
      }
      answer.body += buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) {
        break;
      }
    }
  } else {
    const std::string length = answer.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
      if (!ReadMore(deadline)) {
        return finish();
      }
    }
    answer.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  }
  answer.status = std::stoi(answer.head.substr(9, 3));
  return finish();
}

discarded_answer test_caller::Discard(milliseconds timeout) {
  constexpr std::size_t kKeptBytes = 1000;
  const auto start = std::chrono::steady_clock::now();
  discarded_answer answer;
  while (ReadMore(start + timeout)) {
    answer.bytes += buffer_.size();
    answer.first += buffer_.substr(0, kKeptBytes - std::min(kKeptBytes, answer.first.size()));
    answer.last += buffer_.substr(buffer_.size() - std::min(kKeptBytes, buffer_.size()));
    answer.last.erase(0, answer.last.size() - std::min(kKeptBytes, answer.last.size()));
    buffer_.clear();
  }
  answer.duration =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
  answer.has_ended = answer.duration < timeout;
  return answer;
}

bool test_caller::IsClosed(milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    pollfd readable{descriptor_, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(kPollInterval.count())) <= 0) {
      continue;
    }
    std::array<char, 4096> block{};
    if (::recv(descriptor_, block.data(), block.size(), 0) <= 0) {
      return true;
    }
  }
  return false;
}

std::string caller_request::Bytes() const {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!key.empty()) {
    text += "X-Key: " + key + "\r\n";
  }
  text += more_headers;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// ---- serving_fixture ----

const std::string& serving_fixture::PolicyDocument() {
  return kPolicyDocument;
}

serving_fixture::serving_fixture() : core_(std::make_unique<fake_core>(kPolicyDocument, 1)) {}

scripted_upstream& serving_fixture::Add(
    const std::string& id,
    const std::string& service,
    std::function<scripted_answer(const scripted_request&)> script,
    const std::string& data_centre) {
  upstreams_.push_back(std::make_unique<scripted_upstream>(std::move(script)));
  core_->AddUpstream(id, service, upstreams_.back()->Port(), data_centre);
  return *upstreams_.back();
}

void serving_fixture::Start() {
  StartUnready();
  WaitUntilReady();
}

void serving_fixture::StartUnready(std::vector<endpoint> seeds) {
  serving_vm_settings settings;
  settings.listen = {"127.0.0.1", 0};
  settings.link = {"vm1", "dc1", seeds.empty() ? std::vector{core_->Address()} : std::move(seeds)};
  settings.serving.vm = "vm1";
  settings.serving.place = {"dc1", "region1", {{"dc1", "region1"}, {"dc2", "region1"}}};
  settings.serving.cross_data_centre_cost = {0.05, 0.05};
  settings.serving.callers = platform::CallerHeaderNames();
  settings.serving.upstreams = platform::UpstreamHeaderNames();
  settings.serving.repeats = {0.2, milliseconds(10'000), 1000};
  settings.serving.drain = {drain_delay_, drain_deadline_};
  settings.serving.buffer_bytes = buffer_bytes_;
  settings.serving.state_wait.max_requests = max_waiting_;
  settings.serving.hedging = hedging_;
  settings.serving.queues.max_requests = max_waiting_requests_;
  vm_ = std::make_unique<serving_vm>(settings, platform::DecodePolicy, SystemClock());
  port_ = Expect([this] { return vm_->Start(); });
}

void serving_fixture::WaitUntilReady() {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  while (!vm_->IsReady()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("the VM did not become ready");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::size_t serving_fixture::Waiting() {
  std::size_t count = 0;
  vm_->Loop().RunAndWait([&] {
    count = static_cast<std::size_t>(vm_->Dump()["state_wait"].toObject()["waiting"].toInteger());
  });
  return count;
}

std::size_t serving_fixture::BufferedBytes() {
  std::size_t bytes = 0;
  vm_->Loop().RunAndWait(
      [&] { bytes = static_cast<std::size_t>(vm_->Dump()["buffered_bytes"].toInteger()); });
  return bytes;
}

void serving_fixture::SetDrain(milliseconds delay, milliseconds deadline) {
  drain_delay_ = delay;
  drain_deadline_ = deadline;
}

milliseconds serving_fixture::Stop() {
  const auto start = std::chrono::steady_clock::now();
  std::promise<void> stopped;
  vm_->Drain([&stopped] { stopped.set_value(); });
  if (stopped.get_future().wait_for(kStopTimeout) != std::future_status::ready) {
    throw std::runtime_error("the VM did not stop");
  }
  vm_.reset();
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

caller_answer serving_fixture::Call(const caller_request& request) {
  test_caller caller(port_);
  caller.Send(request.Bytes());
  return caller.Receive();
}

}  // namespace corianderhoist
