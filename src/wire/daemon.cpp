#include "wire/daemon.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <csignal>
#include <set>

namespace corianderhoist {
namespace {

constexpr int kMaxThreads = 64;

// Self-pipe: the handler only calls write(), which is async-signal-safe; the event loop reads the
// other end.
std::array<int, 2> signal_pipe = {-1, -1};

extern "C" void OnSignal(int number) {
  const char byte = static_cast<char>(number);
  const ssize_t written = ::write(signal_pipe[1], &byte, 1);
  (void)written;
}

log_level ParseLogLevel(std::string_view word) {
  if (word == "debug") {
    return log_level::kDebug;
  }
  if (word == "warning") {
    return log_level::kWarning;
  }
  return word == "error" ? log_level::kError : log_level::kInfo;
}

}  // namespace

process_settings ReadProcessSettings(settings_reader& reader) {
  process_settings settings;
  settings.name = reader.String("name");
  settings.listen = reader.ListenAddress("listen");
  settings.status_listen = reader.ListenAddress("status_listen");
  settings_reader tls = reader.Object("tls");
  settings.tls.certificate = tls.ExistingFile("certificate");
  settings.tls.private_key = tls.ExistingFile("private_key");
  settings.tls.authority = tls.ExistingFile("authority");
  tls.CheckUnknownKeys();
  settings.threads = static_cast<int>(reader.Integer("threads", 1, kMaxThreads, 2));
  settings.lowest_log_level =
      ParseLogLevel(reader.OneOf("log_level", {"debug", "info", "warning", "error"}, "info"));
  return settings;
}

std::vector<named_endpoint> ReadNamedEndpoints(settings_reader& reader, std::string_view key) {
  std::vector<named_endpoint> endpoints;
  std::set<std::string> names;
  std::set<endpoint> addresses;
  for (settings_reader& entry_reader : reader.Objects(key)) {
    named_endpoint entry{entry_reader.String("name"), entry_reader.Address("address")};
    if (!names.insert(entry.name).second) {
      entry_reader.AddFault("name", "'" + entry.name + "' is used twice");
    }
    if (!addresses.insert(entry.address).second) {
      entry_reader.AddFault("address",
                            "address " + FormatEndpoint(entry.address) + " is used twice");
    }
    entry_reader.CheckUnknownKeys();
    endpoints.push_back(std::move(entry));
  }
  return endpoints;
}

void LogListening(std::string_view purpose, std::uint16_t port) {
  log_event(log_level::kInfo, "listening").Field("purpose", purpose).Field("port", int{port});
}

signal_watcher::signal_watcher(std::function<void(int count)> on_signal,
                               std::function<void()> on_hangup) {
  assert(signal_pipe[0] < 0 && "one signal watcher per process");
  const int status = ::pipe2(signal_pipe.data(), O_CLOEXEC | O_NONBLOCK);
  assert(status == 0 && "cannot create a pipe");
  (void)status;
  notifier_ = std::make_unique<QSocketNotifier>(signal_pipe[0], QSocketNotifier::Read);
  QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                   [this, on_signal = std::move(on_signal), on_hangup = std::move(on_hangup)] {
                     char byte = 0;
                     while (::read(signal_pipe[0], &byte, 1) == 1) {
                       if (byte != SIGHUP) {
                         on_signal(++count_);
                       } else if (on_hangup) {
                         on_hangup();
                       }
                     }
                   });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  // With SIGXFSZ ignored, a write beyond the file size limit fails with an error, like a write to a
  // full disk, instead of terminating the process.
  std::signal(SIGXFSZ, SIG_IGN);
}

signal_watcher::~signal_watcher() {
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  notifier_.reset();
  ::close(signal_pipe[0]);
  ::close(signal_pipe[1]);
  signal_pipe = {-1, -1};
}

}  // namespace corianderhoist
