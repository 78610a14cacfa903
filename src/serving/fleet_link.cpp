#include "serving/fleet_link.h"

#include "base/log.h"
#include "fleet/latency_digest.h"
#include "serving/probe_reply.h"

#include <algorithm>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A core VM replies after this time even without changes, which renews the lease for keyed
// requests.
constexpr milliseconds kWatchHold(400);
// A watch call that gets no reply for this long after the hold has failed.
constexpr milliseconds kWatchReplyGrace(450);
constexpr milliseconds kFirstProbeTimeout(700);
// A core VM whose state is older may have lost contact with the leader.
constexpr milliseconds kMaxCoreStateAge(900);
constexpr milliseconds kFreshnessProbeInterval(400);
// Before the first state, when core VMs hold calls until they have it.
constexpr milliseconds kFirstFreshnessProbeInterval(1000);
// A core VM is abandoned for one whose state is younger by more than this.
constexpr milliseconds kMinStateAgeGain(400);
constexpr milliseconds kMinCoreBackoff(250);
constexpr milliseconds kMaxCoreBackoff(2000);
// Of the connection: a core VM that starts accepts calls before it has the state.
constexpr milliseconds kMaxReconnectPause(200);
constexpr milliseconds kChooseRetryInterval(50);
constexpr milliseconds kProbeInterval(5000);
constexpr milliseconds kProbeTimeout(500);
// The current core VM is kept unless the round trip to another one is shorter by this factor.
constexpr int kMinRoundTripGain = 2;

}  // namespace

fleet_link::fleet_link(io_loop& loop,
                       fleet_link_settings settings,
                       fleet_view& view,
                       const clock_source& clock)
    : loop_(loop), settings_(std::move(settings)), view_(view), clock_(clock) {}

fleet_link::~fleet_link() {
  *is_alive_ = false;
}

void fleet_link::SetSeeds(std::vector<endpoint> seeds) {
  settings_.seeds = std::move(seeds);
  for (const endpoint& seed : settings_.seeds) {
    const bool is_new = !cores_.contains(seed);
    core_vm& added = AddCore(seed);
    if (is_new && !is_watching_) {
      ProbeAtStart(added);
    }
  }
}

fleet_link::core_vm& fleet_link::AddCore(const endpoint& address) {
  std::unique_ptr<core_vm>& added = cores_[address];
  if (!added) {
    added = std::make_unique<core_vm>();
    added->address = address;
  }
  return *added;
}

rpc_channel& fleet_link::ChannelOf(core_vm& peer) {
  if (!peer.channel) {
    peer.channel = std::make_unique<rpc_channel>(loop_, nullptr, peer.address,
                                                 FormatEndpoint(peer.address), kMaxReconnectPause);
  }
  return *peer.channel;
}

// Returns the core VM in the VM's own data centre or else with the shortest round trip that is not
// backed off. Unmeasured ones come last: they are probed beside the watch calls, and one that does
// not answer would hold up the news for as long as its probe lasts. If all are backed off, returns
// the one whose backoff ends first.
fleet_link::core_vm* fleet_link::ChooseCore() {
  const steady_time now = clock_.Now();
  core_vm* best = nullptr;
  const auto is_better = [&](const core_vm& a, const core_vm& b) {
    const bool is_a_backed_off = a.backoff_until > now;
    const bool is_b_backed_off = b.backoff_until > now;
    if (is_a_backed_off != is_b_backed_off) {
      return is_b_backed_off;
    }
    if (is_a_backed_off) {
      return a.backoff_until < b.backoff_until;
    }
    const bool is_a_measured = a.round_trip.count() > 0;
    if (is_a_measured != (b.round_trip.count() > 0)) {
      return is_a_measured;
    }
    if (a.is_same_data_centre != b.is_same_data_centre) {
      return a.is_same_data_centre;
    }
    return a.round_trip < b.round_trip;
  };
  for (const auto& [address, each] : cores_) {
    if (best == nullptr || is_better(*each, *best)) {
      best = each.get();
    }
  }
  const bool is_current_usable = best != nullptr && current_ != nullptr && current_ != best &&
                                 current_->backoff_until <= now && current_->failures == 0 &&
                                 current_->round_trip.count() > 0;
  if (is_current_usable && current_->is_same_data_centre == best->is_same_data_centre &&
      best->round_trip * kMinRoundTripGain > current_->round_trip) {
    return current_;
  }
  return best;
}

