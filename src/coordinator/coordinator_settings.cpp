#include "coordinator/coordinator_settings.h"

#include <algorithm>

namespace corianderhoist {

result<coordinator_settings> ReadCoordinatorSettings(settings_reader reader) {
  coordinator_settings settings;
  settings.process = ReadProcessSettings(reader);
  settings.region = reader.String("region");
  settings.data_centre = reader.String("data_centre");
  settings.data_folder = reader.Directory("data_folder");
  settings.members = ReadNamedEndpoints(reader, "members");
  settings.control = ReadNamedEndpoints(reader, "control");
  settings.regions = reader.Strings("regions");
  const auto is_self = [&](const named_endpoint& member) {
    return member.name == settings.process.name;
  };
  if (std::none_of(settings.members.begin(), settings.members.end(), is_self)) {
    reader.AddFault("members", "'" + settings.process.name + "' (name) is not among the members");
  }
  if (settings.control.empty()) {
    reader.AddFault("control", "at least one control VM is required");
  }
  if (std::find(settings.regions.begin(), settings.regions.end(), settings.region) ==
      settings.regions.end()) {
    reader.AddFault("regions", "'" + settings.region + "' (region) is not among the regions");
  }
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return settings;
}

}  // namespace corianderhoist
