// Tests of control's replicated state: conflict detection, idempotent change ids, and an identical
// state after a restore.
#include "control/control_state.h"
#include "support/test_table.h"

#include <rapidcheck.h>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

const std::string kService = "service orders floor=50 # Nino";
const std::string kWorkspace = "workspace shop places=tbilisi rate=5/s burst=9 # Nino";
const std::string kMoved = "workspace shop places=kutaisi rate=5/s burst=9 # Nino";

control_command MakeCommand(const std::string& id, change_kind kind) {
  control_command command;
  command.change.change_id = id;
  command.change.kind = kind;
  command.changed_by = "nino";
  command.changed_at = milliseconds(1'000);
  command.regions = {"tbilisi", "kutaisi"};
  return command;
}

control_command RulesCommand(const std::string& id,
                             std::uint64_t base,
                             std::vector<std::string> removed,
                             std::vector<std::string> added) {
  control_command command = MakeCommand(id, change_kind::kApplyRules);
  command.change.base_version = base;
  command.change.removed_rules = std::move(removed);
  command.change.added_rules = std::move(added);
  return command;
}

control_command GiveKeyCommand(const std::string& id, const std::string& key) {
  control_command command = MakeCommand(id, change_kind::kGiveKey);
  command.change.workspace = "shop";
  command.change.key_hash = Sha256(key);
  return command;
}

control_command WithdrawKeyCommand(const std::string& id, const std::string& key) {
  control_command command = MakeCommand(id, change_kind::kWithdrawKey);
  command.change.key_id = KeyIdOf(Sha256(key));
  return command;
}

change_result Apply(control_state& state, const control_command& command) {
  const std::string encoded = state.Apply(1, Encode(command));
  return Recover([&] { return Decode<change_result>(encoded); },
                 [](const error& failure) -> change_result {
                   CPPUNIT_FAIL(failure.detail);
                   return {};
                 });
}

control_state InitialState() {
  control_state state;
  CPPUNIT_ASSERT(Apply(state, RulesCommand("first-rules", 0, {}, {kService, kWorkspace})).status ==
                 change_status::kCommitted);
  return state;
}

// Guards against lost updates: two operators read version 1, and the second change overwrites the
// first one without notice.
const test_table kConflict("control state", "one of two concurrent rules changes is refused", [] {
  control_state state = InitialState();
  control_command winner = RulesCommand("change-of-dato", 1, {}, {"service a floor=1 # a"});
  winner.changed_by = "dato";
  winner.changed_at = milliseconds(2'000);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Apply(state, winner).version);
  const change_result lost =
      Apply(state, RulesCommand("change-of-nino", 1, {}, {"service b floor=1 # b"}));
  CPPUNIT_ASSERT(lost.status == change_status::kVersionConflict);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), lost.version);
  CPPUNIT_ASSERT_EQUAL(std::string("dato"), lost.changed_by);
  CPPUNIT_ASSERT(lost.changed_at == milliseconds(2'000));
  CPPUNIT_ASSERT(!state.Config().Rules().services.contains("b"));
});

// There are 32,000 key changes a day. If they conflicted with rules changes, a rules change would
// hardly ever succeed.
const test_table
    kKeysDoNotConflict("control state", "a key change does not conflict with a rules change", [] {
      control_state state = InitialState();
      CPPUNIT_ASSERT(Apply(state, GiveKeyCommand("key-change", "k1")).status ==
                     change_status::kCommitted);
      const change_result result =
          Apply(state, RulesCommand("rules-change", 1, {}, {"service a floor=1 # a"}));
      CPPUNIT_ASSERT(result.status == change_status::kCommitted);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), result.version);
    });

struct repeated_change_row {
  std::string name;
  control_command command;
};

