#include "cases.h"

#include "cell.h"

#include <absl/strings/str_cat.h>

#include <cstdlib>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void pause(int64_t time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

int verdict(Ledger &ledger, const char *rule)
{
    ledger.note(ledger.summary());
    return ledger.brokenCount(rule) > 0 ? broke : held;
}

// `point` tells the places in this file apart.
int cannotRun(Ledger &ledger, int point)
{
    ledger.note(absl::StrCat("the case could not run, point ", point));
    return notRun;
}

std::vector<RunnerShape> runnersOf(size_t count, RunnerShape shape)
{
    return std::vector<RunnerShape>(count, std::move(shape));
}

} // namespace

// The store is silent for 4.2 s while one job runs. More than 500 tasks end on each runner
// meanwhile, and none of these ends can be taken note of.
int manyEnds(Ledger &ledger, bool hasTrouble)
{
    constexpr int64_t silence = 4200;
    Cell cell(ledger);
    if (!cell.open(3, runnersOf(2, {.service = "draw", .cpu = 64000, .memMb = 262144})))
        return cannotRun(ledger, 1);
    const std::string job = "00000000000000a1";
    if (!cell.submit(job, {{.count = 3000, .cpu = 1000, .memMb = 2000, .estimateMs = 300}}, 300))
        return cannotRun(ledger, 2);
    pause(1000);
    if (hasTrouble) {
        ledger.note("the store is silent");
        cell.onStandins([&] { cell.store().setSilent(true); });
        pause(silence);
        cell.onStandins([&] { cell.store().setSilent(false); });
        ledger.note("the store answers again");
    }
    const bool isOver =
            cell.waitUntil(seconds(60), [&] { return cell.state(0, job) == "completed"; });
    ledger.note(absl::StrCat("job ", isOver ? "completed" : "not completed", ", ",
                             ledger.doneTasks(job), " tasks done, ", ledger.starts(job),
                             " starts"));
    if (!isOver && !hasTrouble)
        return cannotRun(ledger, 3);
    pause(500);
    ledger.judgeTwice();
    return verdict(ledger, "TWICE");
}

// One of eight runners crashes and is started again under its id 50 ms later. A job of eight
// short tasks a runner comes in right after that.
int endsOfNewLife(Ledger &ledger, bool hasTrouble)
{
    Cell cell(ledger);
    if (!cell.open(3, runnersOf(8, {.service = "draw", .cpu = 16000, .memMb = 65536})))
        return cannotRun(ledger, 4);
    const std::vector<JobStep> steps = {
            {.count = 64, .cpu = 1500, .memMb = 5600, .antiAffinity = 8}};
    const std::string earlier = "00000000000000b0";
    if (!cell.submit(earlier, steps, 120)
        || !cell.waitUntil(seconds(20), [&] { return cell.state(0, earlier) == "completed"; }))
        return notRun;
    pause(2000);
    Runner &runner = cell.runner(3);
    if (hasTrouble) {
        cell.onStandins([&] { runner.crash(); });
        pause(50);
        if (!cell.repeat([&] { return runner.startAgain(runner.shape()); }))
            return cannotRun(ledger, 5);
    }
    const std::string job = "00000000000000b1";
    if (!cell.submit(job, steps, 120))
        return cannotRun(ledger, 6);
    const bool isOver =
            cell.waitUntil(seconds(30), [&] { return cell.state(0, job) == "completed"; });
    if (!isOver && !hasTrouble)
        return cannotRun(ledger, 7);
    pause(1000);
    ledger.judgeTwice();
    return verdict(ledger, "TWICE");
}

