#include "experiment/hedge_comparison.h"

#include "experiment/event_queue.h"
#include "fleet/latency_digest.h"
#include "serving/hedge_policy.h"
#include "serving/repeat_budget.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds kWarmUp(30);  // The first digests need up to two seconds.
constexpr seconds kMeasuredTime(300);
constexpr std::size_t kUpstreams = 100;
constexpr std::size_t kSlowUpstreams = 10;
constexpr double kSlowFactor = 5;
constexpr int kSlots = 4;
constexpr std::size_t kVms = 20;
constexpr double kRequestsPerSecond = 400;
constexpr double kMeanServiceMs = 100;
constexpr double kServiceTimeLogSigma = 0.5;
constexpr milliseconds kObjective(600);
constexpr milliseconds kConfirmInterval(400);
constexpr int kMaxDraws = 100;
const std::string kService = "service";
const std::string kRoute = "route";

struct hedge_rule {
  const char* name;
  bool has_repeats;
  double share;
};
constexpr hedge_rule kRules[] = {{"no second attempts", false, 0},
                                 {"limit 0 (0.6 of the objective)", true, 0},
                                 {"limit 0.02", true, 0.02},
                                 {"limit 0.05", true, 0.05},
                                 {"limit 0.1", true, 0.1}};

class event_clock final : public clock_source {
 public:
  explicit event_clock(const event_queue& events) : events_(events) {}
  steady_time Now() const override { return events_.Now(); }
  system_time WallNow() const override { return system_time(); }

 private:
  const event_queue& events_;
};

struct sim_attempt {
  std::size_t upstream = 0;
  steady_time started;
  bool is_first = false;
  bool is_running = true;
};

struct sim_request {
  std::size_t vm = 0;
  steady_time arrived;
  hedge_delay delay;  ///< Of the newest attempt.
  std::vector<std::shared_ptr<sim_attempt>> attempts;
  bool is_answered = false;
};
using request_ptr = std::shared_ptr<sim_request>;

struct sim_vm {
  explicit sim_vm(const hedge_settings& settings, const clock_source& clock)
      : hedges(settings, repeat_bound{}, clock), repeats(repeat_bound{}, clock) {}
  hedge_policy hedges;
  repeat_budget repeats;
  latency_digests digests;
};

class hedge_simulation {
 public:
  hedge_simulation(const hedge_rule& rule, std::uint32_t seed)
      : rule_(rule), random_(seed), clock_(events_), pool_(events_.Now()), running_(kUpstreams) {
    hedge_settings settings;
    settings.max_share = rule.share;
    for (std::size_t i = 0; i < kVms; ++i) {
      vms_.push_back(std::make_unique<sim_vm>(settings, clock_));
    }
  }

  hedge_measure Run() {
    measured_from_ = events_.Now() + kWarmUp;
    ConfirmDigests();
    ScheduleArrival();
    events_.RunUntil(measured_from_ + kMeasuredTime);
    return Measure();
  }

 private:
  bool IsMeasured() const { return events_.Now() >= measured_from_; }

  void ConfirmDigests() {
    for (const auto& vm : vms_) {
      vm->digests.Confirm(pool_.Publish(events_.Now()), events_.Now());
    }
    events_.After(kConfirmInterval, [this] { ConfirmDigests(); });
  }

