#include "soak/judge.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace corianderhoist::soak {
namespace {

constexpr run_time kStopSlack{1000};
// Requests sent later than this after SIGTERM must be answered within the grace period.
constexpr run_time kLongRequestWindow{3000};
constexpr int kGraceParts = 6;
constexpr int kMaxCalmLosses = 3;
constexpr int kMaxRefusedProper = 5;
constexpr int kRefusedProperShare = 500;

bool MeansNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool IsLinkFault(fault_kind kind) {
  return kind >= fault_kind::kDelayLink && kind <= fault_kind::kResetLink;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

judge::judge(promised_bounds bounds, std::function<void(const finding&)> report)
    : bounds_(bounds), report_(std::move(report)) {}

void judge::Report(run_time at, const std::string& rule, const std::string& detail) {
  findings_.push_back({at, rule, detail});
  if (report_) {
    report_(findings_.back());
  }
}

std::size_t judge::BeginFault(fault_record fault) {
  const std::lock_guard guard(lock_);
  faults_.push_back(std::move(fault));
  return faults_.size() - 1;
}

void judge::EndFault(std::size_t fault, run_time at) {
  const std::lock_guard guard(lock_);
  faults_[fault].end = at;
}

bool judge::HasUnplannedFault(run_time begin, run_time end) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const fault_record& each) {
    return !TraitsOf(each.kind).is_planned && each.begin <= end &&
           (!each.end || *each.end >= begin);
  });
}

bool judge::IsInTouch(std::size_t entry, const std::string& upstream, run_time at) const {
  return std::none_of(faults_.begin(), faults_.end(), [&](const fault_record& each) {
    const bool concerns = IsLinkFault(each.kind)
                              ? each.name == upstream
                              : TraitsOf(each.kind).target == fault_target::kCore ||
                                    (TraitsOf(each.kind).target == fault_target::kEntry &&
                                     each.kind != fault_kind::kReloadEntry && each.target == entry);
    return concerns && each.begin <= at && (!each.end || *each.end + bounds_.stable_window >= at);
  });
}

std::optional<run_time> judge::StopAround(std::size_t entry, run_time at) const {
  std::optional<run_time> stop;
  for (const fault_record& each : faults_) {
    if (each.kind == fault_kind::kStopEntry && each.target == entry && each.begin <= at &&
        at <= each.begin + bounds_.grace + kStopSlack) {
      stop = each.begin;
    }
  }
  return stop;
}

void judge::Sent(const sent_request& request) {
  const std::lock_guard guard(lock_);
  requests_[request.attempt].sent = request;
}

void judge::Ran(const upstream_run& run) {
  const std::lock_guard guard(lock_);
  request_record& record = requests_[run.attempt];
  record.runs.push_back(run);
  if (!run.fault.empty()) {
    Report(run.at, "UNASKED", run.attempt + " at " + run.upstream + ": " + run.fault);
  }
  if (!record.sent) {
    return Report(run.at, "UNASKED", run.attempt + " at " + run.upstream + " was never sent");
  }
  if (record.sent->is_unsafe && record.runs.size() > 1) {
    Report(run.at, "TWICE",
           run.attempt + " at " + record.runs.front().upstream + " and " + run.upstream);
  }
  const auto withdrawn = withdrawn_.find(record.sent->key);
  if (withdrawn != withdrawn_.end() && record.sent->at > withdrawn->second + bounds_.withdrawal) {
    Report(run.at, "CONFIG",
           run.attempt + " ran with a key withdrawn " +
               std::to_string((record.sent->at - withdrawn->second).count()) + " ms before");
  }
  JudgeLeft(record, run);
  if (record.outcome) {
    JudgeRefusal(record, run.at);
    JudgeLoss(record, run.at);
  }
}

void judge::JudgeLeft(const request_record& record, const upstream_run& run) {
  const auto left = left_.find(run.upstream);
  if (left != left_.end() && run.at > left->second + bounds_.drain &&
      IsInTouch(record.sent->entry, run.upstream, run.at)) {
    Report(run.at, "DRAIN",
           run.attempt + " reached " + run.upstream + " " +
               std::to_string((run.at - left->second).count()) + " ms after its leave");
  }
}

