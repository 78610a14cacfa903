// How an entry VM finds a core VM after its start: members of `fleet_link`.
//
// After a power loss the core VMs start at the same time as the entry VMs. All seeds are probed at
// once, so that one that does not answer delays nothing, and a watch call is held by a core VM
// without state until it has one. Each seed gets at most two small calls a second.
#include "base/log.h"
#include "serving/fleet_link.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// From then on a seed that has not answered is probed like any other core VM, with growing pauses.
constexpr milliseconds kStartTime(10'000);
constexpr milliseconds kStartProbeTimeout(700);
constexpr milliseconds kMinStartRetry(20);
constexpr milliseconds kStartRetryJitter(100);
// The state is transferred from a distant core VM only if no nearer one answers within this time.
constexpr milliseconds kNearerCoreGrace(50);

}  // namespace

void fleet_link::Start() {
  started_at_ = clock_.Now();
  SetSeeds(settings_.seeds);
  if (settings_.seeds.empty()) {
    BeginWatch();
  }
}

bool fleet_link::IsYoung() const {
  return clock_.Now() - started_at_ < kStartTime;
}

bool fleet_link::IsStarting() const {
  return !view_.Policy() && IsYoung();
}

void fleet_link::ProbeAtStart(core_vm& peer) {
  watch_request request = MakeProbeRequest();
  request.vm = settings_.vm;
  request.data_centre = settings_.data_centre;
  request.cores_digest = cores_digest_;
  peer.is_probed = true;
  const steady_time sent_at = clock_.Now();
  ChannelOf(peer).Call<watch_reply>(
      "fleet.watch", request, kStartProbeTimeout,
      [this, alive = is_alive_, &peer, sent_at](const rpc_result<watch_reply>& reply) {
        if (*alive) {
          OnStartProbe(peer, reply, sent_at);
        }
      });
}

void fleet_link::OnStartProbe(core_vm& peer,
                              const rpc_result<watch_reply>& reply,
                              steady_time sent_at) {
  peer.is_probed = false;
  const auto* news = std::get_if<watch_reply>(&reply);
  if (news == nullptr && IsYoung()) {
    const auto jitter =
        std::uniform_int_distribution<std::int64_t>(0, kStartRetryJitter.count())(random_);
    loop_.After(kMinStartRetry + milliseconds(jitter), [this, alive = is_alive_, &peer] {
      if (*alive) {
        ProbeAtStart(peer);
      }
    });
    return;
  }
  if (news == nullptr) {
    BackOff(peer, std::get<rpc_failure>(reply).detail);
    BeginWatch();
    return;
  }
  RecordRoundTrip(peer, *news, sent_at);
  AddCores(*news);
  if (peer.is_same_data_centre) {
    BeginWatch();
    return;
  }
  loop_.After(kNearerCoreGrace, [this, alive = is_alive_] {
    if (*alive) {
      BeginWatch();
    }
  });
}

void fleet_link::BeginWatch() {
  if (!std::exchange(is_watching_, true)) {
    Watch();
  }
}

}  // namespace corianderhoist
