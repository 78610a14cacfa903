#include "experiment/scarcity_comparison.h"

#include "experiment/event_queue.h"
#include "experiment/scarcity_upstreams.h"
#include "http/answer_time.h"
#include "serving/placement.h"
#include "serving/return_time.h"
#include "serving/service_queue.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 110;
constexpr std::size_t kUpstreams = scarcity_upstreams::kUpstreams;
constexpr std::uint32_t kSlots = scarcity_upstreams::kSlots;
constexpr milliseconds kObjective(1000);
constexpr milliseconds kTimeout(2000);
constexpr std::size_t kWorkspaces = 79;
constexpr double kMinRequestsOfWorst = 20;
constexpr std::uint32_t kWorkspacePriorities = 3;
constexpr std::array<double, 2> kRates = {50, 100};
constexpr double kBurstFactor = 2;
constexpr seconds kBurstStart(5);
constexpr seconds kBurstEnd(15);
constexpr seconds kSimulatedTime(25);
constexpr milliseconds kViewInterval(100);
constexpr milliseconds kSnapshotInterval(20);
constexpr std::size_t kSnapshotsOfDelay = 3;
constexpr std::size_t kMaxWaiting = 64;
constexpr std::size_t kMaxSentAttempts = 4;
constexpr int kMaxReturns = 2;
constexpr milliseconds kMinRetryAfter(200);
constexpr milliseconds kRetryAfterJitter(600);

/// One request of a caller, with its attempts at VMs.
struct caller_request {
  std::uint32_t workspace = 0;
  std::uint32_t route = 0;
  bool is_counted = false;  ///< It arrived during the burst.
  int refusals = 0;
};

/// One attempt of a caller at a VM.
struct vm_request {
  std::uint64_t id = 0;
  std::shared_ptr<caller_request> caller;
  std::size_t vm = 0;
  steady_time arrived;
  std::set<std::size_t> tried;
  std::size_t sent_attempts = 0;
  bool has_returned = false;
  bool is_ended = false;
  milliseconds waited{};
  steady_time queued_at;
};
using request_ptr = std::shared_ptr<vm_request>;

struct sim_vm {
  service_queues queues{{kMaxWaiting}};
  std::deque<request_ptr> fifo;
  std::map<std::uint64_t, request_ptr> requests;  ///< In `queues`.
  send_allowance allowance;
  answer_time answers;
  std::vector<std::uint32_t> view = std::vector<std::uint32_t>(kUpstreams);
  std::vector<std::uint32_t> own = std::vector<std::uint32_t>(kUpstreams);
  std::vector<std::uint32_t> own_in_view = std::vector<std::uint32_t>(kUpstreams);
  std::vector<rank_waiting> waiting;  ///< As the core VMs publish it.
  double draw = 0;                    ///< For the present view.
};

struct tally {
  double requests = 0;
  double served = 0;
  double in_time = 0;
  double InTime() const { return requests > 0 ? in_time / requests : 1; }
};

