/// A real process of a test, with its log file and the ports that it has opened.
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

/// Bound of waits in process tests. It only ends a test that hangs, so it is far above any time
/// that a busy machine needs.
inline constexpr std::chrono::seconds kWaitBound{60};

/// Checks `condition` every 20 ms until it holds. False when the bound passes first.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds bound = kWaitBound);

/// As `WaitUntil`, but throws `std::runtime_error` with `what` when the bound passes.
void Require(const std::string& what, const std::function<bool()>& condition);

/// Path of a program of this build, from the folder of the running executable.
std::string ProgramPath(const std::string& name);

/// A port that stays taken while no process listens on it: a bound socket that never listens lets
/// only sockets with SO_REUSEADDR bind, and the kernel gives the port to nobody else.
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

/// Runs one program and may start it again. The kernel kills the process when the test ends in any
/// way. Not thread safe.
class child_process {
 public:
  child_process(std::string program, std::vector<std::string> arguments, std::filesystem::path log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Starts the program; its output is appended to the log file.
  void Start();
  bool IsRunning();
  void SendSignal(int signal);
  /// SIGKILL, and waits for the end.
  void Kill();
  /// SIGTERM, and waits for the end; returns the exit code, -1 after a signal or the bound.
  int Stop();
  /// Waits for the end; returns as `Stop`.
  int WaitForEnd(std::chrono::milliseconds bound = kWaitBound);

  /// The port of the last event `listening` with this purpose since the last start; waits for it.
  std::uint16_t Port(std::string_view purpose);
  /// Everything that the process has written since the last start.
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

/// What a program that has ended wrote.
struct program_output {
  int exit_code = -1;
  std::string output;
  std::string errors;
};

/// Runs a program to its end.
program_output RunProgram(const std::string& program, const std::vector<std::string>& arguments);

}  // namespace corianderhoist
