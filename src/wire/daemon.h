/// Common parts of all daemons: shared settings, startup log events, signal handling, exit codes.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "base/log.h"
#include "settings/settings_reader.h"
#include "wire/tls_identity.h"

#include <QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Exit codes of the daemons. `kDrainDeadline`: the process ended before all requests had
/// completed.
enum class exit_code { kStopped = 0, kFailed = 1, kInvalidSettings = 2, kDrainDeadline = 3 };

/// The settings common to all daemons.
struct process_settings {
  std::string name;        ///< VM name.
  endpoint listen;         ///< For RPCs; not opened by entry VMs.
  endpoint status_listen;  ///< For `status_server`.
  tls_files tls;
  int threads = 2;
  log_level lowest_log_level = log_level::kInfo;
};

/// Reads the common settings; faults are collected in `reader`.
process_settings ReadProcessSettings(settings_reader& reader);

/// A process of the fleet at an address.
struct named_endpoint {
  std::string name;
  endpoint address;
};

/// Reads an array of `{name, address}` objects whose names and addresses must be unique.
std::vector<named_endpoint> ReadNamedEndpoints(settings_reader& reader, std::string_view key);

/// Logs the event `listening` for one open port.
void LogListening(std::string_view purpose, std::uint16_t port);

/// Delivers SIGTERM, SIGINT and SIGHUP in the event loop of the creating thread. At most one
/// instance per process.
class signal_watcher {
 public:
  /// `on_signal(count)` is called for SIGTERM and SIGINT with the number of these signals so far.
  /// `on_hangup` is called for SIGHUP, which is ignored if no callback is given.
  explicit signal_watcher(std::function<void(int count)> on_signal,
                          std::function<void()> on_hangup = {});
  ~signal_watcher();

 private:
  std::unique_ptr<QSocketNotifier> notifier_;
  int count_ = 0;
};

}  // namespace corianderhoist
