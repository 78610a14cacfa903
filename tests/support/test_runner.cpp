// Entry point of every test executable. Runs all registered tests, or those whose name contains the
// first argument, and ends with a line that counts passed and failed tests. The variable
// CORIANDERHOIST_TEST_LOG shows the log of the code under test.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/Exception.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "base/log.h"

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

// Adds `test` if its name contains `pattern`, or else its matching descendants.
void AddMatching(CppUnit::TestRunner& runner, CppUnit::Test* test, const std::string& pattern) {
  if (test->getName().find(pattern) != std::string::npos) {
    runner.addTest(test);
    return;
  }
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    AddMatching(runner, test->getChildTestAt(i), pattern);
  }
}

}  // namespace

int main(int argc, char** argv) {
  // By default, rapidcheck draws a new seed for each run. A fixed seed makes results reproducible.
  setenv("RC_PARAMS", "seed=20261204", 0);
  const QCoreApplication application(argc, argv);
  const bool are_logs_shown = std::getenv("CORIANDERHOIST_TEST_LOG") != nullptr;
  corianderhoist::ConfigureLog("test", are_logs_shown ? corianderhoist::log_level::kInfo
                                                      : corianderhoist::log_level::kError);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  AddMatching(runner, CppUnit::TestFactoryRegistry::getRegistry().makeTest(),
              argc > 1 ? argv[1] : "");
  runner.run(result);
  for (const CppUnit::TestFailure* failure : collector.failures()) {
    std::cout << "\nFAILED " << failure->failedTestName() << "\n"
              << failure->thrownException()->message().details() << "\n";
  }
  const auto failed = static_cast<int>(collector.testFailuresTotal());
  std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
