#include "soak/soak_operator.h"

#include "soak/blocking_http.h"
#include "soak/soak_upstreams.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <utility>

namespace corianderhoist::soak {
namespace {

constexpr run_time kCallTimeout{1000};
constexpr run_time kReadInterval{200};
constexpr run_time kRetryInterval{50};
constexpr std::size_t kMaxKeys = 4;
constexpr int kStatusOk = 200;

QJsonObject Route(const char* path, const char* kind, const char* service, int priority) {
  return {{"host", kHost},      {"path_prefix", path}, {"kind", kind},
          {"timeout_ms", 8000}, {"goal_ms", 2500},     {"priority", priority},
          {"service", service}, {"attempts", 2},       {"public", false}};
}

QJsonObject Service() {
  return {{"health_path", "/health"}, {"max_conns", 390}, {"protocol", "h1"}, {"tls", false}};
}

std::int64_t VersionOf(const QJsonObject& configuration) {
  return configuration["version"].toString().mid(1).toLongLong();
}

}  // namespace

soak_operator::soak_operator(std::uint64_t seed,
                             const run_clock& clock,
                             judge& verdicts,
                             std::vector<endpoint> control)
    : clock_(clock),
      judge_(verdicts),
      control_(std::move(control)),
      keys_({"soakkeythatstays"}),
      numbers_(seed) {
  thread_ = std::thread([this] { Run(); });
}

soak_operator::~soak_operator() {
  is_stopping_ = true;
  thread_.join();
}

std::string soak_operator::PickKey(seeded_numbers& numbers) {
  constexpr unsigned kWithdrawnPercent = 8;
  constexpr unsigned kStayingPercent = 60;
  const std::lock_guard guard(lock_);
  if (!withdrawn_.empty() && numbers.Chance(kWithdrawnPercent)) {
    return withdrawn_[numbers.Below(withdrawn_.size())];
  }
  return keys_[numbers.Chance(kStayingPercent) ? 0 : numbers.Below(keys_.size())];
}

bool soak_operator::WaitUntilReadable(run_time timeout) {
  last_read_ = 0;
  const run_time end = clock_.Now() + timeout;
  while (clock_.Now() < end) {
    if (pending_changes_ == 0 && acknowledged_ > 0 && last_read_ >= acknowledged_) {
      return true;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return false;
}

QJsonObject soak_operator::Configuration(std::int64_t version) const {
  QJsonArray keys;
  for (const std::string& key : keys_) {
    keys.append(QString::fromStdString(key));
  }
  const QJsonObject workspace{
      {"api_keys", keys}, {"priority", 1}, {"rate_per_s", 100000}, {"burst", 100000}};
  return {{"version", "r" + QString::number(version)},
          {"routes", QJsonObject{{"safe", Route(kSafePath, "safe", kSafeService, 2)},
                                 {"unsafe", Route(kUnsafePath, "unsafe", kUnsafeService, 1)}}},
          {"services", QJsonObject{{kSafeService, Service()}, {kUnsafeService, Service()}}},
          {"limits", QJsonObject{{"max_header_bytes", 16384},
                                 {"max_body_bytes", 67108864},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15000}}},
          {"tenants", QJsonObject{{kWorkspace, workspace}}}};
}

void soak_operator::Run() {
  run_time next_read{};
  while (!is_stopping_) {
    if (pending_changes_ > 0) {
      PutNext();
    }
    if (clock_.Now() >= next_read && acknowledged_ > 0) {
      Read();
      next_read = clock_.Now() + kReadInterval;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

void soak_operator::PutNext() {
  std::optional<std::string> withdrawn;
  std::optional<std::string> added;
  QJsonObject configuration;
  constexpr std::uint64_t kMaxVersionStep = 4;
  version_ += 1 + static_cast<std::int64_t>(numbers_.Below(kMaxVersionStep));
  {
    const std::lock_guard guard(lock_);
    const std::vector<std::string> before = keys_;
    if (keys_.size() > 1 && (keys_.size() == kMaxKeys || numbers_.Chance(50))) {
      withdrawn = keys_[1];
      keys_.erase(keys_.begin() + 1);
    } else {
      added = "soakkey" + std::to_string(version_);
      keys_.push_back(*added);
    }
    configuration = Configuration(version_);
    // A key is in use from the acknowledgement on, and until its withdrawal is acknowledged.
    keys_ = before;
  }
  sent_[version_] = configuration;
  if (withdrawn) {
    judge_.SentWithdrawal(*withdrawn);
  }
  const std::string body =
      QJsonDocument(configuration).toJson(QJsonDocument::Compact).toStdString();
  while (!is_stopping_) {
    const received_answer answer = CallOnNewConnection(
        control_[numbers_.Below(control_.size())], "POST", "/api/config/put", body, kCallTimeout);
    if (answer.is_complete && answer.status == kStatusOk) {
      break;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  if (is_stopping_) {
    return;
  }
  judge_.AcknowledgedChange(version_, clock_.Now(), withdrawn, added);
  const std::lock_guard guard(lock_);
  if (withdrawn) {
    std::erase(keys_, *withdrawn);
    withdrawn_.push_back(*withdrawn);
  } else {
    keys_.push_back(*added);
  }
  acknowledged_ = version_;
  --pending_changes_;
}

void soak_operator::Read() {
  const run_time sent = clock_.Now();
  const received_answer answer = CallOnNewConnection(control_[numbers_.Below(control_.size())],
                                                     "GET", "/api/config/get", "", kCallTimeout);
  if (!answer.is_complete || answer.status != kStatusOk) {
    return;
  }
  const QJsonObject configuration =
      QJsonDocument::fromJson(QByteArray::fromStdString(answer.body)).object();
  const std::int64_t version = VersionOf(configuration);
  const auto found = sent_.find(version);
  judge_.ReadConfiguration(version, sent, clock_.Now(),
                           found != sent_.end() && found->second == configuration);
  last_read_ = version;
}

}  // namespace corianderhoist::soak
