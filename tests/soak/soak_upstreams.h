/// Upstreams of a soak run, which run in the soak process and announce themselves to the core.
#pragma once

#include "soak/judge.h"
#include "soak/run_clock.h"
#include "support/fault_proxy.h"
#include "support/scripted_upstream.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist::soak {

inline constexpr const char* kWorkspace = "shop";
inline constexpr const char* kSafeService = "catalogue";
inline constexpr const char* kUnsafeService = "orders";

/// Records each run before it answers. The answer's signature names the upstream, the run and the
/// attempt, and its body repeats the signature.
class soak_upstream {
 public:
  soak_upstream(std::string id,
                std::string service,
                std::uint64_t seed,
                const run_clock& clock,
                judge& verdicts,
                io_loop& proxies);

  const std::string& Id() const { return id_; }
  const std::string& Service() const { return service_; }
  endpoint Address() const { return {"127.0.0.1", proxy_.Port()}; }
  fault_proxy& Link() { return proxy_; }
  /// Answers about half of the requests with the fault until `end`.
  void SetFault(fault_kind kind, run_time end);

  // State of its announcements, used on the thread that sends them.
  int sequence = 0;
  bool is_known = false;
  bool is_leaving = false;
  bool is_leave_acknowledged = false;
  run_time next_announcement{};

 private:
  scripted_answer Answer(const scripted_request& request);
  scripted_answer AnswerRun(const scripted_request& request, fault_kind fault, bool is_faulty);
  std::string WrongPart(const scripted_request& request) const;

  const std::string id_;
  const std::string service_;
  const run_clock& clock_;
  judge& judge_;
  std::mutex lock_;
  seeded_numbers numbers_;
  fault_kind fault_{};
  run_time fault_end_{};
  int runs_ = 0;
  std::map<std::size_t, std::string> refusals_;  ///< Last refusal by connection.
  scripted_upstream server_;
  fault_proxy proxy_;
};

/// The upstreams of all services and the thread that announces them.
class upstream_group {
 public:
  upstream_group(std::size_t per_service,
                 std::uint64_t seed,
                 const run_clock& clock,
                 judge& verdicts,
                 std::vector<endpoint> control);
  ~upstream_group();
  upstream_group(const upstream_group&) = delete;
  upstream_group& operator=(const upstream_group&) = delete;

  /// An upstream that is not leaving.
  soak_upstream& Pick(std::size_t number);
  /// Announces that the upstream leaves, and adds a successor.
  void Leave(std::size_t number);
  std::size_t AnnouncedCount() const { return announced_; }

 private:
  void Add(const std::string& service);
  void Announce();
  bool SendAnnouncement(soak_upstream& upstream);

  const std::uint64_t seed_;
  const run_clock& clock_;
  judge& judge_;
  const std::vector<endpoint> control_;
  io_loop proxies_;
  std::mutex lock_;
  std::vector<std::shared_ptr<soak_upstream>> upstreams_;
  std::size_t next_core_ = 0;
  std::atomic<std::size_t> announced_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread announcer_;
};

}  // namespace corianderhoist::soak
