#include "experiment/scarcity_upstreams.h"

#include <cmath>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::chrono::duration<double> kMeanResponse(0.25);
constexpr double kSlowFactor = 3;
constexpr double kResponseLogSigma = 0.5;
constexpr milliseconds kNetworkTime(5);

}  // namespace

scarcity_upstreams::scarcity_upstreams(event_queue& events, std::mt19937_64& random)
    : events_(events), random_(random) {
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    upstreams_.push_back({kMeanResponse * (i < kSlowUpstreams ? kSlowFactor : 1), 0, {}});
  }
}

void scarcity_upstreams::Send(std::size_t upstream, scarcity_attempt attempt) {
  events_.After(kNetworkTime,
                [this, upstream, attempt = std::move(attempt)] { OnArrival(upstream, attempt); });
}

void scarcity_upstreams::OnArrival(std::size_t upstream, scarcity_attempt attempt) {
  state& own = upstreams_[upstream];
  if (own.busy < kSlots) {
    Begin(upstream, std::move(attempt));
  } else if (own.queued.size() < kQueue) {
    own.queued.push_back(std::move(attempt));
  } else {
    events_.After(kNetworkTime,
                  [attempt = std::move(attempt)] { attempt.on_end(scarcity_outcome::kShed); });
  }
}

void scarcity_upstreams::Begin(std::size_t upstream, scarcity_attempt attempt) {
  state& own = upstreams_[upstream];
  ++own.busy;
  std::lognormal_distribution<> spread(
      std::log(own.mean_response.count()) - kResponseLogSigma * kResponseLogSigma / 2,
      kResponseLogSigma);
  const std::chrono::duration<double> time(spread(random_));
  events_.After(duration_cast<nanoseconds>(time), [this, upstream, attempt = std::move(attempt)] {
    OnSlotFree(upstream);
    events_.After(kNetworkTime, [attempt] { attempt.on_end(scarcity_outcome::kAnswered); });
  });
}

void scarcity_upstreams::OnSlotFree(std::size_t upstream) {
  state& own = upstreams_[upstream];
  --own.busy;
  while (!own.queued.empty() && own.busy < kSlots) {
    scarcity_attempt next = std::move(own.queued.front());
    own.queued.pop_front();
    if (next.is_given_up()) {
      next.on_end(scarcity_outcome::kDropped);  // The VM has closed its connection.
    } else {
      Begin(upstream, std::move(next));
    }
  }
}

std::vector<std::uint32_t> scarcity_upstreams::Running() const {
  std::vector<std::uint32_t> running;
  running.reserve(upstreams_.size());
  for (const state& each : upstreams_) {
    running.push_back(each.busy + static_cast<std::uint32_t>(each.queued.size()));
  }
  return running;
}

}  // namespace corianderhoist
