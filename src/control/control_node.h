/// A control VM: the replica, its service, the inner server and the status endpoint.
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
  std::filesystem::path data_folder;
  std::vector<named_endpoint> members;  ///< First members of the group, with this one.
  std::vector<std::string> regions;     ///< All regions of the fleet.
};

/// Reads and checks the whole document. Fails with `kInvalidSettings` and all faults.
result<control_settings> ReadControlSettings(settings_reader& reader);

/// Runs from its construction by `Start` to its destruction, which answers all open calls.
class control_node {
 public:
  /// Opens the data folder and the ports. Fails with `kInvalidSettings`, `kUnreachable`,
  /// `kStorageFailed` or `kStorageDamaged`.
  static result<std::unique_ptr<control_node>> Start(control_settings settings);
  ~control_node();

  /// The cause when the replica has stopped by itself, else empty. The process must end then and be
  /// started again, which checks the files.
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
