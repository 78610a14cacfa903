/// Updates the router's configuration by long polling the coordinators of the local region.
#pragma once

#include "control/configuration.h"
#include "entry/coordinator_client.h"
#include "entry/entry_context.h"
#include "wire/io_loop.h"

#include <memory>

namespace corianderhoist {

/// Confined to the thread of its loop.
class config_follower {
 public:
  config_follower(io_loop& loop, entry_context& context, coordinator_client& coordinators);
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  void Start();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderhoist
