// Leader changes in a region. Guards against a total admission rate above the limit when several
// members admit in turn, admission by a leader that resumes after it was replaced, ejections that a
// new leader does not know, and an order that runs twice.
#include "coordinator/coordinator_core.h"
#include "coordinator/local_log.h"
#include "coordinator/region_state.h"
#include "support/coordinator_fixture.h"
#include "support/test_table.h"

#include <algorithm>
#include <map>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Steady clock with a constant rate error and a wall clock that can jump.
class drifting_clock final : public clock_source {
 public:
  explicit drifting_clock(const nanoseconds& simulation_time) : simulation_time_(simulation_time) {}

  steady_time Now() const override {
    return steady_time(std::chrono::hours(1)) +
           nanoseconds(
               static_cast<std::int64_t>(static_cast<double>(simulation_time_.count()) * speed));
  }
  system_time WallNow() const override {
    return system_time(std::chrono::hours(24)) +
           std::chrono::duration_cast<system_time::duration>(wall_jump);
  }

  // Converts a time of this clock to simulation time, rounded up.
  nanoseconds ToSimulationTime(steady_time local) const {
    const nanoseconds elapsed = local - steady_time(std::chrono::hours(1));
    return nanoseconds(static_cast<std::int64_t>(static_cast<double>(elapsed.count()) / speed) + 1);
  }

  double speed = 1;
  nanoseconds wall_jump{0};

 private:
  const nanoseconds& simulation_time_;
};

// One member's access to the log of the group. Only the elected leader can commit. Any other member
// has no lease, even while `local_term` still claims leadership.
class shared_log final : public region_log {
 public:
  shared_log(std::vector<region_state*>& members,
             const std::size_t& leader,
             std::size_t self,
             std::uint64_t& index)
      : members_(members), leader_(leader), self_(self), index_(index) {}

  bool HasLease() const override { return leader_ == self_ && has_lease; }
  std::uint64_t LeadingTerm() const override { return local_term; }
  std::string LeaderName() const override { return "m" + std::to_string(leader_); }
  void Propose(std::string command, std::function<void(rpc_result<std::string>)> done) override {
    proposals.emplace_back(std::move(command), std::move(done));
  }
  // Commits the pending proposals, or fails them if this member is not the leader.
  void Flush() {
    for (auto& [command, done] : std::exchange(proposals, {})) {
      if (leader_ != self_) {
        done(rpc_failure{error_kind::kNotAccepted, "the leader has changed", {}});
        continue;
      }
      ++index_;
      std::string outcome;
      for (std::size_t i = 0; i < members_.size(); ++i) {
        std::string applied = members_[i]->Apply(index_, command);
        if (i == self_) {
          outcome = std::move(applied);
        }
      }
      done(std::move(outcome));
    }
  }

  bool has_lease = true;
  std::uint64_t local_term = 0;
  std::vector<std::pair<std::string, std::function<void(rpc_result<std::string>)>>> proposals;

 private:
  std::vector<region_state*>& members_;
  const std::size_t& leader_;
  const std::size_t self_;
  std::uint64_t& index_;
};

struct member {
  member(std::vector<region_state*>& states,
         const std::size_t& leader,
         std::size_t self,
         std::uint64_t& index,
         const nanoseconds& simulation_time)
      : clock(simulation_time),
        log(states, leader, self, index),
        core(std::make_shared<coordinator_core>(
            "north",
            state,
            log,
            clock,
            [this](nanoseconds delay, std::function<void()> task) {
              tasks.emplace(clock.Now() + delay, std::move(task));
            })) {
    state.SetConfigObserver(
        [this](const std::vector<limit_change>& limits, const std::vector<digest>& released) {
          core->OnConfig(limits, released);
        });
  }

  void Run() {
    if (is_frozen) {
      return;
    }
    while (!tasks.empty() && tasks.begin()->first <= clock.Now()) {
      auto task = std::move(tasks.begin()->second);
      tasks.erase(tasks.begin());
      task();
    }
    log.Flush();
    core->Tick();
  }

  drifting_clock clock;
  region_state state{"north"};
  shared_log log;
  std::multimap<steady_time, std::function<void()>> tasks;
  std::shared_ptr<coordinator_core> core;
  bool is_frozen = false;
};

constexpr std::uint64_t kRate = 50;
constexpr std::uint64_t kBurst = 20;

