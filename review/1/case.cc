// Large orders while the machine of one upstream after another loses power: a sound upstream must
// not run an order with a part of its body.
#include "../support/harness.hpp"

using namespace review;

namespace {

constexpr int kUpstreams = 12;
constexpr int kEpisodes = 4;
constexpr int kOrdersPerEpisode = 120;
constexpr milliseconds kDarkTime(4000);
constexpr milliseconds kOrderInterval(30);
constexpr std::size_t kBodyBytes = 200'000;
constexpr int kDeadlineMs = 4000;

std::string BodyOf(int number) {
  std::string body = "order " + std::to_string(number) + "\n";
  while (body.size() < kBodyBytes) {
    body += "line " + std::to_string(body.size()) + " of order " + std::to_string(number) + "\n";
  }
  body.resize(kBodyBytes);
  return body;
}

bool Play(recorder& record) {
  fleet system(3, 2);
  system.StartAll();
  std::vector<std::unique_ptr<upstream>> upstreams;
  for (int i = 1; i <= kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<upstream>(system, record, "orders", i, 4));
    upstreams.back()->Start();
  }
  system.Configure(Configuration("unsafe", 2000, 1000, 2, "orders"));
  AwaitAnnounced(upstreams);
  Sleep(milliseconds(1500));

  std::mutex lock;
  std::map<std::string, int> number_of;
  std::map<std::string, int> status_of;
  std::vector<std::thread> callers;
  int number = 0;
  for (int episode = 0; episode < kEpisodes; ++episode) {
    upstream& dark = *upstreams[static_cast<std::size_t>(episode * 3)];
    record.Line("episode %d", episode);
    if (HasTrouble()) {
      record.Line("upstream %s loses power", dark.Id().c_str());
      dark.GoDark();
    }
    const auto end = steady::now() + kDarkTime;
    for (int i = 0; i < kOrdersPerEpisode; ++i) {
      const std::string id = "a" + std::to_string(++number);
      number_of[id] = number;
      callers.emplace_back([&, id, number, entry = system.Entries()[static_cast<std::size_t>(i % 2)]] {
        const std::string body = BodyOf(number);
        const auto to = connection::To(entry->ip, fleet::kFront, milliseconds(1000));
        int status = 0;
        if (to && to->Send(Request("POST /orders/" + id, "shop.example",
                                   CallerFields(id, kDeadlineMs), body))) {
          std::string buffer;
          const auto answer = message_reader(*to, buffer).Read(milliseconds(kDeadlineMs));
          status = answer && answer->is_whole ? answer->Status() : 0;
        }
        const std::lock_guard guard(lock);
        status_of[id] = status;
      });
      Sleep(kOrderInterval);
    }
    std::this_thread::sleep_until(end);
    if (HasTrouble()) {
      dark.ComeBack();
      record.Line("upstream %s is back", dark.Id().c_str());
    }
    Sleep(milliseconds(1500));
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int changed = 0;
  int changed_with_success = 0;
  int whole = 0;
  for (const auto& each : upstreams) {
    for (const arrival& got : each->Arrivals()) {
      const int order = number_of[got.attempt_id];
      const std::string sent = BodyOf(order);
      const bool is_same = got.is_whole && got.body_size == sent.size() &&
                           got.body_hash == std::hash<std::string>()(sent);
      const int status = status_of[got.attempt_id];
      if (!got.is_whole) {
        record.Line("%s: %s got an incomplete message (%zu of %zu bytes), not run",
                    each->Name().c_str(), got.attempt_id.c_str(), got.body_size, sent.size());
        continue;
      }
      whole += is_same ? 1 : 0;
      if (!is_same) {
        ++changed;
        changed_with_success += status == 200 ? 1 : 0;
        record.Line("%s ran %s at %.3f with %zu of %zu bytes of its body; the caller got %d",
                    each->Name().c_str(), got.attempt_id.c_str(), got.at, got.body_size,
                    sent.size(), status);
      }
    }
  }
  std::map<int, int> statuses;
  for (const auto& [id, status] : status_of) {
    ++statuses[status];
  }
  for (const auto& [status, count] : statuses) {
    record.Line("answers with status %d: %d (0: none)", status, count);
  }
  record.Line("runs with the body as sent: %d; with another body: %d (%d of them answered with "
              "success)", whole, changed, changed_with_success);
  if (whole < kEpisodes * kOrdersPerEpisode / 2) {
    throw could_not_run("fewer than half of the orders were run");
  }
  return changed == 0;
}

}  // namespace

int main() {
  return Run(Play);
}
