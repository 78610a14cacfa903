// Runs the simulated upstream as a process. Logs the event `listening` with purpose `upstream`.
#include "support/upstream.h"

#include "base/log.h"
#include "wire/daemon.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QStringList>

#include <cstdlib>
#include <iostream>

DEFINE_string(name, "upstream-1", "name, unique in the fleet");
DEFINE_string(service, "catalogue", "service that it belongs to");
DEFINE_string(region, "centre", "region of its place");
DEFINE_string(data_centre, "centre-1", "data centre of its place");
DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(announce, "", "addresses of entry VMs to announce to, separated by commas");
DEFINE_int32(announce_ms, 1000, "time between announcements in ms");
DEFINE_int32(slots, 4, "requests that it runs at a time");
DEFINE_int32(service_ms, 5, "time that a request takes in ms");
DEFINE_int32(cold_start_ms, 0, "time for which it announces `starting` in ms");
DEFINE_int32(drain_grace_ms, 3000, "time for which it serves on after SIGTERM in ms");
DEFINE_int32(seed, 1, "seed of the random choices of its faults");

namespace corianderhoist {
namespace {

endpoint ParseEndpointOrExit(const std::string& text) {
  return Recover([&] { return ParseEndpoint(text); },
                 [](const error& failure) -> endpoint {
                   std::cerr << failure.detail << '\n';
                   std::exit(static_cast<int>(exit_code::kInvalidSettings));
                 });
}

upstream_settings ReadSettings() {
  upstream_settings settings;
  settings.announced.upstream = FLAGS_name;
  settings.announced.service = FLAGS_service;
  settings.announced.region = FLAGS_region;
  settings.announced.data_centre = FLAGS_data_centre;
  settings.announced.slots = static_cast<std::uint32_t>(FLAGS_slots);
  settings.announce_every = std::chrono::milliseconds(FLAGS_announce_ms);
  settings.service_time = std::chrono::milliseconds(FLAGS_service_ms);
  settings.cold_start = std::chrono::milliseconds(FLAGS_cold_start_ms);
  settings.drain_grace = std::chrono::milliseconds(FLAGS_drain_grace_ms);
  settings.seed = static_cast<std::uint32_t>(FLAGS_seed);
  for (const QString& each :
       QString::fromStdString(FLAGS_announce).split(',', Qt::SkipEmptyParts)) {
    settings.announce_to.push_back(ParseEndpointOrExit(each.toStdString()));
  }
  return settings;
}

int Run() {
  ConfigureLog(FLAGS_name, log_level::kInfo);
  simulated_upstream upstream(ReadSettings(), [](int code) { std::_Exit(code); });
  const std::uint16_t port = upstream.Listen(ParseEndpointOrExit(FLAGS_listen));
  if (port == 0) {
    std::cerr << "cannot listen on " << FLAGS_listen << '\n';
    return static_cast<int>(exit_code::kFailed);
  }
  LogListening("upstream", port);
  const signal_watcher watcher([&](int count) {
    if (count == 1) {
      upstream.Drain();
    }
  });
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  return corianderhoist::Run();
}
