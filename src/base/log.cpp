#include "base/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace corianderhoist {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

std::atomic<log_level> lowest_level = log_level::kInfo;

std::string& ProcessName() {
  static std::string name = "corianderhoist";
  return name;
}

// The event is already a complete line, so easylogging++ must add nothing to it.
void ConfigureLogger() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configuration);
}

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

void ConfigureLog(std::string process_name, log_level lowest) {
  ConfigureLogger();
  ProcessName() = std::move(process_name);
  lowest_level = lowest;
}

log_event::log_event(log_level level, std::string_view event) : level_(level) {
  if (level_ < lowest_level) {
    return;
  }
  line_ = "{\"time_ms\":" + std::to_string(UnixMilliseconds()) + ",\"level\":\"" +
          std::string(kLevelNames[static_cast<std::size_t>(level)]) + "\",\"process\":";
  AppendJsonString(line_, ProcessName());
  line_ += ",\"event\":";
  AppendJsonString(line_, event);
}

log_event::~log_event() {
  if (line_.empty()) {
    return;
  }
  line_ += '}';
  LOG(INFO) << line_;
}

log_event& log_event::Field(std::string_view name, std::string_view value) {
  if (!line_.empty()) {
    line_ += ',';
    AppendJsonString(line_, name);
    line_ += ':';
    AppendJsonString(line_, value);
  }
  return *this;
}

log_event& log_event::Field(std::string_view name, std::int64_t value) {
  if (!line_.empty()) {
    line_ += ',';
    AppendJsonString(line_, name);
    line_ += ':' + std::to_string(value);
  }
  return *this;
}

log_event& log_event::Field(std::string_view name, std::uint64_t value) {
  return Field(name, static_cast<std::int64_t>(value));
}

void AppendJsonString(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte == 0x7f) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04x", byte);
      out += escape.data();
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace corianderhoist