class scarcity_simulation {
 public:
  scarcity_simulation(scarcity_policy policy, std::uint32_t seed)
      : policy_(policy), random_(seed), vms_(kVms) {
    // Sizes of workspaces follow Zipf's law; priorities alternate, so that each has some of all
    // sizes.
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      weights_.push_back(1.0 / static_cast<double>(i + 1));
    }
  }

  scarcity_measure Run() {
    start_ = events_.Now();
    for (std::uint32_t route = 0; route < kRates.size(); ++route) {
      ScheduleArrival(route);
    }
    TakeSnapshot();
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      events_.After(kViewInterval * vm / kVms, [this, vm] { UpdateView(vm); });
    }
    events_.RunUntil(start_ + kSimulatedTime);
    return Measure();
  }

 private:
  // ---- Callers ----

  bool IsBurst() const {
    const auto elapsed = events_.Now() - start_;
    return elapsed >= kBurstStart && elapsed < kBurstEnd;
  }

  void ScheduleArrival(std::uint32_t route) {
    const double rate = kRates[route] * (route == 1 && IsBurst() ? kBurstFactor : 1);
    const std::chrono::duration<double> wait(std::exponential_distribution<>(rate)(random_));
    events_.After(duration_cast<nanoseconds>(wait), [this, route] {
      auto caller = std::make_shared<caller_request>();
      caller->route = route;
      caller->workspace = static_cast<std::uint32_t>(
          std::discrete_distribution<std::size_t>(weights_.begin(), weights_.end())(random_));
      caller->is_counted = IsBurst();
      counted_ += caller->is_counted ? 1 : 0;
      OnCall(caller);
      ScheduleArrival(route);
    });
  }

  void OnCall(const std::shared_ptr<caller_request>& caller) {
    auto request = std::make_shared<vm_request>();
    request->id = next_id_++;
    request->caller = caller;
    request->vm = random_() % kVms;
    request->arrived = events_.Now();
    events_.After(kTimeout, [this, request] { Refuse(request, DrawTodaysReturn()); });
    StartOrWait(request);
  }

  milliseconds DrawTodaysReturn() {
    return kMinRetryAfter + milliseconds(random_() % kRetryAfterJitter.count());
  }

  void Refuse(const request_ptr& request, milliseconds return_after) {
    if (std::exchange(request->is_ended, true)) {
      return;
    }
    sim_vm& vm = vms_[request->vm];
    vm.queues.Remove(request->id);
    vm.requests.erase(request->id);
    std::erase(vm.fifo, request);
    caller_request& caller = *request->caller;
    ++caller.refusals;
    refused_once_ += caller.is_counted && caller.refusals == 1 ? 1 : 0;
    refused_twice_ += caller.is_counted && caller.refusals == 2 ? 1 : 0;
    if (caller.refusals > kMaxReturns) {
      CountEnd(caller, false, false);
      return;
    }
    events_.After(return_after, [this, caller = request->caller] { OnCall(caller); });
  }

  void CountEnd(const caller_request& caller, bool is_served, bool is_in_time) {
    if (!caller.is_counted) {
      return;
    }
    served_ += is_served ? 1 : 0;
    for (tally* each :
         {&by_route_[caller.route], &by_priority_[caller.workspace % kWorkspacePriorities],
          &by_workspace_[caller.workspace]}) {
      each->requests += 1;
      each->served += is_served ? 1 : 0;
      each->in_time += is_in_time ? 1 : 0;
    }
  }

  // ---- Entry VMs ----

  void TakeSnapshot() {
    snapshots_.push_back(upstreams_.Running());
    if (snapshots_.size() > kSnapshotsOfDelay) {
      snapshots_.pop_front();
    }
    events_.After(kSnapshotInterval, [this] { TakeSnapshot(); });
  }

  void UpdateView(std::size_t index) {
    sim_vm& vm = vms_[index];
    vm.view = snapshots_.front();
    vm.own_in_view = vm.own;
    std::map<queue_rank, std::uint32_t> counts;
    for (const sim_vm& each : vms_) {
      if (const auto rank = HighestRank(each)) {
        ++counts[*rank];
      }
    }
    vm.waiting.clear();
    for (const auto& [rank, count] : counts) {
      vm.waiting.push_back({rank, std::bit_ceil(count)});
    }
    vm.draw = std::uniform_real_distribution<>(0, 1)(random_);
    vm.allowance.OnStateUpdate();
    Dispatch(index);
    events_.After(kViewInterval, [this, index] { UpdateView(index); });
  }

  std::uint32_t RunningAt(const sim_vm& vm, std::size_t upstream) const {
    const std::uint32_t own = vm.own[upstream];
    const std::uint32_t before = vm.own_in_view[upstream];
    return std::max(own, vm.view[upstream] + (own > before ? own - before : 0));
  }

  double RelativeLatency(std::size_t upstream) const {
    return upstreams_.MeanResponse(upstream) / std::chrono::duration<double>(kObjective);
  }

  static std::optional<queue_rank> HighestRank(const sim_vm& vm) {
    if (!vm.fifo.empty()) {
      return queue_rank{};  // All of one rank.
    }
    const auto queue = vm.queues.Queues().find("s");
    return queue == vm.queues.Queues().end() ? std::nullopt : queue->second.HighestRank();
  }

  service_room RoomOf(const sim_vm& vm, queue_rank rank) const {
    if (const auto waiting = HighestRank(vm)) {
      rank = std::min(rank, *waiting);
    }
    std::vector<room_candidate> candidates;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      candidates.push_back({kSlots, RunningAt(vm, i), vm.own[i], RelativeLatency(i)});
    }
    return ComputeRoom(candidates, {kVms, vm.waiting, rank, false, vm.draw});
  }

  queue_rank RankOf(const vm_request& request) const {
    return policy_ == scarcity_policy::kServiceQueue
               ? queue_rank{request.caller->workspace % kWorkspacePriorities, request.caller->route}
               : queue_rank{};
  }

  waiting_request Waiting(const vm_request& request) const {
    waiting_request waiting;
    waiting.id = request.id;
    waiting.rank = RankOf(request);
    waiting.workspace = std::to_string(request.caller->workspace);
    waiting.is_returning = request.has_returned;
    waiting.deadline = request.arrived + kTimeout;
    waiting.objective_at = request.arrived + kObjective;
    const answer_estimate expected = vms_[request.vm].answers.Estimate(kObjective, kTimeout);
    waiting.likely_response = expected.likely;
    waiting.typical_response = expected.typical;
    return waiting;
  }

  void StartOrWait(const request_ptr& request) {
    if (policy_ == scarcity_policy::kSendAtOnce) {
      return Send(request);
    }
    sim_vm& vm = vms_[request->vm];
    const service_room room = RoomOf(vm, RankOf(*request));
    request->queued_at = events_.Now();
    if (policy_ == scarcity_policy::kFirstComeFirstServed) {
      if (room.share > 0 && vm.fifo.empty() && !request->has_returned) {
        return Send(request);
      }
      return vm.fifo.size() < kMaxWaiting ? vm.fifo.push_back(request)
                                          : Refuse(request, DrawTodaysReturn());
    }
    const queue_decision decision =
        vm.queues.Enter("s", Waiting(*request), room, kVms, events_.Now());
    if (decision.verdict == queue_verdict::kSend) {
      return Send(request);
    }
    if (decision.verdict != queue_verdict::kWait) {
      return Refuse(request, QueueReturn(*request));
    }
    vm.requests[request->id] = request;
    if (decision.displaced) {
      const request_ptr displaced = vm.requests.at(*decision.displaced);
      Refuse(displaced, QueueReturn(*displaced));
    }
  }

  milliseconds QueueReturn(const vm_request& request) {
    const auto backlog =
        vms_[request.vm].queues.BacklogOf("s", Waiting(request).rank, events_.Now());
    return backlog ? BacklogReturnTime(backlog->ahead, backlog->interval,
                                       std::uniform_real_distribution<>(0, 1)(random_))
                   : DrawTodaysReturn();
  }

  request_ptr TakeNext(sim_vm& vm, const service_room& room) {
    if (policy_ == scarcity_policy::kFirstComeFirstServed) {
      if (vm.fifo.empty()) {
        return nullptr;
      }
      request_ptr first = vm.fifo.front();
      vm.fifo.pop_front();
      return first;
    }
    const auto next = vm.queues.Pop("s", room, kVms, events_.Now());
    if (!next) {
      return nullptr;
    }
    request_ptr request = vm.requests.at(next->id);
    vm.requests.erase(next->id);
    return request;
  }

  void Dispatch(std::size_t index) {
    sim_vm& vm = vms_[index];
    for (const waiting_request& expired : vm.queues.TakeExpired(events_.Now())) {
      const request_ptr request = vm.requests.at(expired.id);
      Refuse(request, QueueReturn(*request));
    }
    const service_room room = RoomOf(vm, HighestRank(vm).value_or(queue_rank{}));
    for (std::uint32_t left = vm.allowance.Left(room, false, events_.Now()); left > 0; --left) {
      const request_ptr request = TakeNext(vm, room);
      if (!request) {
        return;
      }
      vm.allowance.OnSent();
      request->waited += duration_cast<milliseconds>(events_.Now() - request->queued_at);
      Send(request);
    }
  }

  // ---- Attempts ----

  void Send(const request_ptr& request) {
    sim_vm& vm = vms_[request->vm];
    std::vector<placement_candidate> candidates;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (request->tried.contains(i)) {
        continue;
      }
      placement_candidate candidate;
      candidate.relative_latency = RelativeLatency(i);
      candidate.slots = kSlots;
      candidate.running = RunningAt(vm, i);
      candidates.push_back(candidate);
      indexes.push_back(i);
    }
    if (policy_ != scarcity_policy::kSendAtOnce) {
      KeepThoseWithRoom(candidates, indexes);
    }
    const auto chosen = ChooseUpstream(candidates, {}, random_);
    if (!chosen || request->sent_attempts >= kMaxSentAttempts) {
      return ReturnOrRefuse(request);
    }
    const std::size_t target = indexes[*chosen];
    request->tried.insert(target);
    ++request->sent_attempts;
    ++vm.own[target];
    upstreams_.Send(target, {[request] { return request->is_ended; },
                             [this, request, target](scarcity_outcome outcome) {
                               OnAttemptEnd(request, target, outcome);
                             }});
  }

  static void KeepThoseWithRoom(std::vector<placement_candidate>& candidates,
                                std::vector<std::size_t>& indexes) {
    std::vector<placement_candidate> kept;
    std::vector<std::size_t> kept_indexes;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const placement_candidate& candidate = candidates[i];
      if (FreeCapacity({kSlots, candidate.running, 0, candidate.relative_latency}) > 0) {
        kept.push_back(candidate);
        kept_indexes.push_back(indexes[i]);
      }
    }
    if (!kept.empty()) {
      candidates = std::move(kept);
      indexes = std::move(kept_indexes);
    }
  }

  // A request that all upstreams have shed waits once more if there is a queue.
  void ReturnOrRefuse(const request_ptr& request) {
    if (policy_ == scarcity_policy::kServiceQueue && !std::exchange(request->has_returned, true)) {
      request->tried.clear();
      request->sent_attempts = kMaxSentAttempts - 1;
      return StartOrWait(request);
    }
    Refuse(request, DrawTodaysReturn());
  }

  void OnAttemptEnd(const request_ptr& request, std::size_t target, scarcity_outcome outcome) {
    const auto taken = events_.Now() - request->arrived;
    if (outcome == scarcity_outcome::kAnswered && !std::exchange(request->is_ended, true)) {
      vms_[request->vm].answers.Add(duration_cast<microseconds>(taken - request->waited));
      CountEnd(*request->caller, true, taken <= kObjective);
    }
    sim_vm& vm = vms_[request->vm];
    --vm.own[target];
    if (policy_ != scarcity_policy::kSendAtOnce) {
      vm.allowance.OnAttemptEnd();
      Dispatch(request->vm);
    }
    if (outcome == scarcity_outcome::kShed) {
      sheds_ += request->caller->is_counted ? 1 : 0;
      if (!request->is_ended) {
        Send(request);
      }
    }
  }

  scarcity_measure Measure() const {
    scarcity_measure measure;
    measure.policy = policy_;
    std::transform(by_route_.begin(), by_route_.end(), measure.in_time_by_route.begin(),
                   std::mem_fn(&tally::InTime));
    std::transform(by_priority_.begin(), by_priority_.end(), measure.in_time_by_workspace.begin(),
                   std::mem_fn(&tally::InTime));
    for (const tally& each : by_workspace_) {
      if (each.requests >= kMinRequestsOfWorst) {
        measure.worst_served = std::min(measure.worst_served, each.served / each.requests);
      }
    }
    measure.served = served_ / counted_;
    measure.refused_once = refused_once_ / counted_;
    measure.refused_twice = refused_twice_ / counted_;
    measure.sheds_per_request = sheds_ / counted_;
    return measure;
  }

  const scarcity_policy policy_;
  std::mt19937_64 random_;
  event_queue events_;
  scarcity_upstreams upstreams_{events_, random_};
  steady_time start_;
  std::vector<sim_vm> vms_;
  std::vector<double> weights_;
  std::deque<std::vector<std::uint32_t>> snapshots_;
  std::uint64_t next_id_ = 1;
  double counted_ = 0;
  double served_ = 0;
  double refused_once_ = 0;
  double refused_twice_ = 0;
  double sheds_ = 0;
  std::array<tally, kRates.size()> by_route_;
  std::array<tally, kWorkspacePriorities> by_priority_;
  std::array<tally, kWorkspaces> by_workspace_;
};

