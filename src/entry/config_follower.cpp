#include "entry/config_follower.h"

#include "base/log.h"

#include <QTimer>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLongPollTimeout(10);
// Longer than the long poll, so that the coordinator answers first.
constexpr seconds kFetchTimeout(13);
constexpr milliseconds kRetryDelay(100);

}  // namespace

struct config_follower::state : std::enable_shared_from_this<state> {
  state(io_loop& owner, entry_context& shared, coordinator_client& group)
      : loop(owner), context(shared), coordinators(group) {}

  void Fetch() {
    const std::uint64_t known = context.routes.Version();
    coordinators.Call<config_fetch_reply>(
        {"config.fetch",
         [known] {
           return Encode(config_fetch_request{known, kLongPollTimeout});
         },
         kFetchTimeout, context.clock.Now() + kFetchTimeout},
        [weak = weak_from_this()](const rpc_result<config_fetch_reply>& reply, steady_time) {
          if (const auto self = weak.lock()) {
            self->OnReply(reply);
          }
        });
  }

  void OnReply(const rpc_result<config_fetch_reply>& reply) {
    milliseconds delay(0);
    if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
      log_event(log_level::kWarning, "configuration_not_fetched").Field("cause", failure->detail);
      delay = kRetryDelay;
    } else {
      const bool is_applied = Recover(
          [&]() -> result<bool> {
            BOOST_LEAF_CHECK(ApplyReply(std::get<config_fetch_reply>(reply)));
            return true;
          },
          [](const error& failure) {
            log_event(log_level::kError, "configuration_not_applied")
                .Field("cause", failure.detail);
            return false;
          });
      delay = is_applied ? milliseconds(0) : kRetryDelay;
    }
    QTimer::singleShot(delay, loop.Context(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Fetch();
      }
    });
  }

  result<void> ApplyReply(const config_fetch_reply& reply) {
    const std::uint64_t before = context.routes.Version();
    // A lagging member may send a snapshot older than the applied configuration.
    if (reply.snapshot && reply.snapshot->version > before) {
      BOOST_LEAF_CHECK(context.routes.Restore(*reply.snapshot));
    }
    for (const config_change& change : reply.changes) {
      if (change.version > context.routes.Version()) {
        BOOST_LEAF_CHECK(context.routes.Apply(change));
      }
    }
    const std::uint64_t after = context.routes.Version();
    if (after != before) {
      log_event(log_level::kInfo, "configuration_changed")
          .Field("version", after)
          .Field("routes", std::uint64_t(context.routes.RouteCount()));
    }
    return {};
  }

  io_loop& loop;
  entry_context& context;
  coordinator_client& coordinators;
};

config_follower::config_follower(io_loop& loop,
                                 entry_context& context,
                                 coordinator_client& coordinators)
    : state_(std::make_shared<state>(loop, context, coordinators)) {}

config_follower::~config_follower() = default;

void config_follower::Start() {
  state_->Fetch();
}

}  // namespace corianderhoist
