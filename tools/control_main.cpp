// corianderhoist-control: one member of the replicated store of rules and API keys.
#include "control/control_node.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QTimer>

#include <chrono>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON, docs/design.md section 3.4)");

namespace corianderhoist {
namespace {

constexpr std::chrono::milliseconds kFailureCheckInterval(200);

int Report(const error& failure) {
  std::cerr << AnswerFor(failure.kind).name << ": " << failure.detail << "\n";
  const bool is_settings = failure.kind == error_kind::kInvalidSettings;
  return static_cast<int>(is_settings ? exit_code::kInvalidSettings : exit_code::kFailed);
}

result<int> Run(QCoreApplication& application) {
  BOOST_LEAF_AUTO(reader, settings_reader::FromFile(FLAGS_settings));
  BOOST_LEAF_AUTO(settings, ReadControlSettings(reader));
  ConfigureLog(settings.process.name, settings.process.lowest_log_level);
  const signal_watcher signals([](int) { QCoreApplication::quit(); });
  BOOST_LEAF_AUTO(node, control_node::Start(std::move(settings)));
  QTimer failure_check;
  QObject::connect(&failure_check, &QTimer::timeout, &failure_check, [&node] {
    if (!node->Failure().empty()) {
      QCoreApplication::exit(static_cast<int>(exit_code::kFailed));
    }
  });
  failure_check.start(kFailureCheckInterval);
  const int code = application.exec();
  const std::string failure = node->Failure();
  failure_check.stop();
  node.reset();
  log_event(log_level::kInfo, "stopped").Field("cause", failure.empty() ? "signal" : failure);
  return code;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE");
  gflags::SetVersionString(CORIANDERHOIST_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);
  return corianderhoist::Recover([&] { return corianderhoist::Run(application); },
                                 corianderhoist::Report);
}
