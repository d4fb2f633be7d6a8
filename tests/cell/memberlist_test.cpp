// Removal of members that have left from the stored list.

#include "cell/memberlist.h"
#include "cell/tables.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::cell;

TimePoint at(Duration time)
{
    return TimePoint(seconds(1000) + time);
}

Row rowOf(const std::string &instance, int64_t revision)
{
    return {membersTable, ownerPart, instance, instance + ":7440", Revision(revision)};
}

class MemberListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberListTest);
    CPPUNIT_TEST(memberThatLeftExpires);
    CPPUNIT_TEST(ownAddressIsLeftOut);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against addresses of replaced instances that are asked again and again: their rows
    // stayed in the table for ever.
    void memberThatLeftExpires()
    {
        MemberList members;
        members.update({rowOf("stays", 1), rowOf("left", 2)}, at(seconds(0)));
        CPPUNIT_ASSERT(members.expired(at(memberExpiry)).empty());
        members.update({rowOf("stays", 3), rowOf("left", 2)}, at(announceInterval));
        const std::vector<Row> expired = members.expired(at(memberExpiry + seconds(1)));
        CPPUNIT_ASSERT_EQUAL(size_t(1), expired.size());
        CPPUNIT_ASSERT_EQUAL(std::string("left"), expired[0].key);
        CPPUNIT_ASSERT_EQUAL(int64_t(2), expired[0].revision.value());
    }

    void ownAddressIsLeftOut()
    {
        MemberList members;
        members.update({rowOf("a", 1), rowOf("b", 2)}, at(seconds(0)));
        CPPUNIT_ASSERT(members.othersThan("a:7440") == std::vector<std::string>{"b:7440"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberListTest);

} // namespace
