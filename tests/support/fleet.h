/// A fleet of real processes on loopback for process tests and the demonstration.
///
/// Names: `control-REGION`, `coordinator-REGION-N`, `entry-REGION-N` and
/// `upstream-SERVICE-REGION-N`, with N from 1. Data centres are `REGION-1` and `REGION-2`.
#pragma once

#include "experiment/http_client.h"
#include "support/child_process.h"
#include "support/fault_proxy.h"
#include "support/test_certificate_authority.h"
#include "wire/io_loop.h"

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

/// Number of processes of a fleet and the settings of its upstreams and drains.
struct fleet_plan {
  std::vector<std::string> regions = {"centre", "west", "east"};
  int coordinators = 3;  ///< Per region.
  int entries = 2;       ///< Per region.
  std::vector<std::string> services = {"catalogue", "orders", "deposits"};
  int upstreams = 2;  ///< Per service and region.
  int slots = 4;      ///< Per upstream.
  int service_ms = 5;
  int drain_grace_ms = 3000;  ///< Upstreams keep serving for this long after announcing `leaving`.
  std::string drain_delay = "3s";
  /// Whether connections from one named process to another go through a fault proxy.
  std::function<bool(const std::string& from, const std::string& to)> is_proxied;
};

/// Owns all processes, their settings, certificates, data folders and logs in one temporary folder,
/// which the destructor removes. Not thread safe, except for `Callers` and `Get`.
class fleet {
 public:
  explicit fleet(fleet_plan plan);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts control, coordinators, entry VMs and upstreams, and waits until all of them listen.
  void StartAll();
  void Start(const std::string& name);
  child_process& Process(const std::string& name);
  /// Names that begin with `prefix`, sorted.
  std::vector<std::string> Names(const std::string& prefix = {}) const;
  /// Names of the control VM, coordinators, entry VMs and upstreams of a region.
  std::vector<std::string> NamesOfRegion(const std::string& region) const;
  static std::string RegionOf(const std::string& name);

  endpoint Callers(const std::string& entry) const;
  endpoint Announcements(const std::string& entry) const;
  endpoint Status(const std::string& name) const;
  endpoint Upstream(const std::string& name);

  /// The fault proxy from one process to another; `fleet_plan::is_proxied` must hold for the pair.
  fault_proxy& Link(const std::string& from, const std::string& to);
  /// Applies `change` to every proxied link that has exactly one end in `region`.
  void ForLinksOfRegion(const std::string& region, const std::function<void(fault_proxy&)>& change);
  /// Applies `change` to every proxied link that starts or ends at `name`.
  void ForLinksOf(const std::string& name, const std::function<void(fault_proxy&)>& change);

  /// Removes, truncates or flips a byte of the files in the data folder of a stopped process.
  void WipeData(const std::string& name);
  void TruncateLargestFile(const std::string& name, std::uintmax_t cut_bytes);
  void FlipByte(const std::string& name, std::uintmax_t from_end);
  std::filesystem::path DataFolder(const std::string& name) const;

  /// Runs corianderhoist-ctl with the fleet's addresses and an operator's certificate.
  program_output Ctl(const std::vector<std::string>& arguments);
  /// Repeats a change under one change id until it is in force or refused.
  program_output RunChange(const std::vector<std::string>& arguments);
  /// Applies a rules file to the version in force and waits until it is in force itself.
  void ApplyRules(const std::string& rules);
  /// A key as `ctl key give` prints it.
  struct workspace_key {
    std::string id;
    std::string text;
  };
  workspace_key GiveKey(const std::string& workspace);
  program_output WithdrawKey(const std::string& key_id);
  std::uint64_t RulesVersion();

  /// Fetches a JSON document from a status endpoint or an upstream; empty without an answer.
  static QJsonObject Get(const endpoint& address, const std::string& target);
  /// Sets the faults that an upstream injects; throws when the upstream rejects them.
  void SetUpstreamFaults(const std::string& upstream, const std::string& faults);
  /// Name of the coordinator that leads a region; waits until there is one.
  std::string LeaderOf(const std::string& region);
  /// Sum over all upstreams of the executions of an order.
  int Executions(const std::string& order);
  const std::filesystem::path& Folder() const { return keys_.Folder(); }
  const fleet_plan& Plan() const { return plan_; }

 private:
  struct member;

  void AddMember(const std::string& name, const std::string& role);
  void AddUpstream(const std::string& service, const std::string& region, int number);
  void WriteSettings(const std::string& name);
  QJsonObject CommonSettings(const std::string& name, const std::string& role);
  QJsonArray Members(const std::string& from, const std::string& prefix);
  endpoint AddressFor(const std::string& from, const std::string& to);
  std::filesystem::path LargestFile(const std::string& name) const;
  void WriteOperatorSettings();

  fleet_plan plan_;
  test_certificate_authority keys_;
  tls_files operator_files_;
  io_loop proxy_loop_{"fault-proxies"};
  std::map<std::pair<std::string, std::string>, std::unique_ptr<fault_proxy>> links_;
  std::map<std::string, std::unique_ptr<member>> members_;
};

}  // namespace corianderhoist