// Guards against a repeated change that is applied twice, and against results that are lost when a
// replica is restored from a snapshot.
const test_table kRepeatedChange(
    "control state resend",
    std::vector<repeated_change_row>{
        {"accepted rules", RulesCommand("change-1", 1, {}, {"service a floor=1 # a"})},
        {"version conflict", RulesCommand("change-1", 0, {}, {"service a floor=1 # a"})},
        {"invalid rules", RulesCommand("change-1", 1, {}, {"service a floor=101 # a"})},
        {"given key", GiveKeyCommand("change-1", "k1")},
        {"withdrawn key", WithdrawKeyCommand("change-1", "k0")},
        {"refused withdrawal", WithdrawKeyCommand("change-1", "unknown")},
        {"release", MakeCommand("change-1", change_kind::kReleaseRequest)},
    },
    std::function([](const repeated_change_row& row) {
      control_state state = InitialState();
      Apply(state, GiveKeyCommand("change-0", "k0"));
      const std::string first = state.Apply(3, Encode(row.command));
      const std::uint64_t version = state.Config().Version();
      CPPUNIT_ASSERT_EQUAL(first, state.Apply(4, Encode(row.command)));
      CPPUNIT_ASSERT_EQUAL(version, state.Config().Version());
      control_state restored;
      restored.Restore(state.Snapshot());
      CPPUNIT_ASSERT_EQUAL(first, restored.Apply(4, Encode(row.command)));
      CPPUNIT_ASSERT_EQUAL(version, restored.Config().Version());
      // A change with a known id but other content also returns the first result.
      CPPUNIT_ASSERT_EQUAL(first, state.Apply(5, Encode(GiveKeyCommand("change-1", "k2"))));
    }));

struct refusal_row {
  std::string name;
  control_command command;
  error_kind cause;
};

const test_table kRefusals(
    "control state refusal",
    std::vector<refusal_row>{
        {"key for unknown workspace",
         [] {
           control_command command = GiveKeyCommand("change-1", "k1");
           command.change.workspace = "nobody";
           return command;
         }(),
         error_kind::kNotFound},
        {"key that exists", GiveKeyCommand("change-1", "k0"), error_kind::kBadRequest},
        {"withdrawal of unknown key", WithdrawKeyCommand("change-1", "k1"), error_kind::kNotFound},
        {"base that does not exist", RulesCommand("change-1", 9, {}, {"service a floor=1 # a"}),
         error_kind::kBadRequest},
        {"unknown region",
         RulesCommand("change-1", 1, {}, {"workspace a places=paris rate=1/s burst=1 # a"}),
         error_kind::kInvalidRules},
        {"unknown kind", MakeCommand("change-1", static_cast<change_kind>(17)),
         error_kind::kBadRequest},
    },
    std::function([](const refusal_row& row) {
      control_state state = InitialState();
      Apply(state, GiveKeyCommand("change-0", "k0"));
      const change_result result = Apply(state, row.command);
      CPPUNIT_ASSERT(result.status == change_status::kRefused);
      CPPUNIT_ASSERT_EQUAL(AnswerFor(row.cause).name, AnswerFor(result.cause).name);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.Config().Version());
    }));

// Guards against keys that become valid again when their workspace is removed and declared again.
const test_table kRemovedWorkspace("control state", "a removed workspace loses its keys", [] {
  control_state state = InitialState();
  Apply(state, GiveKeyCommand("change-1", "k1"));
  Apply(state, RulesCommand("change-2", 2, {kWorkspace}, {}));
  CPPUNIT_ASSERT(state.Config().FindKey(Sha256("k1")) == nullptr);
  CPPUNIT_ASSERT(state.Changes().back().keys.front().is_withdrawn);
  Apply(state, RulesCommand("change-3", 3, {}, {kWorkspace}));
  CPPUNIT_ASSERT(state.Config().FindKey(Sha256("k1")) == nullptr);
});

