// Statements of upstreams: values of the header fields, their effects over time, and seeded
// schedules of both rules against an independent judge.
#include "serving/upstream_statements.h"

#include "support/test_table.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const statement_header_names kNames = {.leaving = "Server-Leaving",
                                       .retry_after = "Retry-After",
                                       .limit = "Server-Limit"};
constexpr std::uint64_t kSeed = 1;

// ---- Values ----

struct limit_value_case {
  std::string name;
  header_fields headers;
  std::optional<std::uint64_t> per_kilosecond;
  std::size_t invalid_values = 0;
};

const test_table kLimitValues(
    "statement value",
    std::vector<limit_value_case>{
        {"no limit", {}, std::nullopt},
        {"a whole limit", {{"Server-Limit", "12"}}, 12'000},
        {"a limit with a fraction", {{"server-limit", " 7.4 "}}, 7400},
        {"a limit below one thousandth", {{"Server-Limit", "0.0001"}}, 1},
        {"a limit of zero", {{"Server-Limit", "0"}}, 0},
        {"a limit too large to count", {{"Server-Limit", std::string(300, '9')}}, 1'000'000'000},
        {"several limits", {{"Server-Limit", "9"}, {"Server-Limit", "4, 6"}}, 4000},
        {"a limit and an unreadable one", {{"Server-Limit", "9"}, {"Server-Limit", "x"}}, 9000, 1},
        {"a negative limit", {{"Server-Limit", "-3"}}, std::nullopt, 1},
        {"a limit that is no number", {{"Server-Limit", "nan"}}, std::nullopt, 1},
        {"a limit with an exponent", {{"Server-Limit", "1e3"}}, std::nullopt, 1},
    },
    std::function([](const limit_value_case& row) {
      for (const int status : {200, 500, 503}) {
        const upstream_statement statement =
            ReadStatement({.status = status, .headers = row.headers}, kNames);
        CPPUNIT_ASSERT(statement.limit_per_kilosecond == row.per_kilosecond);
        CPPUNIT_ASSERT_EQUAL(row.invalid_values, statement.invalid_values.size());
        CPPUNIT_ASSERT(!statement.is_leaving && statement.closed_for == milliseconds(0));
      }
    }));

struct value_case {
  std::string name;
  int status;
  header_fields headers;
  bool is_leaving;
  milliseconds closed_for;
  std::size_t invalid_values;
};

const test_table kValues(
    "statement value",
    std::vector<value_case>{
        {"no field", 503, {}, false, milliseconds(0), 0},
        {"leaving", 200, {{"Server-Leaving", "1"}}, true, milliseconds(0), 0},
        {"leaving with spaces", 200, {{"server-leaving", " 1\t"}}, true, milliseconds(0), 0},
        {"not leaving", 200, {{"Server-Leaving", "0"}}, false, milliseconds(0), 0},
        {"leaving as a word", 200, {{"Server-Leaving", "true"}}, false, milliseconds(0), 1},
        {"leaving without a value", 200, {{"Server-Leaving", ""}}, false, milliseconds(0), 1},
        {"leaving as another number", 200, {{"Server-Leaving", "2"}}, false, milliseconds(0), 1},
        {"several leaving fields that disagree",
         200,
         {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}},
         true,
         milliseconds(0),
         0},
        {"whole seconds", 503, {{"Retry-After", "30"}}, false, milliseconds(30'000), 0},
        {"a fraction", 503, {{"Retry-After", "0.25"}}, false, milliseconds(250), 0},
        {"a fraction that is rounded up",
         503,
         {{"Retry-After", "1.0001"}},
         false,
         milliseconds(1001),
         0},
        {"a long fraction",
         503,
         {{"Retry-After", "2." + std::string(200, '0')}},
         false,
         milliseconds(2000),
         0},
        {"zero", 503, {{"Retry-After", "0"}}, false, milliseconds(0), 0},
        {"zero with a fraction", 503, {{"Retry-After", "0.000"}}, false, milliseconds(0), 0},
        {"negative", 503, {{"Retry-After", "-5"}}, false, milliseconds(0), 1},
        {"a plus sign", 503, {{"Retry-After", "+5"}}, false, milliseconds(0), 1},
        {"an exponent", 503, {{"Retry-After", "1e3"}}, false, milliseconds(0), 1},
        {"a fraction without digits", 503, {{"Retry-After", "5."}}, false, milliseconds(0), 1},
        {"a fraction alone", 503, {{"Retry-After", ".5"}}, false, milliseconds(0), 1},
        {"empty", 503, {{"Retry-After", ""}}, false, milliseconds(0), 1},
        {"text", 503, {{"Retry-After", "soon"}}, false, milliseconds(0), 1},
        {"a unit", 503, {{"Retry-After", "5s"}}, false, milliseconds(0), 1},
        {"not a number", 503, {{"Retry-After", "nan"}}, false, milliseconds(0), 1},
        {"an HTTP date",
         503,
         {{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}},
         false,
         milliseconds(0),
         2},
        {"several fields",
         503,
         {{"Retry-After", "2"}, {"Retry-After", "7"}, {"Retry-After", "3"}},
         false,
         milliseconds(7000),
         0},
        {"a list", 503, {{"Retry-After", "2, 7"}}, false, milliseconds(7000), 0},
        {"a valid field and an invalid one",
         503,
         {{"Retry-After", "soon"}, {"Retry-After", "3"}},
         false,
         milliseconds(3000),
         1},
        {"just below the limit",
         503,
         {{"Retry-After", "86399.5"}},
         false,
         milliseconds(86'399'500),
         0},
        {"beyond the limit", 503, {{"Retry-After", "86401"}}, false, hours(24), 0},
        {"beyond 64 bits",
         503,
         {{"Retry-After", std::string(40, '9') + ".5"}},
         false,
         hours(24),
         0},
        {"in a success", 200, {{"Retry-After", "30"}}, false, milliseconds(0), 0},
        {"in a 429", 429, {{"Retry-After", "30"}}, false, milliseconds(0), 0},
        {"invalid in a success", 200, {{"Retry-After", "soon"}}, false, milliseconds(0), 0},
        {"both",
         503,
         {{"Retry-After", "30"}, {"Server-Leaving", "1"}},
         true,
         milliseconds(30'000),
         0},
    },
    std::function([](const value_case& row) {
      const upstream_statement statement = ReadStatement({row.status, row.headers, {}}, kNames);
      CPPUNIT_ASSERT_EQUAL(row.is_leaving, statement.is_leaving);
      CPPUNIT_ASSERT_EQUAL(row.closed_for.count(), statement.closed_for.count());
      CPPUNIT_ASSERT_EQUAL(row.invalid_values, statement.invalid_values.size());
    }));

// ---- Effects over time ----

upstream_incarnation Incarnation(const std::string& id, int started = 1) {
  return {id, std::chrono::sys_time<milliseconds>(milliseconds(started)), 0};
}

upstream_statement ClosedFor(milliseconds time) {
  upstream_statement statement;
  statement.closed_for = time;
  return statement;
}

upstream_statement Leaving() {
  upstream_statement statement;
  statement.is_leaving = true;
  return statement;
}

struct timed_statement {
  milliseconds at;
  upstream_statement statement;
};

struct effect_case {
  std::string name;
  std::vector<timed_statement> statements;
  milliseconds closed_until;  ///< No request is sent before.
  milliseconds open_from;     ///< Requests are sent from then on; negative: never.
};

const test_table kEffects(
    "statement effect",
    std::vector<effect_case>{
        {"a time ends within a quarter of it",
         {{milliseconds(0), ClosedFor(seconds(4))}},
         seconds(4),
         milliseconds(5010)},
        {"a long time ends within 2 s",
         {{milliseconds(0), ClosedFor(seconds(30))}},
         seconds(30),
         milliseconds(32'040)},
        {"a later shorter time does not shorten it",
         {{milliseconds(0), ClosedFor(seconds(8))}, {milliseconds(100), ClosedFor(seconds(1))}},
         seconds(8),
         milliseconds(10'010)},
        {"a later longer time extends it",
         {{milliseconds(0), ClosedFor(seconds(1))}, {milliseconds(900), ClosedFor(seconds(4))}},
         milliseconds(4900),
         milliseconds(5910)},
        {"zero does not end it",
         {{milliseconds(0), ClosedFor(seconds(4))}, {milliseconds(100), ClosedFor(seconds(0))}},
         seconds(4),
         milliseconds(5010)},
        {"leaving is final", {{milliseconds(0), Leaving()}}, hours(30), milliseconds(-1)},
        {"leaving outlasts a time",
         {{milliseconds(0), Leaving()}, {milliseconds(100), ClosedFor(seconds(1))}},
         hours(30),
         milliseconds(-1)},
        {"a time outlasts nothing of leaving",
         {{milliseconds(0), ClosedFor(seconds(1))}, {milliseconds(100), Leaving()}},
         hours(30),
         milliseconds(-1)},
    },
    std::function([](const effect_case& row) {
      for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        manual_clock clock;
        upstream_statements statements(clock, seed);
        const steady_time begin = clock.Now();
        for (const timed_statement& each : row.statements) {
          clock.Advance(each.at - (clock.Now() - begin));
          statements.Note(Incarnation("u"), each.statement);
          statements.Sweep();
        }
        CPPUNIT_ASSERT(statements.MaySend(Incarnation("v")));
        CPPUNIT_ASSERT(statements.MaySend(Incarnation("u", 2)));
        clock.Advance(row.closed_until - (clock.Now() - begin));
        statements.Sweep();
        CPPUNIT_ASSERT(!statements.MaySend(Incarnation("u")));
        if (row.open_from.count() >= 0) {
          clock.Advance(row.open_from - (clock.Now() - begin));
          CPPUNIT_ASSERT(statements.MaySend(Incarnation("u")));
          statements.Sweep();
          CPPUNIT_ASSERT(statements.Records().empty());
        } else {
          CPPUNIT_ASSERT(!statements.TimeUntilOpen(Incarnation("u")));
        }
      }
    }));

const test_table kSpread("statement effect",
                         "VMs that an upstream turns away together do not return together",
                         [] {
                           manual_clock clock;
                           constexpr std::uint64_t kVms = 40;
                           std::vector<int> returns(10);
                           for (std::uint64_t vm = 1; vm <= kVms; ++vm) {
                             upstream_statements statements(clock, vm);
                             statements.Note(Incarnation("u"), ClosedFor(seconds(30)));
                             const milliseconds left = *statements.TimeUntilOpen(Incarnation("u"));
                             ++returns.at(static_cast<std::size_t>((left - milliseconds(30'030)) /
                                                                   milliseconds(201)));
                           }
                           for (const int in_200_ms : returns) {
                             CPPUNIT_ASSERT_MESSAGE(std::to_string(in_200_ms), in_200_ms <= 10);
                           }
                         });

const test_table kUnknownStart("statement effect",
                               "a new incarnation without a known start is not the former one",
                               [] {
                                 manual_clock clock;
                                 upstream_statements statements(clock, kSeed);
                                 upstream_entry entry;
                                 entry.id = "u";
                                 entry.handle = 1;
                                 statements.Note(IncarnationOf(entry), Leaving());
                                 entry.handle = 2;
                                 CPPUNIT_ASSERT(statements.MaySend(IncarnationOf(entry)));
                               });

const test_table kHandles(
    "statement effect",
    "an incarnation that the roster lists under another handle is still leaving",
    [] {
      manual_clock clock;
      upstream_statements statements(clock, kSeed);
      upstream_entry entry;
      entry.id = "u";
      entry.incarnation_start_ms = 1000;
      entry.handle = 7;
      statements.Note(IncarnationOf(entry), Leaving());
      entry.handle = 1;
      CPPUNIT_ASSERT(!statements.MaySend(IncarnationOf(entry)));
    });

const test_table kBound("statement effect", "the number of records is bounded", [] {
  manual_clock clock;
  upstream_statements statements(clock, kSeed);
  const std::size_t count = upstream_statements::kMaxRecords + 100;
  for (std::size_t i = 0; i < count; ++i) {
    clock.Advance(milliseconds(1));
    statements.Note(Incarnation("u" + std::to_string(i)), Leaving());
  }
  CPPUNIT_ASSERT_EQUAL(upstream_statements::kMaxRecords, statements.Records().size());
  CPPUNIT_ASSERT_MESSAGE("the newest is kept",
                         statements.IsLeaving(Incarnation("u" + std::to_string(count - 1))));
});

const test_table kInvalid("statement effect",
                          "an invalid value is counted and changes nothing",
                          [] {
                            manual_clock clock;
                            upstream_statements statements(clock, kSeed);
                            upstream_statement statement;
                            statement.invalid_values = {"soon"};
                            CPPUNIT_ASSERT(!statements.Note(Incarnation("u"), statement));
                            CPPUNIT_ASSERT(statements.MaySend(Incarnation("u")));
                            CPPUNIT_ASSERT_EQUAL(
                                std::uint64_t(1),
                                statements.Records().at(Incarnation("u")).invalid_values);
                          });

}  // namespace
}  // namespace corianderhoist
