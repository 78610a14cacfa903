/// Renews the sessions of the entry VM with the coordinators that may have issued leases to it.
#pragma once

#include "coordinator/messages.h"
#include "entry/coordinator_client.h"
#include "entry/entry_context.h"

#include <QTimer>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace corianderhoist {

/// Confined to the thread of its clients.
class session_renewer {
 public:
  using clients = std::map<std::string, std::unique_ptr<coordinator_client>>;

  session_renewer(entry_context& context, clients& coordinators);
  ~session_renewer();

  void Start();
  /// Ends the sessions; `done` is called when every coordinator has acknowledged or the calls have
  /// timed out after one second.
  void EndSessions(const std::function<void()>& done);

 private:
  void Renew();
  void Send(const std::string& region,
            const session_request& message,
            const std::function<void()>& done);

  entry_context& context_;
  clients& coordinators_;
  std::unique_ptr<QTimer> timer_;
  std::shared_ptr<std::set<std::string>> renewing_;  ///< Regions with a renewal in flight.
};

}  // namespace corianderhoist
