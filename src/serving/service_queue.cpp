#include "serving/service_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kIntervalSmoothing = 8;
// An interval measured before a longer pause says nothing about the present capacity.
constexpr std::chrono::seconds kIntervalLifetime(5);
constexpr std::uint32_t kSentPerLowerRank = 10;
// Core VMs answer a watch call at least this often, so that an allowance is renewed without it only
// if they are silent.
constexpr milliseconds kMaxAllowanceAge(400);

bool IsInTime(const waiting_request& request, steady_time sent_at) {
  return sent_at + request.likely_response <= request.deadline;
}

// An equal part of the service's slots, each of which ends a request per likely response time.
microseconds AssumedInterval(const waiting_request& request,
                             const service_room& room,
                             std::uint32_t active_vms) {
  return microseconds(request.likely_response) * std::max(active_vms, 1U) /
         std::max(room.slots, 1U);
}

}  // namespace

void drain_meter::Begin(steady_time now) {
  if (now - last_ > kIntervalLifetime) {
    mean_.reset();
  }
  last_ = now;
}

void drain_meter::NoteSent(steady_time now, microseconds assumed) {
  if (!mean_) {
    mean_ = assumed;
  }
  *mean_ += (duration_cast<microseconds>(now - last_) - *mean_) / kIntervalSmoothing;
  last_ = now;
}

microseconds drain_meter::Interval(steady_time now, bool is_waiting, microseconds assumed) const {
  const auto since_last = duration_cast<microseconds>(now - last_);
  const bool is_measured = mean_ && (is_waiting || since_last <= kIntervalLifetime);
  const microseconds interval = is_measured ? *mean_ : assumed;
  return is_waiting && since_last > kMaxAllowanceAge ? std::max(interval, since_last) : interval;
}

struct service_queue::place_in_order {
  const waiting_request* request = nullptr;
  int group = 0;  ///< Returning, able to meet the objective, late.
  std::uint64_t start_tag = 0;

  auto Key() const {
    return std::tuple(request->rank, group, start_tag, request->deadline, request->id);
  }
  bool operator<(const place_in_order& other) const { return Key() < other.Key(); }
};

void service_queue::Push(waiting_request request, steady_time now) {
  if (waiting_.empty()) {
    drain_.Begin(now);
  }
  const auto [rank, is_new] = ranks_.try_emplace(request.rank);
  if (is_new) {
    rank->second.last_sent = sent_count_;
  }
  waiting_.push_back(std::move(request));
}

// A workspace that was idle starts at the virtual time: it has neither credit nor debt from before.
std::uint64_t service_queue::StartOf(const queue_rank& rank, const std::string& workspace) const {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end()) {
    return 0;
  }
  const fair_state& fair = found->second;
  const auto next = fair.next_start.find(workspace);
  return next == fair.next_start.end() ? fair.virtual_time
                                       : std::max(next->second, fair.virtual_time);
}

std::vector<service_queue::place_in_order> service_queue::Ordered(
    const std::vector<const waiting_request*>& requests,
    steady_time now) const {
  std::vector<place_in_order> order;
  order.reserve(requests.size());
  for (const waiting_request* request : requests) {
    const bool is_late = now + request->typical_response > request->objective_at;
    order.push_back({request, request->is_returning ? 0 : is_late ? 2 : 1, 0});
  }
  // Within a workspace the order is that of the keys without start tags, which follow from it.
  std::sort(order.begin(), order.end());
  std::map<std::pair<queue_rank, std::string>, std::uint64_t> next;
  for (place_in_order& place : order) {
    const waiting_request& request = *place.request;
    const auto [tag, is_first] = next.try_emplace({request.rank, request.workspace});
    if (is_first) {
      tag->second = StartOf(request.rank, request.workspace);
    }
    place.start_tag = tag->second++;
  }
  std::sort(order.begin(), order.end());
  return order;
}

std::vector<service_queue::place_in_order> service_queue::Ordered(steady_time now) const {
  std::vector<const waiting_request*> requests;
  requests.reserve(waiting_.size());
  for (const waiting_request& request : waiting_) {
    requests.push_back(&request);
  }
  return Ordered(requests, now);
}

