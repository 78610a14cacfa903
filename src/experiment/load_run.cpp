#include "experiment/load_run.h"

#include "base/clock.h"
#include "base/hash.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <cmath>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr int kMinErrorStatus = 400;
constexpr std::size_t kIdempotencyKeyBytes = 12;

struct shared_load_state {
  const load_plan& plan;
  steady_time start;
  std::atomic<std::uint64_t> next_index{0};
};

// Waits for the intended start of a request. Returns false when it is past the end of the run.
bool WaitForIntendedStart(const shared_load_state& run,
                          std::uint64_t index,
                          steady_time& intended) {
  if (run.plan.rate > 0) {
    const auto offset = std::chrono::duration<double>(static_cast<double>(index) / run.plan.rate);
    intended = run.start + duration_cast<steady_time::duration>(offset);
    std::this_thread::sleep_until(std::min(intended, run.start + run.plan.duration));
  } else {
    intended = SystemClock().Now();
  }
  return intended < run.start + run.plan.duration;
}

http_call MakeCall(const load_plan& plan, const load_workspace& workspace) {
  http_call call = plan.call;
  if (!workspace.key.empty()) {
    call.headers.emplace_back("Corianderhoist-Key", workspace.key);
  }
  if (plan.has_idempotency_keys) {
    call.headers.emplace_back("Idempotency-Key", ToHex(RandomBytes(kIdempotencyKeyBytes)));
  }
  return call;
}

void RecordResponse(load_result& result, const http_reply& reply, microseconds latency) {
  ++result.sent;
  ++result.ends[reply.status == 0 ? reply.failure : std::to_string(reply.status)];
  if (reply.status > 0 && reply.status < kMinErrorStatus) {
    result.latencies.push_back(latency);
  }
}

load_results RunConnection(shared_load_state& run, const endpoint& address) {
  http_client client(address);
  load_results results;
  for (;;) {
    const std::uint64_t index = run.next_index.fetch_add(1);
    steady_time intended;
    if (!WaitForIntendedStart(run, index, intended)) {
      return results;
    }
    const load_workspace& workspace = run.plan.workspaces[index % run.plan.workspaces.size()];
    const http_reply reply = client.Call(MakeCall(run.plan, workspace), run.plan.timeout);
    RecordResponse(results[workspace.name], reply,
                   duration_cast<microseconds>(SystemClock().Now() - intended));
  }
}

}  // namespace

void load_result::Merge(const load_result& other) {
  sent += other.sent;
  for (const auto& [end, count] : other.ends) {
    ends[end] += count;
  }
  latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

load_results RunLoad(const load_plan& plan) {
  assert(!plan.addresses.empty() && !plan.workspaces.empty() &&
         "load plan needs at least one address and one workspace");
  shared_load_state run{plan, SystemClock().Now()};
  const auto count = static_cast<std::size_t>(plan.connections);
  std::vector<load_results> results(count);
  std::vector<std::thread> threads;
  threads.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    threads.emplace_back([&run, &results, i] {
      results[i] = RunConnection(run, run.plan.addresses[i % run.plan.addresses.size()]);
    });
  }
  load_results merged;
  for (std::size_t i = 0; i < count; ++i) {
    threads[i].join();
    for (const auto& [workspace, result] : results[i]) {
      merged[workspace].Merge(result);
    }
  }
  return merged;
}

microseconds Quantile(std::vector<microseconds> latencies, double share) {
  if (latencies.empty()) {
    return microseconds(0);
  }
  const auto rank =
      static_cast<std::ptrdiff_t>(std::ceil(share * static_cast<double>(latencies.size())) - 1);
  const auto position = latencies.begin() + std::max<std::ptrdiff_t>(rank, 0);
  std::nth_element(latencies.begin(), position, latencies.end());
  return *position;
}

QJsonObject ToJson(const load_result& result, std::chrono::milliseconds duration) {
  QJsonObject ends;
  for (const auto& [end, count] : result.ends) {
    ends[QString::fromStdString(end)] = static_cast<qint64>(count);
  }
  const double seconds = std::chrono::duration<double>(duration).count();
  return {{"sent", static_cast<qint64>(result.sent)},
          {"served", static_cast<qint64>(result.Served())},
          {"per_second", static_cast<double>(result.Served()) / seconds},
          {"p50_us", static_cast<qint64>(Quantile(result.latencies, 0.5).count())},
          {"p99_us", static_cast<qint64>(Quantile(result.latencies, 0.99).count())},
          {"p999_us", static_cast<qint64>(Quantile(result.latencies, 0.999).count())},
          {"max_us", static_cast<qint64>(Quantile(result.latencies, 1).count())},
          {"ends", ends}};
}

}  // namespace corianderhoist
