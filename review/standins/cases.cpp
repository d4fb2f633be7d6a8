#include "cases.h"

#include "cell.h"

#include <absl/strings/str_cat.h>

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
        return notRun;
    const std::string job = "00000000000000a1";
    if (!cell.submit(job, {{.count = 3000, .cpu = 1000, .memMb = 2000, .estimateMs = 300}}, 300))
        return notRun;
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
        return notRun;
    pause(500);
    ledger.judgeTwice();
    return verdict(ledger, "TWICE");
}

// One of eight runners crashes and is started again under its id 50 ms later. A job of one short
// task a runner comes in right after that.
int endsOfNewLife(Ledger &ledger, bool hasTrouble)
{
    Cell cell(ledger);
    if (!cell.open(3, runnersOf(8, {.service = "draw", .cpu = 16000, .memMb = 65536})))
        return notRun;
    pause(2000);
    Runner &runner = cell.runner(3);
    if (hasTrouble) {
        cell.onStandins([&] { runner.crash(); });
        pause(50);
        if (!cell.onStandins([&] { return runner.startAgain(runner.shape()); }))
            return notRun;
    }
    const std::string job = "00000000000000b1";
    if (!cell.submit(job, {{.count = 8, .cpu = 1500, .memMb = 5600, .antiAffinity = 1}}, 120))
        return notRun;
    const bool isOver =
            cell.waitUntil(seconds(30), [&] { return cell.state(0, job) == "completed"; });
    if (!isOver && !hasTrouble)
        return notRun;
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
        return notRun;
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
            return notRun;
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

// Runners are busy. One of eight crashes again and again and is started again under its id as a
// machine of the other kind, with half the room or all of it.
int otherKind(Ledger &ledger, bool hasTrouble)
{
    constexpr int rounds = 16;
    const RunnerShape whole = {.service = "draw", .cpu = 16000, .memMb = 65536};
    const RunnerShape half = {.service = "draw", .cpu = 8000, .memMb = 32768};
    Cell cell(ledger);
    if (!cell.open(3, runnersOf(8, whole)))
        return notRun;
    for (int number = 0; number < 9; ++number) {
        if (!cell.submit(absl::StrCat("00000000000000d", number),
                         {{.count = 2000, .cpu = 1000, .memMb = 2000, .estimateMs = 400}}, 400))
            return notRun;
    }
    pause(2000);
    for (int round = 0; round < rounds; ++round) {
        Runner &runner = cell.runner(size_t(round / 2) % cell.runners());
        if (hasTrouble) {
            cell.onStandins([&] { runner.crash(); });
            pause(300 + round * 17 % 150);
            const RunnerShape &next = round % 2 == 0 ? half : whole;
            if (!cell.onStandins([&] { return runner.startAgain(next); }))
                return notRun;
        }
        pause(3000);
    }
    return verdict(ledger, "LIMIT");
}

} // namespace review