// The highest rank, or after nine requests of it the lower one that has been passed over longest.
queue_rank service_queue::RankToSend() const {
  const auto highest = ranks_.begin();
  if (ranks_.size() == 1 || sent_above_ + 1 < kSentPerLowerRank) {
    return highest->first;
  }
  return std::min_element(std::next(highest), ranks_.end(),
                          [](const auto& left, const auto& right) {
                            return left.second.last_sent < right.second.last_sent;
                          })
      ->first;
}

void service_queue::NoteSent(const waiting_request& request) {
  const bool is_highest = ranks_.begin()->first == request.rank;
  sent_above_ = is_highest && ranks_.size() > 1 ? sent_above_ + 1 : 0;
  fair_state& fair = ranks_.at(request.rank);
  fair.last_sent = ++sent_count_;
  const std::uint64_t start = StartOf(request.rank, request.workspace);
  fair.virtual_time = start;
  fair.next_start[request.workspace] = start + 1;
  std::erase_if(fair.next_start,
                [&](const auto& item) { return item.second <= fair.virtual_time; });
}

void service_queue::DropEmptyRanks() {
  std::erase_if(ranks_, [this](const auto& item) {
    return std::none_of(waiting_.begin(), waiting_.end(),
                        [&](const waiting_request& request) { return request.rank == item.first; });
  });
}

std::optional<waiting_request> service_queue::Pop(steady_time now, microseconds assumed_interval) {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const queue_rank rank = RankToSend();
  const auto order = Ordered(now);
  const auto first = std::find_if(order.begin(), order.end(), [&](const place_in_order& place) {
    return place.request->rank == rank;
  });
  waiting_request request = *first->request;
  NoteSent(request);
  drain_.NoteSent(now, assumed_interval);
  Remove(request.id);
  return request;
}

bool service_queue::Remove(std::uint64_t id) {
  const bool was_waiting = std::erase_if(waiting_, [id](const waiting_request& request) {
                             return request.id == id;
                           }) > 0;
  if (was_waiting) {
    DropEmptyRanks();
  }
  return was_waiting;
}

std::vector<waiting_request> service_queue::TakeExpired(steady_time now) {
  std::vector<waiting_request> expired;
  std::copy_if(waiting_.begin(), waiting_.end(), std::back_inserter(expired),
               [now](const waiting_request& request) { return !IsInTime(request, now); });
  for (const waiting_request& request : expired) {
    Remove(request.id);
  }
  return expired;
}

const waiting_request* service_queue::Last(steady_time now) const {
  const auto order = Ordered(now);
  return order.empty() ? nullptr : order.back().request;
}

std::size_t service_queue::AheadOf(const waiting_request& request, steady_time now) const {
  std::vector<const waiting_request*> requests{&request};
  for (const waiting_request& other : waiting_) {
    if (other.id != request.id) {
      requests.push_back(&other);
    }
  }
  const auto order = Ordered(requests, now);
  const auto own = std::find_if(order.begin(), order.end(), [&](const place_in_order& place) {
    return place.request->id == request.id;
  });
  return static_cast<std::size_t>(own - order.begin());
}

std::size_t service_queue::CountUpTo(const queue_rank& rank) const {
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [&](const waiting_request& request) { return request.rank <= rank; }));
}

std::map<queue_rank, std::size_t> service_queue::CountByRank() const {
  std::map<queue_rank, std::size_t> counts;
  for (const waiting_request& request : waiting_) {
    ++counts[request.rank];
  }
  return counts;
}

std::optional<queue_rank> service_queue::HighestRank() const {
  return ranks_.empty() ? std::nullopt : std::optional(ranks_.begin()->first);
}

