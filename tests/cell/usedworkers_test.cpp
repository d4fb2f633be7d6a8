// The stored list of workers, at the size of thousands of workers.

#include "cell/tables.h"
#include "cell/usedworkers.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::cell;

constexpr size_t maxRowBytes = 49152; // 65,536 in base64

class UsedWorkersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsedWorkersTest);
    CPPUNIT_TEST(rowsOfManyWorkersFitTheStore);
    CPPUNIT_TEST(singleRowOfEarlierVersionsIsRead);
    CPPUNIT_TEST(unreadableRowLosesOnlyItsOwnWorkers);
    CPPUNIT_TEST(impossibleAddressIsLeftOut);
    CPPUNIT_TEST(writesInFlightCountAsStored);
    CPPUNIT_TEST_SUITE_END();

    static std::string idOf(size_t number) { return absl::StrCat("i-4f6647b8", number); }

public:
    // Guards against one row for all workers: from about 1,850 on the store refused it.
    void rowsOfManyWorkersFitTheStore()
    {
        constexpr size_t count = 12000;
        UsedWorkers workers;
        for (size_t number = 0; number < count; ++number)
            workers.set(idOf(number), "10.100.100.100:12345");
        std::vector<Row> rows;
        while (workers.hasChanges()) {
            const std::vector<Row> some = workers.takeChanges(10);
            CPPUNIT_ASSERT(some.size() <= 10);
            rows.insert(rows.end(), some.begin(), some.end());
        }
        for (const Row &row : rows)
            CPPUNIT_ASSERT(row.value.size() <= maxRowBytes);
        UsedWorkers later;
        later.load(rows);
        CPPUNIT_ASSERT_EQUAL(count, later.addresses().size());
        CPPUNIT_ASSERT(!later.hasChanges());
        later.erase(idOf(7));
        CPPUNIT_ASSERT_EQUAL(size_t(1), later.takeChanges(10).size());
        CPPUNIT_ASSERT(!later.hasChanges());
    }

    // Guards against workers that a new owner forgets because an earlier version stored them.
    void singleRowOfEarlierVersionsIsRead()
    {
        UsedWorkers workers;
        workers.load({{ownerTable, ownerPart, ownerKey, "{}"},
                      {ownerTable, ownerPart, workersKey, R"({"i-1":"10.0.0.1:80"})"}});
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), workers.addresses().at("i-1"));
        CPPUNIT_ASSERT(workers.takeRemovals().empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.takeChanges(10).size()); // in the present form
        // The former row must not bring back a worker that has left.
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.takeRemovals().size());
        CPPUNIT_ASSERT(workers.takeRemovals().empty());
    }

    // Guards against a damaged row that ends each new owner, or hides the other rows.
    void unreadableRowLosesOnlyItsOwnWorkers()
    {
        UsedWorkers workers;
        workers.load({{ownerTable, ownerPart, "workers.1", "[["},
                      {ownerTable, ownerPart, "workers.2", R"({"i-1":7,"i-2":"10.0.0.2:80"})"}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.addresses().size());
    }

    // Guards against an owner that waits for a worker that an earlier version took from an odd
    // entry: nothing connects to its address.
    void impossibleAddressIsLeftOut()
    {
        UsedWorkers workers;
        workers.load({{ownerTable, ownerPart, "workers.2",
                       R"({"i-1":"127.0.0.1:99999","i-2":"10.0.0.2:80"})"}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.addresses().size());
        CPPUNIT_ASSERT(workers.addresses().contains("i-2"));
    }

    // Guards against an owner that counts fewer workers than its successor may read from the store:
    // each of them needs a part of all.
    void writesInFlightCountAsStored()
    {
        UsedWorkers workers;
        workers.set("i-1", "10.0.0.1:80");
        CPPUNIT_ASSERT_EQUAL(size_t(0), workers.storedAtMost());
        const std::vector<Row> first = workers.takeChanges(10);
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.storedAtMost());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), workers.confirmChanges(first).at(0));
        workers.erase("i-1");
        const std::vector<Row> second = workers.takeChanges(10);
        CPPUNIT_ASSERT_EQUAL(size_t(1), workers.storedAtMost()); // the write may fail
        CPPUNIT_ASSERT(workers.confirmChanges(second).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(0), workers.storedAtMost());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsedWorkersTest);

} // namespace