void judge::Ended(const caller_outcome& outcome) {
  const std::lock_guard guard(lock_);
  request_record& record = requests_[outcome.attempt];
  record.outcome = outcome;
  ++statuses_[outcome.is_complete ? outcome.status : 0];
  timeouts_ += outcome.has_timed_out ? 1 : 0;
  JudgeAnswer(record);
  JudgeRefusal(record, outcome.at);
  JudgeLoss(record, outcome.at);
}

void judge::JudgeAnswer(const request_record& record) {
  const caller_outcome& outcome = *record.outcome;
  if (!outcome.is_complete) {
    return;
  }
  const auto run =
      std::find_if(record.runs.begin(), record.runs.end(),
                   [&](const upstream_run& each) { return each.signature == outcome.signature; });
  const bool is_own = run != record.runs.end();
  if (!outcome.echoed_attempt.empty() && outcome.echoed_attempt != outcome.attempt) {
    Report(outcome.at, "MIXED", outcome.attempt + " got an answer to " + outcome.echoed_attempt);
  } else if (!outcome.signature.empty() && !is_own) {
    Report(outcome.at, "MIXED", outcome.attempt + " got a foreign signature " + outcome.signature);
  } else if (IsSuccess(outcome.status) && outcome.signature.empty()) {
    Report(outcome.at, "MIXED", outcome.attempt + " got a success without signature");
  } else if (is_own && run->status != outcome.status) {
    Report(outcome.at, "MIXED",
           outcome.attempt + " got " + std::to_string(outcome.status) + " for an answer " +
               std::to_string(run->status));
  } else if (IsSuccess(outcome.status) && run->body != outcome.body) {
    Report(outcome.at, "MIXED",
           outcome.attempt + " got a body of " + std::to_string(outcome.body.size()) +
               " bytes instead of " + std::to_string(run->body.size()));
  }
  const bool is_denied =
      !is_own && outcome.status >= 300 && outcome.status < 500 && !MeansNotRun(outcome.status);
  if (is_denied && record.sent && IsAllowedByAll(*record.sent)) {
    ++refused_proper_;
    if (refused_proper_ >
        kMaxRefusedProper + static_cast<int>(requests_.size()) / kRefusedProperShare) {
      Report(outcome.at, "DENIED",
             outcome.attempt + " got " + std::to_string(outcome.status) + " for a proper request");
    }
  }
}

void judge::JudgeRefusal(const request_record& record, run_time at) {
  if (record.outcome->is_complete && MeansNotRun(record.outcome->status) && record.sent &&
      record.sent->is_unsafe && !record.runs.empty()) {
    Report(at, "REFUSED",
           record.outcome->attempt + " got " + std::to_string(record.outcome->status) +
               " and ran at " + record.runs.back().upstream);
  }
}

void judge::JudgeLoss(request_record& record, run_time at) {
  const caller_outcome& outcome = *record.outcome;
  const bool is_replaced = outcome.is_complete && outcome.signature.empty() &&
                           outcome.status >= 500 && !MeansNotRun(outcome.status);
  if (record.is_lost || !record.sent || record.runs.empty() || outcome.has_timed_out ||
      (outcome.is_complete && !is_replaced) ||
      outcome.at >= record.sent->at + record.sent->time_limit ||
      HasUnplannedFault(record.sent->at - bounds_.stable_window, outcome.at) ||
      std::any_of(record.runs.begin(), record.runs.end(),
                  [](const upstream_run& run) { return !run.is_sound; })) {
    return;
  }
  const std::optional<run_time> stop = StopAround(record.sent->entry, outcome.at);
  const upstream_run& run = record.runs.back();
  if (stop) {
    const run_time late = *stop + bounds_.grace - bounds_.grace / kGraceParts;
    const bool is_excused =
        run.at + run.work >= late && record.sent->at <= *stop + kLongRequestWindow;
    const bool was_at_work = run.at + run.work > outcome.at;
    if (is_excused || (is_replaced && !was_at_work)) {
      return;
    }
    record.is_lost = true;
    return Report(at, "LOST",
                  outcome.attempt + " sent " + std::to_string((record.sent->at - *stop).count()) +
                      " ms after SIGTERM of entry " + std::to_string(record.sent->entry) +
                      ", passed on to " + run.upstream + ", ended " +
                      std::to_string((outcome.at - *stop).count()) + " ms after it with " +
                      (is_replaced ? std::to_string(outcome.status) : "no answer"));
  }
  if (!is_replaced) {
    record.is_lost = true;
    if (++calm_losses_[record.sent->entry] > kMaxCalmLosses) {
      Report(
          at, "LOST",
          outcome.attempt + " passed on to " + run.upstream + " ended without an answer in calm");
    }
  }
}

