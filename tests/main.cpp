// Entry point of every CppUnit test program: runs all registered suites, or the one named by the
// first argument.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(controller, argc > 1 ? std::string(argv[1]) : std::string());
    } catch (const std::invalid_argument &) {
        std::cerr << "no test is named '" << argv[1] << "'\n";
        return 2;
    }
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const bool ran = collector.runTests() > 0;
    return ran && collector.wasSuccessful() ? 0 : 1;
}
