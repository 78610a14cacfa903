// Whether a request waits for the state of the fleet. Guards against refusals of requests that the
// coming state can still serve, and against requests that wait in vain.
#include "serving/state_wait.h"
#include "support/test_table.h"

#include <algorithm>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLease(5000);
constexpr milliseconds kSweep(100);
constexpr auto kNoPolicy = state_wait_reason::kNoPolicy;

/// An entry VM whose process has just started and knows nothing.
struct waiting_vm {
  explicit waiting_vm(std::size_t max_requests = 256)
      : waits({max_requests}, kLease, buffers, clock.Now()) {}

  void Run(milliseconds time) {
    for (milliseconds run(0); run < time; run += kSweep) {
      clock.Advance(kSweep);
      waits.Update(known, clock.Now());
    }
  }
  state_waiter Waiter(milliseconds limit, std::optional<milliseconds> response_time = {}) const {
    return {kNoPolicy, clock.Now() + limit, response_time};
  }
  std::optional<state_wait::waiter_id> Start(milliseconds limit) {
    return waits.TryStart(Waiter(limit), clock.Now());
  }
  void Receive() {
    known = {clock.Now(), clock.Now(), true};
    waits.Update(known, clock.Now());
  }
  milliseconds Expected() const {
    return std::chrono::duration_cast<milliseconds>(waits.ExpectedArrival(kNoPolicy, clock.Now()) -
                                                    clock.Now());
  }

  manual_clock clock;
  buffer_budget buffers{1000};
  state_knowledge known;
  state_wait waits;
};

