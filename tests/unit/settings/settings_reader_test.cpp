// Settings reader: all faults of a document are listed in one report, each with its path.
#include "settings/settings_reader.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fault_case {
  std::string name;
  std::string text;
  std::string expected;
};

std::string ReportOf(const std::string& text) {
  return Recover(
      [&]() -> result<std::string> {
        BOOST_LEAF_AUTO(reader, settings_reader::FromText(text));
        reader.Duration("wait", milliseconds(1), seconds(10), milliseconds(5));
        reader.Integer("count", 1, 9, 3);
        reader.ListenAddress("listen");
        reader.ListenAddress("status");
        reader.OneOf("mode", {"a", "b"}, "a");
        reader.CheckUnknownKeys();
        BOOST_LEAF_CHECK(reader.Report());
        return std::string();
      },
      [](const error& failure) { return failure.detail; });
}

const std::string kPorts = R"("listen":"127.0.0.1:0","status":"127.0.0.1:0")";

const test_table kFaults(
    "settings fault",
    std::vector<fault_case>{
        {"unknown key", "{" + kPorts + R"(,"wiat":"5ms"})", "wiat: is an unknown key"},
        {"unit missing", "{" + kPorts + R"(,"wait":"5"})", "needs one of the units"},
        {"number for duration", "{" + kPorts + R"(,"wait":5})", "with a unit"},
        {"out of range", "{" + kPorts + R"(,"count":10})", "count: must be between 1 and 9"},
        {"fraction", "{" + kPorts + R"(,"count":1.5})", "must be an integer"},
        {"missing", R"({"listen":"127.0.0.1:0"})", "status: is missing"},
        {"repeated address", R"({"listen":"127.0.0.1:9","status":"127.0.0.1:9"})", "used twice"},
        {"host name", R"({"listen":"localhost:9","status":"127.0.0.1:0"})", "is not IP:PORT"},
        {"unknown word", "{" + kPorts + R"(,"mode":"c"})", "'c' is not one of a, b"},
        {"no JSON", "{", "not valid JSON"},
        {"two faults", R"({"listen":"x","status":"127.0.0.1:0","count":0})", "2 fault(s)"},
    },
    std::function([](const fault_case& row) {
      const std::string report = ReportOf(row.text);
      CPPUNIT_ASSERT_MESSAGE(report, report.find(row.expected) != std::string::npos);
    }));

const test_table kValid("settings", "a valid document has no faults", [] {
  CPPUNIT_ASSERT_EQUAL(std::string(), ReportOf("{" + kPorts + R"(,"wait":"7ms","count":2})"));
});

}  // namespace
}  // namespace corianderhoist