void fleet_link::Watch() {
  core_vm* chosen = ChooseCore();
  if (chosen == nullptr || (chosen->backoff_until > clock_.Now() && chosen->failures > 1)) {
    loop_.After(kChooseRetryInterval, [this, alive = is_alive_] {
      if (*alive) {
        Watch();
      }
    });
    return;
  }
  if (chosen != current_) {
    log_event(log_level::kInfo, "core_chosen")
        .Field("core", FormatEndpoint(chosen->address))
        .Field("round_trip_us", std::int64_t(chosen->round_trip.count()));
    current_ = chosen;
    if (current_incarnation_ != 0) {
      former_incarnation_ = std::exchange(current_incarnation_, 0);
    }
    reported_.Clear();
    is_former_due_ = !delivered_.empty();
    is_waiting_due_ = !waiting_.empty();
    ScheduleReport(false);
  }
  // The first call measures the round trip and requests no state: transferring the whole state from
  // a core VM in another region would cost inter-region traffic at each start.
  const bool is_measured = chosen->round_trip.count() != 0;
  watch_request request = is_measured ? view_.Known() : MakeProbeRequest();
  request.vm = settings_.vm;
  request.hold = is_measured ? kWatchHold : milliseconds(0);
  request.cores_digest = cores_digest_;
  request.data_centre = settings_.data_centre;
  const steady_time sent_at = clock_.Now();
  request.awaits_state = !view_.Policy() || sent_at - view_.FreshAt() > kMaxCoreStateAge;
  request.awaits_limits = view_.LimitsReceivedAt() == steady_time();
  request.is_turning = current_incarnation_ == 0 && former_incarnation_ != 0;
  if (view_.LevelAt() != steady_time()) {
    request.level_age = std::chrono::ceil<milliseconds>(sent_at - view_.LevelAt());
    request.active_vms = view_.Limits().active_vms;
  }
  const milliseconds timeout = is_measured ? kWatchHold + kWatchReplyGrace : kFirstProbeTimeout;
  ChannelOf(*chosen).Call<watch_reply>("fleet.watch", request, timeout,
                                       [this, alive = is_alive_, chosen, sent_at,
                                        is_measured](const rpc_result<watch_reply>& reply) {
                                         if (!*alive) {
                                           return;
                                         }
                                         const auto* news = std::get_if<watch_reply>(&reply);
                                         if (is_measured || news == nullptr) {
                                           return OnReply(*chosen, reply, sent_at);
                                         }
                                         RecordRoundTrip(*chosen, *news, sent_at);
                                         AddCores(*news);
                                         Watch();
                                       });
}

watch_request fleet_link::MakeProbeRequest() const {
  watch_request request;
  request.is_probe = true;
  return request;
}

void fleet_link::AddCores(const watch_reply& news) {
  if (!news.cores.empty()) {
    cores_digest_ = CoresDigest(news.cores);
  }
  for (const std::string& address : news.cores) {
    Recover(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(parsed, ParseEndpoint(address));
          AddCore(parsed);
          return {};
        },
        [&](const error& failure) {
          log_event(log_level::kWarning, "core_address_invalid").Field("cause", failure.detail);
        });
  }
}

void fleet_link::OnReply(core_vm& peer, const rpc_result<watch_reply>& reply, steady_time sent_at) {
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    BackOff(peer, failure->detail);
    Watch();
    return;
  }
  const steady_time now = clock_.Now();
  const auto& news = std::get<watch_reply>(reply);
  RecordRoundTrip(peer, news, sent_at);
  AddCores(news);
  if (&peer == current_) {
    current_incarnation_ = news.core_incarnation;
  }
  view_.Apply(news, sent_at, now);
  if (news.age > kMaxCoreStateAge) {
    ProbeForFresherState(peer, news.age);
  } else {
    NoteAnswered(peer);
  }
  if (on_update) {
    on_update();
  }
  ProbeCores();
  Watch();
}

void fleet_link::NoteAnswered(core_vm& peer) {
  if (std::exchange(peer.failures, 0) > 0) {
    log_event(log_level::kInfo, "core_regained").Field("core", FormatEndpoint(peer.address));
  }
  peer.backoff_until = {};
}

