#include "support/order_stream.h"

#include "experiment/http_client.h"

#include <chrono>
#include <stdexcept>

namespace corianderhoist {
namespace {

constexpr std::chrono::seconds kAnswerTimeout{20};
constexpr std::chrono::milliseconds kResendPause{50};
// Bounds the resends of an order whose outcome stays undecided, so that its thread continues.
constexpr int kMaxSendsPerOrder = 100;

std::vector<endpoint> AddressesOf(const fleet& target, const std::vector<std::string>& entries) {
  std::vector<endpoint> addresses;
  addresses.reserve(entries.size());
  for (const std::string& entry : entries) {
    addresses.push_back(target.Callers(entry));
  }
  return addresses;
}

}  // namespace

order_stream::order_stream(fleet& target,
                           std::vector<std::string> entries,
                           std::string key,
                           int threads)
    : target_(target), entries_(AddressesOf(target, entries)), key_(std::move(key)) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, i] { SendOrders(i); });
  }
}

order_stream::~order_stream() {
  Stop();
}

void order_stream::SendOrders(int thread) {
  for (int number = 0; !is_stopping_; ++number) {
    const std::string order = "stream-" + std::to_string(thread) + '-' + std::to_string(number);
    const order_result result = SendOne(order, static_cast<std::size_t>(number));
    answered_ += result == order_result::kAnswered ? 1 : 0;
    const std::lock_guard guard(lock_);
    results_[order] = result;
  }
}

order_stream::order_result order_stream::SendOne(const std::string& order,
                                                 std::size_t first_entry) {
  bool may_have_run = false;
  for (std::size_t i = 0; i < kMaxSendsPerOrder && !(is_stopping_ && i > 0); ++i) {
    const http_reply reply =
        CallOnce(entries_[(first_entry + i) % entries_.size()],
                 {"POST",
                  "/orders",
                  {{"Corianderhoist-Key", key_}, {"Idempotency-Key", order}, {"X-Order", order}},
                  "{\"item\":1}"},
                 kAnswerTimeout);
    if (reply.status == 200) {
      return order_result::kAnswered;
    }
    may_have_run |= reply.Header("corianderhoist-outcome") != "not_run";
    if (reply.body.find("\"outcome_unknown\"") != std::string::npos) {
      return order_result::kUnknown;
    }
    std::this_thread::sleep_for(kResendPause);
  }
  return may_have_run ? order_result::kUnknown : order_result::kNotRun;
}

void order_stream::AwaitAnswered(int count) {
  WaitUntilOrThrow(std::to_string(count) + " orders are answered",
                   [&] { return answered_ >= count; });
}

void order_stream::Stop() {
  is_stopping_ = true;
  for (std::thread& each : threads_) {
    if (each.joinable()) {
      each.join();
    }
  }
}

std::string order_stream::FindViolation() {
  std::map<std::string, int> executions;
  for (const std::string& upstream : target_.Names("upstream-")) {
    const QJsonObject orders =
        fleet::Get(target_.Upstream(upstream), "/_test/executions")["orders"].toObject();
    for (auto it = orders.begin(); it != orders.end(); ++it) {
      executions[it.key().toStdString()] += it->toInt();
    }
  }
  const std::lock_guard guard(lock_);
  for (const auto& [order, result] : results_) {
    const int count = executions[order];
    const bool is_missing = result == order_result::kAnswered && count != 1;
    const bool is_wrongly_refused = result == order_result::kNotRun && count != 0;
    if (count > 1 || is_missing || is_wrongly_refused) {
      return order + " ran " + std::to_string(count) + " times, its result is " +
             std::to_string(static_cast<int>(result));
    }
  }
  return {};
}

}  // namespace corianderhoist
