/// Copies the configuration from control to the replicated log of a region.
#pragma once

#include "base/clock.h"
#include "coordinator/log_writer.h"
#include "coordinator/region_state.h"
#include "wire/daemon.h"
#include "wire/rpc.h"

#include <QJsonObject>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace corianderhoist {

/// While this member is the leader, keeps one `config.fetch` long poll open to a control VM,
/// commits the received changes and reports the committed version with `config.ack`. Any control VM
/// may answer; after a failure the next one is polled. Runs on the thread of `loop`.
class config_follower {
 public:
  config_follower(io_loop& loop,
                  std::shared_ptr<tls_identity> identity,
                  const std::vector<named_endpoint>& control,
                  std::string region,
                  region_state& state,
                  region_log& log,
                  std::shared_ptr<log_writer> writer,
                  const clock_source& clock);
  /// Must not be called on the thread of the loop.
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  void Start();
  /// Returns the state for the status dump. Thread safe.
  QJsonObject Dump();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace corianderhoist
