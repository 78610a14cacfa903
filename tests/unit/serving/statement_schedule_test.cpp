// Seeded schedules of the statements of upstreams at one VM: restarts, addresses that are used
// again, incarnations that the roster drops and lists again, slow connections and freezes. A judge
// that sees only what upstreams and callers see checks both rules. Faulty variants must be found.
#include "serving/upstream_statements.h"
#include "support/test_table.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep(10);
constexpr seconds kDuration(20);
constexpr std::size_t kAddresses = 4;
constexpr milliseconds kDrainBound(2500);
constexpr milliseconds kRefusalGrace(500);
constexpr int kMaxRequestsWhileClosed = 2;
constexpr milliseconds kMaxConnectTime(900);
constexpr milliseconds kMaxTransit(60);
constexpr milliseconds kMaxReturnDelay(2100);
constexpr std::uint64_t kSchedules = 2000;

enum class fault : std::uint8_t {
  kNone,
  kKeyedByHandle,
  kKeyedById,
  kForgottenWhenDropped,  ///< Of the roster.
  kLastTimeWins,
  kOpensEarly,
  kNotAskedBeforeSending,
};

struct process {
  std::string id;
  milliseconds started{};
  upstream_handle handle = 0;
  bool is_listed = true;
  bool is_leaving = false;
};

// The statements as the VM keeps them, with a fault.
class faulty_statements {
 public:
  faulty_statements(fault kind, const clock_source& clock, std::uint64_t seed)
      : fault_(kind), clock_(clock), seed_(seed) {}

  void Note(const process& of, upstream_statement statement) {
    if (fault_ == fault::kOpensEarly) {
      statement.closed_for /= 2;
    }
    auto& kept = kept_[KeyOf(of)];
    if (!kept || (fault_ == fault::kLastTimeWins && statement.closed_for.count() > 0)) {
      kept = std::make_unique<upstream_statements>(clock_, ++seed_);
    }
    kept->Note(KeyOf(of), statement);
  }
  bool MaySend(const process& to) const {
    const auto found = kept_.find(KeyOf(to));
    return found == kept_.end() || found->second->MaySend(KeyOf(to));
  }
  void Sweep() {
    for (auto& [key, kept] : kept_) {
      kept->Sweep();
    }
  }
  void OnDropped(const process& dropped) {
    if (fault_ == fault::kForgottenWhenDropped) {
      kept_.erase(KeyOf(dropped));
    }
  }

 private:
  upstream_incarnation KeyOf(const process& of) const {
    switch (fault_) {
      case fault::kKeyedByHandle:
        return {{}, {}, of.handle};
      case fault::kKeyedById:
        return {of.id, {}, 0};
      default:
        upstream_entry entry;
        entry.id = of.id;
        entry.incarnation_start_ms = of.started.count();
        entry.handle = of.handle;
        return IncarnationOf(entry);
    }
  }

  const fault fault_;
  const clock_source& clock_;
  std::uint64_t seed_;
  std::map<upstream_incarnation, std::unique_ptr<upstream_statements>> kept_;
};

// Both rules, from what upstreams and callers have seen. Knows nothing of the code under test.
class judge {
 public:
  void OnPassedOn(const std::string& life, milliseconds at) { passed_on_.try_emplace(life, at); }
  void OnRefusal(const std::string& life,
                 std::uint64_t answer,
                 milliseconds at,
                 milliseconds closed_for) {
    windows_[life].push_back({answer, at, at + closed_for, std::nullopt, is_frozen_, 0});
  }
  void OnRefusalRead(const std::string& life, std::uint64_t answer, milliseconds at) {
    for (window& each : windows_[life]) {
      if (each.answer == answer) {
        each.read_at = at;
      }
    }
  }
  // A freeze excuses only refusals that the VM has not read before it.
  void OnFreeze() {
    is_frozen_ = true;
    for (auto& [life, windows] : windows_) {
      for (window& each : windows) {
        each.is_excused = each.is_excused || !each.read_at;
      }
    }
  }
  void OnThaw() { is_frozen_ = false; }
  void OnArrival(const std::string& life, milliseconds at, milliseconds caller_sent) {
    const auto leaving = passed_on_.find(life);
    if (leaving != passed_on_.end() && caller_sent > leaving->second + kDrainBound) {
      Break("DRAIN " + life, at);
    }
    for (window& each : windows_[life]) {
      const bool is_inside = at > each.begin + kRefusalGrace && at <= each.end;
      if (is_inside && !each.is_excused && ++each.arrivals > kMaxRequestsWhileClosed) {
        Break("BUDGET " + life, at);
      }
    }
  }
  // Whether nothing that the life has stated keeps requests away any more.
  bool IsFree(const std::string& life, milliseconds now) const {
    const auto found = windows_.find(life);
    return !passed_on_.contains(life) &&
           (found == windows_.end() ||
            std::all_of(found->second.begin(), found->second.end(), [&](const window& each) {
              // The VM counts from the time at which it has read the refusal.
              return each.read_at &&
                     now > *each.read_at + (each.end - each.begin) + kMaxReturnDelay;
            }));
  }
  void Break(const std::string& what, milliseconds at) {
    if (first_break_.empty()) {
      first_break_ = what + " at " + std::to_string(at.count()) + " ms";
    }
  }
  const std::string& FirstBreak() const { return first_break_; }

