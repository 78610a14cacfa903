// Tests that versions only increase and that a refused change has no partial effect.
#include "control/configuration.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

config_change RulesChange(std::uint64_t version, std::vector<std::string> added) {
  config_change change;
  change.version = version;
  change.added_rules = std::move(added);
  return change;
}

config_change KeyChange(std::uint64_t version, const std::string& text, bool is_withdrawn) {
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

configuration InitialConfiguration() {
  configuration config;
  CPPUNIT_ASSERT_EQUAL(std::string("done"), Outcome([&] {
                         return config.Apply(RulesChange(1, {kService, kWorkspace}));
                       }));
  CPPUNIT_ASSERT_EQUAL(std::string("done"),
                       Outcome([&] { return config.Apply(KeyChange(2, "k1", false)); }));
  return config;
}

const test_table kVersionOrder("configuration", "a change applies only to the next version", [] {
  configuration config = InitialConfiguration();
  for (const std::uint64_t version : {0, 1, 2, 4}) {
    CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"),
                         Outcome([&] { return config.Apply(KeyChange(version, "k2", false)); }));
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), config.Version());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), config.Keys().size());
});

const test_table kAtomicity("configuration", "a refused change has no partial effect", [] {
  configuration config = InitialConfiguration();
  config_change change =
      RulesChange(3, {"service stock floor=1 # a", "service stock floor=101 # a"});
  change.keys = KeyChange(3, "k2", false).keys;
  CPPUNIT_ASSERT_EQUAL(std::string("invalid_rules"), Outcome([&] { return config.Apply(change); }));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), config.Version());
  CPPUNIT_ASSERT(config.FindKey(Sha256("k2")) == nullptr);
  CPPUNIT_ASSERT(!config.Rules().services.contains("stock"));
});

const test_table kKeys("configuration", "a withdrawn key is not found, even after a restore", [] {
  configuration config = InitialConfiguration();
  CPPUNIT_ASSERT(config.FindKey(Sha256("k1")) != nullptr);
  CPPUNIT_ASSERT(config.FindKeyById(KeyIdOf(Sha256("k1"))) == config.FindKey(Sha256("k1")));
  CPPUNIT_ASSERT(config.FindKeyById("00000000000000") == nullptr);
  CPPUNIT_ASSERT(config.FindKeyById("x") == nullptr);
  Outcome([&] { return config.Apply(KeyChange(3, "k1", true)); });
  CPPUNIT_ASSERT(config.FindKey(Sha256("k1")) == nullptr);
  configuration restored;
  CPPUNIT_ASSERT_EQUAL(std::string("done"),
                       Outcome([&] { return restored.Restore(config.Snapshot()); }));
  CPPUNIT_ASSERT(restored.FindKey(Sha256("k1")) == nullptr);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), restored.Version());
});

// Entry VMs must wait only for routing changes. If key changes raised the routing version, they
// would wait 32,000 times a day.
const test_table kRouting("configuration", "routing version follows routes and services only", [] {
  configuration config = InitialConfiguration();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), config.RoutingVersion());
  Outcome([&] {
    return config.Apply(RulesChange(3, {"workspace b places=tbilisi rate=1/s burst=1 # a"}));
  });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), config.RoutingVersion());
  Outcome([&] { return config.Apply(RulesChange(4, {"route GET /a service=orders # a"})); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), config.RoutingVersion());
  configuration restored;
  Outcome([&] { return restored.Restore(config.Snapshot()); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), restored.RoutingVersion());
});

const test_table kInvalidSnapshot("configuration", "an older or invalid snapshot is refused", [] {
  configuration config = InitialConfiguration();
  const config_snapshot old = config.Snapshot();
  Outcome([&] { return config.Apply(KeyChange(3, "k2", false)); });
  CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"),
                       Outcome([&] { return config.Restore(old); }));
  config_snapshot invalid = config.Snapshot();
  invalid.version = 9;
  invalid.rules.emplace_back("service orders floor=1 # again");
  CPPUNIT_ASSERT_EQUAL(std::string("invalid_rules"),
                       Outcome([&] { return config.Restore(invalid); }));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), config.Version());
  CPPUNIT_ASSERT_EQUAL(std::size_t(2), config.Keys().size());
});

}  // namespace
}  // namespace corianderhoist
