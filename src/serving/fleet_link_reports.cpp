// What an entry VM reports to its core VM: members of `fleet_link`.
#include "fleet/latency_digest.h"
#include "serving/fleet_link.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportTimeout(400);
// Older counts are outside the sliding window of every rate limit.
constexpr milliseconds kMaxResentCountAge(5000);
constexpr milliseconds kReportDelay(15);
constexpr milliseconds kUrgentReportDelay(2);

}  // namespace

void fleet_link::NoteOutcome(const attempt_outcome& outcome) {
  unsent_.outcomes.push_back(outcome);
  ScheduleReport(outcome.evidence != attempt_evidence::kGood);
}

void fleet_link::NoteWorkspace(const std::string& workspace, bool is_admitted) {
  auto found = std::find_if(unsent_.workspaces.begin(), unsent_.workspaces.end(),
                            [&](const named_counts& note) { return note.name == workspace; });
  if (found == unsent_.workspaces.end()) {
    found = unsent_.workspaces.insert(found, {workspace, 0, 0});
  }
  ++(is_admitted ? found->first : found->second);
  ScheduleReport(false);
}

void fleet_link::NoteService(const std::string& service, service_event event) {
  auto found = std::find_if(unsent_.services.begin(), unsent_.services.end(),
                            [&](const named_counts& note) { return note.name == service; });
  if (found == unsent_.services.end()) {
    found = unsent_.services.insert(found, {service, 0, 0, 0});
  }
  ++(event == service_event::kRequest  ? found->first
     : event == service_event::kRepeat ? found->second
                                       : found->third);
  ScheduleReport(false);
}

void fleet_link::NoteCrash(const crash_report& note) {
  unsent_.crashes.push_back(note);
  ScheduleReport(true);
}

void fleet_link::NoteLimit(const stated_limit& limit) {
  std::erase_if(unsent_.limits,
                [&](const stated_limit& other) { return other.upstream == limit.upstream; });
  unsent_.limits.push_back(limit);
  ScheduleReport(true);
}

void fleet_link::NoteResponseTime(const std::string& service, std::chrono::nanoseconds taken) {
  CountLatency(unsent_.latencies, service, taken);
  ScheduleReport(false);
}

void fleet_link::NoteLostRace(const lost_race& race) {
  unsent_.lost_races.push_back(race);
  ScheduleReport(false);
}

void fleet_link::NoteLoad(upstream_handle upstream, std::uint32_t running) {
  if (running == 0) {
    loads_.erase(upstream);
  } else {
    loads_[upstream] = running;
  }
  ScheduleReport(false);
}

void fleet_link::NoteWaiting(std::vector<service_waiting> waiting) {
  const bool is_renewal_due = !waiting.empty() && clock_.Now() - waiting_reported_at_ >=
                                                      load_change_tracker::kResendInterval;
  if (waiting == waiting_ && !is_renewal_due) {
    return;
  }
  waiting_ = std::move(waiting);
  is_waiting_due_ = true;
  ScheduleReport(false);
}

std::uint32_t fleet_link::ReportedLoad(upstream_handle upstream) const {
  return reported_.LastSent(upstream);
}

void fleet_link::ScheduleReport(bool is_urgent) {
  if (is_urgent ? std::exchange(is_urgent_scheduled_, true)
                : std::exchange(is_report_scheduled_, true)) {
    return;
  }
  loop_.After(is_urgent ? kUrgentReportDelay : kReportDelay,
              [this, alive = is_alive_, generation = report_generation_] {
                if (*alive && generation == report_generation_) {
                  Flush();
                }
              });
}

// Outcomes of a failed report are too old to be sent again. Counts are sent again, since the limits
// are computed from them.
void fleet_link::RetainCounts(const observations& seen, steady_time sent_at) {
  if (!seen.workspaces.empty() || !seen.services.empty()) {
    undelivered_.push_back({sent_at, seen.workspaces, seen.services});
  }
  for (const resent_counts& late : seen.late) {
    undelivered_.push_back({sent_at - late.age, late.workspaces, late.services});
  }
  if (!undelivered_.empty()) {
    ScheduleReport(false);
  }
}

void fleet_link::NoteDelivered(const observations& seen, steady_time sent_at) {
  const auto note = [this](steady_time at, const std::vector<named_counts>& workspaces) {
    const bool is_same_step = !delivered_.empty() && at - delivered_.back().at < kFormerCountStep;
    if (is_same_step && at >= delivered_.back().at) {
      MergeCounts(delivered_.back().workspaces, workspaces);
    } else if (!workspaces.empty()) {
      delivered_.push_back({at, workspaces, {}});
    }
  };
  note(sent_at, seen.workspaces);
  for (const resent_counts& late : seen.late) {
    note(sent_at - late.age, late.workspaces);
  }
  while (!delivered_.empty() && sent_at - delivered_.front().at > kMaxResentCountAge) {
    delivered_.pop_front();
  }
}

std::vector<resent_counts> fleet_link::FormerCounts(steady_time now) const {
  std::vector<resent_counts> former;
  for (const timed_counts& counts : delivered_) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - counts.at);
    if (age < kMaxResentCountAge) {
      former.push_back({age, counts.workspaces, {}});
    }
  }
  return former;
}

void fleet_link::FlushLast() {
  is_last_due_ = true;
  Flush();
}

void fleet_link::Flush() {
  ++report_generation_;
  is_report_scheduled_ = is_urgent_scheduled_ = false;
  if (current_ == nullptr) {
    return;
  }
  const steady_time now = clock_.Now();
  report_request request;
  request.loads = reported_.Update(loads_, now);
  request.is_last = is_last_due_;
  if (unsent_.IsEmpty() && request.loads.empty() && undelivered_.empty() && !is_former_due_ &&
      !is_last_due_ && !is_waiting_due_) {
    return;
  }
  request.vm = settings_.vm;
  request.waiting = waiting_;
  waiting_reported_at_ = now;
  is_waiting_due_ = false;
  request.seen = std::exchange(unsent_, {});
  const bool has_former = std::exchange(is_former_due_, false);
  if (has_former) {
    request.former = FormerCounts(now);
    request.former_core = former_incarnation_;
  }
  for (const timed_counts& counts : std::exchange(undelivered_, {})) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - counts.at);
    if (age < kMaxResentCountAge) {
      request.seen.late.push_back({age, counts.workspaces, counts.services});
    }
  }
  ChannelOf(*current_).Call<done_reply>(
      "fleet.report", request, kReportTimeout,
      [this, alive = is_alive_, seen = request.seen, has_former,
       sent_at = clock_.Now()](const rpc_result<done_reply>& reply) {
        if (!*alive) {
          return;
        }
        if (std::holds_alternative<rpc_failure>(reply)) {
          is_former_due_ = is_former_due_ || has_former;
          RetainCounts(seen, sent_at);
        } else {
          NoteDelivered(seen, sent_at);
        }
      });
}

}  // namespace corianderhoist
