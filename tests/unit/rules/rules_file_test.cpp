// Rules files: faults are reported with line and column, the canonical form is independent of how
// the file was written, and differences are validated before they are applied.
#include "rules/rules_file.h"
#include "support/test_table.h"

#include <chrono>
#include <iostream>

namespace corianderhoist {
namespace {

const std::string kServices = "service catalogue floor=60 # Nino\nservice orders floor=50 # Nino\n";
const std::set<std::string> kRegions = {"tbilisi", "kutaisi", "batumi"};

rule_set Parse(const std::string& text) {
  auto parsed = ParseRules(text, &kRegions);
  if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed)) {
    CPPUNIT_FAIL(FormatFault("rules", faults->front()));
  }
  return std::get<rule_set>(parsed);
}

struct fault_row {
  std::string name;
  std::string line;  // Appended after two service lines, so it is line 3.
  std::size_t column;
  std::string text;
  std::string remedy;
};

const std::string kWorkspace = "workspace shop places=tbilisi rate=5/s burst=9";

const test_table kFaults(
    "rules fault",
    std::vector<fault_row>{
        {"comment missing", "service a floor=1", 18, "comment is missing", "# NAME"},
        {"comment empty", "service a floor=1 #  ", 19, "comment is missing", "# NAME"},
        {"comment with tab", "service a floor=1 # a\tb", 21, "control characters", "plain text"},
        {"carriage return", "service a floor=1 # a\r", 21, "control characters", "line feed"},
        {"kind unknown", "srvice a floor=1 # a", 1, "unknown kind of rule 'srvice'", "service"},
        {"service without name", "service # a", 8, "name of the service is missing", "letters"},
        {"service name invalid", "service -a floor=1 # a", 9, "'-a' is not a name", "letters"},
        {"floor missing", "service a # a", 10, "'floor' is missing", "floor=N with N from 0"},
        {"floor over 100", "service a floor=101 # a", 17, "'101' is not a valid", "0 to 100"},
        {"floor with sign", "service a floor=-1 # a", 17, "'-1' is not a valid", "0 to 100"},
        {"floor with percent", "service a floor=5% # a", 17, "'5%' is not a valid", "0 to 100"},
        {"floor twice", "service a floor=1 floor=2 # a", 19, "given twice", "once"},
        {"unknown word", "service a floor=1 flor=2 # a", 19, "unknown word 'flor=2'", "keys floor"},
        {"service twice", "service orders floor=1 # a", 9, "declared twice", "remove"},
        {"workspace twice", kWorkspace + " # a\n" + kWorkspace + " # a", 11, "declared twice",
         "remove"},
        {"places missing", "workspace a rate=1/s burst=1 # a", 29, "'places' is missing",
         "places="},
        {"place empty", "workspace a places=tbilisi, rate=1/s burst=1 # a", 28, "not a place",
         "REGION"},
        {"data centre empty", "workspace a places=tbilisi/ rate=1/s burst=1 # a", 20, "not a place",
         "REGION/DATA_CENTRE"},
        {"place twice", "workspace a places=tbilisi,tbilisi rate=1/s burst=1 # a", 28,
         "given twice", "once"},
        {"place overlaps", "workspace a places=tbilisi/a,tbilisi rate=1/s burst=1 # a", 30,
         "overlaps", "either"},
        {"region unknown", "workspace a places=paris rate=1/s burst=1 # a", 20,
         "unknown region 'paris'", "batumi, kutaisi, tbilisi"},
        {"rate without unit", "workspace a places=tbilisi rate=1 burst=1 # a", 33,
         "not a valid rate", "rate=N/s"},
        {"rate zero", "workspace a places=tbilisi rate=0/s burst=1 # a", 33, "not a valid rate",
         "from 1"},
        {"rate too large", "workspace a places=tbilisi rate=99999999999999999999/s burst=1 # a", 33,
         "not a valid rate", "from 1"},
        {"burst zero", "workspace a places=tbilisi rate=1/s burst=0 # a", 43, "not a valid burst",
         "from 1"},
        {"workspace with unknown service", kWorkspace + " services=orders,ordrs # a", 64,
         "unknown service 'ordrs'", "catalogue, orders"},
        {"service of workspace twice", kWorkspace + " services=orders,orders # a", 64,
         "given twice", "once"},
        {"route incomplete", "route GET # a", 10, "route is not complete", "METHODS"},
        {"route without service", "route GET /a # a", 13, "'service' is missing", "service=NAME"},
        {"service of route unknown", "route GET /a service=x # a", 22, "unknown service 'x'",
         "catalogue, orders"},
        {"method unknown", "route get /a service=orders # a", 7, "unknown method 'get'", "GET"},
        {"method twice", "route GET,GET /a service=orders # a", 11, "given twice", "once"},
        {"path relative", "route GET a service=orders # a", 11, "not a path prefix", "'/'"},
        {"path with escape", "route GET /a%2fb service=orders # a", 11, "not a path prefix",
         "percent"},
        {"path with slash at the end", "route GET /a/ service=orders # a", 14, "empty segment",
         "without a '/'"},
        {"path with dots", "route GET /a/../b service=orders # a", 14, "'..'", "whole segments"},
        {"keyed with places", "route GET /a service=orders access=keyed places=tbilisi # a", 42,
         "keyed route cannot have places", "access=open"},
        {"open without places", "route GET /a service=orders access=open # a", 40,
         "'places' is missing", "open"},
        {"open in unknown region", "route GET /a service=orders access=open places=x # a", 48,
         "unknown region 'x'", "batumi"},
        {"access unknown", "route GET /a service=orders access=all # a", 36, "unknown value 'all'",
         "access=open or access=keyed"},
        {"run unknown", "route GET /a service=orders run=twice # a", 33, "unknown value 'twice'",
         "run=idempotent or run=once"},
        {"timeout without unit", "route GET /a service=orders timeout=5 # a", 37, "units", "1ms"},
        {"timeout in fractions", "route GET /a service=orders timeout=1500us # a", 37,
         "not a valid timeout", "whole number of milliseconds"},
        {"timeout too long", "route GET /a service=orders timeout=1h # a", 37,
         "not a valid timeout", "10m"},
        {"route twice", "route GET /a service=orders # a\nroute HEAD,GET /a service=catalogue # a",
         7, "another route has GET /a already", "remove GET"},
        {"byte outside ASCII", "service caf\xc3\xa9 floor=1 # a", 12, "printable ASCII", "ASCII"},
    },
    std::function([](const fault_row& row) {
      const auto parsed = ParseRules(kServices + row.line, &kRegions);
      const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed);
      CPPUNIT_ASSERT_MESSAGE("the line was accepted", faults != nullptr);
      const rules_fault& fault = faults->front();
      const std::string shown = FormatFault("rules", fault);
      const auto line_count = std::size_t(std::count(row.line.begin(), row.line.end(), '\n'));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, 3 + line_count, fault.line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, row.column, fault.column);
      CPPUNIT_ASSERT_MESSAGE(shown, fault.text.find(row.text) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(shown, fault.remedy.find(row.remedy) != std::string::npos);
    }));

