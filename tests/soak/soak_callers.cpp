#include "soak/soak_callers.h"

#include <array>
#include <cstdio>
#include <utility>

namespace corianderhoist::soak {
namespace {

constexpr run_time kTimeLimit{8000};
constexpr run_time kAnswerTimeout{8600};
constexpr run_time kConnectTimeout{1000};
constexpr run_time kReadyInterval{1000};
constexpr int kMissesOutOfRotation = 2;
constexpr int kStatusOk = 200;

constexpr unsigned kUnsafePercent = 45;
constexpr unsigned kPipelinePercent = 15;
constexpr unsigned kSlowUploadPercent = 6;
constexpr unsigned kChunkedPercent = 20;
constexpr unsigned kSingleRequestPercent = 15;
constexpr std::uint64_t kMaxPipelined = 4;
constexpr std::uint64_t kMaxBodyBytes = 2000;
constexpr std::uint64_t kMaxUploadBytes = 80'000;
constexpr int kUploadPieces = 8;
constexpr std::uint64_t kMaxPauseMs = 200;
constexpr std::uint64_t kMaxThinkMs = 120;

}  // namespace

load_balancer::load_balancer(std::vector<entry_addresses> entries)
    : entries_(std::move(entries)), misses_(entries_.size()) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    misses_[i] = kMissesOutOfRotation;
    threads_.emplace_back([this, i] { Watch(i); });
  }
}

load_balancer::~load_balancer() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void load_balancer::Watch(std::size_t entry) {
  while (!is_stopping_) {
    const auto begin = std::chrono::steady_clock::now();
    const received_answer answer =
        CallOnNewConnection(entries_[entry].ready, "GET", "/api/ready", "", kReadyInterval);
    misses_[entry] = answer.status == kStatusOk ? 0 : misses_[entry] + 1;
    std::this_thread::sleep_until(begin + kReadyInterval);
  }
}

std::size_t load_balancer::Pick(seeded_numbers& numbers) const {
  std::vector<std::size_t> in_rotation;
  for (std::size_t i = 0; i < misses_.size(); ++i) {
    if (misses_[i] < kMissesOutOfRotation) {
      in_rotation.push_back(i);
    }
  }
  return in_rotation.size() * 2 < entries_.size() ? numbers.Below(entries_.size())
                                                  : in_rotation[numbers.Below(in_rotation.size())];
}

bool load_balancer::AreAllReady() const {
  for (const std::atomic<int>& each : misses_) {
    if (each > 0) {
      return false;
    }
  }
  return true;
}

class caller_group::caller {
 public:
  caller(std::size_t number,
         std::uint64_t seed,
         const run_clock& clock,
         judge& verdicts,
         const load_balancer& balancer,
         soak_operator& keys)
      : number_(number),
        numbers_(seed),
        clock_(clock),
        judge_(verdicts),
        balancer_(balancer),
        keys_(keys) {}

  void Step() {
    if (!connection_.IsOpen()) {
      entry_ = balancer_.Pick(numbers_);
      if (!connection_.Connect(balancer_.Callers(entry_), kConnectTimeout)) {
        return Sleep(kMaxThinkMs);
      }
    }
    if (numbers_.Chance(kPipelinePercent)) {
      Pipeline();
    } else {
      const bool is_slow = numbers_.Chance(kSlowUploadPercent);
      const request_text request =
          MakeRequest(is_slow || numbers_.Chance(kUnsafePercent),
                      is_slow ? kMaxUploadBytes / 2 + numbers_.Below(kMaxUploadBytes / 2)
                              : numbers_.Below(kMaxBodyBytes));
      if (is_slow) {
        SendSlowly(request);
      } else {
        Send({request});
      }
      Receive(request.sent.attempt);
    }
    if (numbers_.Chance(kSingleRequestPercent)) {
      connection_.Close();
    }
    Sleep(kMaxThinkMs);
    ReadUnasked();
  }

 private:
  struct request_text {
    sent_request sent;
    std::string bytes;
  };

  void Sleep(std::uint64_t longest_ms) {
    std::this_thread::sleep_for(run_time(numbers_.Below(longest_ms)));
  }