class region_schedule {
 public:
  explicit region_schedule(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      members_.push_back(std::make_unique<member>(states_, leader_, i, index_, simulation_time_));
      members_.back()->clock.speed =
          1 + std::uniform_real_distribution<double>(-0.0005, 0.00049)(random_);
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      states_.push_back(&members_[i]->state);
      members_[i]->core->SetTokenObserver([this, i](const std::string& request, steady_time at) {
        token_at_[{i, request}] = members_[i]->clock.ToSimulationTime(at);
      });
    }
    Elect(0);
    config_change first;
    first.version = 1;
    first.added_rules = {"service orders floor=50 # t",
                         "workspace acme places=north rate=50/s "
                         "burst=20 # t"};
    first.keys = {{"k", Sha256("key"), "acme", false}};
    members_[0]->core->Writer()->CommitConfig({std::nullopt, {first}}, [](const auto&) {});
    members_[0]->Run();
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      simulation_time_ += microseconds(random_() % 10'000);
      InjectRandomFault();
      for (auto& each : members_) {
        each->Run();
      }
      if (step % 50 == 0) {
        Announce();
      }
      Request(step);
    }
  }

  void Check(std::uint64_t seed) {
    CPPUNIT_ASSERT_MESSAGE("too few requests were admitted", admitted_.size() > 100);
    std::sort(admitted_.begin(), admitted_.end());
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      for (std::size_t j = i; j < admitted_.size(); ++j) {
        const double span = std::chrono::duration<double>(admitted_[j] - admitted_[i]).count();
        if (static_cast<double>(j - i + 1) > kRate * span + kBurst + 1e-6) {
          CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + std::to_string(j - i + 1) +
                       " admitted in " + std::to_string(span) + " s");
        }
      }
    }
    for (const auto& [key, count] : runs_) {
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": an order ran twice", count <= 1);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a member without lease admitted", 0, admitted_without_lease_);
  }

 private:
  // The new leader has applied all entries of previous terms. The previous leader is not notified.
  void Elect(std::size_t index) {
    leader_ = index;
    members_[index]->log.local_term = ++term_;
    members_[index]->log.has_lease = true;
  }

  void InjectRandomFault() {
    const auto chance = random_() % 1000;
    member& target = *members_[random_() % members_.size()];
    if (chance < 8) {
      std::size_t next = random_() % members_.size();
      if (next != leader_ && !members_[next]->is_frozen) {
        Elect(next);
      }
    } else if (chance < 14) {
      target.is_frozen = true;
    } else if (chance < 60) {
      target.is_frozen = false;
    } else if (chance < 66) {
      members_[leader_]->log.has_lease = false;
    } else if (chance < 100) {
      members_[leader_]->log.has_lease = true;
    } else if (chance < 110) {
      target.clock.wall_jump = std::chrono::hours(static_cast<int>(random_() % 20'000) - 10'000);
    }
  }

  void Announce() {
    for (auto& each : members_) {
      for (int i = 0; i < 3; ++i) {
        announcement message;
        message.upstream = "u" + std::to_string(i);
        message.incarnation = "i1";
        message.service = "orders";
        message.region = "north";
        message.data_centre = "a";
        message.address = "127.0.0.1:" + std::to_string(i + 1);
        message.slots = 50;
        each->core->Announce(message, [](const auto&) {});
      }
    }
  }

  // Sends a request to a random member. Orders reuse an idempotency key over 40 steps.
  void Request(int step) {
    const std::size_t target = random_() % members_.size();
    member& asked = *members_[target];
    if (asked.is_frozen) {
      return;
    }
    acquire_request request;
    request.request_id = "r" + std::to_string(step);
    request.entry_vm = "entry-1";
    request.session = "s";
    request.workspace = "acme";
    request.key_hash = Sha256("key");
    request.service = "orders";
    request.config_version = 1;
    request.fingerprint = Sha256(request.request_id);
    request.remaining = milliseconds(1000);
    request.is_idempotent = random_() % 4 != 0;
    if (!request.is_idempotent) {
      request.idempotency_key = "k" + std::to_string(step / 40);
    }
    asked.core->Acquire(request, [this, request, target](const rpc_result<acquire_reply>& reply) {
      const auto* granted = std::get_if<acquire_reply>(&reply);
      if (granted == nullptr || granted->replay) {
        return;
      }
      admitted_.push_back(token_at_.at({target, request.request_id}));
      admitted_without_lease_ += target == leader_ ? 0 : 1;
      Execute(request, *granted, target);
    });
  }

  void Execute(const acquire_request& request, const acquire_reply& granted, std::size_t target) {
    complete_request report;
    report.request_id = request.request_id;
    report.entry_vm = request.entry_vm;
    report.session = request.session;
    report.lease = granted.lease;
    report.workspace = request.workspace;
    report.upstream = granted.upstream;
    report.incarnation = granted.incarnation;
    report.fingerprint = request.fingerprint;
    report.idempotency_key = request.idempotency_key;
    report.outcome = random_() % 2 == 0 ? attempt_result::kSuccess : attempt_result::kTimeout;
    report.latency = milliseconds(3);
    if (!request.idempotency_key.empty()) {
      ++runs_[request.idempotency_key];
    }
    // One report in five is lost. The others may arrive after the member lost its leadership.
    if (random_() % 5 != 0) {
      members_[target]->core->Complete(report, [](const auto&) {});
    }
  }

  std::mt19937_64 random_;
  nanoseconds simulation_time_{0};
  std::size_t leader_ = 0;
  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;
  std::vector<region_state*> states_;
  std::vector<std::unique_ptr<member>> members_;
  // Token times by member and request id.
  std::map<std::pair<std::size_t, std::string>, nanoseconds> token_at_;
  std::vector<nanoseconds> admitted_;  // Token times of granted requests.
  std::map<std::string, int> runs_;
  int admitted_without_lease_ = 0;
};