const test_table kAllFaults("rules", "all faults are reported in the order of lines", [] {
  const auto parsed = ParseRules("route GET /a service=x # a\nservice a floor=101 flor=1\n\nx y\n");
  const auto& faults = std::get<std::vector<rules_fault>>(parsed);
  std::vector<std::size_t> lines;
  lines.reserve(faults.size());
  for (const rules_fault& fault : faults) {
    lines.push_back(fault.line);
  }
  CPPUNIT_ASSERT(lines == (std::vector<std::size_t>{1, 2, 2, 2, 4, 4}));
});

// Guards against a canonical form that depends on the order of attributes, on whitespace or on
// explicit default values: equal rules must produce equal bytes.
const test_table kCanonical("rules", "the canonical form is independent of source formatting", [] {
  const std::string first = "# heading\n\n" + kServices +
                            "workspace shop burst=9 services=orders,catalogue rate=5/s "
                            "places=tbilisi/a,kutaisi # Nino\n"
                            "route HEAD,GET /stock service=catalogue run=idempotent "
                            "access=keyed timeout=10000ms # Dato\n"
                            "route POST /orders service=orders timeout=2000ms # Dato\n"
                            "route GET /help access=open service=catalogue places=batumi # Dato\n";
  const std::string canonical =
      "route GET /help service=catalogue access=open places=batumi # Dato\n"
      "route GET,HEAD /stock service=catalogue # Dato\n"
      "route POST /orders service=orders timeout=2s # Dato\n"
      "service catalogue floor=60 # Nino\n"
      "service orders floor=50 # Nino\n"
      "workspace shop places=tbilisi/a,kutaisi rate=5/s burst=9 services=catalogue,orders "
      "# Nino\n";
  CPPUNIT_ASSERT_EQUAL(canonical, CanonicalText(Parse(first)));
  CPPUNIT_ASSERT(Parse(first) == Parse(canonical));
  CPPUNIT_ASSERT_EQUAL(canonical, CanonicalText(Parse(canonical)));
});

