/// Renews the entry VM's session with the coordinators that may have issued leases to it.
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

/// Lives on the thread of its clients.
class session_keeper {
 public:
  using clients = std::map<std::string, std::unique_ptr<coordinator_client>>;

  session_keeper(entry_context& context, clients& coordinators);
  ~session_keeper();

  void Start();
  /// Ends the sessions; `done` is called when every coordinator knows or after one second.
  void Leave(const std::function<void()>& done);

 private:
  void Renew();
  void Send(const std::string& region,
            const session_request& message,
            const std::function<void()>& done);

  entry_context& context_;
  clients& coordinators_;
  std::unique_ptr<QTimer> timer_;
  std::shared_ptr<std::set<std::string>> renewing_;  ///< Regions whose renewal is on its way.
};

}  // namespace corianderhoist
