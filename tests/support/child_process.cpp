#include "support/child_process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcessEnvironment>
#include <QStringList>

#include <cassert>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

QStringList ToStringList(const std::vector<std::string>& texts) {
  QStringList list;
  for (const std::string& text : texts) {
    list.append(QString::fromStdString(text));
  }
  return list;
}

// Kills the child when the thread that starts it exits, so that no process outlives its test.
void KillOnParentThreadExit(QProcess& process) {
  process.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void WaitUntilOrThrow(const std::string& what, const std::function<bool()>& condition) {
  if (!WaitUntil(condition)) {
    throw std::runtime_error("timed out waiting for: " + what);
  }
}

std::string ProgramPath(const std::string& name) {
  return (QCoreApplication::applicationDirPath() + '/').toStdString() + name;
}

port_reservation::port_reservation() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const int bound = ::bind(socket_, reinterpret_cast<sockaddr*>(&address), size);
  assert(bound == 0 && "the kernel has no free port");
  (void)bound;
  ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

port_reservation::~port_reservation() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

port_reservation::port_reservation(port_reservation&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), port_(other.port_) {}

child_process::child_process(std::string program,
                             std::vector<std::string> arguments,
                             std::filesystem::path log)
    : program_(std::move(program)), arguments_(std::move(arguments)), log_(std::move(log)) {
  KillOnParentThreadExit(process_);
}

child_process::~child_process() {
  Kill();
}

void child_process::SetEnvironment(const std::string& name, const std::string& value) {
  QProcessEnvironment environment = process_.processEnvironment();
  if (environment.isEmpty()) {
    environment = QProcessEnvironment::systemEnvironment();
  }
  environment.insert(QString::fromStdString(name), QString::fromStdString(value));
  process_.setProcessEnvironment(environment);
}

void child_process::Start() {
  assert(!IsRunning() && "the process is already running");
  std::error_code status;
  const auto size = std::filesystem::file_size(log_, status);
  log_start_ = status ? 0 : size;
  const QString log = QString::fromStdString(log_.string());
  process_.setStandardOutputFile(log, QIODevice::Append);
  process_.setStandardErrorFile(QString::fromStdString(log_.string() + ".errors"),
                                QIODevice::Append);
  process_.setStandardInputFile(QProcess::nullDevice());
  process_.start(QString::fromStdString(program_), ToStringList(arguments_));
  if (!process_.waitForStarted()) {
    throw std::runtime_error("cannot start " + program_);
  }
}

bool child_process::IsRunning() {
  if (process_.state() == QProcess::Running) {
    process_.waitForFinished(0);
  }
  return process_.state() != QProcess::NotRunning;
}

void child_process::SendSignal(int signal) {
  if (IsRunning()) {
    ::kill(static_cast<pid_t>(process_.processId()), signal);
  }
}

void child_process::Kill() {
  SendSignal(SIGKILL);
  process_.waitForFinished(-1);
}

int child_process::Stop() {
  SendSignal(SIGTERM);
  return WaitForEnd();
}

int child_process::WaitForEnd(std::chrono::milliseconds timeout) {
  if (IsRunning() && !process_.waitForFinished(static_cast<int>(timeout.count()))) {
    return -1;
  }
  return process_.exitStatus() == QProcess::NormalExit ? process_.exitCode() : -1;
}

std::string child_process::Output() const {
  std::ifstream file(log_);
  file.seekg(static_cast<std::streamoff>(log_start_));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::uint16_t child_process::FindPort(std::string_view purpose) const {
  std::istringstream lines(Output());
  int port = 0;
  for (std::string line; std::getline(lines, line);) {
    const QJsonObject event = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
    if (event["event"].toString() == QLatin1String("listening") &&
        event["purpose"].toString().toStdString() == purpose) {
      port = event["port"].toInt();
    }
  }
  return static_cast<std::uint16_t>(port);
}

std::uint16_t child_process::Port(std::string_view purpose) {
  std::uint16_t port = 0;
  WaitUntilOrThrow(program_ + " listens for " + std::string(purpose), [&] {
    port = FindPort(purpose);
    if (port == 0 && !IsRunning()) {
      throw std::runtime_error(program_ + " has exited: " + Output());
    }
    return port != 0;
  });
  return port;
}

program_output RunProgram(const std::string& program, const std::vector<std::string>& arguments) {
  QProcess process;
  KillOnParentThreadExit(process);
  process.start(QString::fromStdString(program), ToStringList(arguments));
  program_output result;
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(kProcessWaitTimeout);
  if (!process.waitForFinished(static_cast<int>(timeout.count()))) {
    process.kill();
    process.waitForFinished(-1);
    result.errors = "timed out waiting for the program to exit";
    return result;
  }
  result.exit_code = process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
  result.output = process.readAllStandardOutput().toStdString();
  result.errors = process.readAllStandardError().toStdString();
  return result;
}

}  // namespace corianderhoist
