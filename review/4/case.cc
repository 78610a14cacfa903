// A request that crashes every upstream that runs it comes again and again, beside ordinary
// traffic: after a while it must no longer reach upstreams.
#include "../support/harness.hpp"

using namespace review;

namespace {

constexpr int kUpstreams = 12;
constexpr int kOrdinaryCallers = 24;
constexpr milliseconds kPause(100);
constexpr milliseconds kWarmUp(10'000);
constexpr milliseconds kPoisonInterval(2000);
constexpr int kPoisonRequests = 20;
constexpr milliseconds kDownTime(3000);
constexpr int kDeadlineMs = 3000;
constexpr double kStableWindow = 4.0;  // `stable_window_ms`
constexpr int kCrashesBefore = 3;      // BUDGET: "after it has crashed the third"
constexpr int kMaxRetries = 3;         // BUDGET: "in more than three retries"
constexpr const char* kPoisonPath = "GET /orders/17";

bool IsPoison(const std::string& line) {
  return line.starts_with(std::string(kPoisonPath) + " ");
}

bool Play(recorder& record) {
  fleet system(3, 2);
  system.StartAll();
  std::vector<std::unique_ptr<upstream>> upstreams;
  std::vector<std::atomic<bool>> is_hit(kUpstreams);
  for (int i = 1; i <= kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<upstream>(system, record, "catalogue", i, 4));
    std::atomic<bool>& hit = is_hit[static_cast<std::size_t>(i - 1)];
    upstreams.back()->on_request = [&hit](upstream& self, connection& to, std::string&,
                                          const message& request) {
      if (HasTrouble() && IsPoison(request.first_line)) {
        Sleep(milliseconds(40));
        hit = true;
        Sleep(milliseconds(200));  // Until the process has ended.
        return false;
      }
      Sleep(milliseconds(100));
      return to.Send(self.AnswerText(request));
    };
    upstreams.back()->Start();
  }
  system.Configure(Configuration("safe", 1500, 1000, 1, "catalogue"));
  AwaitAnnounced(upstreams);
  Sleep(milliseconds(1500));

  std::atomic<bool> is_over = false;
  std::vector<double> crashes;
  std::thread crasher([&] {
    std::vector<std::optional<steady::time_point>> back(kUpstreams);
    while (!is_over) {
      for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (is_hit[i].exchange(false) && !back[i]) {
          crashes.push_back(record.Now());
          record.Line("upstream %s crashes", upstreams[i]->Id().c_str());
          upstreams[i]->Crash();
          back[i] = steady::now() + kDownTime;
        } else if (back[i] && steady::now() >= *back[i]) {
          back[i].reset();
          upstreams[i]->ComeBack();
        }
      }
      Sleep(milliseconds(5));
    }
  });
  std::atomic<int> ordinary_ok = 0;
  std::atomic<int> ordinary_failed = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kOrdinaryCallers; ++i) {
    callers.emplace_back([&, i, entry = system.Entries()[static_cast<std::size_t>(i % 2)]] {
      std::unique_ptr<connection> to;
      std::string buffer;
      for (int n = 0; !is_over; ++n) {
        if (!to) {
          buffer.clear();
          to = connection::To(entry->ip, fleet::kFront, milliseconds(1000));
        }
        const std::string id = "o" + std::to_string(i) + "-" + std::to_string(n);
        std::optional<message> answer;
        if (to && to->Send(Request("GET /orders/" + id, "shop.example",
                                   CallerFields(id, kDeadlineMs)))) {
          answer = message_reader(*to, buffer).Read(milliseconds(kDeadlineMs));
        }
        const bool is_ok = answer && answer->is_whole && answer->Status() == 200;
        ++(is_ok ? ordinary_ok : ordinary_failed);
        if (!answer || answer->Header("Connection") == "close") {
          to.reset();
        }
        Sleep(kPause);
      }
    });
  }
  Sleep(kWarmUp);
  for (int i = 0; i < kPoisonRequests; ++i) {
    const std::string id = "p" + std::to_string(i);
    const vm* entry = system.Entries()[static_cast<std::size_t>(i % 2)];
    const auto answer = Ask(entry->ip, fleet::kFront,
                            Request(kPoisonPath, "shop.example", CallerFields(id, kDeadlineMs)),
                            milliseconds(kDeadlineMs));
    record.Line("%s at %s: status %d", id.c_str(), entry->name.c_str(),
                answer ? answer->Status() : 0);
    Sleep(kPoisonInterval);
  }
  is_over = true;
  crasher.join();
  for (std::thread& each : callers) {
    each.join();
  }
  record.Line("ordinary requests: %d with success, %d without", ordinary_ok.load(),
              ordinary_failed.load());
  record.Line("crashes: %zu", crashes.size());
  if (HasTrouble() && crashes.size() < static_cast<std::size_t>(kCrashesBefore)) {
    record.Line("the request was held back before the third crash");
    return true;
  }
  const double from = HasTrouble() ? crashes[kCrashesBefore - 1] + kStableWindow : 1e9;
  std::set<std::string> late;
  int arrivals = 0;
  for (const auto& each : upstreams) {
    for (const arrival& got : each->Arrivals()) {
      if (IsPoison(got.line)) {
        ++arrivals;
        if (got.at > from) {
          late.insert(got.attempt_id);
        }
      }
    }
  }
  record.Line("the request reached upstreams %d times; %zu different retries of its caller did so "
              "later than %.1f s after the third crash", arrivals, late.size(), kStableWindow);
  return late.size() <= static_cast<std::size_t>(kMaxRetries);
}

}  // namespace

int main() {
  return Run(Play);
}
