// Replicated state of a region: idempotency records under duplicate, late and lost messages,
// monotonic configuration versions, and snapshots.
#include "coordinator/region_state.h"
#include "coordinator/token_bucket_table.h"
#include "support/test_table.h"

#include <map>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

const digest kBody = Sha256("body");

region_result ApplyTo(region_state& state, const region_command& command) {
  static std::uint64_t index = 0;
  return Decode<region_result>(state.Apply(++index, Encode(command))).value();
}

begin_result Begin(region_state& state,
                   const std::string& key,
                   const std::string& request,
                   const std::string& attempt,
                   const std::string& workspace = "w",
                   const digest& body = kBody) {
  region_command command;
  command.begins.push_back({workspace, key, body, request, attempt});
  return ApplyTo(state, command).begins.at(0);
}

void End(region_state& state,
         const std::string& key,
         const std::string& request,
         const std::string& attempt,
         record_ending ending) {
  region_command command;
  command.ends.push_back({"w", key, request, attempt, ending, std::nullopt});
  if (ending == record_ending::kFinished) {
    command.ends.back().answer = stored_answer{200, {}, request, true};
  }
  ApplyTo(state, command);
}

void AdvanceTime(region_state& state, milliseconds span) {
  region_command command;
  command.elapsed = span;
  ApplyTo(state, command);
}

const test_table kScope("records", "keys are scoped by workspace and bound to their content", [] {
  region_state state("north");
  CPPUNIT_ASSERT(Begin(state, "k", "r1", "a1").verdict == record_verdict::kBegin);
  CPPUNIT_ASSERT(Begin(state, "k", "r2", "a2", "other").verdict == record_verdict::kBegin);
  CPPUNIT_ASSERT(Begin(state, "k", "r3", "a3", "w", Sha256("x")).verdict ==
                 record_verdict::kMismatch);
});

const test_table kDuplicate("records", "returning one of two attempts keeps the record", [] {
  region_state state("north");
  Begin(state, "k", "r1", "a1");
  CPPUNIT_ASSERT(Begin(state, "k", "r1", "a2").verdict == record_verdict::kBegin);
  End(state, "k", "r1", "a2", record_ending::kAbandoned);
  End(state, "k", "r1", "a2", record_ending::kAbandoned);
  CPPUNIT_ASSERT(Begin(state, "k", "r2", "a3").verdict == record_verdict::kStillRunning);
  End(state, "k", "r1", "a1", record_ending::kAbandoned);
  CPPUNIT_ASSERT(Begin(state, "k", "r2", "a3").verdict == record_verdict::kBegin);
});

const test_table kForeign("records", "only the request that began a record can end it", [] {
  region_state state("north");
  Begin(state, "k", "r1", "a1");
  End(state, "k", "r2", "a1", record_ending::kAbandoned);
  End(state, "k", "r2", "a1", record_ending::kFinished);
  CPPUNIT_ASSERT(Begin(state, "k", "r3", "a3").verdict == record_verdict::kStillRunning);
});

const test_table kTime("records", "a record is unknown after 60 s and gone after 24 h", [] {
  region_state state("north");
  Begin(state, "k", "r1", "a1");
  AdvanceTime(state, kRecordOutcomeTimeout);
  CPPUNIT_ASSERT(Begin(state, "k", "r2", "a2").verdict == record_verdict::kUnknown);
  End(state, "k", "r1", "a1", record_ending::kFinished);
  CPPUNIT_ASSERT_EQUAL(std::string("r1"), Begin(state, "k", "r2", "a2").answer->body);
  AdvanceTime(state, kRecordRetention);
  CPPUNIT_ASSERT(Begin(state, "k", "r3", "a3").verdict == record_verdict::kBegin);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.Summary().records);
});

const test_table kLate("records", "a late return does not undo an unknown or finished order", [] {
  region_state state("north");
  Begin(state, "k", "r1", "a1");
  End(state, "k", "r1", "a1", record_ending::kUnknown);
  End(state, "k", "r1", "a1", record_ending::kAbandoned);
  CPPUNIT_ASSERT(Begin(state, "k", "r2", "a2").verdict == record_verdict::kUnknown);
});

