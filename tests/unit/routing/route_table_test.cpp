// Route lookup: the longest prefix of whole segments wins, for the methods of its routes only.
#include "routing/route_table.h"
#include "rules/rules_file.h"
#include "support/test_table.h"

#include <variant>

namespace corianderhoist {
namespace {

struct lookup_case {
  std::string name;
  std::string method;
  std::string path;
  std::string prefix;  ///< Prefix of the expected route, empty for none.
};

const route_table& Table() {
  static const route_table kTable(
      std::get<rule_set>(ParseRules("service s floor=50 # t\n"
                                    "route GET / service=s access=open places=a # t\n"
                                    "route GET /orders service=s # t\n"
                                    "route POST /orders/new service=s # t\n")));
  return kTable;
}

const test_table kLookups(
    "route",
    std::vector<lookup_case>{
        {"of the root", "GET", "/", "/"},
        {"of another path", "GET", "/a/b", "/"},
        {"of a prefix", "GET", "/orders", "/orders"},
        {"of a longer path", "GET", "/orders/1/2", "/orders"},
        {"with a trailing slash", "GET", "/orders/", "/orders"},
        {"of a longer segment with the same beginning", "GET", "/ordersX", "/"},
        // An open route with a shorter prefix must not serve a path that a longer prefix protects.
        {"with a method of a shorter prefix only", "GET", "/orders/new", ""},
        {"with an unknown method", "PUT", "/orders", ""},
    },
    std::function([](const lookup_case& row) {
      const auto found = Table().Find(row.method, row.path);
      CPPUNIT_ASSERT_EQUAL(row.prefix, found ? found->path_prefix : std::string());
    }));

}  // namespace
}  // namespace corianderhoist
