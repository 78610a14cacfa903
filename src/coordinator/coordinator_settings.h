/// Settings of a coordinator process.
#pragma once

#include "base/error.h"
#include "settings/settings_reader.h"
#include "wire/daemon.h"

#include <filesystem>
#include <string>
#include <vector>

namespace corianderhoist {

struct coordinator_settings {
  process_settings process;
  std::string region;
  std::string data_centre;
  std::filesystem::path data_folder;
  std::vector<named_endpoint> members;  ///< Of the region's group, including this process.
  std::vector<named_endpoint> control;  ///< Control VMs.
  std::vector<std::string> regions;     ///< All regions of the fleet.
};

/// Reads and validates the whole document. Fails with `kInvalidSettings`, listing all faults.
result<coordinator_settings> ReadCoordinatorSettings(settings_reader reader);

}  // namespace corianderhoist
