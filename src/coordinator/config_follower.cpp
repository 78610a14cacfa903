#include "coordinator/config_follower.h"

#include "base/log.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollWait(10'000);
constexpr milliseconds kPollTimeout(13'000);
constexpr milliseconds kAckTimeout(3'000);
constexpr milliseconds kRetryDelay(200);
constexpr milliseconds kLeaseCheckInterval(50);
// Acknowledgements are repeated, because a new leader of control may not have received the last
// one.
constexpr milliseconds kAckRepeatInterval(5'000);

}  // namespace

// All members except those guarded by `dump_lock` are accessed only on the thread of the loop.
struct config_follower::impl : std::enable_shared_from_this<config_follower::impl> {
  impl(io_loop& io_thread,
       std::string region,
       region_state& replicated_state,
       region_log& replicated_log,
       std::shared_ptr<log_writer> batch_writer,
       const clock_source& time_source)
      : loop(io_thread),
        region_name(std::move(region)),
        state(replicated_state),
        log(replicated_log),
        writer(std::move(batch_writer)),
        clock(time_source) {}

  void Poll() {
    if (is_closed) {
      return;
    }
    if (!log.HasLease() || channels.empty()) {
      PollAfter(kLeaseCheckInterval);
      return;
    }
    const std::uint64_t version = state.ConfigVersion();
    channels[poll_target]->Call<config_fetch_reply>(
        "config.fetch", config_fetch_request{version, kPollWait}, kPollTimeout,
        [weak = weak_from_this()](rpc_result<config_fetch_reply> reply) {
          if (const auto self = weak.lock(); self && !self->is_closed) {
            self->OnFetched(std::move(reply));
          }
        });
  }

  void PollAfter(milliseconds delay) {
    loop.After(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Poll();
      }
    });
  }

  void OnFetched(rpc_result<config_fetch_reply> reply) {
    if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
      RecordPollResult(channels[poll_target]->PeerName(), failure->detail);
      poll_target = (poll_target + 1) % channels.size();
      PollAfter(kRetryDelay);
      return;
    }
    RecordPollResult(channels[poll_target]->PeerName(), {});
    auto& update = std::get<config_fetch_reply>(reply);
    const std::uint64_t version = state.ConfigVersion();
    const bool is_newer = (update.snapshot && update.snapshot->version > version) ||
                          (!update.changes.empty() && update.changes.back().version > version);
    if (!is_newer) {
      Acknowledge();
      // The delay prevents a busy loop if control answers at once without newer changes.
      PollAfter(update.snapshot || !update.changes.empty() ? kRetryDelay : milliseconds(1));
      return;
    }
    writer->CommitConfig(std::move(update),
                         [weak = weak_from_this()](rpc_result<region_result> committed) {
                           const auto self = weak.lock();
                           if (!self) {
                             return;
                           }
                           self->loop.Post([weak, committed = std::move(committed)] {
                             if (const auto locked = weak.lock(); locked && !locked->is_closed) {
                               locked->OnCommitted(committed);
                             }
                           });
                         });
  }

  void OnCommitted(const rpc_result<region_result>& committed) {
    const auto* outcome = std::get_if<region_result>(&committed);
    if (outcome == nullptr) {
      PollAfter(kRetryDelay);
      return;
    }
    if (!outcome->config_fault.empty()) {
      log_event(log_level::kError, "configuration_refused")
          .Field("version", outcome->config_version)
          .Field("cause", outcome->config_fault);
      PollAfter(kRetryDelay);
      return;
    }
    log_event(log_level::kInfo, "configuration_committed")
        .Field("region", region_name)
        .Field("version", outcome->config_version);
    Acknowledge();
    Poll();
  }

  // Reports the version that the region has committed. The applied version may be reported while
  // `log.HasLease()` is true, because a leader with a lease applies only committed entries.
  void Acknowledge() {
    const std::uint64_t version = state.ConfigVersion();
    const steady_time now = clock.Now();
    if (version == 0 || !log.HasLease() ||
        (version == acknowledged && now - acknowledged_at < kAckRepeatInterval)) {
      return;
    }
    acknowledged = version;
    acknowledged_at = now;
    SendAck(version, poll_target, 2 * channels.size());
  }

  void SendAck(std::uint64_t version, std::size_t target, std::size_t tries) {
    channels[target]->Call<empty_message>(
        "config.ack", config_ack_request{region_name, version}, kAckTimeout,
        [weak = weak_from_this(), version, target, tries](const rpc_result<empty_message>& reply) {
          const auto self = weak.lock();
          if (!self || self->is_closed) {
            return;
          }
          const auto* failure = std::get_if<rpc_failure>(&reply);
          if (failure == nullptr) {
            return;
          }
          if (tries <= 1) {
            self->acknowledged = 0;  // Repeats the acknowledgement after the next poll.
            return;
          }
          self->SendAck(version, self->NextAckTarget(*failure, target), tries - 1);
        });
  }

  std::size_t NextAckTarget(const rpc_failure& failure, std::size_t target) const {
    const auto named = std::find_if(channels.begin(), channels.end(), [&](const auto& each) {
      return each->PeerName() == failure.leader;
    });
    return named == channels.end() ? (target + 1) % channels.size()
                                   : static_cast<std::size_t>(named - channels.begin());
  }

  void RecordPollResult(const std::string& peer, const std::string& cause) {
    const std::lock_guard guard(dump_lock);
    last_peer = peer;
    last_error = cause;
    if (cause.empty()) {
      answered_at = clock.Now();
    }
  }

  io_loop& loop;
  const std::string region_name;
  region_state& state;
  region_log& log;
  const std::shared_ptr<log_writer> writer;
  const clock_source& clock;
  std::vector<std::unique_ptr<rpc_channel>> channels;
  std::size_t poll_target = 0;
  std::uint64_t acknowledged = 0;
  steady_time acknowledged_at;
  bool is_closed = false;

  std::mutex dump_lock;
  std::string last_peer;
  std::string last_error;
  steady_time answered_at;
};

config_follower::config_follower(io_loop& loop,
                                 std::shared_ptr<tls_identity> identity,
                                 const std::vector<named_endpoint>& control,
                                 std::string region,
                                 region_state& state,
                                 region_log& log,
                                 std::shared_ptr<log_writer> writer,
                                 const clock_source& clock)
    : impl_(std::make_shared<impl>(loop, std::move(region), state, log, std::move(writer), clock)) {
  for (const named_endpoint& each : control) {
    impl_->channels.push_back(
        std::make_unique<rpc_channel>(loop, identity, each.address, each.name));
  }
}

config_follower::~config_follower() {
  impl_->loop.RunAndWait([this] {
    impl_->is_closed = true;
    impl_->channels.clear();
  });
}

void config_follower::Start() {
  impl_->PollAfter(milliseconds(0));
}

QJsonObject config_follower::Dump() {
  const std::lock_guard guard(impl_->dump_lock);
  const auto silence =
      std::chrono::duration_cast<milliseconds>(impl_->clock.Now() - impl_->answered_at);
  return {{"control", QString::fromStdString(impl_->last_peer)},
          {"fault", QString::fromStdString(impl_->last_error)},
          {"answered_ms_ago", impl_->answered_at == steady_time()
                                  ? QJsonValue()
                                  : QJsonValue(static_cast<qint64>(silence.count()))}};
}

}  // namespace corianderhoist
