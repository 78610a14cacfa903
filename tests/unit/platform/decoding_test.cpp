// Decoding of the platform's JSON: valid messages keep the value of every field, malformed ones
// fail with the expected error kind and yield neither a policy nor an upstream notice.
#include "platform/platform_settings.h"
#include "platform/policy_json.h"
#include "platform/upstream_notice_json.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <random>

namespace corianderhoist::platform {
namespace {

using std::chrono::milliseconds;

const std::string kPolicy = R"({"version":"r7","routes":{
 "a":{"host":"a.example","path_prefix":"/x/","kind":"unsafe","timeout_ms":2000,"goal_ms":1000,
      "priority":1,"service":"s1","attempts":2,"public":false},
 "b":{"host":"a.example","path_prefix":"/y/","kind":"safe","timeout_ms":1500,"goal_ms":900,
      "priority":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
      "attempts":3,"public":true}},
 "services":{"s1":{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false},
             "s2":{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false}},
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
           "idle_timeout_ms":15000},
 "tenants":{"t1":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":37,"burst":40}}})";

const test_table kPolicyFields("policy text", "every field of a configuration is decoded", [] {
  const serving_policy policy = Expect([] { return DecodePolicy(kPolicy); });
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), policy.version);
  const policy_route& unsafe_route = policy.routes.at(0);
  CPPUNIT_ASSERT(unsafe_route.name == "a" && unsafe_route.host == "a.example" &&
                 unsafe_route.path_prefix == "/x/");
  CPPUNIT_ASSERT(!unsafe_route.is_idempotent && !unsafe_route.is_public &&
                 unsafe_route.attempts == 2);
  CPPUNIT_ASSERT(unsafe_route.timeout == milliseconds(2000) &&
                 unsafe_route.objective == milliseconds(1000));
  const policy_route& split_route = policy.routes.at(1);
  CPPUNIT_ASSERT(split_route.is_idempotent && split_route.is_public &&
                 split_route.parts.size() == 2);
  CPPUNIT_ASSERT(split_route.parts[0].service == "s1" && split_route.parts[0].weight == 90);
  CPPUNIT_ASSERT(policy.bounds.body_bytes == 67108864 &&
                 policy.bounds.idle_timeout == milliseconds(15'000));
  CPPUNIT_ASSERT(policy.has_workspaces && policy.workspaces.at(0).rate_per_second == 37 &&
                 policy.workspaces.at(0).burst == 40 && policy.workspaces.at(0).keys.size() == 2);
});

struct policy_edit_case {
  std::string name;
  std::string from;
  std::string to;
  bool is_valid = false;
};

const test_table kPolicyEdits(
    "policy text",
    std::vector<policy_edit_case>{
        {"an unknown service", R"("service":"s1")", R"("service":"s9")"},
        {"an unknown service in a split", R"("service":"s2")", R"("service":"s9")"},
        {"an unrecognized kind", R"("kind":"unsafe")", R"("kind":"perhaps")"},
        {"no kind", R"("kind":"unsafe",)", ""},
        {"a prefix without a slash", R"("path_prefix":"/x/")", R"("path_prefix":"x/")"},
        {"the same host and path prefix twice", R"("path_prefix":"/x/")", R"("path_prefix":"/y/")"},
        {"no timeout", R"("timeout_ms":2000,)", ""},
        {"a timeout of 0", R"("timeout_ms":2000)", R"("timeout_ms":0)"},
        {"a negative timeout", R"("timeout_ms":2000)", R"("timeout_ms":-1)"},
        {"a timeout that is a string", R"("timeout_ms":2000)", R"("timeout_ms":"2000")"},
        {"a part without a weight", R"(,"weight":10)", ""},
        {"a weight of 0", R"("weight":10)", R"("weight":0)"},
        {"a version without its letter", R"("r7")", R"("7")"},
        {"a version that is not a number", R"("r7")", R"("rx")"},
        {"an empty version", R"("r7")", R"("r")"},
        {"a version that is an integer", R"("r7")", R"(7)"},
        {"keys that are not a list", R"(["k1","k2"])", R"("k1")"},
        {"a key that is a number", R"(["k1","k2"])", R"([1])"},
        {"services that are not a table", R"("services":{)", R"("services":7,"x":{)"},
        {"text after the end", "40}}}", "40}}}}"},
        {"an unknown field", R"("priority":1,)", R"("priority":1,"new":[1],)", true},
        {"no limits", R"("limits":{)", R"("other":{)", true},
        {"no objective", R"("goal_ms":1000,)", "", true},
    },
    std::function([](const policy_edit_case& row) {
      std::string text = kPolicy;
      const std::size_t at = text.find(row.from);
      CPPUNIT_ASSERT(at != std::string::npos);
      text.replace(at, row.from.size(), row.to);
      const bool is_valid = Recover(
          [&]() -> result<bool> {
            BOOST_LEAF_CHECK(DecodePolicy(text));
            return true;
          },
          [](const error& failure) {
            CPPUNIT_ASSERT(failure.kind == error_kind::kInvalidRules);
            CPPUNIT_ASSERT(!failure.detail.empty());
            return false;
          });
      CPPUNIT_ASSERT_EQUAL(row.is_valid, is_valid);
    }));

// Guards against accepting a truncated configuration, at every length.
const test_table kTruncatedPolicies("policy text", "every truncated configuration is refused", [] {
  for (std::size_t size = 0; size + 1 < kPolicy.size(); ++size) {
    const bool is_valid = Recover(
        [&]() -> result<bool> {
          BOOST_LEAF_CHECK(DecodePolicy(std::string_view(kPolicy).substr(0, size)));
          return true;
        },
        [](const error&) { return false; });
    CPPUNIT_ASSERT_MESSAGE("size " + std::to_string(size), !is_valid);
  }
});

const std::string kAnnouncement =
    R"({"address":"10.128.0.9:8080","born":1700000000123,"info":{"service":"s","version":"v1",)"
    R"("zone":"z","max_concurrency":4},"status":{"state":"ready","seq":4,"warmup_left_ms":0}})";

// Tables in tables, which a recursive parser answers with the end of its stack.
std::string Nested(int depth) {
  std::string text;
  for (int i = 0; i < depth; ++i) {
    text += R"({"a":)";
  }
  return text + "0" + std::string(static_cast<std::size_t>(depth), '}');
}

struct notice_case {
  std::string name;
  std::string from;
  std::string to;
  bool is_valid = false;
};

const test_table kAnnouncements(
    "notice text",
    std::vector<notice_case>{
        {"unchanged", "", "", true},
        {"draining", R"("ready")", R"("draining")", true},
        {"no start time", R"("born":1700000000123,)", "", true},
        {"an unknown field", R"("seq":4)", R"("seq":4,"new":{})", true},
        {"a start time that is not an integer", "1700000000123", "1700000000123.5"},
        {"a start time that is a string", "1700000000123", R"("1700000000123")"},
        {"an unknown state", R"("ready")", R"("dancing")"},
        {"a state that is a number", R"("ready")", "1"},
        {"no sequence", R"("seq":4,)", ""},
        {"a negative sequence", R"("seq":4)", R"("seq":-4)"},
        {"no slots", R"(,"max_concurrency":4)", ""},
        {"0 slots", R"("max_concurrency":4)", R"("max_concurrency":0)"},
        {"no service", R"("service":"s",)", ""},
        {"an empty service", R"("service":"s")", R"("service":"")"},
        {"a service that is a list", R"("service":"s")", R"("service":["s"])"},
        {"no address", R"("address":"10.128.0.9:8080",)", ""},
        {"an invalid address", "10.128.0.9:8080", "somewhere"},
        {"a port out of range", "10.128.0.9:8080", "10.128.0.9:99999"},
        {"a port that does not fit a number", "10.128.0.9:8080",
         "10.128.0.9:" + std::string(400, '9')},
        {"a negative port", "10.128.0.9:8080", "10.128.0.9:-1"},
        {"a sequence too large for a number", R"("seq":4)", R"("seq":1e999)"},
        {"a sequence beyond exact integers", R"("seq":4)", R"("seq":99999999999999999999)"},
        {"slots beyond every machine", R"("max_concurrency":4)", R"("max_concurrency":4294967297)"},
        {"a start time beyond exact integers", "1700000000123", "1e300"},
        {"a state nested deeply", R"("ready")",
         std::string(100'000, '[') + std::string(100'000, ']')},
        {"an unclosed nesting", R"("seq":4)", R"("seq":)" + std::string(1'000'000, '[')},
        {"tables nested deeply", R"("seq":4)", R"("seq":)" + Nested(50'000)},
        {"info that is a string", R"("info":{)", R"("info":"x","other":{)"},
        {"bytes that are not JSON", "{", "\xff\xfe{"},
    },
    std::function([](const notice_case& row) {
      std::string text = kAnnouncement;
      text.replace(text.find(row.from), row.from.size(), row.to);
      const bool is_valid = Recover(
          [&]() -> result<bool> {
            BOOST_LEAF_AUTO(notice, DecodeAnnouncement("i-1", text));
            CPPUNIT_ASSERT(notice.id == "i-1" && notice.address == "10.128.0.9:8080");
            CPPUNIT_ASSERT(notice.service == "s" && notice.data_centre == "z");
            CPPUNIT_ASSERT(notice.slots == 4 && notice.sequence == 4);
            return true;
          },
          [](const error& failure) {
            CPPUNIT_ASSERT(failure.kind == error_kind::kBadRequest);
            return false;
          });
      CPPUNIT_ASSERT_EQUAL(row.is_valid, is_valid);
    }));

const test_table
    kDeregistration("notice text", "a deregistration needs no body and keeps its start time", [] {
      CPPUNIT_ASSERT(Expect([] { return DecodeDeregistration("i", ""); }).state ==
                     upstream_state::kGone);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(7), Expect([] {
                                              return DecodeDeregistration("i", R"({"born":7})");
                                            }).incarnation_start_ms);
    });

const test_table kCorruptedAnnouncements(
    "notice text",
    "5,000 corrupted messages do not crash the decoder (seed 3)",
    [] {
      std::mt19937 random(3);
      for (int i = 0; i < 5000; ++i) {
        std::string bad = kAnnouncement.substr(0, random() % kAnnouncement.size() + 1);
        bad[random() % bad.size()] = static_cast<char>(random());
        Recover(
            [&]() -> result<void> {
              BOOST_LEAF_CHECK(DecodeAnnouncement("i", bad));
              return {};
            },
            [](const error&) {});
      }
    });

const std::string kSettings = R"({"name":"core-1","ip":"10.1.0.33","data_centre":"tbi-a",
 "region":"tbilisi","regions":{"tbi-a":"tbilisi","kut-a":"kutaisi"},
 "listen":{"control":"10.1.0.33:8783"},"ports":[7340,7355],
 "seeds":["10.1.0.33:8783","10.2.0.25:8783","10.3.0.16:8783"],"may_found":true,
 "data_folder":"/data/core","announcement_interval_ms":1500,"tolerated_losses":2,
 "bounds":{"revoke_ms":5000,"revoke_strict":true,"config_ms":2500,"budget_ratio":0.2,
           "budget_extra":56,"budget_window_s":10,"quota_window_s":5,"quota_excess":0.1,
           "quota_slack":20,"grace_s":6}})";

const test_table kSettingsMapping(
    "platform settings",
    "a core VM's settings map to core and entry settings",
    [] {
      const platform_settings read = Expect([] { return ParsePlatformSettings(kSettings); });
      const fleet_core_settings core = MakeCoreSettings(read);
      CPPUNIT_ASSERT(core.name == "10.1.0.33" && core.region == "tbilisi" && core.may_bootstrap);
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), core.voters);
      CPPUNIT_ASSERT(core.listen == (endpoint{"10.1.0.33", 7340}));
      CPPUNIT_ASSERT(core.seeds.at(1).address == (endpoint{"10.2.0.25", 7340}));
      CPPUNIT_ASSERT(core.rates.window == milliseconds(5000) && core.rates.slack == 20);
      CPPUNIT_ASSERT(core.repeats.extra == 56 && core.repeats.window == milliseconds(10'000));
      const serving_vm_settings entry = MakeEntrySettings(read);
      CPPUNIT_ASSERT(entry.serving.admission.withdrawal_bound == milliseconds(5000));
      CPPUNIT_ASSERT(entry.serving.drain.deadline < milliseconds(6000));
      CPPUNIT_ASSERT(entry.serving.place.DistanceTo("kut-a") == network_distance::kOtherRegion);
    });

struct settings_case {
  std::string name;
  std::string from;
  std::string to;
  std::string fault;  ///< Substring of the error detail; empty for valid settings.
};

const test_table kSettingsFaults(
    "platform settings",
    std::vector<settings_case>{
        {"an unknown field", R"("name")", R"("new":{"a":1},"name")", ""},
        {"no data folder", R"("/data/core")", "null", ""},
        {"an unknown bound", R"("grace_s":6)", R"("grace_s":6,"new_bound":true)", ""},
        {"no seeds", R"(["10.1.0.33:8783","10.2.0.25:8783","10.3.0.16:8783"])", "[]", ""},
        {"an invalid address", R"("10.2.0.25:8783")", R"("nowhere")", "seeds"},
        {"no ports", "[7340,7355]", "[]", "ports"},
        {"no bounds", R"("bounds":{)", R"("other":{)", "bounds"},
        {"a number of waiting requests", R"("name")", R"("state_wait":{"max_requests":256},"name")",
         ""},
        {"no table of waiting requests", R"("name")", R"("state_wait":256,"name")", "state_wait"},
        {"a negative number of waiting requests", R"("name")",
         R"("state_wait":{"max_requests":-1},"name")", "state_wait.max_requests"},
        {"no name", R"("name":"core-1",)", "", "name: text expected"},
        {"hedging, off and on", R"("name")",
         R"("hedging":{"max_share":0,"services":{"a":0.2},"routes":{"r":0.01}},"name")", ""},
        {"a hedging share out of range", R"("name")", R"("hedging":{"max_share":0.21},"name")",
         "hedging.max_share: number from 0 to 0.2 expected"},
        {"a negative hedging share", R"("name")", R"("hedging":{"routes":{"r":-0.1}},"name")",
         "hedging.routes.r: number from 0 to 0.2 expected"},
        {"a hedging share that is no number", R"("name")",
         R"("hedging":{"services":{"a":"0.1"}},"name")",
         "hedging.services.a: number from 0 to 0.2 expected"},
        {"hedging services without names", R"("name")", R"("hedging":{"services":0.1},"name")",
         "hedging.services: table of numbers expected"},
        {"hedging without a table", R"("ports":[7340,7355])", R"("ports":[],"hedging":0.05)",
         "hedging: table expected"},
        {"a fault beside one of hedging", R"("ports":[7340,7355])", R"("ports":[],"hedging":0.05)",
         "ports: a port number expected"},
        {"a queue", R"("bounds")", R"("service_queue":{"max_requests":64},"bounds")", ""},
        {"a queue without a length", R"("bounds")", R"("service_queue":{},"bounds")", ""},
        {"a negative length of the queue", R"("bounds")",
         R"("service_queue":{"max_requests":-1},"bounds")", "service_queue.max_requests"},
        {"a length of the queue as text", R"("bounds")",
         R"("service_queue":{"max_requests":"64"},"bounds")", "service_queue.max_requests"},
        {"a queue that is no table", R"("bounds")", R"("service_queue":64,"bounds")",
         "service_queue.max_requests"},
        {"truncated", R"("grace_s":6}})", "", "not a JSON object"},
    },
    std::function([](const settings_case& row) {
      std::string text = kSettings;
      text.replace(text.find(row.from), row.from.size(), row.to);
      const std::string fault = Recover(
          [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(ParsePlatformSettings(text));
            return std::string();
          },
          [](const error& failure) {
            CPPUNIT_ASSERT(failure.kind == error_kind::kInvalidSettings);
            return failure.detail;
          });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault, row.fault.empty(), fault.empty());
      CPPUNIT_ASSERT_MESSAGE(fault, fault.find(row.fault) != std::string::npos);
    }));

}  // namespace
}  // namespace corianderhoist::platform
