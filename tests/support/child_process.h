/// Runs real processes in tests and reads their log files and listening ports.
#pragma once

#include "base/endpoint.h"

#include <QProcess>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Timeout of waits in process tests. It only stops a test that hangs, so it is far longer than
/// any wait on a busy machine.
inline constexpr std::chrono::seconds kProcessWaitTimeout{60};

/// Polls `condition` every 20 ms until it holds. Returns false if `timeout` expires first.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = kProcessWaitTimeout);

/// Like `WaitUntil`, but throws `std::runtime_error` with `what` if `kProcessWaitTimeout` expires.
void WaitUntilOrThrow(const std::string& what, const std::function<bool()>& condition);

/// Returns the path of a program in the folder of the running executable.
std::string ProgramPath(const std::string& name);

/// Reserves a port on which no process listens. While a socket is bound but not listening, only
/// sockets with SO_REUSEADDR can bind to its port, and the kernel assigns the port to no other
/// socket.
class port_reservation {
 public:
  port_reservation();
  ~port_reservation();
  port_reservation(port_reservation&& other) noexcept;
  port_reservation& operator=(port_reservation&&) = delete;
  endpoint Address() const { return {"127.0.0.1", port_}; }

 private:
  int socket_ = -1;
  std::uint16_t port_ = 0;
};

/// Runs one program, which can be restarted. The kernel kills the process when the thread that
/// started it exits, even after a crash. Not thread safe.
class child_process {
 public:
  child_process(std::string program, std::vector<std::string> arguments, std::filesystem::path log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Adds a variable to the environment of the following starts.
  void SetEnvironment(const std::string& name, const std::string& value);
  /// Starts the program and appends its output to the log file.
  void Start();
  bool IsRunning();
  void SendSignal(int signal);
  /// Sends SIGKILL and waits for the process to exit.
  void Kill();
  /// Sends SIGTERM and waits for the process to exit. Returns the exit code, or -1 if a signal
  /// ended the process or the wait timed out.
  int Stop();
  /// Waits for the process to exit. Returns the same values as `Stop`.
  int WaitForEnd(std::chrono::milliseconds timeout = kProcessWaitTimeout);

  /// Waits for a `listening` event with this purpose and returns the port of the newest one since
  /// the last start.
  std::uint16_t Port(std::string_view purpose);
  /// Returns the standard output of the process since the last start.
  std::string Output() const;
  std::int64_t ProcessId() const { return process_.processId(); }

 private:
  std::uint16_t FindPort(std::string_view purpose) const;

  std::string program_;
  std::vector<std::string> arguments_;
  std::filesystem::path log_;
  std::uintmax_t log_start_ = 0;
  QProcess process_;
};

/// The exit code and output of a program that has exited.
struct program_output {
  int exit_code = -1;
  std::string output;
  std::string errors;
};

/// Runs a program until it exits and kills it after `kProcessWaitTimeout`.
program_output RunProgram(const std::string& program, const std::vector<std::string>& arguments);

}  // namespace corianderhoist
