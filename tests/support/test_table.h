/// Parameterised tests with one CppUnit test per row of a table.
#pragma once

#include <cppunit/TestCaller.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/AutoRegisterSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace corianderhoist {

/// A CppUnit test that calls a function.
class function_test final : public CppUnit::TestCase {
 public:
  function_test(const std::string& name, std::function<void()> body)
      : CppUnit::TestCase(name), body_(std::move(body)) {}
  void runTest() override { body_(); }

 private:
  std::function<void()> body_;
};

/// Registers tests at static initialisation:
///   const test_table kCases("settings", rows, [](const row& r) { CPPUNIT_ASSERT(...); });
/// Each row type needs a member `name`, which becomes the name of the test.
class test_table final : public CppUnit::TestFactory {
 public:
  template <class Row>
  test_table(const std::string& suite,
             const std::vector<Row>& rows,
             std::function<void(const Row&)> check) {
    for (const Row& row : rows) {
      tests_.emplace_back(suite + "::" + std::string(row.name), [row, check] { check(row); });
    }
    Register(suite);
  }
  /// Registers a single test.
  test_table(const std::string& suite, const std::string& name, std::function<void()> body) {
    tests_.emplace_back(suite + "::" + name, std::move(body));
    Register(suite);
  }

  CppUnit::Test* makeTest() override {
    auto* suite = new CppUnit::TestSuite(name_);
    for (const auto& [name, body] : tests_) {
      suite->addTest(new function_test(name, body));
    }
    return suite;
  }

 private:
  void Register(const std::string& suite) {
    name_ = suite;
    CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
  }

  std::string name_;
  std::vector<std::pair<std::string, std::function<void()>>> tests_;
};

}  // namespace corianderhoist