// The share of one of 110 VMs in 600 requests a second after a power loss: guards against the
// refusal of nearly all of them, and against answers that come too late.
const test_table kPowerLoss("state wait", "a gap of one second refuses at most 5 %", [] {
  std::mt19937_64 random(1);
  int arrived = 0;
  int refused = 0;
  for (int run = 0; run < 110; ++run) {
    waiting_vm vm;
    std::map<state_wait::waiter_id, steady_time> deadlines;
    for (milliseconds time(0); time < milliseconds(1000); time += milliseconds(10)) {
      vm.clock.Advance(milliseconds(10));
      vm.waits.Update(vm.known, vm.clock.Now());
      for (const auto late : vm.waits.Late(vm.clock.Now())) {
        vm.waits.End(late);
        ++refused;
      }
      constexpr std::uint64_t kPerMille = 55;  // 5.5 requests a second.
      if (random() % 1000 >= kPerMille) {
        continue;
      }
      ++arrived;
      const milliseconds limit(5000 + random() % 10'000);
      const auto id = vm.waits.TryStart(vm.Waiter(limit, milliseconds(1500)), vm.clock.Now());
      refused += id ? 0 : 1;
      if (id) {
        deadlines[*id] = vm.clock.Now() + limit;
      }
    }
    vm.Receive();
    for (const auto& [id, deadline] : deadlines) {
      vm.waits.Renew(id, {std::nullopt, deadline, milliseconds(1500)});
      CPPUNIT_ASSERT(vm.clock.Now() < deadline);
    }
    CPPUNIT_ASSERT(vm.waits.Late(vm.clock.Now()).empty());
    CPPUNIT_ASSERT_EQUAL(deadlines.size(), vm.waits.Ready().size());
  }
  CPPUNIT_ASSERT(arrived > 500);
  CPPUNIT_ASSERT(refused * 20 <= arrived);
});

struct start_case {
  std::string name;
  milliseconds since_start;
  milliseconds limit;
  std::optional<milliseconds> response_time;
  bool waits;
};

const std::vector<start_case> kStarts = {
    {"with a long deadline waits", {}, milliseconds(5000), {}, true},
    {"with a short deadline is refused", {}, milliseconds(1500), {}, false},
    {"without a deadline is refused", {}, milliseconds(0), {}, false},
    {"of a slow route is refused", {}, milliseconds(5000), milliseconds(4000), false},
    {"in a long gap is refused", milliseconds(4000), milliseconds(1000), {}, false},
    {"in a long gap waits", milliseconds(4000), milliseconds(5000), {}, true},
    {"without contact is refused", milliseconds(5100), milliseconds(60'000), {}, false},
};

// Guards against requests that wait although their callers are gone before the state can come.
const test_table kStart("a request without policy",
                        kStarts,
                        std::function([](const start_case& row) {
                          waiting_vm vm;
                          vm.Run(row.since_start);
                          const auto waiter = vm.Waiter(row.limit, row.response_time);
                          const auto id = vm.waits.TryStart(waiter, vm.clock.Now());
                          CPPUNIT_ASSERT_EQUAL(row.waits, id.has_value());
                        }));

// Guards against callers that wait until their deadline for a state that does not come.
const test_table kEndless("state wait", "an endless gap refuses short deadlines first", [] {
  waiting_vm vm;
  std::map<state_wait::waiter_id, milliseconds> limits;
  for (const milliseconds limit : {milliseconds(3000), milliseconds(4500), milliseconds(60'000)}) {
    limits[*vm.Start(limit)] = limit;
  }
  std::vector<milliseconds> refused;
  for (milliseconds waited = kSweep; waited <= milliseconds(6000); waited += kSweep) {
    vm.Run(kSweep);
    for (const auto id : vm.waits.Late(vm.clock.Now())) {
      CPPUNIT_ASSERT(waited + milliseconds(400) <= limits[id]);
      refused.push_back(limits[id]);
      vm.waits.End(id);
    }
  }
  CPPUNIT_ASSERT(refused.size() == 3 && std::is_sorted(refused.begin(), refused.end()));
  const milliseconds former = vm.waits.ReturnTime(vm.clock.Now());
  vm.Run(milliseconds(8000));
  CPPUNIT_ASSERT(vm.waits.ReturnTime(vm.clock.Now()) > former);
});

// Guards against an important request that finds the rate of its workspace used up by others.
const test_table kOrder("state wait", "requests are admitted by priority, then by arrival", [] {
  waiting_vm vm;
  const auto start = [&](std::uint32_t workspace, std::uint32_t route) {
    const auto id = *vm.Start(milliseconds(5000));
    vm.waits.Renew(id, {std::nullopt, vm.clock.Now() + milliseconds(5000), {}, workspace, route});
    return id;
  };
  const auto unknown = start(state_waiter::kLowestPriority, state_waiter::kLowestPriority);
  const auto low = start(2, 0);
  const auto second = start(1, 3);
  const auto third = start(1, 3);
  const auto first = start(1, 0);
  CPPUNIT_ASSERT(vm.Start(milliseconds(5000)));
  CPPUNIT_ASSERT(vm.waits.Ready() == std::vector({first, second, third, low, unknown}));
  vm.waits.End(second);
  CPPUNIT_ASSERT(vm.waits.Ready() == std::vector({first, third, low, unknown}));
  CPPUNIT_ASSERT_EQUAL(std::size_t(5), vm.waits.Size());
});

// Guards against waiting requests that use up the memory of the VM.
const test_table kBound("state wait", "number and bytes are bounded", [] {
  waiting_vm vm(2);
  buffer_hold held(&vm.buffers);
  held.Set(750);
  CPPUNIT_ASSERT(!vm.Start(milliseconds(5000)));
  held.Set(749);
  const auto first = vm.Start(milliseconds(5000));
  CPPUNIT_ASSERT(first && vm.Start(milliseconds(5000)) && !vm.Start(milliseconds(5000)));
  vm.waits.End(*first);
  CPPUNIT_ASSERT(vm.Start(milliseconds(5000)));
  CPPUNIT_ASSERT(!waiting_vm(0).Start(milliseconds(5000)));
});

// Guards against a frozen VM that takes itself for cut off, and that sends what is too late.
const test_table kFreeze("state wait", "after a freeze deadlines are checked", [] {
  waiting_vm vm;
  vm.Receive();
  vm.Run(milliseconds(1000));
  vm.known.is_recent = false;
  const auto brief = *vm.Start(milliseconds(6000));
  const auto patient = *vm.Start(milliseconds(30'000));
  vm.clock.Advance(milliseconds(10'000));
  vm.waits.Update(vm.known, vm.clock.Now());
  CPPUNIT_ASSERT(vm.waits.Late(vm.clock.Now()) == std::vector({brief}));
  CPPUNIT_ASSERT(vm.Start(milliseconds(3000)));
  vm.waits.Renew(brief, {std::nullopt, vm.clock.Now() - milliseconds(4000), {}});
  vm.waits.Renew(patient, {std::nullopt, vm.clock.Now() + milliseconds(20'000), {}});
  CPPUNIT_ASSERT(vm.waits.Late(vm.clock.Now()) == std::vector({brief}));
});

// Guards against an estimate that ignores how long the state was missing before.
const test_table kLearned("state wait", "long gaps make the next estimate longer", [] {
  waiting_vm vm;
  const auto expected_after = [&](milliseconds gap) {
    for (int i = 0; i < 4; ++i) {
      vm.Receive();
      vm.known.is_recent = false;
      vm.Run(gap);
    }
    vm.Receive();
    vm.known.is_recent = false;
    vm.Run(kSweep);
    return vm.Expected();
  };
  const milliseconds after_short = expected_after(milliseconds(100));
  const milliseconds after_long = expected_after(milliseconds(3000));
  CPPUNIT_ASSERT(after_long > after_short + milliseconds(1000) && after_long <= kLease);
});

}  // namespace
}  // namespace corianderhoist
