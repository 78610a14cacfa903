// Runs the fault-injecting TCP proxy as a process. Logs `listening` with purpose `proxy`, then
// reads one JSON object per line from standard input:
//   {"forward": {"delay_ms": 5, "cut": false, "bytes_per_second": 0}, "backward": {...},
//    "refuse": false, "close": true, "reset": true}
#include "support/fault_proxy.h"

#include "base/log.h"
#include "wire/daemon.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>
#include <string>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(target, "", "address to forward to");

namespace corianderhoist {
namespace {

link_faults ReadFaults(const QJsonObject& object) {
  link_faults faults;
  faults.delay = std::chrono::milliseconds(object["delay_ms"].toInteger());
  faults.is_cut = object["cut"].toBool();
  faults.bytes_per_second = object["bytes_per_second"].toInteger();
  return faults;
}

void ApplyCommand(fault_proxy& proxy, const QJsonObject& command) {
  if (command.contains("forward")) {
    proxy.SetForward(ReadFaults(command["forward"].toObject()));
  }
  if (command.contains("backward")) {
    proxy.SetBackward(ReadFaults(command["backward"].toObject()));
  }
  if (command.contains("refuse")) {
    proxy.SetRefusing(command["refuse"].toBool());
  }
  if (command["close"].toBool() || command["reset"].toBool()) {
    proxy.CloseConnections(command["reset"].toBool());
  }
}

int Run() {
  ConfigureLog("fault-proxy", log_level::kInfo);
  const auto fail = [](const error& failure) {
    std::cerr << failure.detail << '\n';
    return endpoint{};
  };
  const endpoint target = Recover([] { return ParseEndpoint(FLAGS_target); }, fail);
  const endpoint listen = Recover([] { return ParseEndpoint(FLAGS_listen); }, fail);
  if (target.ip.empty() || listen.ip.empty()) {
    return static_cast<int>(exit_code::kInvalidSettings);
  }
  io_loop loop("fault-proxy");
  fault_proxy proxy(loop, target);
  if (proxy.Listen(listen) == 0) {
    return static_cast<int>(exit_code::kFailed);
  }
  LogListening("proxy", proxy.Port());
  for (std::string line; std::getline(std::cin, line);) {
    const auto command = QJsonDocument::fromJson(QByteArray::fromStdString(line));
    if (!command.isObject()) {
      std::cerr << "not a JSON object: " << line << '\n';
      continue;
    }
    ApplyCommand(proxy, command.object());
  }
  return 0;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  return corianderhoist::Run();
}