const std::string kBase = kServices + kWorkspace +
                          " services=orders # a\nroute GET /a service=orders # a\n"
                          "route POST /a service=catalogue # a\n";

struct difference_row {
  std::string name;
  std::string from;
  std::string to;
};

const test_table kDifference(
    "rules difference",
    std::vector<difference_row>{
        {"from nothing", "", kBase},
        {"to nothing", kBase, ""},
        {"changed workspace", kBase, kServices + kWorkspace + " # a\n"},
        {"comment only", kServices,
         "service catalogue floor=60 # Dato\nservice orders floor=50 # N\n"},
        {"route takes over methods", kBase,
         kServices + "route GET,POST /a service=catalogue # a\n"},
        {"nothing", kBase, kBase},
    },
    std::function([](const difference_row& row) {
      rule_set rules = Parse(row.from);
      const rule_set target = Parse(row.to);
      const rules_difference difference = Difference(rules, target);
      Recover([&] { return ApplyDifference(rules, difference); },
              [](const error& failure) { CPPUNIT_FAIL(failure.detail); });
      CPPUNIT_ASSERT(rules == target);
    }));

struct refused_row {
  std::string name;
  rules_difference difference;
  std::string expected;
};

// A difference comes from another process, so it is validated as strictly as a file.
const test_table kRefusedDifference(
    "rules refused difference",
    std::vector<refused_row>{
        {"removed line absent", {{"service x floor=1 # a"}, {}}, "not in force"},
        {"removed line with other content",
         {{"service orders floor=51 # Nino"}, {}},
         "not in force"},
        {"added line invalid", {{}, {"service x floor=101 # a"}}, "not a valid floor"},
        {"added line blank", {{}, {""}}, "is not a rule"},
        {"added line declared", {{}, {"service orders floor=51 # a"}}, "declared already"},
        {"added line twice", {{}, {"service x floor=1 # a", "service x floor=2 # a"}}, "twice"},
        {"added route without service",
         {{}, {"route GET /b service=x # a"}},
         "unknown service 'x'"},
        {"added workspace without service",
         {{}, {"workspace b places=tbilisi rate=1/s burst=1 services=x # a"}},
         "unknown service 'x'"},
        {"added workspace in unknown region",
         {{}, {"workspace b places=paris rate=1/s burst=1 # a"}},
         "unknown region 'paris'"},
        {"added route overlaps a kept one",
         {{}, {"route GET,PUT /a service=orders # a"}},
         "share a method"},
        {"added routes overlap",
         {{}, {"route GET,PUT /b service=orders # a", "route DELETE,PUT /b service=orders # a"}},
         "shares a method"},
        {"service of a route removed", {{"service catalogue floor=60 # Nino"}, {}}, "still names"},
        {"service of a workspace removed",
         {{"service orders floor=50 # Nino", "route GET /a service=orders # a"}, {}},
         "workspace 'shop' still names"},
    },
    std::function([](const refused_row& row) {
      rule_set rules = Parse(kBase);
      const std::string refusal = Recover(
          [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(ApplyDifference(rules, row.difference, &kRegions));
            return std::string("accepted");
          },
          [](const error& failure) {
            CPPUNIT_ASSERT(failure.kind == error_kind::kInvalidRules);
            return failure.detail;
          });
      CPPUNIT_ASSERT_MESSAGE(refusal, refusal.find(row.expected) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE("a refused difference changed the rules", rules == Parse(kBase));
    }));

}  // namespace
}  // namespace corianderhoist
