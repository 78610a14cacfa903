// Replicated state of control: one winner per race, one effect per change id, and the same state
// after a snapshot.
#include "control/control_state.h"
#include "support/test_table.h"

#include <rapidcheck.h>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

const std::string kService = "service orders floor=50 # Nino";
const std::string kWorkspace = "workspace shop places=tbilisi rate=5/s burst=9 # Nino";
const std::string kMoved = "workspace shop places=kutaisi rate=5/s burst=9 # Nino";

control_command Command(const std::string& id, change_kind kind) {
  control_command command;
  command.change.change_id = id;
  command.change.kind = kind;
  command.changed_by = "nino";
  command.changed_at = milliseconds(1'000);
  command.regions = {"tbilisi", "kutaisi"};
  return command;
}

control_command Rules(const std::string& id,
                      std::uint64_t base,
                      std::vector<std::string> removed,
                      std::vector<std::string> added) {
  control_command command = Command(id, change_kind::kApplyRules);
  command.change.base_version = base;
  command.change.removed_rules = std::move(removed);
  command.change.added_rules = std::move(added);
  return command;
}

control_command Give(const std::string& id, const std::string& key) {
  control_command command = Command(id, change_kind::kGiveKey);
  command.change.workspace = "shop";
  command.change.key_hash = Sha256(key);
  return command;
}

control_command Withdraw(const std::string& id, const std::string& key) {
  control_command command = Command(id, change_kind::kWithdrawKey);
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

control_state Filled() {
  control_state state;
  CPPUNIT_ASSERT(Apply(state, Rules("first-rules", 0, {}, {kService, kWorkspace})).status ==
                 change_status::kCommitted);
  return state;
}

// Guards against two operators who both read version 1 and silently overwrite each other.
const test_table kRace("control state", "of two rules changes on one version one wins", [] {
  control_state state = Filled();
  control_command winner = Rules("change-of-dato", 1, {}, {"service a floor=1 # a"});
  winner.changed_by = "dato";
  winner.changed_at = milliseconds(2'000);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Apply(state, winner).version);
  const change_result lost =
      Apply(state, Rules("change-of-nino", 1, {}, {"service b floor=1 # b"}));
  CPPUNIT_ASSERT(lost.status == change_status::kVersionConflict);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), lost.version);
  CPPUNIT_ASSERT_EQUAL(std::string("dato"), lost.changed_by);
  CPPUNIT_ASSERT(lost.changed_at == milliseconds(2'000));
  CPPUNIT_ASSERT(!state.Config().Rules().services.contains("b"));
});

// With 32,000 key changes a day a rules change that conflicted with them would hardly ever succeed.
const test_table
    kKeysDoNotConflict("control state", "a key change does not stop a rules change", [] {
      control_state state = Filled();
      CPPUNIT_ASSERT(Apply(state, Give("key-change", "k1")).status == change_status::kCommitted);
      const change_result result =
          Apply(state, Rules("rules-change", 1, {}, {"service a floor=1 # a"}));
      CPPUNIT_ASSERT(result.status == change_status::kCommitted);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), result.version);
    });

struct resend_row {
  std::string name;
  control_command command;
};

// Guards against a second effect, and against a first result that is lost with a snapshot.
const test_table kResend(
    "control state resend",
    std::vector<resend_row>{
        {"accepted rules", Rules("change-1", 1, {}, {"service a floor=1 # a"})},
        {"lost race", Rules("change-1", 0, {}, {"service a floor=1 # a"})},
        {"invalid rules", Rules("change-1", 1, {}, {"service a floor=101 # a"})},
        {"given key", Give("change-1", "k1")},
        {"withdrawn key", Withdraw("change-1", "k0")},
        {"refused withdrawal", Withdraw("change-1", "unknown")},
        {"release", Command("change-1", change_kind::kReleaseRequest)},
    },
    std::function([](const resend_row& row) {
      control_state state = Filled();
      Apply(state, Give("change-0", "k0"));
      const std::string first = state.Apply(3, Encode(row.command));
      const std::uint64_t version = state.Config().Version();
      CPPUNIT_ASSERT_EQUAL(first, state.Apply(4, Encode(row.command)));
      CPPUNIT_ASSERT_EQUAL(version, state.Config().Version());
      control_state restored;
      restored.Restore(state.Snapshot());
      CPPUNIT_ASSERT_EQUAL(first, restored.Apply(4, Encode(row.command)));
      CPPUNIT_ASSERT_EQUAL(version, restored.Config().Version());
      // The id decides, also when the content differs.
      CPPUNIT_ASSERT_EQUAL(first, state.Apply(5, Encode(Give("change-1", "k2"))));
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
           control_command command = Give("change-1", "k1");
           command.change.workspace = "nobody";
           return command;
         }(),
         error_kind::kNotFound},
        {"key that exists", Give("change-1", "k0"), error_kind::kBadRequest},
        {"withdrawal of unknown key", Withdraw("change-1", "k1"), error_kind::kNotFound},
        {"base that does not exist", Rules("change-1", 9, {}, {"service a floor=1 # a"}),
         error_kind::kBadRequest},
        {"unknown region",
         Rules("change-1", 1, {}, {"workspace a places=paris rate=1/s burst=1 # a"}),
         error_kind::kInvalidRules},
        {"unknown kind", Command("change-1", static_cast<change_kind>(17)),
         error_kind::kBadRequest},
    },
    std::function([](const refusal_row& row) {
      control_state state = Filled();
      Apply(state, Give("change-0", "k0"));
      const change_result result = Apply(state, row.command);
      CPPUNIT_ASSERT(result.status == change_status::kRefused);
      CPPUNIT_ASSERT_EQUAL(AnswerFor(row.cause).name, AnswerFor(result.cause).name);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.Config().Version());
    }));