void judge::ReceivedUnasked(run_time at, std::size_t entry, const std::string& bytes) {
  const std::lock_guard guard(lock_);
  // An own 408 of an idle connection is allowed.
  if (bytes.starts_with("HTTP/1.1 2") || !bytes.starts_with("HTTP/1.1 ")) {
    Report(at, "MIXED",
           "entry " + std::to_string(entry) + " sent bytes for no request: " + bytes.substr(0, 60));
  }
}

void judge::AcknowledgedLeaving(const std::string& upstream, run_time at) {
  const std::lock_guard guard(lock_);
  left_.emplace(upstream, at);
}

void judge::SentWithdrawal(const std::string& key) {
  const std::lock_guard guard(lock_);
  withdrawing_.insert(key);
}

// Whether every configuration that may be in force holds the key of the request.
bool judge::IsAllowedByAll(const sent_request& request) const {
  const auto added = added_.find(request.key);
  return !withdrawing_.contains(request.key) &&
         (added == added_.end() || request.at > added->second + bounds_.policy);
}

void judge::AcknowledgedChange(std::int64_t version,
                               run_time at,
                               const std::optional<std::string>& withdrawn_key,
                               const std::optional<std::string>& added_key) {
  const std::lock_guard guard(lock_);
  acknowledged_.emplace(version, at);
  if (withdrawn_key) {
    withdrawn_.emplace(*withdrawn_key, at);
    withdrawing_.insert(*withdrawn_key);
  }
  if (added_key) {
    added_.emplace(*added_key, at);
  }
}

void judge::ReadConfiguration(std::int64_t version, run_time sent, run_time at, bool is_as_sent) {
  const std::lock_guard guard(lock_);
  if (!is_as_sent) {
    Report(at, "CONFIG", "version " + std::to_string(version) + " was read with other content");
  }
  const auto newer =
      std::find_if(acknowledged_.upper_bound(version), acknowledged_.end(),
                   [&](const auto& each) { return each.second + bounds_.policy < sent; });
  if (newer != acknowledged_.end()) {
    Report(at, "CONFIG",
           "version " + std::to_string(version) + " was read " +
               std::to_string((sent - newer->second).count()) + " ms after version " +
               std::to_string(newer->first) + " was acknowledged");
  }
}

void judge::LostConfiguration(run_time at) {
  const std::lock_guard guard(lock_);
  Report(at, "CONFIG", "the configuration cannot be read after the last fault");
}

void judge::ProcessEnded(const std::string& process, run_time at, const std::string& how) {
  const std::lock_guard guard(lock_);
  Report(at, "PROCESS", process + " " + how);
}

std::vector<finding> judge::Findings() const {
  const std::lock_guard guard(lock_);
  return findings_;
}

std::vector<fault_record> judge::Faults() const {
  const std::lock_guard guard(lock_);
  return faults_;
}

std::string judge::Summary() const {
  const std::lock_guard guard(lock_);
  std::size_t runs = 0;
  for (const auto& [attempt, record] : requests_) {
    runs += record.runs.size();
  }
  std::ostringstream text;
  text << "requests " << requests_.size() << ", runs " << runs << ", timeouts " << timeouts_
       << ", faults " << faults_.size() << ", findings " << findings_.size() << "\nanswers";
  for (const auto& [status, count] : statuses_) {
    text << " " << (status == 0 ? "none" : std::to_string(status)) << ":" << count;
  }
  text << "\n";
  return text.str();
}

}  // namespace corianderhoist::soak
