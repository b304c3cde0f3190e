// Runs every registered CppUnit test and returns 0 only if at least one ran and all passed.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

int main() {
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool passed = runner.run();
  const int count = runner.result().runTests();
  std::cout << count - runner.result().testFailuresTotal() << " passed, "
            << runner.result().testFailuresTotal() << " failed\n";
  return passed && count > 0 ? 0 : 1;
}