// Guards against a key that works again when its workspace is declared again.
const test_table kRemovedWorkspace("control state", "a removed workspace loses its keys", [] {
  control_state state = Filled();
  Apply(state, Give("change-1", "k1"));
  Apply(state, Rules("change-2", 2, {kWorkspace}, {}));
  CPPUNIT_ASSERT(state.Config().FindKey(Sha256("k1")) == nullptr);
  CPPUNIT_ASSERT(state.Changes().back().keys.front().is_withdrawn);
  Apply(state, Rules("change-3", 3, {}, {kWorkspace}));
  CPPUNIT_ASSERT(state.Config().FindKey(Sha256("k1")) == nullptr);
});

// A former home that has not heard of the move still admits the key, so control must know it.
const test_table kMoves("control state", "a move of the home region is kept", [] {
  control_state state = Filled();
  Apply(state, Give("change-1", "k1"));
  Apply(state, Rules("change-2", 1, {kWorkspace}, {kMoved}));
  const change_result withdrawn = Apply(state, Withdraw("change-3", "k1"));
  CPPUNIT_ASSERT(withdrawn.regions == std::vector<std::string>{"kutaisi"});
  control_state restored;
  restored.Restore(state.Snapshot());
  const auto moves = restored.MovesOf("shop");
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), moves.size());
  CPPUNIT_ASSERT_EQUAL(std::string("tbilisi"), moves.front().region);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), moves.front().version);
});

const test_table kWindow("control state", "changes beyond the kept ones come as a snapshot", [] {
  control_state state = Filled();
  // A change of 9 MB pushes all before it, and itself, out of the kept changes.
  std::vector<std::string> lines;
  lines.reserve(90'000);
  for (int i = 0; i < 90'000; ++i) {
    lines.push_back("workspace w" + std::to_string(i) + " places=tbilisi rate=5/s burst=9 # " +
                    std::string(60, 'n'));
  }
  Apply(state, Rules("change-1", 1, {}, lines));
  Apply(state, Give("change-2", "k1"));
  CPPUNIT_ASSERT(state.ChangesAfter(0).snapshot.has_value());
  CPPUNIT_ASSERT(state.ChangesAfter(1).snapshot.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.ChangesAfter(2).changes.size());
  CPPUNIT_ASSERT(!state.ChangesAfter(3).snapshot && state.ChangesAfter(3).changes.empty());
});

const test_table kKept("control state", "10,000 results are kept, older ones go", [] {
  control_state state = Filled();
  const auto id = [](std::size_t i) { return "change-" + std::to_string(i); };
  for (std::size_t i = 0; i < control_state::kKeptResults; ++i) {
    Apply(state, Command(id(i), change_kind::kReleaseRequest));
  }
  CPPUNIT_ASSERT_EQUAL(control_state::kKeptResults, state.ResultCount());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                       Apply(state, Command(id(0), change_kind::kReleaseRequest)).version);
  control_state restored;
  restored.Restore(state.Snapshot());
  CPPUNIT_ASSERT_EQUAL(state.Snapshot(), restored.Snapshot());
});

// Random commands, some sent twice, against a replica that restarts from a snapshot at a random
// point: both must give the same results and end in the same state.
const test_table kReplay("control state", "a replica restored at any point agrees", [] {
  CPPUNIT_ASSERT(rc::check([] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        40, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 8)));
    const auto restart = *rc::gen::inRange<std::size_t>(0, 40);
    control_state state;
    control_state other;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto& [kind, number] = steps[i];
      const std::string id = "change-" + std::to_string(kind) + "-" + std::to_string(number);
      const std::string key = "k" + std::to_string(number);
      const std::uint64_t base = state.Config().Version() - (number % 2);
      const control_command command = kind == 0   ? Rules(id, base, {}, {kService, kWorkspace})
                                      : kind == 1 ? Rules(id, base, {kWorkspace}, {kMoved})
                                      : kind == 2 ? Rules(id, base, {kMoved}, {kWorkspace})
                                      : kind == 3 ? Give(id, key)
                                                  : Withdraw(id, key);
      if (i == restart) {
        const std::string bytes = other.Snapshot();
        other = control_state();
        other.Restore(bytes);
      }
      RC_ASSERT(state.Apply(i, Encode(command)) == other.Apply(i, Encode(command)));
    }
    RC_ASSERT(state.Snapshot() == other.Snapshot());
  }));
});

}  // namespace
}  // namespace corianderhoist
