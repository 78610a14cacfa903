// Policies: errors that must be rejected, and the lookups of the request path.
#include "fleet/serving_policy.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

policy_route Route(std::string name, std::string host, std::string prefix) {
  policy_route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.timeout = std::chrono::milliseconds(1000);
  route.parts = {{"orders", 1}};
  return route;
}

serving_policy ValidPolicy() {
  serving_policy policy;
  policy.version = 7;
  policy.services = {{"orders", "/health", 330}, {"ledger", "/health", 330}};
  policy.routes = {Route("all", "shop.example", "/"), Route("orders", "shop.example", "/orders/"),
                   Route("bulk", "shop.example", "/orders/bulk/"),
                   Route("other", "other.example", "/orders/")};
  policy.workspaces = {{"a", {"key-a1", "key-a2"}, 1, 10, 10}, {"b", {"key-b"}, 1, 0, 0}};
  policy.has_workspaces = true;
  return policy;
}

struct validation_case {
  std::string name;
  std::function<void(serving_policy&)> change;
  bool is_valid = false;
};

const test_table kValidation(
    "policy check",
    std::vector<validation_case>{
        {"a valid policy", [](serving_policy&) {}, true},
        {"a route to an unknown service",
         [](serving_policy& p) {
           p.routes[0].parts = {{"nobody", 1}};
         }},
        {"a part of a split to an unknown service",
         [](serving_policy& p) {
           p.routes[0].parts = {{"orders", 1}, {"nobody", 1}};
         }},
        {"a route without a part", [](serving_policy& p) { p.routes[0].parts.clear(); }},
        {"a part without a weight",
         [](serving_policy& p) {
           p.routes[0].parts = {{"orders", 0}, {"ledger", 1}};
         }},
        {"a route without a timeout", [](serving_policy& p) { p.routes[0].timeout = {}; }},
        {"two routes with one host and prefix",
         [](serving_policy& p) { p.routes[0].path_prefix = "/orders/"; }},
        {"two routes whose hosts differ in case only",
         [](serving_policy& p) { p.routes[0] = Route("twin", "SHOP.example", "/orders/"); }},
        {"a prefix that does not begin with a slash",
         [](serving_policy& p) { p.routes[0].path_prefix = "orders/"; }},
        {"an empty prefix", [](serving_policy& p) { p.routes[0].path_prefix = ""; }},
        {"a key of two workspaces",
         [](serving_policy& p) { p.workspaces[1].keys.push_back("key-a2"); }},
        {"a key twice in one workspace",
         [](serving_policy& p) { p.workspaces[0].keys.push_back("key-a2"); }, true},
        {"no routes", [](serving_policy& p) { p.routes.clear(); }, true},
    },
    std::function([](const validation_case& row) {
      serving_policy policy = ValidPolicy();
      row.change(policy);
      std::string cause;
      const bool is_valid = Recover(
          [&]() -> result<bool> {
            BOOST_LEAF_CHECK(CheckPolicy(policy));
            return true;
          },
          [&](const error& failure) {
            CPPUNIT_ASSERT(failure.kind == error_kind::kInvalidRules);
            cause = failure.detail;
            return false;
          });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(cause, row.is_valid, is_valid);
    }));

struct route_case {
  std::string name;
  std::string host;
  std::string path;
  std::string route;  ///< Empty: none.
};

const test_table kRoutes(
    "policy route",
    std::vector<route_case>{
        {"the longest prefix wins", "shop.example", "/orders/bulk/1", "bulk"},
        {"a shorter prefix matches if the longest does not", "shop.example", "/orders/1", "orders"},
        {"the root", "shop.example", "/x", "all"},
        {"a path that lacks the final slash of a prefix", "shop.example", "/orders", "all"},
        {"the port of the host is ignored", "shop.example:8080", "/orders/1", "orders"},
        {"the case of the host is ignored", "Shop.Example", "/orders/1", "orders"},
        {"another host", "other.example", "/orders/1", "other"},
        {"another host without a matching prefix", "other.example", "/x", ""},
        {"an unknown host", "nobody.example", "/orders/1", ""},
    },
    std::function([](const route_case& row) {
      const policy_index index(ValidPolicy());
      const policy_route* route = index.FindRoute(row.host, row.path);
      CPPUNIT_ASSERT_EQUAL(row.route, route ? route->name : std::string());
    }));

const test_table kKeys("policy", "a key belongs to its workspace and to no other", [] {
  const policy_index index(ValidPolicy());
  CPPUNIT_ASSERT_EQUAL(std::string("a"), index.FindWorkspace("key-a2")->name);
  CPPUNIT_ASSERT_EQUAL(std::string("b"), index.FindWorkspace("key-b")->name);
  CPPUNIT_ASSERT(index.FindWorkspace("key-") == nullptr);
  CPPUNIT_ASSERT(index.FindWorkspace("") == nullptr);
});

}  // namespace
}  // namespace corianderhoist