// A former home region that has not committed the move still admits the key, so control must record
// the move, also in its snapshots.
const test_table kHomeMoves("control state", "a change of the home region is retained", [] {
  control_state state = InitialState();
  Apply(state, GiveKeyCommand("change-1", "k1"));
  Apply(state, RulesCommand("change-2", 1, {kWorkspace}, {kMoved}));
  const change_result withdrawn = Apply(state, WithdrawKeyCommand("change-3", "k1"));
  CPPUNIT_ASSERT(withdrawn.regions == std::vector<std::string>{"kutaisi"});
  control_state restored;
  restored.Restore(state.Snapshot());
  const auto moves = restored.HomeMovesOf("shop");
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), moves.size());
  CPPUNIT_ASSERT_EQUAL(std::string("tbilisi"), moves.front().region);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), moves.front().version);
});

const test_table kRetention("control state", "a snapshot replaces dropped changes", [] {
  control_state state = InitialState();
  // A change of 9 MB exceeds the 8 MiB limit of retained changes, so that it and all earlier
  // changes are dropped.
  std::vector<std::string> lines;
  lines.reserve(90'000);
  for (int i = 0; i < 90'000; ++i) {
    lines.push_back("workspace w" + std::to_string(i) + " places=tbilisi rate=5/s burst=9 # " +
                    std::string(60, 'n'));
  }
  Apply(state, RulesCommand("change-1", 1, {}, lines));
  Apply(state, GiveKeyCommand("change-2", "k1"));
  CPPUNIT_ASSERT(state.ChangesAfter(0).snapshot.has_value());
  CPPUNIT_ASSERT(state.ChangesAfter(1).snapshot.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.ChangesAfter(2).changes.size());
  CPPUNIT_ASSERT(!state.ChangesAfter(3).snapshot && state.ChangesAfter(3).changes.empty());
});

const test_table kResultRetention("control state", "the newest 10,000 results are retained", [] {
  control_state state = InitialState();
  const auto id = [](std::size_t i) { return "change-" + std::to_string(i); };
  for (std::size_t i = 0; i < control_state::kMaxRetainedResults; ++i) {
    Apply(state, MakeCommand(id(i), change_kind::kReleaseRequest));
  }
  CPPUNIT_ASSERT_EQUAL(control_state::kMaxRetainedResults, state.ResultCount());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                       Apply(state, MakeCommand(id(0), change_kind::kReleaseRequest)).version);
  control_state restored;
  restored.Restore(state.Snapshot());
  CPPUNIT_ASSERT_EQUAL(state.Snapshot(), restored.Snapshot());
});

// Guards against state that a snapshot omits. Applies random commands, some with a repeated change
// id, to two states, one of which is restored from its snapshot at a random step. Both must return
// the same results and end in the same state.
const test_table kRestore("control state", "a restored replica stays consistent", [] {
  CPPUNIT_ASSERT(rc::check([] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        40, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 8)));
    const auto restart = *rc::gen::inRange<std::size_t>(0, 40);
    control_state state;
    control_state restored;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto& [kind, number] = steps[i];
      const std::string id = "change-" + std::to_string(kind) + "-" + std::to_string(number);
      const std::string key = "k" + std::to_string(number);
      const std::uint64_t base = state.Config().Version() - (number % 2);
      const control_command command = kind == 0 ? RulesCommand(id, base, {}, {kService, kWorkspace})
                                      : kind == 1 ? RulesCommand(id, base, {kWorkspace}, {kMoved})
                                      : kind == 2 ? RulesCommand(id, base, {kMoved}, {kWorkspace})
                                      : kind == 3 ? GiveKeyCommand(id, key)
                                                  : WithdrawKeyCommand(id, key);
      if (i == restart) {
        const std::string bytes = restored.Snapshot();
        restored = control_state();
        restored.Restore(bytes);
      }
      RC_ASSERT(state.Apply(i, Encode(command)) == restored.Apply(i, Encode(command)));
    }
    RC_ASSERT(state.Snapshot() == restored.Snapshot());
  }));
});

}  // namespace
}  // namespace corianderhoist
