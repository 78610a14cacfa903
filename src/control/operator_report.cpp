#include "control/operator_report.h"

#include <QDateTime>

#include <vector>

namespace corianderhoist {
namespace {

std::string Join(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

ctl_exit PrintAnswer(const change_reply& reply, std::ostream& out, std::ostream& errors) {
  const change_result& result = reply.result;
  if (result.status == change_status::kRefused) {
    out << "status: refused\n";
    errors << AnswerFor(result.cause).name << ": " << result.detail << "\n";
    return ctl_exit::kRefused;
  }
  const bool is_conflict = result.status == change_status::kVersionConflict;
  out << "status: "
      << (is_conflict             ? "version_conflict"
          : reply.pending.empty() ? "accepted"
                                  : "pending")
      << "\nversion: " << result.version << "\n";
  if (is_conflict) {
    out << "changed_by: " << result.changed_by << "\nchanged_at: " << FormatTime(result.changed_at)
        << "\n";
    errors << "version_conflict: " << result.detail << "\n";
    return ctl_exit::kVersionConflict;
  }
  if (!result.key_id.empty()) {
    out << "key_id: " << result.key_id << "\n";
  }
  if (!result.detail.empty()) {
    out << "note: " << result.detail << "\n";
  }
  if (reply.pending.empty()) {
    return ctl_exit::kDone;
  }
  out << "pending: " << Join(reply.pending) << "\n";
  errors << "pending: committed, but not in force in " << Join(reply.pending) << "\n";
  return ctl_exit::kPending;
}

}  // namespace

std::string FormatTime(std::chrono::milliseconds unix_time) {
  return QDateTime::fromMSecsSinceEpoch(unix_time.count(), Qt::UTC)
      .toString(Qt::ISODate)
      .toStdString();
}

ctl_exit PrintChange(const send_outcome& outcome, std::ostream& out, std::ostream& errors) {
  switch (outcome.status) {
    case send_status::kAnswered:
      return PrintAnswer(outcome.reply, out, errors);
    case send_status::kRefused:
      out << "status: refused\n";
      errors << "refused: " << outcome.detail << "\n";
      return ctl_exit::kRefused;
    case send_status::kNotAccepted:
      out << "status: not_accepted\n";
      errors
          << "not_accepted: control has no leader that a majority follows, or cannot be reached; "
             "nothing was sent ("
          << outcome.detail << ")\n";
      return ctl_exit::kNotAccepted;
    case send_status::kOutcomeUnknown:
      break;
  }
  out << "status: outcome_unknown\n";
  errors << "outcome_unknown: the change was sent, but its answer is missing; send it again with "
            "--change_id ("
         << outcome.detail << ")\n";
  return ctl_exit::kOutcomeUnknown;
}

void PrintShow(const show_reply& reply, std::ostream& out) {
  out << "version: " << reply.version << "\nrules_version: " << reply.rules_version << "\n";
  if (reply.rules_version > 0) {
    out << "rules_changed_by: " << reply.rules_changed_by
        << "\nrules_changed_at: " << FormatTime(reply.rules_changed_at) << "\n";
  }
  out << "leader: " << reply.leader << "\n";
  for (const region_report& region : reply.regions) {
    out << "region " << region.region << ": ";
    if (region.version == 0) {
      out << "nothing reported to this leader yet\n";
      continue;
    }
    out << "version " << region.version << " since " << FormatTime(region.since);
    if (!region.changed_by.empty()) {
      out << " by " << region.changed_by;
    }
    out << "\n";
  }
  for (const pending_change& change : reply.pending) {
    out << "pending version " << change.version << ": not in " << Join(change.regions)
        << ", changed by " << change.changed_by << " at " << FormatTime(change.changed_at) << "\n";
  }
}

void PrintMembers(const std::map<std::string, member_reply>& views, std::ostream& out) {
  for (const auto& [name, view] : views) {
    out << name << ": ";
    if (view.role.empty()) {
      out << "no answer\n";
      continue;
    }
    out << view.role << ", leader " << (view.leader.empty() ? "unknown" : view.leader)
        << ", commit_index " << view.commit_index << ", voters " << Join(view.voters);
    if (!view.learners.empty()) {
      out << ", learners " << Join(view.learners);
    }
    out << "\n";
  }
}

ctl_exit PrintFailure(const rpc_failure& failure, std::ostream& errors) {
  errors << AnswerFor(failure.kind).name << ": " << failure.detail << "\n";
  switch (failure.kind) {
    case error_kind::kNotLeader:
    case error_kind::kTimeout:
    case error_kind::kUnreachable:
    case error_kind::kNotAccepted:
      return ctl_exit::kNotAccepted;
    default:
      return ctl_exit::kRefused;
  }
}

}  // namespace corianderhoist
