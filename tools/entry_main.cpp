// corianderhoist-entry: the daemon of an entry VM.
#include "entry/entry_settings.h"
#include "entry/entry_vm.h"
#include "wire/daemon.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

namespace corianderhoist {
namespace {

int Run(entry_settings settings) {
  ConfigureLog(settings.process.name, settings.process.lowest_log_level);
  entry_vm vm(std::move(settings), [](exit_code code) {
    QMetaObject::invokeMethod(
        QCoreApplication::instance(), [code] { QCoreApplication::exit(static_cast<int>(code)); },
        Qt::QueuedConnection);
  });
  const signal_watcher signals([&vm](int) { vm.Shutdown(); });
  const bool has_started = Recover(
      [&]() -> result<bool> {
        BOOST_LEAF_CHECK(vm.Start());
        return true;
      },
      [](const error& failure) {
        std::cerr << failure.detail << std::endl;
        return false;
      });
  return has_started ? QCoreApplication::exec() : static_cast<int>(exit_code::kFailed);
}

int Main() {
  return Recover(
      []() -> result<int> {
        BOOST_LEAF_AUTO(reader, settings_reader::FromFile(FLAGS_settings));
        BOOST_LEAF_AUTO(settings, ReadEntrySettings(std::move(reader)));
        return Run(std::move(settings));
      },
      [](const error& failure) {
        std::cerr << failure.detail << std::endl;
        return static_cast<int>(exit_code::kInvalidSettings);
      });
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("entry VM of a corianderhoist fleet");
  gflags::SetVersionString(CORIANDERHOIST_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  return corianderhoist::Main();
}