// Guards against duplicate execution of an order. Entry VMs send orders, repeat calls, lose replies
// and fail; messages arrive late and twice. An order may run only under one attempt that was
// granted and not returned.
const test_table kOnce("records", "no order runs twice in 2000 random schedules", [] {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    auto state = std::make_unique<region_state>("north");
    std::map<std::string, int> runs;
    struct attempt {
      std::string key, request, id;
    };
    std::vector<attempt> granted;
    std::vector<std::pair<attempt, record_ending>> delayed;
    std::set<std::string> started;  // Requests that were sent to an upstream.
    for (int step = 0; step < 80; ++step) {
      const std::string key = "k" + std::to_string(random() % 3);
      switch (random() % 6) {
        case 0: {  // A new request or a repeated call.
          const std::string request = key + "-r" + std::to_string(random() % 6);
          // An entry VM repeats a call only while it has not started the request.
          if (started.contains(request)) {
            break;
          }
          const attempt asked{key, request, "a" + std::to_string(step)};
          if (Begin(*state, key, request, asked.id).verdict == record_verdict::kBegin) {
            granted.push_back(asked);
          }
          break;
        }
        case 1:
        case 2:
          if (!granted.empty()) {  // A granted attempt is run, returned or lost.
            const std::size_t chosen = random() % granted.size();
            const attempt used = granted[chosen];
            granted.erase(granted.begin() + static_cast<std::ptrdiff_t>(chosen));
            if (started.contains(used.request) || random() % 3 == 0) {
              delayed.emplace_back(used, record_ending::kAbandoned);
            } else if (random() % 4 != 0) {
              started.insert(used.request);
              ++runs[used.key];
              delayed.emplace_back(
                  used, random() % 2 == 0 ? record_ending::kFinished : record_ending::kUnknown);
            }
          }
          break;
        case 3:
          if (!delayed.empty()) {  // A message arrives and may be delivered again later.
            const std::size_t chosen = random() % delayed.size();
            const auto [used, ending] = delayed[chosen];
            if (random() % 3 != 0) {
              delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
            End(*state, used.key, used.request, used.id, ending);
          }
          break;
        case 4:
          AdvanceTime(*state, milliseconds(random() % 30'000));
          break;
        default: {  // A member restarts from a snapshot.
          const std::string snapshot = state->Snapshot();
          state = std::make_unique<region_state>("north");
          state->Restore(snapshot);
        }
      }
    }
    for (const auto& [key, count] : runs) {
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + " ran " + key + " " + std::to_string(count) + " times",
          count <= 1);
    }
  }
});

config_fetch_reply Change(std::uint64_t version,
                          std::vector<std::string> added,
                          std::vector<std::string> removed = {}) {
  config_change change;
  change.version = version;
  change.added_rules = std::move(added);
  change.removed_rules = std::move(removed);
  return {std::nullopt, {change}};
}

const test_table kVersions("region configuration", "an outdated change or snapshot is ignored", [] {
  region_state state("north");
  region_command command;
  command.config = Change(1, {"service a floor=50 # t"});
  ApplyTo(state, command);
  command.config = Change(2, {"service b floor=50 # t"});
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ApplyTo(state, command).config_version);
  command.config = Change(1, {"service a floor=50 # t"});
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ApplyTo(state, command).config_version);
  command.config = config_fetch_reply{config_snapshot{1, 1, {}, {}}, {}};
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ApplyTo(state, command).config_version);
  command.config = Change(4, {"service d floor=50 # t"});
  CPPUNIT_ASSERT(!ApplyTo(state, command).config_fault.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.ConfigVersion());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.ConfigAfter(1).changes.size());
  CPPUNIT_ASSERT(state.ConfigAfter(2).changes.empty() && !state.ConfigAfter(2).snapshot);
});

const test_table kLimits("region configuration",
                         "a new limit does not raise guaranteed tokens",
                         [] {
                           region_state state("north");
                           const std::string small =
                               "workspace w places=north rate=10/s burst=8 # t";
                           const std::string large =
                               "workspace w places=north rate=10/s burst=800 # t";
                           const std::string moved =
                               "workspace w places=south rate=10/s burst=800 # t";
                           region_command command;
                           command.config = Change(1, {small});
                           ApplyTo(state, command);
                           command.config = Change(2, {large}, {small});
                           ApplyTo(state, command);
                           CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), state.Guarantee("w").value());
                           command.config = Change(3, {moved}, {large});
                           ApplyTo(state, command);
                           CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), state.Guarantee("w").value());
                         });

const test_table kSnapshot("region state", "a snapshot restores everything", [] {
  region_state state("north");
  Begin(state, "k", "r1", "a1");
  End(state, "k", "r1", "a1", record_ending::kFinished);
  region_command command;
  command.config = Change(1, {"service a floor=50 # t"});
  command.blocks = {kBody};
  command.guarantees = {{"w", 3}};
  command.ejections = {{{"a", "u1", "i1", 2, "bad"}, true}};
  ApplyTo(state, command);
  region_state restored("north");
  restored.Restore(state.Snapshot());
  CPPUNIT_ASSERT(Begin(restored, "k", "r2", "a2").verdict == record_verdict::kReplay);
  CPPUNIT_ASSERT(restored.IsBlocked(kBody));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), restored.Guarantee("w").value());
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), restored.Ejections().at(0).repetition);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), restored.ConfigVersion());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), restored.ConfigAfter(0).changes.size());
});

}  // namespace
}  // namespace corianderhoist