queue_decision service_queues::Enter(const std::string& service,
                                     const waiting_request& request,
                                     const service_room& room,
                                     std::uint32_t active_vms,
                                     steady_time now) {
  queue_decision decision;
  const bool can_open = room.open_upstreams == 0 && room.opens_in;
  // Without a sound upstream there is no capacity to wait for.
  const bool is_sent_at_once = (room.sound_upstreams == 0 && !can_open) ||
                               (room.share > 0 && !IsWaiting(service) && !request.is_returning);
  if (!IsEnabled() || is_sent_at_once) {
    return decision;
  }
  service_queue& queue = queues_[service];
  const microseconds assumed = AssumedInterval(request, room, active_vms);
  assumed_intervals_[service] = assumed;
  decision.ahead = queue.AheadOf(request, now);
  decision.expected_wait = queue.Interval(now, assumed) * decision.ahead;
  if (can_open) {
    decision.expected_wait = std::max<microseconds>(decision.expected_wait, *room.opens_in);
  }
  if (!IsInTime(request, now + decision.expected_wait)) {
    // A closed service refuses as it does without a queue.
    decision.verdict = can_open ? queue_verdict::kSend : queue_verdict::kTooLate;
    return decision;
  }
  if (Size() >= settings_.max_requests) {
    decision.displaced = Displace(request.rank, now);
    if (!decision.displaced) {
      decision.verdict = queue_verdict::kFull;
      return decision;
    }
  }
  queue.Push(request, now);
  decision.verdict = queue_verdict::kWait;
  return decision;
}

// Removes the last request of the lowest rank of all services, if that is lower than `by`.
std::optional<std::uint64_t> service_queues::Displace(const queue_rank& by, steady_time now) {
  service_queue* from = nullptr;
  const waiting_request* last = nullptr;
  for (auto& [service, queue] : queues_) {
    const waiting_request* candidate = queue.Last(now);
    if (candidate != nullptr && (last == nullptr || last->rank < candidate->rank)) {
      from = &queue;
      last = candidate;
    }
  }
  if (last == nullptr || last->rank <= by) {
    return std::nullopt;
  }
  const std::uint64_t id = last->id;
  from->Remove(id);
  return id;
}

std::optional<waiting_request> service_queues::Pop(const std::string& service,
                                                   const service_room& room,
                                                   std::uint32_t active_vms,
                                                   steady_time now) {
  const auto found = queues_.find(service);
  if (found == queues_.end() || found->second.Size() == 0) {
    return std::nullopt;
  }
  const waiting_request* any = found->second.Last(now);
  return found->second.Pop(now, AssumedInterval(*any, room, active_vms));
}

std::vector<waiting_request> service_queues::TakeExpired(steady_time now) {
  std::vector<waiting_request> expired;
  for (auto& [service, queue] : queues_) {
    const auto of_service = queue.TakeExpired(now);
    expired.insert(expired.end(), of_service.begin(), of_service.end());
  }
  return expired;
}

void service_queues::Remove(std::uint64_t id) {
  for (auto& [service, queue] : queues_) {
    if (queue.Remove(id)) {
      return;
    }
  }
}

bool service_queues::IsWaiting(const std::string& service) const {
  const auto found = queues_.find(service);
  return found != queues_.end() && found->second.Size() > 0;
}

std::vector<std::string> service_queues::WaitingServices() const {
  std::vector<std::string> services;
  for (const auto& [service, queue] : queues_) {
    if (queue.Size() > 0) {
      services.push_back(service);
    }
  }
  return services;
}

std::size_t service_queues::Size() const {
  std::size_t size = 0;
  for (const auto& [service, queue] : queues_) {
    size += queue.Size();
  }
  return size;
}

std::optional<service_queues::backlog> service_queues::BacklogOf(const std::string& service,
                                                                 const queue_rank& rank,
                                                                 steady_time now) const {
  const auto found = queues_.find(service);
  if (found == queues_.end()) {
    return std::nullopt;
  }
  return backlog{found->second.CountUpTo(rank),
                 found->second.Interval(now, assumed_intervals_.at(service))};
}

std::uint32_t send_allowance::Left(const service_room& room, bool is_state_stale, steady_time now) {
  if (is_state_stale || is_renewal_due_ || now - renewed_at_ > kMaxAllowanceAge) {
    left_ = room.share;
    is_renewal_due_ = false;
    renewed_at_ = now;
  }
  return std::min(left_, room.free);
}

}  // namespace corianderhoist
