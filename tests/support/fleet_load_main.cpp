// Measures the latency that the fleet adds: starts a fleet on loopback and runs corianderhoist-load
// alternately against its entry VMs and directly against the upstreams of the same place.
#include "support/fleet.h"
#include "support/fleet_caller.h"
#include "support/fleet_rules.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <iostream>

DEFINE_double(rate, 200, "requests per second, open loop; 0: closed loop");
DEFINE_int32(connections, 16, "connections per target");
DEFINE_string(duration, "10s", "time per target");
DEFINE_bool(orders, false, "send orders with an Idempotency-Key instead of reads");

namespace corianderhoist {
namespace {

int Run() {
  fleet_plan plan;
  plan.services = {"catalogue", "orders"};
  plan.upstreams = 4;
  fleet served(plan);
  served.StartAll();
  served.ApplyRules(DemonstrationRules());
  const std::string key = served.GiveKey("aprons").text;
  std::string entries;
  for (const std::string& entry : served.Names("entry-centre-")) {
    fleet_caller(served, entry).AwaitServed(key, "/catalogue/ready");
    entries += (entries.empty() ? "" : ",") + FormatEndpoint(served.Callers(entry));
  }
  std::string upstreams;
  const std::string service = FLAGS_orders ? "orders" : "catalogue";
  for (const std::string& upstream : served.Names("upstream-" + service + "-centre-")) {
    upstreams += (upstreams.empty() ? "" : ",") + FormatEndpoint(served.Upstream(upstream));
  }
  const program_output output = RunProgram(
      ProgramPath("corianderhoist-load"),
      {"--fleet=" + entries, "--direct=" + upstreams, "--workspaces=aprons=" + key,
       FLAGS_orders ? "--method=POST" : "--method=GET",
       FLAGS_orders ? "--path=/orders" : "--path=/catalogue/1",
       FLAGS_orders ? "--idempotency_keys=true" : "--idempotency_keys=false",
       "--rate=" + std::to_string(FLAGS_rate), "--connections=" + std::to_string(FLAGS_connections),
       "--duration=" + FLAGS_duration});
  std::cout << output.output << output.errors;
  return output.exit_code;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  return corianderhoist::Run();
}
