#include "soak/soak_upstreams.h"

#include "soak/blocking_http.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace corianderhoist::soak {
namespace {

constexpr run_time kAnnouncementInterval{1000};
constexpr run_time kAnnouncementTimeout{1000};
constexpr int kSlots = 16;
constexpr unsigned kFaultyPercent = 50;
constexpr unsigned kLongWorkPercent = 4;
constexpr std::uint64_t kMaxWorkMs = 150;
constexpr std::uint64_t kMaxLongWorkMs = 6000;
constexpr unsigned kFailurePercent = 2;
constexpr unsigned kLargeBodyPercent = 2;
constexpr unsigned kChunkedPercent = 20;
constexpr unsigned kUnframedPercent = 4;
constexpr std::uint64_t kMaxBodyBytes = 6000;
constexpr std::uint64_t kMaxLargeBodyBytes = 300'000;
constexpr int kStatusOk = 200;
constexpr int kStatusFailed = 500;

std::string RepeatTo(const std::string& text, std::size_t size) {
  std::string repeated;
  while (repeated.size() < size) {
    repeated += text;
  }
  repeated.resize(size);
  return repeated;
}

std::string Refusal(const std::string& attempt, int status) {
  return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nX-Attempt-Id: " + attempt +
         "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string ToChunks(const std::string& body) {
  constexpr std::size_t kChunk = 1000;
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += kChunk) {
    const std::string part = body.substr(at, kChunk);
    chunks += QByteArray::number(static_cast<qulonglong>(part.size()), 16).toStdString() + "\r\n" +
              part + "\r\n";
  }
  return chunks + "0\r\n\r\n";
}

}  // namespace

soak_upstream::soak_upstream(std::string id,
                             std::string service,
                             std::uint64_t seed,
                             const run_clock& clock,
                             judge& verdicts,
                             io_loop& proxies)
    : id_(std::move(id)),
      service_(std::move(service)),
      clock_(clock),
      judge_(verdicts),
      numbers_(seed),
      server_([this](const scripted_request& request) { return Answer(request); }),
      proxy_(proxies, {"127.0.0.1", server_.Port()}) {
  proxy_.Listen({"127.0.0.1", 0});
}

void soak_upstream::SetFault(fault_kind kind, run_time end) {
  const std::lock_guard guard(lock_);
  fault_ = kind;
  fault_end_ = end;
}

std::string soak_upstream::WrongPart(const scripted_request& request) const {
  // Paths are "/KIND/ATTEMPT/SIZE", and the body repeats the attempt id.
  const std::string attempt = request.Header("X-Attempt-Id");
  const std::string path = "/" + attempt + "/";
  const std::size_t at = request.head.find(path);
  if (at == std::string::npos || at > request.head.find("\r\n")) {
    return "path of another request";
  }
  const std::size_t size = std::strtoul(request.head.c_str() + at + path.size(), nullptr, 10);
  if (request.body != RepeatTo(attempt, size)) {
    return "body of " + std::to_string(request.body.size()) + " bytes instead of " +
           std::to_string(size);
  }
  if (request.Header("X-Tenant") != kWorkspace || !request.Header("X-Key").empty()) {
    return "wrong X-Tenant or X-Key";
  }
  return {};
}

scripted_answer soak_upstream::Answer(const scripted_request& request) {
  const std::string attempt = request.Header("X-Attempt-Id");
  if (request.head.starts_with("GET /health ")) {
    return {"HTTP/1.1 200 OK\r\nX-Backend-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n"};
  }
  const std::string expected = request.Header("X-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    constexpr int kMisdirected = 421;
    return {Refusal(attempt, kMisdirected)};
  }
  const std::lock_guard guard(lock_);
  const bool is_faulty = clock_.Now() < fault_end_ && numbers_.Chance(kFaultyPercent);
  const bool refuses_first =
      fault_ == fault_kind::kRepeatRefusal && !refusals_.contains(request.connection);
  if (is_faulty && (fault_ == fault_kind::kRefuse || refuses_first)) {
    constexpr int kBusy = 503;
    return {refusals_[request.connection] = Refusal(attempt, kBusy)};
  }
  return AnswerRun(request, fault_, is_faulty);
}

