#include "support/upstream_faults.h"

#include <array>
#include <string_view>

namespace corianderhoist {
namespace {

constexpr std::array<std::string_view, 10> kAnswerFaults = {
    "none",  "close_after_headers", "close_after_body", "close_mid_answer", "late",
    "twice", "former_answer",       "short_body",       "early_bytes",      "reset"};

bool SetAnswerFault(upstream_faults& faults, const std::string& name) {
  for (std::size_t i = 0; i < kAnswerFaults.size(); ++i) {
    if (kAnswerFaults[i] == name) {
      faults.answer = static_cast<answer_fault>(i);
      return true;
    }
  }
  return false;
}

bool SetDuration(upstream_faults& faults, const std::string& name, const QJsonValue& value) {
  const std::chrono::milliseconds time(value.toInteger());
  if (name == "late_ms") {
    faults.late_by = time;
  } else if (name == "slow_ms") {
    faults.slow_by = time;
  } else if (name == "flap_period_ms") {
    faults.flap_period = time;
  } else {
    return false;
  }
  return value.isDouble();
}

bool SetFaultValue(upstream_faults& faults, const std::string& name, const QJsonValue& value) {
  if (name == "answer_share") {
    faults.answer_share = value.toDouble();
  } else if (name == "fail_share") {
    faults.fail_share = value.toDouble();
  } else if (name == "shedding") {
    faults.is_shedding = value.toBool();
  } else if (name == "health_status") {
    faults.health_status = value.toInt();
  } else if (name == "load") {
    faults.load = value.toDouble();
  } else if (name == "silent") {
    faults.is_silent = value.toBool();
  } else if (name == "crash_header") {
    faults.crash_header = value.toString().toStdString();
  } else if (name == "crash_body") {
    faults.crash_body = value.toString().toStdString();
  } else {
    return false;
  }
  return true;
}

}  // namespace

std::string ApplyFaults(upstream_faults& faults, const QJsonObject& change) {
  upstream_faults next = faults;
  for (auto it = change.begin(); it != change.end(); ++it) {
    const std::string name = it.key().toStdString();
    const bool is_valid = name == "answer"
                              ? SetAnswerFault(next, it->toString().toStdString())
                              : SetDuration(next, name, *it) || SetFaultValue(next, name, *it);
    if (!is_valid) {
      return "unknown fault or value: " + name;
    }
  }
  faults = next;
  return {};
}

}  // namespace corianderhoist
