#include "entry/coordinator_client.h"

#include "observe/metrics.h"

#include <QTimer>

#include <algorithm>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Delay between tries while a group has no leader; an election takes about a second.
constexpr milliseconds kRetryDelay(25);
constexpr milliseconds kMinTryTime(5);

bool IsRetryable(error_kind kind) {
  return kind == error_kind::kNotLeader || kind == error_kind::kUnreachable ||
         kind == error_kind::kTimeout || kind == error_kind::kCoordinatorUnavailable;
}

}  // namespace

struct coordinator_client::state : std::enable_shared_from_this<state> {
  struct pending {
    call spec;
    callback<std::string> done;
    std::size_t tries = 0;
    std::string last_cause = "no member was asked";
  };

  state(io_loop& owner,
        std::shared_ptr<tls_identity> own,
        const coordinator_group& members,
        const clock_source& time)
      : clock(time),
        loop(owner),
        identity(std::move(own)),
        group(members),
        channels(members.members.size()) {}

  rpc_channel& Channel(std::size_t index) {
    if (!channels[index]) {
      const named_endpoint& member = group.members[index];
      channels[index] = std::make_unique<rpc_channel>(loop, identity, member.address, member.name);
    }
    return *channels[index];
  }

  void Try(const std::shared_ptr<pending>& call) {
    const auto now = clock.Now();
    const auto remaining = duration_cast<milliseconds>(call->spec.deadline - now);
    if (remaining < kMinTryTime) {
      call->done(rpc_failure{error_kind::kCoordinatorUnavailable,
                             "coordinators of " + group.region +
                                 " did not decide in time: " + call->last_cause,
                             {}},
                 now);
      return;
    }
    ++call->tries;
    const std::size_t member = leader;
    Channel(member).CallRaw(
        call->spec.method, call->spec.encode(), std::min(remaining, call->spec.try_timeout),
        [weak = weak_from_this(), call, member, now](rpc_result<std::string> reply) {
          if (const auto self = weak.lock()) {
            self->OnReply(call, member, now, std::move(reply));
          }
        });
  }

  void OnReply(const std::shared_ptr<pending>& call,
               std::size_t member,
               steady_time sent_at,
               rpc_result<std::string> reply) {
    const auto* failure = std::get_if<rpc_failure>(&reply);
    if (!failure || !IsRetryable(failure->kind)) {
      call->done(std::move(reply), sent_at);
      return;
    }
    metrics::Instance().Counter("coordinators.retried_calls").Add();
    call->last_cause = failure->detail;
    const bool is_redirected = UpdateLeader(member, *failure);
    if (is_redirected && call->tries <= group.members.size()) {
      Try(call);
      return;
    }
    QTimer::singleShot(kRetryDelay, Qt::PreciseTimer, loop.Context(),
                       [weak = weak_from_this(), call] {
                         if (const auto self = weak.lock()) {
                           self->Try(call);
                         }
                       });
  }

  // Updates `leader` after a failed try. Returns whether the failure named another member.
  bool UpdateLeader(std::size_t member, const rpc_failure& failure) {
    const auto named_leader =
        std::find_if(group.members.begin(), group.members.end(),
                     [&](const named_endpoint& each) { return each.name == failure.leader; });
    if (failure.kind == error_kind::kNotLeader && named_leader != group.members.end()) {
      const auto index = static_cast<std::size_t>(named_leader - group.members.begin());
      leader = index;
      return index != member;
    }
    // If `leader` has changed, another call has found the leader meanwhile.
    if (leader == member) {
      leader = (member + 1) % group.members.size();
    }
    return false;
  }

  const clock_source& clock;
  io_loop& loop;
  std::shared_ptr<tls_identity> identity;
  coordinator_group group;
  std::vector<std::unique_ptr<rpc_channel>> channels;
  std::size_t leader = 0;
};

coordinator_client::coordinator_client(io_loop& loop,
                                       std::shared_ptr<tls_identity> identity,
                                       const coordinator_group& group,
                                       const clock_source& clock)
    : state_(std::make_shared<state>(loop, std::move(identity), group, clock)) {
  assert(!group.members.empty() && "a group has at least one member");
}

coordinator_client::~coordinator_client() = default;

void coordinator_client::CallRaw(call spec, callback<std::string> done) {
  state_->Try(std::make_shared<state::pending>(state::pending{std::move(spec), std::move(done)}));
}

const std::string& coordinator_client::LikelyLeader() const {
  return state_->group.members[state_->leader].name;
}

}  // namespace corianderhoist
