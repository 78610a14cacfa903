/// The process of a control VM: replica, control service, RPC server and status endpoint.
#pragma once

#include "base/clock.h"
#include "control/control_service.h"
#include "settings/settings_reader.h"
#include "status/status_server.h"
#include "wire/daemon.h"
#include "wire/rpc.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace corianderhoist {

struct control_settings {
  process_settings process;
  std::filesystem::path data_folder;    ///< Replicated log and snapshots.
  std::vector<named_endpoint> members;  ///< Initial members of the group.
  std::vector<std::string> regions;     ///< All regions of the fleet.
};

/// Reads and validates the settings document. Fails with `kInvalidSettings` and a list of all
/// faults.
result<control_settings> ReadControlSettings(settings_reader& reader);

/// Runs from `Start` to its destruction, which completes all open calls.
class control_node {
 public:
  /// Opens the data folder and listens on the ports. Fails with `kInvalidSettings`, `kUnreachable`,
  /// `kStorageFailed` or `kStorageDamaged`.
  static result<std::unique_ptr<control_node>> Start(control_settings settings);
  ~control_node();

  /// Returns why the replica has stopped after a failure, or an empty string. The process must then
  /// exit and be restarted, since the start verifies the files.
  std::string Failure() const { return replica_->Status().failure; }

 private:
  control_node() = default;
  result<void> Open(control_settings settings);
  result<void> Listen(const process_settings& process);

  process_clock clock_;
  control_application application_;
  std::unique_ptr<rpc_server> server_;
  std::unique_ptr<control_service> service_;
  std::unique_ptr<replica> replica_;
  std::unique_ptr<status_server> status_;
};

}  // namespace corianderhoist