scripted_answer soak_upstream::AnswerRun(const scripted_request& request,
                                         fault_kind fault,
                                         bool is_faulty) {
  upstream_run run;
  run.attempt = request.Header("X-Attempt-Id");
  run.at = clock_.Now();
  run.upstream = id_;
  run.status = numbers_.Chance(kFailurePercent) ? kStatusFailed : kStatusOk;
  run.signature = id_ + "." + std::to_string(++runs_) + "." + run.attempt;
  run.body = RepeatTo(
      run.signature + "\n",
      numbers_.Below(numbers_.Chance(kLargeBodyPercent) ? kMaxLargeBodyBytes : kMaxBodyBytes));
  run.work =
      run_time(numbers_.Below(numbers_.Chance(kLongWorkPercent) ? kMaxLongWorkMs : kMaxWorkMs));
  run.is_sound = !is_faulty;
  run.fault = WrongPart(request);

  std::string head = "HTTP/1.1 " + std::to_string(run.status) +
                     " Status\r\nX-Attempt-Id: " + run.attempt +
                     "\r\nX-Signature: " + run.signature + "\r\n";
  scripted_answer answer;
  answer.delay = run.work;
  if (numbers_.Chance(kUnframedPercent)) {
    head += "Connection: close\r\n\r\n";
    answer.bytes = head + run.body;
    answer.after = after_answer::kClose;
  } else if (numbers_.Chance(kChunkedPercent)) {
    head += "Transfer-Encoding: chunked\r\n\r\n";
    answer.bytes = head + ToChunks(run.body);
  } else {
    head += "Content-Length: " + std::to_string(run.body.size()) + "\r\n\r\n";
    answer.bytes = head + run.body;
  }
  const bool is_unframed = answer.after == after_answer::kClose;
  if (is_faulty) {
    switch (fault) {
      case fault_kind::kRepeatRefusal:
        answer.bytes = refusals_[request.connection] + answer.bytes;
        break;
      case fault_kind::kExtraAnswer:
        answer.bytes += is_unframed ? "" : answer.bytes;
        break;
      case fault_kind::kCutHead:
        answer.bytes.resize(numbers_.Below(head.size() - 1));
        answer.after = numbers_.Chance(50) ? after_answer::kClose : after_answer::kReset;
        break;
      case fault_kind::kCutBody:
        // Without a length, an answer that ends with FIN is complete.
        answer.bytes.resize(answer.bytes.size() - (run.body.empty() ? 0 : run.body.size() / 2));
        answer.after = is_unframed ? after_answer::kReset : after_answer::kClose;
        break;
      default:
        answer.bytes = numbers_.Chance(50) ? head.substr(0, head.size() - 2) : "";
        answer.repeated = "X-Endless: bytes\r\n";
        answer.after = after_answer::kFlood;
        break;
    }
  }
  judge_.Ran(run);
  return answer;
}

upstream_group::upstream_group(std::size_t per_service,
                               std::uint64_t seed,
                               const run_clock& clock,
                               judge& verdicts,
                               std::vector<endpoint> control)
    : seed_(seed),
      clock_(clock),
      judge_(verdicts),
      control_(std::move(control)),
      proxies_("soak-proxies") {
  for (std::size_t i = 0; i < per_service; ++i) {
    Add(kSafeService);
    Add(kUnsafeService);
  }
  announcer_ = std::thread([this] { Announce(); });
}

upstream_group::~upstream_group() {
  is_stopping_ = true;
  announcer_.join();
}

void upstream_group::Add(const std::string& service) {
  const std::lock_guard guard(lock_);
  const std::size_t number = upstreams_.size();
  upstreams_.push_back(std::make_shared<soak_upstream>("u" + std::to_string(number), service,
                                                       seed_ + number, clock_, judge_, proxies_));
}

soak_upstream& upstream_group::Pick(std::size_t number) {
  const std::lock_guard guard(lock_);
  std::vector<soak_upstream*> staying;
  for (const auto& each : upstreams_) {
    if (!each->is_leaving) {
      staying.push_back(each.get());
    }
  }
  return *staying[number % staying.size()];
}

void upstream_group::Leave(std::size_t number) {
  soak_upstream& upstream = Pick(number);
  {
    const std::lock_guard guard(lock_);
    upstream.is_leaving = true;
    upstream.next_announcement = {};
  }
  Add(upstream.Service());
}

void upstream_group::Announce() {
  while (!is_stopping_) {
    std::vector<std::shared_ptr<soak_upstream>> due;
    {
      const std::lock_guard guard(lock_);
      std::copy_if(upstreams_.begin(), upstreams_.end(), std::back_inserter(due),
                   [&](const auto& each) {
                     return !each->is_leave_acknowledged && each->next_announcement <= clock_.Now();
                   });
    }
    for (const auto& each : due) {
      if (SendAnnouncement(*each)) {
        each->next_announcement = clock_.Now() + kAnnouncementInterval;
        announced_ += each->is_known ? 0 : 1;
        each->is_known = true;
      }
    }
    std::this_thread::sleep_for(run_time(20));
  }
}

bool upstream_group::SendAnnouncement(soak_upstream& upstream) {
  bool is_leaving = false;
  {
    const std::lock_guard guard(lock_);
    is_leaving = upstream.is_leaving;
  }
  const QJsonObject info{{"service", QString::fromStdString(upstream.Service())},
                         {"version", "v1"},
                         {"zone", "centre-a"},
                         {"max_concurrency", kSlots}};
  const QJsonObject status{{"state", is_leaving ? "draining" : "ready"},
                           {"seq", ++upstream.sequence},
                           {"warmup_left_ms", 0}};
  const QJsonObject body{{"address", QString::fromStdString(FormatEndpoint(upstream.Address()))},
                         {"info", info},
                         {"status", status}};
  const endpoint& core = control_[next_core_ % control_.size()];
  // Some upstreams deregister without reporting that they drain.
  const bool deregisters = is_leaving && upstream.Id().back() % 2 == 0;
  const received_answer answer = CallOnNewConnection(
      core, "POST", "/api/backends/" + upstream.Id() + (deregisters ? "/deregister" : "/heartbeat"),
      QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString(), kAnnouncementTimeout);
  if (!answer.is_complete || answer.status != kStatusOk) {
    ++next_core_;
    return false;
  }
  if (is_leaving) {
    upstream.is_leave_acknowledged = true;
    judge_.AcknowledgedLeaving(upstream.Id(), clock_.Now());
  }
  return true;
}

}  // namespace corianderhoist::soak
