// Base types: duration and endpoint parsing, the error table, hashing and JSON escaping of logs.
#include "base/duration.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::microseconds;

struct duration_case {
  std::string name;
  std::string text;
  std::int64_t expected_us;  ///< -1: parsing fails.
};

const test_table kDurations("duration",
                            std::vector<duration_case>{
                                {"milliseconds", "250ms", 250'000},
                                {"hours", "24h", 86'400'000'000},
                                {"zero", "0s", 0},
                                {"without unit", "250", -1},
                                {"negative", "-1s", -1},
                                {"unknown unit", "3d", -1},
                                {"fraction", "1.5s", -1},
                                {"empty", "", -1},
                                {"space", "1 s", -1},
                                {"overflow", "9223372036854775807h", -1},
                            },
                            std::function([](const duration_case& row) {
                              const std::int64_t parsed =
                                  Recover([&] { return ParseDuration(row.text); },
                                          [](const error&) { return microseconds(-1); })
                                      .count();
                              CPPUNIT_ASSERT_EQUAL(row.expected_us, parsed);
                            }));

struct endpoint_case {
  std::string name;
  std::string text;
  bool is_valid;
};

const test_table kEndpoints("endpoint",
                            std::vector<endpoint_case>{
                                {"IPv4", "127.0.0.1:80", true},
                                {"IPv6", "[::1]:80", true},
                                {"host name", "localhost:80", false},
                                {"no port", "127.0.0.1", false},
                                {"empty port", "127.0.0.1:", false},
                                {"port too large", "127.0.0.1:65536", false},
                                {"text after port", "127.0.0.1:80x", false},
                            },
                            std::function([](const endpoint_case& row) {
                              const std::string formatted = Recover(
                                  [&]() -> result<std::string> {
                                    BOOST_LEAF_AUTO(address, ParseEndpoint(row.text));
                                    return FormatEndpoint(address);
                                  },
                                  [](const error&) { return std::string(); });
                              CPPUNIT_ASSERT_EQUAL(row.is_valid ? row.text : "", formatted);
                            }));

const test_table kAnswers("error", "every kind has a unique name that maps back to it", [] {
  for (int i = 0; i <= static_cast<int>(error_kind::kStorageDamaged); ++i) {
    const auto kind = static_cast<error_kind>(i);
    CPPUNIT_ASSERT(ErrorKindFromName(AnswerFor(kind).name) == kind);
  }
});

// If an error reports kNotRun for a request that may have run, callers repeat the request and it
// runs twice.
const test_table kOutcome("error",
                          "kinds that occur after the first byte was sent have an unknown outcome",
                          [] {
                            for (const error_kind kind :
                                 {error_kind::kOutcomeUnknown, error_kind::kUpstreamTimeout,
                                  error_kind::kUpstreamBroken, error_kind::kStillRunning,
                                  error_kind::kAnswerNotStored, error_kind::kInternal}) {
                              CPPUNIT_ASSERT(AnswerFor(kind).outcome == request_outcome::kUnknown);
                            }
                          });

const test_table kEscapes("log", "quotes and control characters are escaped", [] {
  std::string out;
  AppendJsonString(out, "a\"b\\c\nd\x01");
  CPPUNIT_ASSERT_EQUAL(std::string(R"("a\"b\\c\u000ad\u0001")"), out);
});

const test_table kSha("hash", "SHA-256 of the empty string is the published value", [] {
  CPPUNIT_ASSERT_EQUAL(
      std::string("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
      ToHex(Sha256("")));
});

}  // namespace
}  // namespace corianderhoist
