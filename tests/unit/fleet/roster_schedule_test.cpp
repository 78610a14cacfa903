// Seeded schedules of upstreams whose announcements are delayed, lost, duplicated and reordered. An
// upstream that is leaving must get no new requests, and a running one must stay in the roster or
// return to it.
#include "fleet/upstream_roster.h"
#include "support/test_table.h"

#include <array>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

constexpr int kSteps = 200;
constexpr int kUpstreams = 5;
constexpr int kAddresses = 6;
constexpr int kMaxDelaySteps = 12;

using incarnation = std::pair<std::string, std::int64_t>;  // Id and start time.

// Actual state of an upstream and its last announcement.
struct simulated_upstream {
  bool is_running = false;
  upstream_notice last;
};

class roster_schedule {
 public:
  explicit roster_schedule(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_[static_cast<std::size_t>(i)].last.id = "u" + std::to_string(i);
    }
  }

  void Run() {
    for (step_ = 0; step_ < kSteps; ++step_) {
      RunRandomAction(upstreams_[random_() % upstreams_.size()]);
      Deliver();
      Check();
    }
    step_ += kMaxDelaySteps;
    Deliver();
    CheckFinalState();
  }

 private:
  bool IsOneIn(unsigned parts) { return random_() % parts == 0; }

  void RunRandomAction(simulated_upstream& upstream) {
    if (!upstream.is_running) {
      Start(upstream);
      return;
    }
    switch (random_() % 8) {
      case 0:
        upstream.last.state = upstream_state::kDraining;
        break;
      case 1:
        Deregister(upstream);
        return;
      case 2:
        upstream.is_running = false;  // Crashes without deregistration.
        return;
      case 3:
        ExpireRandomEntry();
        break;
      default:
        break;
    }
    ++upstream.last.sequence;
    Send(upstream.last);
  }

  void Start(simulated_upstream& upstream) {
    std::set<std::string> used;
    for (const simulated_upstream& each : upstreams_) {
      used.insert(each.is_running ? each.last.address : "");
    }
    std::string address;
    do {
      address = "10.0.0." + std::to_string(random_() % kAddresses) + ":80";
    } while (used.contains(address));
    upstream.is_running = true;
    upstream.last = {
        upstream.last.id, ++last_start_, address, "orders", "dc1", 4, upstream_state::kReady, 0};
    Send(upstream.last);
  }

  void Deregister(simulated_upstream& upstream) {
    upstream_notice deregistration = upstream.last;
    deregistration.state = upstream_state::kGone;
    if (IsOneIn(2)) {
      deregistration = {};
      deregistration.id = upstream.last.id;
      deregistration.incarnation_start_ms = upstream.last.incarnation_start_ms;
      deregistration.state = upstream_state::kGone;
    }
    upstream.is_running = false;
    Send(deregistration);
  }

  void ExpireRandomEntry() {
    if (!roster_.Entries().empty()) {
      roster_.Expire(static_cast<upstream_handle>(1 + random_() % roster_.Entries().size()),
                     ++index_);
    }
  }

  void Send(const upstream_notice& notice) {
    if (IsOneIn(8)) {
      return;  // Lost.
    }
    const int copies = IsOneIn(6) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      in_flight_.emplace(step_ + static_cast<int>(random_() % kMaxDelaySteps), notice);
    }
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= step_) {
      ApplyNotice(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
    }
  }

  void ApplyNotice(const upstream_notice& notice) {
    const bool would_change = roster_.WouldChange(notice);
    CPPUNIT_ASSERT_EQUAL(would_change, roster_.Apply(notice, ++index_));
    std::int64_t& newest = newest_start_by_id_[notice.id];
    newest = std::max(newest, notice.incarnation_start_ms);
    if (notice.state != upstream_state::kReady) {
      leaving_.insert({notice.id, notice.incarnation_start_ms});
    } else if (!leaving_.contains({notice.id, notice.incarnation_start_ms}) &&
               notice.incarnation_start_ms == newest) {
      // An announcement that arrives after the deregistration or after the next start of its id is
      // ignored (seed 5), so it does not retire the former upstream at its address. That one
      // expires because it is silent.
      std::int64_t& newest_at_address = newest_start_by_address_[notice.address];
      newest_at_address = std::max(newest_at_address, notice.incarnation_start_ms);
    }
  }

  void Check() {
    std::set<std::string> addresses;
    for (const auto& [handle, entry] : roster_.Entries()) {
      if (entry.state != upstream_state::kReady) {
        continue;
      }
      const std::string what = entry.id + " born " + std::to_string(entry.incarnation_start_ms);
      CPPUNIT_ASSERT_MESSAGE("two ready upstreams at one address: " + what,
                             addresses.insert(entry.address).second);
      CPPUNIT_ASSERT_MESSAGE("ready although it is leaving: " + what,
                             !leaving_.contains({entry.id, entry.incarnation_start_ms}));
      CPPUNIT_ASSERT_MESSAGE("superseded by a newer start of its id: " + what,
                             entry.incarnation_start_ms == newest_start_by_id_[entry.id]);
      CPPUNIT_ASSERT_MESSAGE("superseded by a newer upstream at its address: " + what,
                             entry.incarnation_start_ms == newest_start_by_address_[entry.address]);
    }
  }

  // Stopped upstreams expire, running ones announce themselves once more; the roster must then
  // match.
  void CheckFinalState() {
    std::set<incarnation> expected;
    for (simulated_upstream& upstream : upstreams_) {
      if (!upstream.is_running) {
        if (const upstream_entry* entry = roster_.Find(upstream.last.id)) {
          roster_.Expire(entry->handle, ++index_);
        }
        continue;
      }
      ++upstream.last.sequence;
      ApplyNotice(upstream.last);
      if (upstream.last.state == upstream_state::kReady) {
        expected.insert({upstream.last.id, upstream.last.incarnation_start_ms});
      }
    }
    Check();
    std::set<incarnation> ready;
    for (const auto& [handle, entry] : roster_.Entries()) {
      if (entry.state == upstream_state::kReady) {
        ready.insert({entry.id, entry.incarnation_start_ms});
      }
    }
    CPPUNIT_ASSERT_MESSAGE("running upstreams and the roster differ", ready == expected);
  }

  std::mt19937_64 random_;
  std::array<simulated_upstream, kUpstreams> upstreams_;
  std::multimap<int, upstream_notice> in_flight_;  // By the step of arrival.
  upstream_roster roster_;
  std::uint64_t index_ = 0;
  std::int64_t last_start_ = 0;
  int step_ = 0;
  std::set<incarnation> leaving_;  // Announced as draining or gone.
  // Latest start times received.
  std::map<std::string, std::int64_t> newest_start_by_id_;
  std::map<std::string, std::int64_t> newest_start_by_address_;
};

const test_table kSchedules("roster", "500 schedules (seeds 1 to 500)", [] {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    try {
      roster_schedule(seed).Run();
    } catch (const CppUnit::Exception& failure) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure.what());
    }
  }
});

}  // namespace
}  // namespace corianderhoist
