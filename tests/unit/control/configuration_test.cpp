// Configuration: versions never go back, and nothing of a refused change takes effect.
#include "control/configuration.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

config_change Rules(std::uint64_t version, std::vector<std::string> added) {
  config_change change;
  change.version = version;
  change.added_rules = std::move(added);
  return change;
}

config_change Key(std::uint64_t version, const std::string& text, bool is_withdrawn) {
  config_change change;
  change.version = version;
  const digest hash = Sha256(text);
  change.keys = {{KeyIdOf(hash), hash, "shop", is_withdrawn}};
  return change;
}

std::string Outcome(const std::function<result<void>()>& call) {
  return Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(call());
        return std::string("done");
      },
      [](const error& failure) { return std::string(AnswerFor(failure.kind).name); });
}

const std::string kService = "service orders floor=50 # Nino";
const std::string kWorkspace = "workspace shop places=tbilisi rate=5/s burst=9 # Nino";

configuration Filled() {
  configuration filled;
  CPPUNIT_ASSERT_EQUAL(std::string("done"), Outcome([&] {
                         return filled.Apply(Rules(1, {kService, kWorkspace}));
                       }));
  CPPUNIT_ASSERT_EQUAL(std::string("done"),
                       Outcome([&] { return filled.Apply(Key(2, "k1", false)); }));
  return filled;
}

const test_table kOrder("configuration", "a change applies to its version only", [] {
  configuration filled = Filled();
  for (const std::uint64_t version : {0, 1, 2, 4}) {
    CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"),
                         Outcome([&] { return filled.Apply(Key(version, "k2", false)); }));
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), filled.Version());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), filled.Keys().size());
});

const test_table kAtomic("configuration", "nothing of a refused change takes effect", [] {
  configuration filled = Filled();
  config_change change = Rules(3, {"service stock floor=1 # a", "service stock floor=101 # a"});
  change.keys = Key(3, "k2", false).keys;
  CPPUNIT_ASSERT_EQUAL(std::string("invalid_rules"), Outcome([&] { return filled.Apply(change); }));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), filled.Version());
  CPPUNIT_ASSERT(filled.FindKey(Sha256("k2")) == nullptr);
  CPPUNIT_ASSERT(!filled.Rules().services.contains("stock"));
});

const test_table kKeys("configuration", "a withdrawn key is not found, also after a snapshot", [] {
  configuration filled = Filled();
  CPPUNIT_ASSERT(filled.FindKey(Sha256("k1")) != nullptr);
  CPPUNIT_ASSERT(filled.FindKeyById(KeyIdOf(Sha256("k1"))) == filled.FindKey(Sha256("k1")));
  CPPUNIT_ASSERT(filled.FindKeyById("00000000000000") == nullptr);
  CPPUNIT_ASSERT(filled.FindKeyById("x") == nullptr);
  Outcome([&] { return filled.Apply(Key(3, "k1", true)); });
  CPPUNIT_ASSERT(filled.FindKey(Sha256("k1")) == nullptr);
  configuration copy;
  CPPUNIT_ASSERT_EQUAL(std::string("done"),
                       Outcome([&] { return copy.Restore(filled.Snapshot()); }));
  CPPUNIT_ASSERT(copy.FindKey(Sha256("k1")) == nullptr);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), copy.Version());
});

// Entry VMs must wait for a routing change only; a wait per key change would stop them 32,000
// times a day.
const test_table kRouting("configuration", "routing version follows routes and services only", [] {
  configuration filled = Filled();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), filled.RoutingVersion());
  Outcome(
      [&] { return filled.Apply(Rules(3, {"workspace b places=tbilisi rate=1/s burst=1 # a"})); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), filled.RoutingVersion());
  Outcome([&] { return filled.Apply(Rules(4, {"route GET /a service=orders # a"})); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), filled.RoutingVersion());
  configuration copy;
  Outcome([&] { return copy.Restore(filled.Snapshot()); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), copy.RoutingVersion());
});

const test_table kRestore("configuration", "an older or invalid snapshot is refused", [] {
  configuration filled = Filled();
  const config_snapshot old = filled.Snapshot();
  Outcome([&] { return filled.Apply(Key(3, "k2", false)); });
  CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"),
                       Outcome([&] { return filled.Restore(old); }));
  config_snapshot invalid = filled.Snapshot();
  invalid.version = 9;
  invalid.rules.emplace_back("service orders floor=1 # again");
  CPPUNIT_ASSERT_EQUAL(std::string("invalid_rules"),
                       Outcome([&] { return filled.Restore(invalid); }));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), filled.Version());
  CPPUNIT_ASSERT_EQUAL(std::size_t(2), filled.Keys().size());
});

}  // namespace
}  // namespace corianderhoist
