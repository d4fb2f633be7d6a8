// Assertions that several integration tests share.

#pragma once

#include "integration/callers.h"
#include "integration/cell.h"

#include <cppunit/TestAssert.h>

#include <string>

namespace cwl::integration {

inline void assertServes(const Cell &cell, const Callers &callers, size_t more)
{
    const bool serves = callers.waitForAnswers(more);
    CPPUNIT_ASSERT_MESSAGE(callers.summary() + cell.logs(), serves);
}

// Stops the callers and judges all answers that they got.
inline void assertKept(const Cell &cell, Callers &callers)
{
    callers.stop();
    const std::string violations = requestViolations(cell, callers.records());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary(), std::string(), violations);
}

inline void assertReady(const Cell &cell, const harness::Member &member)
{
    const bool isReady = harness::waitForReady(member.httpAddress(), harness::patience());
    CPPUNIT_ASSERT_MESSAGE(member.name + " is not ready\n" + cell.logs(), isReady);
}

} // namespace cwl::integration
