/// Output and exit codes of `corianderhoist-ctl`.
#pragma once

#include "control/member_service.h"
#include "control/messages.h"
#include "control/operator_client.h"

#include <map>
#include <ostream>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Exit codes of `corianderhoist-ctl` (docs/INTERFACE.md).
enum class ctl_exit {
  kDone = 0,  ///< Done; a change is in force in all its regions.
  kRefused = 1,
  kInvalidInput = 2,
  kVersionConflict = 3,
  kPending = 4,         ///< The change is committed, but not in force in all its regions.
  kNotAccepted = 5,     ///< No leader was found or reached.
  kOutcomeUnknown = 6,  ///< The change was sent, but no reply arrived.
};

/// Prints the outcome of a change to `out` and the cause of a failure to `errors`.
ctl_exit PrintChange(const send_outcome& outcome, std::ostream& out, std::ostream& errors);

void PrintShow(const show_reply& reply, std::ostream& out);
void PrintMembers(const std::map<std::string, member_reply>& views, std::ostream& out);

/// Prints the cause of a failed call. Returns `kNotAccepted` when no leader was found or reached,
/// else `kRefused`.
ctl_exit PrintFailure(const rpc_failure& failure, std::ostream& errors);

/// Formats a Unix time as ISO 8601 in UTC.
std::string FormatTime(std::chrono::milliseconds unix_time);

}  // namespace corianderhoist