// Twelve jobs need a label that one of twelve runners has. That runner is unhealthy for 6.5 s.
int pendingJobs(Ledger &ledger, bool hasTrouble)
{
    constexpr int64_t unhealthyTime = 6500;
    constexpr int64_t countedAge = 3000 + 2000; // `visible_ms` and 2 s
    constexpr size_t jobs = 12;
    std::vector<RunnerShape> shapes =
            runnersOf(12, {.service = "draw", .cpu = 16000, .memMb = 65536, .labels = {"a"}});
    shapes[5].labels = {"b"};
    Cell cell(ledger);
    if (!cell.open(3, shapes))
        return cannotRun(ledger, 8);
    pause(1000);
    const int64_t began = ledger.now();
    if (hasTrouble) {
        cell.onStandins([&] { cell.runner(5).setUnhealthy(true); });
        ledger.note("the runner with the label is unhealthy");
    }
    std::vector<std::pair<std::string, int64_t>> accepted; // id, time of the acknowledgement
    for (size_t number = 0; number < jobs; ++number) {
        const std::string id = absl::StrCat("00000000000000c", absl::Hex(number));
        if (!cell.submit(id, {{.count = 1, .cpu = 1000, .memMb = 1000, .label = "b"}}, 100))
            return cannotRun(ledger, 9);
        accepted.emplace_back(id, ledger.now());
    }
    while (ledger.now() - began < unhealthyTime - 100) {
        for (size_t member = 0; member < 3; ++member) {
            size_t waiting = 0;
            const int64_t askedAt = ledger.now();
            const int64_t pending = cell.pending(member);
            for (const auto &[id, at] : accepted)
                waiting += askedAt - at > countedAge && !ledger.hasBegun(id) ? 1 : 0;
            ledger.note(absl::StrCat("member ", member, " gives pending ", pending, "; ", waiting,
                                     " jobs were accepted over ", countedAge,
                                     " ms before and have not begun"));
            if (pending >= 0 && size_t(pending) * 2 < waiting)
                ledger.broken("MIXED",
                              absl::StrCat("member ", member, " gives ", pending, " as pending of ",
                                           waiting));
        }
        pause(200);
    }
    cell.onStandins([&] { cell.runner(5).setUnhealthy(false); });
    ledger.note("all runners are healthy");
    cell.waitUntil(seconds(20), [&] {
        size_t begun = 0;
        for (const auto &[id, at] : accepted)
            begun += ledger.hasBegun(id) ? 1 : 0;
        return begun == accepted.size();
    });
    return verdict(ledger, "MIXED");
}

// A runner crashes and is started again under its id 50 ms later; a long task comes in and has room
// on it alone. One second later the runner is cut off for 5.5 s and runs on.
int longLease(Ledger &ledger, bool hasTrouble)
{
    constexpr int64_t cutTime = 5500;
    Cell cell(ledger);
    if (!cell.open(
                3,
                runnersOf(8,
                          {.service = "draw", .cpu = 64000, .memMb = 131072, .holdMaxMs = 10000})))
        return cannotRun(ledger, 10);
    pause(1500);
    const std::string others = "00000000000000e1";
    if (!cell.submit(others, {{.count = 7, .cpu = 64000, .memMb = 9000, .estimateMs = 4000}}, 4000)
        || !cell.waitUntil(seconds(3), [&] { return ledger.starts(others) == 7; }))
        return cannotRun(ledger, 11);
    Runner *idle = nullptr;
    for (size_t index = 0; index < cell.runners(); ++index) {
        if (cell.onStandins([&] { return cell.runner(index).running(); }) == 0)
            idle = &cell.runner(index);
    }
    if (!idle)
        return cannotRun(ledger, 12);
    // CRASH=0 leaves out the first of the two disruptions only.
    const char *const crash = std::getenv("CRASH");
    if (hasTrouble && !(crash && std::string(crash) == "0")) {
        cell.onStandins([&] { idle->crash(); });
        pause(50);
        if (!cell.repeat([&] { return idle->startAgain(idle->shape()); }))
            return cannotRun(ledger, 13);
    }
    const std::string job = "00000000000000e2";
    if (!cell.submit(job, {{.count = 1, .cpu = 13000, .memMb = 9000, .estimateMs = 11000}}, 11000))
        return cannotRun(ledger, 14);
    if (!cell.waitUntil(seconds(10), [&] { return ledger.hasBegun(job); }))
        return cannotRun(ledger, 15);
    pause(1000);
    if (hasTrouble) {
        cell.onStandins([&] { idle->cutOff(); });
        ledger.note(idle->life() + " is cut off and runs on");
        pause(cutTime - 50);
        cell.onStandins([&] { idle->closeConnections(); });
        pause(50);
        if (!cell.repeat([&] { return idle->reconnect(); }))
            return cannotRun(ledger, 16);
        ledger.note(idle->life() + " is reached again");
    }
    const bool isOver =
            cell.waitUntil(seconds(60), [&] { return cell.state(0, job) == "completed"; });
    if (!isOver && !hasTrouble)
        return cannotRun(ledger, 17);
    pause(500);
    ledger.judgeTwice();
    return verdict(ledger, "TWICE");
}

} // namespace review
