#include "coordinator/config_follower.h"

#include "base/log.h"

#include <algorithm>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollWait(10'000);
constexpr milliseconds kPollTimeout(13'000);
constexpr milliseconds kAckTimeout(3'000);
constexpr milliseconds kRetry(200);
constexpr milliseconds kLeaderCheck(50);
// An acknowledgement is repeated, because a new leader of control may not know of it.
constexpr milliseconds kAckInterval(5'000);

}  // namespace

// All members but those under `dump_lock` are used on the thread of the loop only.
struct config_follower::follower : std::enable_shared_from_this<config_follower::follower> {
  follower(io_loop& owner,
           std::string name,
           region_state& region_copy,
           region_log& region,
           std::shared_ptr<log_writer> region_writer,
           const clock_source& time)
      : loop(owner),
        region_name(std::move(name)),
        state(region_copy),
        log(region),
        writer(std::move(region_writer)),
        clock(time) {}

  void Poll() {
    if (is_closed) {
      return;
    }
    if (!log.HasLease() || channels.empty()) {
      Later(kLeaderCheck);
      return;
    }
    const std::uint64_t version = state.ConfigVersion();
    channels[current]->Call<config_fetch_reply>(
        "config.fetch", config_fetch_request{version, kPollWait}, kPollTimeout,
        [weak = weak_from_this()](rpc_result<config_fetch_reply> reply) {
          if (const auto self = weak.lock(); self && !self->is_closed) {
            self->OnFetched(std::move(reply));
          }
        });
  }

  void Later(milliseconds delay) {
    loop.After(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Poll();
      }
    });
  }

  void OnFetched(rpc_result<config_fetch_reply> reply) {
    if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
      Note(channels[current]->PeerName(), failure->detail);
      current = (current + 1) % channels.size();
      Later(kRetry);
      return;
    }
    Note(channels[current]->PeerName(), {});
    auto& news = std::get<config_fetch_reply>(reply);
    const std::uint64_t version = state.ConfigVersion();
    const bool is_newer = (news.snapshot && news.snapshot->version > version) ||
                          (!news.changes.empty() && news.changes.back().version > version);
    if (!is_newer) {
      Acknowledge();
      // An empty answer that came at once must not start a busy loop.
      Later(news.snapshot || !news.changes.empty() ? kRetry : milliseconds(1));
      return;
    }
    writer->Config(std::move(news), [weak = weak_from_this()](rpc_result<region_result> committed) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->loop.Post([weak, committed = std::move(committed)] {
        if (const auto again = weak.lock(); again && !again->is_closed) {
          again->OnCommitted(committed);
        }
      });
    });
  }

  void OnCommitted(const rpc_result<region_result>& committed) {
    const auto* outcome = std::get_if<region_result>(&committed);
    if (outcome == nullptr) {
      Later(kRetry);
      return;
    }
    if (!outcome->config_fault.empty()) {
      log_event(log_level::kError, "configuration_refused")
          .Field("version", outcome->config_version)
          .Field("cause", outcome->config_fault);
      Later(kRetry);
      return;
    }
    log_event(log_level::kInfo, "configuration_committed")
        .Field("region", region_name)
        .Field("version", outcome->config_version);
    Acknowledge();
    Poll();
  }

  // Reports the version that the region has committed. `log.HasLease` holds for the version that
  // was applied: a leader with a lease has applied nothing that its group has not committed.
  void Acknowledge() {
    const std::uint64_t version = state.ConfigVersion();
    const steady_time now = clock.Now();
    if (version == 0 || !log.HasLease() ||
        (version == acknowledged && now - acknowledged_at < kAckInterval)) {
      return;
    }
    acknowledged = version;
    acknowledged_at = now;
    SendAck(version, current, 2 * channels.size());
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
            self->acknowledged = 0;  // Sent again with the next poll.
            return;
          }
          self->SendAck(version, self->TargetAfter(*failure, target), tries - 1);
        });
  }

  std::size_t TargetAfter(const rpc_failure& failure, std::size_t target) const {
    const auto named = std::find_if(channels.begin(), channels.end(), [&](const auto& each) {
      return each->PeerName() == failure.leader;
    });
    return named == channels.end() ? (target + 1) % channels.size()
                                   : static_cast<std::size_t>(named - channels.begin());
  }

  void Note(const std::string& peer, const std::string& cause) {
    const std::lock_guard guard(dump_lock);
    last_peer = peer;
    last_fault = cause;
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
  std::size_t current = 0;
  std::uint64_t acknowledged = 0;
  steady_time acknowledged_at;
  bool is_closed = false;

  std::mutex dump_lock;
  std::string last_peer;
  std::string last_fault;
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
    : follower_(std::make_shared<follower>(loop,
                                           std::move(region),
                                           state,
                                           log,
                                           std::move(writer),
                                           clock)) {
  for (const named_endpoint& each : control) {
    follower_->channels.push_back(
        std::make_unique<rpc_channel>(loop, identity, each.address, each.name));
  }
}

config_follower::~config_follower() {
  follower_->loop.RunAndWait([this] {
    follower_->is_closed = true;
    follower_->channels.clear();
  });
}

void config_follower::Start() {
  follower_->Later(milliseconds(0));
}

QJsonObject config_follower::Dump() {
  const std::lock_guard guard(follower_->dump_lock);
  const auto silence =
      std::chrono::duration_cast<milliseconds>(follower_->clock.Now() - follower_->answered_at);
  return {{"control", QString::fromStdString(follower_->last_peer)},
          {"fault", QString::fromStdString(follower_->last_fault)},
          {"answered_ms_ago", follower_->answered_at == steady_time()
                                  ? QJsonValue()
                                  : QJsonValue(static_cast<qint64>(silence.count()))}};
}

}  // namespace corianderhoist
