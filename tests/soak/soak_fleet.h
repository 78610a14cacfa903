/// The processes of a soak run: core and entry VMs on addresses of the loopback network.
#pragma once

#include "base/endpoint.h"
#include "soak/judge.h"
#include "support/child_process.h"

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist::soak {

/// One VM with its settings file, data folder and process.
class soak_vm {
 public:
  soak_vm(std::string name, std::string role, std::string ip, const std::filesystem::path& folder);

  /// Writes the settings file and starts the process.
  void Start(const std::vector<std::string>& seeds, bool may_bootstrap, promised_bounds bounds);
  void WipeData() const;
  child_process& Process() { return process_; }
  const std::string& Name() const { return name_; }
  endpoint Callers() const;
  endpoint Ready() const;
  endpoint Control() const;

  // State of the run, used on the thread that applies the faults.
  bool is_expected_down = false;
  bool was_paused_in_stop = false;
  bool is_wiped = false;
  bool is_killed = false;
  std::optional<run_time> stop_deadline;
  std::optional<run_time> restart_at;
  std::optional<run_time> resume_at;
  run_time restart_delay{};
  std::vector<std::size_t> open_faults;  ///< End with the restart.
  std::optional<std::size_t> open_pause;
  run_time started{};

 private:
  const std::string name_;
  const std::string role_;
  const std::string ip_;
  const std::filesystem::path folder_;
  child_process process_;
};

/// Owns the VMs and a temporary folder with their data and logs.
class soak_fleet {
 public:
  soak_fleet(std::size_t cores, std::size_t entries, promised_bounds bounds);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  void StartAll();
  void Restart(soak_vm& vm) { vm.Start(seeds_, false, bounds_); }
  std::vector<std::unique_ptr<soak_vm>>& Cores() { return cores_; }
  std::vector<std::unique_ptr<soak_vm>>& Entries() { return entries_; }
  const std::filesystem::path& Folder() const { return folder_; }
  /// Keeps the folder when the object is destroyed.
  void KeepFolder() { keeps_folder_ = true; }

 private:
  const promised_bounds bounds_;
  std::filesystem::path folder_;
  int network_lock_ = -1;
  bool keeps_folder_ = false;
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<soak_vm>> cores_;
  std::vector<std::unique_ptr<soak_vm>> entries_;
};

}  // namespace corianderhoist::soak