 private:
  struct window {
    std::uint64_t answer;  ///< Number of the refusal.
    milliseconds begin;
    milliseconds end;
    std::optional<milliseconds> read_at;
    bool is_excused;
    int arrivals;
  };
  std::map<std::string, milliseconds> passed_on_;
  std::map<std::string, std::vector<window>> windows_;
  bool is_frozen_ = false;
  std::string first_break_;
};

class statement_schedule {
 public:
  statement_schedule(std::uint64_t seed, fault kind)
      : random_(seed), fault_(kind), begin_(clock_.Now()), statements_(kind, clock_, seed) {
    for (std::size_t i = 0; i < kAddresses; ++i) {
      processes_.push_back(NewProcess("u" + std::to_string(i)));
    }
  }

  // Returns the first break of a rule, empty if there is none.
  std::string Run() {
    while (Now() < kDuration && judge_.FirstBreak().empty()) {
      clock_.Advance(kStep);
      ChangeProcesses();
      Arrive();
      if (OneIn(600)) {
        frozen_until_ = Now() + milliseconds(random_() % 2000);
        judge_.OnFreeze();
      }
      if (Now() >= frozen_until_) {
        judge_.OnThaw();
        RunVm();
      } else {
        has_just_thawed_ = true;
      }
    }
    return judge_.FirstBreak();
  }
  std::size_t Arrivals() const { return arrivals_; }
  std::size_t Withheld() const { return withheld_; }

 private:
  struct request {
    std::size_t address = 0;
    process expected;  ///< The incarnation that the VM addresses.
    milliseconds caller_sent{};
    milliseconds due{};  ///< End of the connection's set-up, or arrival at the upstream.
  };
  struct answer {
    process from;      ///< As the VM takes it.
    std::string life;  ///< That has answered.
    upstream_statement statement;
    std::uint64_t number = 0;
    milliseconds due{};
  };