  void ScheduleArrival() {
    const std::chrono::duration<double> wait(
        std::exponential_distribution<>(kRequestsPerSecond)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this] {
      OnArrival();
      ScheduleArrival();
    });
  }

  void OnArrival() {
    const auto request = std::make_shared<sim_request>();
    request->vm = random_() % kVms;
    request->arrived = events_.Now();
    requests_ += IsMeasured() ? 1 : 0;
    sim_vm& vm = *vms_[request->vm];
    vm.hedges.CountRequest(kService, kRoute);
    vm.repeats.CountRequest(kService);
    StartAttempt(request);
  }

  std::size_t DrawUpstream(const sim_request& request) {
    std::size_t drawn = 0;
    for (int i = 0; i < kMaxDraws; ++i) {
      drawn = random_() % kUpstreams;
      const bool is_tried = !request.attempts.empty() && request.attempts[0]->upstream == drawn;
      if (!is_tried && running_[drawn] < kSlots) {
        break;
      }
    }
    return drawn;
  }

  void StartAttempt(const request_ptr& request) {
    const auto attempt = std::make_shared<sim_attempt>();
    attempt->upstream = DrawUpstream(*request);
    attempt->started = events_.Now();
    attempt->is_first = request->attempts.empty();
    request->attempts.push_back(attempt);
    ++running_[attempt->upstream];
    const double mean = kMeanServiceMs * (attempt->upstream < kSlowUpstreams ? kSlowFactor : 1);
    std::lognormal_distribution<> time(
        std::log(mean) - kServiceTimeLogSigma * kServiceTimeLogSigma / 2, kServiceTimeLogSigma);
    const std::chrono::duration<double, std::milli> taken(time(random_));
    events_.After(duration_cast<nanoseconds>(taken),
                  [this, request, attempt] { OnEnd(request, attempt); });
    sim_vm& vm = *vms_[request->vm];
    request->delay = vm.hedges.DelayFor(kService, kRoute, kObjective, vm.digests);
    ScheduleStep(request, attempt, FirstSlowStep(request->delay, kObjective));
  }

  void ScheduleStep(const request_ptr& request,
                    const std::shared_ptr<sim_attempt>& attempt,
                    milliseconds delay) {
    events_.After(delay, [this, request, attempt] {
      if (!request->is_answered && request->attempts.back() == attempt) {
        OnSlow(request);
      }
    });
  }

  void OnSlow(const request_ptr& request) {
    const auto newest = request->attempts.back();
    const slow_step step = SlowStepAt(events_.Now() - newest->started, request->delay, kObjective);
    if (step.next) {
      ScheduleStep(request, newest, *step.next);
    }
    slow_request slow;
    slow.service = kService;
    slow.route = kRoute;
    slow.cause = step.cause;
    slow.may_repeat = rule_.has_repeats;
    slow.running_attempts = request->attempts.size();
    sim_vm& vm = *vms_[request->vm];
    if (!step.is_repeat_due || vm.hedges.TryTake(slow) ||
        !vm.repeats.TryTake(kService, step.cause, false, kVms)) {
      return;
    }
    if (IsMeasured()) {
      ++(step.cause == repeat_cause::kSlowness ? hedges_ : retries_);
    }
    StartAttempt(request);
  }

  void OnEnd(const request_ptr& request, const std::shared_ptr<sim_attempt>& attempt) {
    if (!attempt->is_running) {
      return;  // Cancelled.
    }
    Stop(*attempt);
    if (std::exchange(request->is_answered, true)) {
      return;
    }
    if (IsMeasured()) {
      times_ms_.push_back(
          std::chrono::duration<double, std::milli>(events_.Now() - request->arrived).count());
    }
    const auto no_response_after = duration_cast<nanoseconds>(kObjective) * 9 / 10;
    for (const auto& other : request->attempts) {
      const bool is_reported_silent = events_.Now() - other->started >= no_response_after;
      if (rule_.share > 0 && other->is_running && IsCancelled({is_reported_silent, false, {}, 0})) {
        Stop(*other);
      }
    }
  }

  void Stop(sim_attempt& attempt) {
    const auto taken = events_.Now() - attempt.started;
    attempt.is_running = false;
    --running_[attempt.upstream];
    work_ms_ += IsMeasured() ? std::chrono::duration<double, std::milli>(taken).count() : 0;
    if (attempt.is_first) {
      std::vector<latency_counts> counts;
      CountLatency(counts, kService, taken);
      pool_.Add(counts, events_.Now());
    }
  }

  hedge_measure Measure() {
    std::sort(times_ms_.begin(), times_ms_.end());
    const auto quantile = [this](double part) {
      return times_ms_[static_cast<std::size_t>(part * double(times_ms_.size() - 1))];
    };
    hedge_measure measure;
    measure.rule = rule_.name;
    measure.p50_ms = quantile(0.5);
    measure.p99_ms = quantile(0.99);
    measure.p999_ms = quantile(0.999);
    measure.hedges = hedges_ / requests_;
    measure.retries = retries_ / requests_;
    measure.work_ms = work_ms_ / requests_;
    return measure;
  }

  const hedge_rule rule_;
  std::mt19937_64 random_;
  event_queue events_;
  event_clock clock_;
  latency_pool pool_;
  std::vector<std::unique_ptr<sim_vm>> vms_;
  std::vector<int> running_;  ///< By upstream.
  steady_time measured_from_;
  std::vector<double> times_ms_;
  double requests_ = 0;
  double hedges_ = 0;
  double retries_ = 0;
  double work_ms_ = 0;
};

}  // namespace

std::vector<hedge_measure> CompareHedges(std::uint32_t seed) {
  std::vector<hedge_measure> measures;
  for (const hedge_rule& rule : kRules) {
    measures.push_back(hedge_simulation(rule, seed).Run());
  }
  return measures;
}

}  // namespace corianderhoist