  request_text MakeRequest(bool is_unsafe, std::size_t size) {
    request_text request;
    std::array<char, 32> attempt{};
    std::snprintf(attempt.data(), attempt.size(), "%04zx%012zx", number_, ++requests_);
    request.sent = {attempt.data(), {}, entry_, is_unsafe, keys_.PickKey(numbers_), kTimeLimit};
    std::string body;
    while (is_unsafe && body.size() < size) {
      body += attempt.data();
    }
    body.resize(is_unsafe ? size : 0);
    request.bytes = std::string(is_unsafe ? "POST " : "GET ") +
                    (is_unsafe ? kUnsafePath : kSafePath) + attempt.data() + "/" +
                    std::to_string(body.size()) + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nX-Attempt-Id: " + attempt.data() + "\r\nX-Key: " + request.sent.key +
                    "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimit.count()) + "\r\n";
    if (is_unsafe && numbers_.Chance(kChunkedPercent)) {
      std::array<char, 32> length{};
      std::snprintf(length.data(), length.size(), "%zx\r\n", body.size());
      request.bytes += "Transfer-Encoding: chunked\r\n\r\n" +
                       (body.empty() ? "" : length.data() + body + "\r\n") + "0\r\n\r\n";
    } else if (is_unsafe) {
      request.bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      request.bytes += "\r\n";
    }
    return request;
  }

  // A request is recorded before its last bytes are sent, since it may run at once.
  void Record(request_text request) {
    request.sent.at = clock_.Now();
    judge_.Sent(request.sent);
  }

  void Send(const std::vector<request_text>& requests) {
    std::string bytes;
    for (const request_text& each : requests) {
      Record(each);
      bytes += each.bytes;
    }
    connection_.Send(bytes);
  }

  void SendSlowly(const request_text& request) {
    const std::size_t piece = request.bytes.size() / kUploadPieces + 1;
    for (std::size_t at = 0; at < request.bytes.size(); at += piece) {
      if (at + piece >= request.bytes.size()) {
        Record(request);
      } else {
        Sleep(kMaxPauseMs);
      }
      connection_.Send(request.bytes.substr(at, piece));
    }
  }

  void Pipeline() {
    std::vector<request_text> requests;
    for (std::uint64_t i = 1 + numbers_.Below(kMaxPipelined); i > 0; --i) {
      requests.push_back(MakeRequest(false, 0));
    }
    Send(requests);
    for (const request_text& each : requests) {
      Receive(each.sent.attempt);
    }
  }

  void Receive(const std::string& attempt) {
    caller_outcome outcome;
    outcome.attempt = attempt;
    if (connection_.IsOpen()) {
      const received_answer answer = ReadAnswer(connection_, kAnswerTimeout);
      outcome.status = answer.status;
      outcome.is_complete = answer.is_complete;
      outcome.has_timed_out = answer.has_timed_out;
      outcome.echoed_attempt = answer.Header("X-Attempt-Id");
      outcome.signature = answer.Header("X-Signature");
      outcome.body = answer.body;
      if (!answer.is_complete || answer.closes_connection) {
        connection_.Close();
      }
    }
    outcome.at = clock_.Now();
    judge_.Ended(outcome);
  }

  void ReadUnasked() {
    if (!connection_.IsOpen()) {
      return;
    }
    const read_result result = connection_.Read(run_time(0));
    if (!connection_.Buffer().empty()) {
      judge_.ReceivedUnasked(clock_.Now(), entry_, connection_.Buffer());
    }
    if (result != read_result::kTimeout || !connection_.Buffer().empty()) {
      connection_.Close();
    }
  }

  const std::size_t number_;
  seeded_numbers numbers_;
  const run_clock& clock_;
  judge& judge_;
  const load_balancer& balancer_;
  soak_operator& keys_;
  blocking_connection connection_;
  std::size_t entry_ = 0;
  std::size_t requests_ = 0;
};

caller_group::caller_group(std::size_t callers,
                           std::uint64_t seed,
                           const run_clock& clock,
                           judge& verdicts,
                           const load_balancer& balancer,
                           soak_operator& keys) {
  for (std::size_t i = 0; i < callers; ++i) {
    threads_.emplace_back([this, i, seed, &clock, &verdicts, &balancer, &keys] {
      caller sender(i, seed + i, clock, verdicts, balancer, keys);
      while (!is_stopping_) {
        sender.Step();
      }
    });
  }
}

caller_group::~caller_group() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

}  // namespace corianderhoist::soak
