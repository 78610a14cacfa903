#include "base/log.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace corianderhoist {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

// Lines are dropped only above this rate, averaged over a few seconds. A VM that serves 100
// requests per second writes about 400 lines per second.
constexpr double kMaxLinesPerSecond = 1000;
constexpr double kMaxLineBurst = 5000;

std::atomic<log_level> min_level = log_level::kInfo;

std::string& ProcessName() {
  static std::string name = "corianderhoist";
  return name;
}

// Writes complete lines to standard output without blocking on its reader. Lines above the rate
// limit, and lines that would block, are dropped and counted. Thread safe.
class line_writer {
 public:
  static line_writer& Instance() {
    static line_writer writer;
    return writer;
  }

  void Write(std::string line) {
    const std::lock_guard guard(lock_);
    if (!TryTakeToken()) {
      ++dropped_;
      return;
    }
    line += '\n';
    if (dropped_ > 0) {
      line += "{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(dropped_) + "}\n";
    }
    if (TryWrite(line)) {
      dropped_ = 0;
    } else {
      ++dropped_;
    }
  }

 private:
  bool TryTakeToken() {
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(tokens_ + elapsed * kMaxLinesPerSecond, kMaxLineBurst);
    refilled_at_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking, and lines are shorter.
  static bool TryWrite(const std::string& text) {
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return false;
    }
    return ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  }

  std::mutex lock_;
  double tokens_ = kMaxLineBurst;
  std::chrono::steady_clock::time_point refilled_at_ = std::chrono::steady_clock::now();
  std::uint64_t dropped_ = 0;
};

class line_dispatch final : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    line_writer::Instance().Write(data->logMessage()->message());
  }
};

// Events are already complete JSON lines, so the format of easylogging++ adds nothing to them.
void ConfigureLogger() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Helpers::installLogDispatchCallback<line_dispatch>("line_dispatch");
}

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

void ConfigureLog(std::string process_name, log_level lowest) {
  ConfigureLogger();
  ProcessName() = std::move(process_name);
  min_level = lowest;
}

log_event::log_event(log_level level, std::string_view event) : level_(level) {
  if (level_ < min_level) {
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
