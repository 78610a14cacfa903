// corianderhoist-coordinator: one member of the coordinator group of a region.
#include "base/clock.h"
#include "base/log.h"
#include "coordinator/coordinator_service.h"
#include "coordinator/coordinator_settings.h"
#include "wire/daemon.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QTimer>

#include <iostream>

DEFINE_string(settings, "", "settings file (JSON)");

namespace corianderhoist {
namespace {

int Run(const coordinator_settings& settings) {
  const process_clock clock;
  coordinator_service service(settings, clock);
  const bool is_started = Recover(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(ports, service.Start());
        LogListening("rpc", ports.rpc);
        LogListening("status", ports.status);
        return true;
      },
      [](const error& failure) {
        log_event(log_level::kError, "start_failed")
            .Field("kind", AnswerFor(failure.kind).name)
            .Field("cause", failure.detail);
        return false;
      });
  if (!is_started) {
    return static_cast<int>(exit_code::kFailed);
  }
  const signal_watcher signals([&](int count) {
    if (count > 1) {
      QCoreApplication::exit(static_cast<int>(exit_code::kDrainDeadline));
      return;
    }
    log_event(log_level::kInfo, "shutdown_started").Field("signal", count);
    service.StartDrain();
    QTimer::singleShot(coordinator_service::kDrainTime, qApp,
                       [] { QCoreApplication::exit(static_cast<int>(exit_code::kStopped)); });
  });
  return QCoreApplication::exec();
}

int ReadSettingsAndRun() {
  return Recover(
      []() -> result<int> {
        BOOST_LEAF_AUTO(reader, settings_reader::FromFile(FLAGS_settings));
        BOOST_LEAF_AUTO(settings, ReadCoordinatorSettings(std::move(reader)));
        ConfigureLog(settings.process.name, settings.process.lowest_log_level);
        return Run(settings);
      },
      [](const error& failure) {
        std::cerr << failure.detail << '\n';
        return static_cast<int>(exit_code::kInvalidSettings);
      });
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  return corianderhoist::ReadSettingsAndRun();
}
