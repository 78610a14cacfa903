/// Structured logging: one JSON object per line on standard output, written through
/// easylogging++.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderhoist {

enum class log_level { kDebug, kInfo, kWarning, kError };

/// Sets the process name that all events carry and the lowest level that is written.
void ConfigureLog(std::string process_name, log_level lowest);

/// Builds one event and writes it on destruction:
/// `log_event(log_level::kInfo, "listening").Field("port", 80);`
/// Fields must not contain secrets (keys, bodies, credentials).
class log_event {
 public:
  log_event(log_level level, std::string_view event);
  ~log_event();
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  log_event& Field(std::string_view name, std::string_view value);
  log_event& Field(std::string_view name, const char* value) {
    return Field(name, std::string_view(value));
  }
  log_event& Field(std::string_view name, std::int64_t value);
  log_event& Field(std::string_view name, std::uint64_t value);
  log_event& Field(std::string_view name, int value) {
    return Field(name, static_cast<std::int64_t>(value));
  }

 private:
  log_level level_;
  std::string line_;
};

/// Appends `text` to `out` as a quoted and escaped JSON string.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace corianderhoist