void AddScaled(scarcity_measure& sum, const scarcity_measure& each, double factor) {
  for (std::size_t i = 0; i < sum.in_time_by_route.size(); ++i) {
    sum.in_time_by_route[i] += each.in_time_by_route[i] * factor;
  }
  for (std::size_t i = 0; i < sum.in_time_by_workspace.size(); ++i) {
    sum.in_time_by_workspace[i] += each.in_time_by_workspace[i] * factor;
  }
  for (double scarcity_measure::*field :
       {&scarcity_measure::served, &scarcity_measure::worst_served, &scarcity_measure::refused_once,
        &scarcity_measure::refused_twice, &scarcity_measure::sheds_per_request}) {
    sum.*field += each.*field * factor;
  }
}

}  // namespace

std::string PolicyName(scarcity_policy policy) {
  static constexpr const char* kNames[] = {"sent at once", "first come, first served",
                                           "service queue"};
  return kNames[static_cast<std::size_t>(policy)];
}

scarcity_measure MeasureScarcity(scarcity_policy policy, std::uint32_t seed) {
  return scarcity_simulation(policy, seed).Run();
}

std::vector<scarcity_measure> CompareScarcity(std::uint32_t seed, int runs) {
  std::vector<scarcity_measure> measures;
  for (const scarcity_policy policy :
       {scarcity_policy::kSendAtOnce, scarcity_policy::kFirstComeFirstServed,
        scarcity_policy::kServiceQueue}) {
    scarcity_measure mean;
    mean.policy = policy;
    mean.worst_served = 0;
    for (int run = 0; run < runs; ++run) {
      AddScaled(mean, MeasureScarcity(policy, seed + static_cast<std::uint32_t>(run)), 1.0 / runs);
    }
    measures.push_back(mean);
  }
  return measures;
}

}  // namespace corianderhoist