  bool OneIn(unsigned parts) { return random_() % parts == 0; }
  milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(clock_.Now() - begin_);
  }
  milliseconds Drawn(milliseconds limit) {
    return milliseconds(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count())));
  }
  static std::string LifeOf(const process& each) {
    return each.id + "/" + std::to_string(each.started.count());
  }
  process NewProcess(const std::string& id) {
    return {id, milliseconds(1'000'000) + Now() + milliseconds(next_handle_), next_handle_++};
  }

  void ChangeProcesses() {
    process& one = processes_[random_() % kAddresses];
    if (OneIn(300)) {
      one.is_leaving = true;
    }
    if (OneIn(400)) {  // A new process under the same id.
      one = NewProcess(one.id);
    } else if (OneIn(400)) {  // Another upstream at the address.
      one = NewProcess("u" + std::to_string(next_handle_));
    } else if (OneIn(200) && one.is_listed) {  // Its announcements do not arrive.
      one.is_listed = false;
      statements_.OnDropped(one);
    } else if (OneIn(20) && !one.is_listed) {
      one.is_listed = true;
      one.handle = next_handle_++;
    }
  }

  void Arrive() {
    for (std::size_t i = 0; i < sent_.size();) {
      if (sent_[i].due > Now()) {
        ++i;
        continue;
      }
      Handle(sent_[i]);
      sent_.erase(sent_.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }

  void Handle(const request& arrived) {
    const process& by = processes_[arrived.address];
    if (by.id != arrived.expected.id || by.started != arrived.expected.started) {
      return;  // Status 421, or the connection was lost with the former process.
    }
    ++arrivals_;
    judge_.OnArrival(LifeOf(by), Now(), arrived.caller_sent);
    answer reply{arrived.expected, LifeOf(by), {}, arrivals_, Now() + Drawn(kMaxTransit)};
    reply.statement.is_leaving = by.is_leaving;
    if (OneIn(4)) {
      constexpr std::array kTimes{milliseconds(300), milliseconds(1000), milliseconds(2500),
                                  milliseconds(6000)};
      reply.statement.closed_for = kTimes[random_() % kTimes.size()];
      judge_.OnRefusal(LifeOf(by), reply.number, Now(), reply.statement.closed_for);
    }
    answers_.push_back(reply);
  }

  void RunVm() {
    // After a freeze, connections and answers that are due are handled in any order.
    const bool is_answer_first = !std::exchange(has_just_thawed_, false) || OneIn(2);
    if (is_answer_first) {
      ReadAnswers();
    }
    SendOnConnections();
    ReadAnswers();
    if (Now() >= next_sweep_) {
      next_sweep_ = Now() + seconds(1);
      statements_.Sweep();
    }
    for (int i = 0; i < 2; ++i) {
      AcceptRequest();
    }
  }

  void ReadAnswers() {
    for (std::size_t i = 0; i < answers_.size();) {
      if (answers_[i].due > Now()) {
        ++i;
        continue;
      }
      const answer read = answers_[i];
      answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(i));
      statements_.Note(read.from, read.statement);
      judge_.OnRefusalRead(read.life, read.number, Now());
      if (read.statement.is_leaving) {
        judge_.OnPassedOn(read.life, Now());
      }
    }
  }

  void SendOnConnections() {
    for (std::size_t i = 0; i < connecting_.size();) {
      if (connecting_[i].due > Now()) {
        ++i;
        continue;
      }
      request ready = connecting_[i];
      connecting_.erase(connecting_.begin() + static_cast<std::ptrdiff_t>(i));
      if (fault_ != fault::kNotAskedBeforeSending && !statements_.MaySend(ready.expected)) {
        ++withheld_;
        continue;
      }
      ready.due = Now() + Drawn(kMaxTransit);
      sent_.push_back(ready);
    }
  }

  void AcceptRequest() {
    const std::size_t address = random_() % kAddresses;
    const process& to = processes_[address];
    if (!to.is_listed || OneIn(3)) {
      return;
    }
    if (!statements_.MaySend(to)) {
      if (judge_.IsFree(LifeOf(to), Now())) {
        judge_.Break("kept away without a reason: " + LifeOf(to), Now());
      }
      return;
    }
    const milliseconds connect_time = OneIn(2) ? milliseconds(0) : Drawn(kMaxConnectTime);
    connecting_.push_back({address, to, Now(), Now() + connect_time});
  }

  std::mt19937_64 random_;
  const fault fault_;
  manual_clock clock_;
  const steady_time begin_;
  faulty_statements statements_;
  judge judge_;
  upstream_handle next_handle_ = 1;
  std::vector<process> processes_;  ///< By address.
  std::vector<request> connecting_;
  std::vector<request> sent_;
  std::vector<answer> answers_;
  milliseconds frozen_until_{};
  milliseconds next_sweep_{};
  bool has_just_thawed_ = false;
  std::size_t arrivals_ = 0;
  std::size_t withheld_ = 0;
};

const test_table kSchedulesKept("statement schedule", "2000 schedules keep both rules", [] {
  std::string failed;
  std::size_t arrivals = 0;
  std::size_t withheld = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    statement_schedule schedule(seed, fault::kNone);
    const std::string broken = schedule.Run();
    if (!broken.empty()) {
      failed += "seed " + std::to_string(seed) + ": " + broken + "\n";
    }
    arrivals += schedule.Arrivals();
    withheld += schedule.Withheld();
  }
  CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  CPPUNIT_ASSERT_MESSAGE(std::to_string(arrivals), arrivals > 100 * kSchedules);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(withheld), withheld > kSchedules);
});

struct variant_case {
  std::string name;
  fault kind;
};

const test_table kVariants(
    "statement schedule",
    std::vector<variant_case>{
        {"finds statements that are kept by roster handle", fault::kKeyedByHandle},
        {"finds statements that are kept by id alone", fault::kKeyedById},
        {"finds statements that are forgotten when the roster drops the upstream",
         fault::kForgottenWhenDropped},
        {"finds that a later shorter time replaces a longer one", fault::kLastTimeWins},
        {"finds that an upstream is used too early", fault::kOpensEarly},
        {"finds that nothing is asked before sending", fault::kNotAskedBeforeSending},
    },
    std::function([](const variant_case& row) {
      constexpr std::uint64_t kMaxSeeds = 50;
      for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
        if (!statement_schedule(seed, row.kind).Run().empty()) {
          return;
        }
      }
      CPPUNIT_FAIL("no schedule has found the fault");
    }));

}  // namespace
}  // namespace corianderhoist
