#include "support/fleet_rules.h"

namespace corianderhoist {

std::string DemonstrationRules() {
  return "service catalogue floor=50 # asked for by Nino, operations\n"
         "service orders floor=50 # asked for by Nino, operations\n"
         "service deposits floor=50 # asked for by Nino, operations\n"
         "workspace aprons places=centre rate=500/s burst=500 # asked for by the aprons shop\n"
         "workspace shelving places=west,east rate=500/s burst=500 # asked for by the joiners\n"
         "workspace twine places=east rate=500/s burst=500 # asked for by the twine shop\n"
         "workspace kiln places=east/east-3 rate=500/s burst=500 # data centre under construction\n"
         "route GET,HEAD /catalogue service=catalogue run=idempotent # read by all shops\n"
         "route GET /open service=catalogue access=open places=centre,west,east # public pages\n"
         "route POST /orders service=orders timeout=5s # orders run once\n"
         "route POST /deposits service=deposits timeout=5s # deposits run once\n";
}

}  // namespace corianderhoist