const test_table kTrace("region leaders",
                        "rate limits and single runs hold in 100 leader schedules",
                        [] {
                          for (std::uint64_t seed = 1; seed <= 100; ++seed) {
                            region_schedule schedule(seed);
                            schedule.Run(2000);
                            schedule.Check(seed);
                          }
                        });

const test_table kFrozen("region leaders", "a request queued at a frozen leader is refused", [] {
  coordinator_fixture fixture(
      {"service orders floor=50", "workspace acme places=north rate=100/s burst=1"});
  fixture.AnnounceUpstreams("orders", 1, 4);
  fixture.AdvanceTime(seconds(1));
  fixture.Acquire(fixture.Request("acme", "orders"));
  const acquire_request queued = fixture.Request("acme", "orders");
  fixture.StartAcquire(queued);
  CPPUNIT_ASSERT(!fixture.ReplyTo(queued.request_id));
  fixture.log.SetLease(false);
  fixture.clock.Advance(seconds(30));
  fixture.AdvanceTime(milliseconds(100));
  CPPUNIT_ASSERT(KindOf(*fixture.ReplyTo(queued.request_id)) == error_kind::kNotLeader);
});

const test_table kEjection("region leaders", "an ejection persists after a leader change", [] {
  coordinator_fixture fixture(
      {"service orders floor=50", "workspace acme places=north rate=10000/s burst=10000"});
  fixture.AnnounceUpstreams("orders", 6, 8);
  fixture.AdvanceTime(seconds(4));
  const auto send = [&](int requests) {
    int sent_to_faulty = 0;
    for (int i = 0; i < requests; ++i) {
      acquire_request request = fixture.Request("acme", "orders");
      request.entry_vm = "entry-" + std::to_string(i % 5);
      fixture.AdvanceTime(milliseconds(5));
      const auto reply = fixture.Acquire(request);
      if (const auto* granted = std::get_if<acquire_reply>(&reply)) {
        const bool is_faulty = granted->upstream == "orders-2";
        sent_to_faulty += is_faulty ? 1 : 0;
        fixture.Complete(request, *granted,
                         is_faulty ? attempt_result::kServerError : attempt_result::kSuccess);
      }
    }
    return sent_to_faulty;
  };
  send(200);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.state.Ejections().size());
  CPPUNIT_ASSERT_EQUAL(std::string("orders-2"), fixture.state.Ejections()[0].upstream);
  fixture.log.SetTerm(2);
  for (const announcement& each : fixture.upstreams) {
    fixture.core->Announce(each, [](const auto&) {});
  }
  CPPUNIT_ASSERT_EQUAL(0, send(200));
});

}  // namespace
}  // namespace corianderhoist