// During a leader election the state of every core VM ages, and switching to another one does not
// help. The other core VMs are therefore probed, and the current one is left only for a core VM
// whose state is younger by `kMinStateAgeGain`.
void fleet_link::ProbeForFresherState(core_vm& stale, milliseconds age) {
  const steady_time now = clock_.Now();
  if (now < next_freshness_probe_) {
    return;
  }
  next_freshness_probe_ =
      now + (IsStarting() ? kFirstFreshnessProbeInterval : kFreshnessProbeInterval);
  for (const auto& [address, each] : cores_) {
    core_vm* other = each.get();
    if (other == &stale) {
      continue;
    }
    watch_request request = view_.Known();
    request.vm = settings_.vm;
    request.cores_digest = cores_digest_;
    request.data_centre = settings_.data_centre;
    const steady_time sent_at = clock_.Now();
    ChannelOf(*other).Call<watch_reply>(
        "fleet.watch", request, kProbeTimeout,
        [this, alive = is_alive_, other, &stale, age,
         sent_at](const rpc_result<watch_reply>& reply) {
          const auto* news = std::get_if<watch_reply>(&reply);
          if (*alive && news != nullptr) {
            RecordRoundTrip(*other, *news, sent_at);
            if (news->age + kMinStateAgeGain < age && current_ == &stale) {
              view_.Apply(WithoutContact(*news, view_.Known()), sent_at, clock_.Now());
              BackOff(stale, "its state is " + std::to_string(age.count()) + " ms old");
              if (on_update) {
                on_update();
              }
            }
          }
        });
  }
}

void fleet_link::RecordRoundTrip(core_vm& peer, const watch_reply& reply, steady_time sent_at) {
  const auto round_trip =
      std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() - sent_at - reply.held);
  const auto measured = std::max(round_trip, std::chrono::microseconds(1));
  replied_at_ = clock_.Now();
  peer.round_trip = peer.round_trip.count() == 0 ? measured : std::min(peer.round_trip, measured);
  if (!reply.data_centre.empty()) {
    peer.is_same_data_centre = reply.data_centre == settings_.data_centre;
  }
}

void fleet_link::BackOff(core_vm& peer, const std::string& cause) {
  const milliseconds longest = IsStarting() ? kMinCoreBackoff : kMaxCoreBackoff;
  const milliseconds pause = std::min(kMinCoreBackoff * (1 << std::min(peer.failures, 3)), longest);
  ++peer.failures;
  peer.backoff_until = clock_.Now() + pause;
  if (peer.failures == 1) {
    log_event(log_level::kWarning, "core_lost")
        .Field("core", FormatEndpoint(peer.address))
        .Field("cause", cause);
  }
}

bool fleet_link::IsProbeDue(const core_vm& peer) const {
  const bool is_unmeasured = peer.round_trip.count() == 0 && clock_.Now() >= next_probe_;
  return &peer != current_ && !peer.is_probed && peer.backoff_until <= clock_.Now() &&
         is_unmeasured;
}

// Probes every core VM whose round trip is unknown, at most once per `kProbeInterval`, so that
// `ChooseCore` can find a nearer one.
void fleet_link::ProbeCores() {
  std::vector<core_vm*> due;
  for (const auto& [address, each] : cores_) {
    if (IsProbeDue(*each)) {
      due.push_back(each.get());
    }
  }
  const steady_time now = clock_.Now();
  for (core_vm* other : due) {
    if (other->round_trip.count() == 0) {
      next_probe_ = now + kProbeInterval;
    }
    other->backoff_until = now + kProbeTimeout;  // One probe at a time.
    watch_request request = MakeProbeRequest();
    request.vm = settings_.vm;
    request.cores_digest = cores_digest_;
    request.data_centre = settings_.data_centre;
    ChannelOf(*other).Call<watch_reply>(
        "fleet.watch", request, kProbeTimeout,
        [this, alive = is_alive_, other, sent_at = now](const rpc_result<watch_reply>& reply) {
          if (*alive) {
            OnProbed(*other, reply, sent_at);
          }
        });
  }
}

void fleet_link::OnProbed(core_vm& peer,
                          const rpc_result<watch_reply>& reply,
                          steady_time sent_at) {
  const auto* news = std::get_if<watch_reply>(&reply);
  if (news == nullptr) {
    return BackOff(peer, std::get<rpc_failure>(reply).detail);
  }
  RecordRoundTrip(peer, *news, sent_at);
  if (news->age > kMaxCoreStateAge && peer.failures > 0) {
    return BackOff(peer, "its state is " + std::to_string(news->age.count()) + " ms old");
  }
  NoteAnswered(peer);
}

}  // namespace corianderhoist
