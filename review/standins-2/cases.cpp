#include "cases.h"

#include "base/json.h"
#include "deployment.h"
#include "harness/call.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace cwl::review {

namespace {

void pause(int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

std::string jobId(int number)
{
    return absl::StrFormat("%016x", 0x5c0e0000 + number);
}

// A job, and when it was accepted.
struct Accepted
{
    std::string id;
    int64_t atMs = 0;
};

bool hasStarted(Deployment &cell, const std::string &task)
{
    return cell.onStandins([&] { return cell.log().starts.contains(task); });
}

void submit(Deployment &cell, size_t member, const std::string &id, const std::string &body)
{
    if (cell.call(member, "POST", Deployment::prefix + id, body).status != 200)
        throw CannotRun("a job was not accepted");
}

} // namespace

// Rule Fault. Clients hand in recurring jobs with thousands of tasks, one small request each. The
// platform ends a process that exceeds `memoryMb` and starts it again.
bool jobsBeyondMemory(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr int largeJobs = 60;
    constexpr int64_t memoryMb = 260; // as in the settings of the members
    constexpr int64_t judgedMs = 60000;
    constexpr int endsToFail = 3; // of a machine's process, on two machines
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 4; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number)});
    cell.open(3, runners,
              [](const std::string &, const std::string &) { return Behaviour{.runMs = 1000}; });
    cell.waitUntilServing();
    std::vector<int> ends(cell.memberCount(), 0);
    std::vector<TimePoint> startAgain(cell.memberCount());
    std::vector<int64_t> peakMb(cell.memberCount(), 0);
    // What the platform does: a look at each process, and a start of what has ended.
    const auto playPlatform = [&] {
        for (size_t index = 0; index < cell.memberCount(); ++index) {
            Member &member = cell.member(index);
            if (!member.process) {
                if (BootClock::now() >= startAgain[index])
                    cell.startMember(index);
                continue;
            }
            const bool isRunning = member.process->isRunning();
            const int64_t mb = isRunning ? member.process->residentBytes() / 1000000 : 0;
            peakMb[index] = std::max(peakMb[index], mb);
            if (isRunning && mb <= memoryMb)
                continue;
            ++ends[index];
            record.line(isRunning ? absl::StrCat("member ", index, " uses ", mb,
                                                 " MB and is ended by the platform")
                                  : absl::StrCat("member ", index, " has ended by itself"));
            cell.endMember(index);
            startAgain[index] = BootClock::now() + milliseconds(300);
        }
    };
    const int64_t now = UnixMilliseconds::now().value();
    const std::string large =
            absl::StrCat(R"({"spec":"round","phases":[{"count":)", hasTrouble ? 4900 : 10,
                         R"(,"cpu":1000,"memMb":64,"estRuntimeMs":1000}],"times":9,"startAtMs":)",
                         now, R"(,"intervalMs":1000})");
    int accepted = 0;
    for (int number = 0; number < largeJobs; ++number) {
        accepted += cell.call(size_t(number) % 3, "POST", Deployment::prefix + jobId(number), large)
                                .status
                        == 200
                ? 1
                : 0;
        playPlatform();
    }
    record.line(absl::StrCat(accepted, " jobs accepted, ", large.size(), " bytes each"));
    const TimePoint until = BootClock::now() + milliseconds(judgedMs);
    const TimePoint ordinaryAt = BootClock::now() + milliseconds(judgedMs / 3);
    bool isHandedIn = false;
    while (BootClock::now() < until) {
        playPlatform();
        if (!isHandedIn && BootClock::now() >= ordinaryAt)
            isHandedIn =
                    cell.call(0, "POST", Deployment::prefix + jobId(1000),
                              R"({"spec":"pair","phases":[{"count":1,"cpu":1000,"memMb":64}]})")
                            .status
                    == 200;
        pause(20);
    }
    const bool isStarted =
            cell.onStandins([&] { return cell.log().starts.contains(jobId(1000) + ".0.0.0"); });
    record.line(absl::StrCat("an ordinary job of one task was ", isHandedIn ? "" : "not ",
                             "accepted and has ", isStarted ? "" : "not ", "started"));
    int failedMachines = 0;
    for (size_t index = 0; index < ends.size(); ++index) {
        record.line(absl::StrCat("member ", index, ": ", ends[index], " ends, at most ",
                                 peakMb[index], " MB"));
        failedMachines += ends[index] >= endsToFail ? 1 : 0;
    }
    return failedMachines < 2;
}

// Rule LOST. Lasting jobs need a label that one runner of eight has; that runner is lost for good.
// They have to wait. A job that any other runner could run is handed in afterwards.
bool hopelessLastingSteps(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr int lastingJobs = 70;
    constexpr int64_t finishMs = 14000; // finish_s
    constexpr int64_t nothingRunsMs = 3000;
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 7; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number)});
    runners.push_back({.id = "i-b0", .cpu = 16000, .labels = {"b", "r2"}});
    cell.open(3, runners, [](const std::string &, const std::string &spec) {
        return spec == "watch" ? Behaviour{.runMs = 0, .lasts = true} : Behaviour{.runMs = 300};
    });
    cell.waitUntilServing();
    for (int number = 0; number < lastingJobs; ++number)
        submit(cell, size_t(number) % 3, jobId(number),
               R"({"spec":"watch","phases":[{"count":1,"cpu":100,"memMb":16,"estRuntimeMs":600,)"
               R"("requires":"b","longRunning":true}]})");
    const bool areRunning = harness::waitUntil(BootClock::now() + seconds(20), [&] {
        return cell.onStandins([&] { return cell.runner(7).running(); }) == size_t(lastingJobs);
    });
    if (!areRunning)
        throw CannotRun("the lasting jobs did not start");
    record.line(absl::StrCat(lastingJobs, " lasting jobs run on i-b0"));
    if (hasTrouble)
        cell.onStandins([&] {
            cell.runner(7).crash();
            cell.store().remove("servers", "i-b0");
        });
    pause(8000); // the runner's lease ends within 6 s (holdMaxMs)
    const std::string job = jobId(1000);
    submit(cell, 0, job,
           R"({"spec":"round","phases":[{"count":2,"cpu":1000,"memMb":64,"estRuntimeMs":300}]})");
    record.line("end of the traffic");
    pause(finishMs);
    // For 3 s: nothing of the job runs, its first step's turn has come, and the seven runners with
    // 28 cores are idle.
    const TimePoint until = BootClock::now() + milliseconds(nothingRunsMs);
    bool hasRun = false;
    while (BootClock::now() < until) {
        hasRun = hasRun || cell.onStandins([&] {
            return cell.log().starts.contains(job + ".0.0.0")
                    || cell.log().starts.contains(job + ".0.0.1");
        });
        pause(200);
    }
    const std::string state = cell.state(0, job);
    record.line(absl::StrCat("17 s after its acceptance the job is shown as '", state, "', and ",
                             hasRun ? "a task of it has" : "no task of it has", " started"));
    return hasRun;
}

// Rule LOST. One of three machines is removed for good while short jobs come steadily. A job that
// lasts, whose queue has a hint that takes longer, is handed in afterwards.
bool adviceWithoutAMember(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr int64_t fromLastRunMs = 6000;
    constexpr int64_t nothingRunsMs = 3000;
    constexpr int64_t observedMs = 45000;
    constexpr int lastingJobs = 6;
    constexpr int64_t lastingEveryMs = 3000;
    const std::string routes =
            R"({"name":"r2","host":"draws.example","pathPrefix":"/watch/","kind":"non_idempotent",
            "timeoutMs":3000,"targetLatencyMs":2500,"priority":1,"service":"draw","maxAttempts":4,
            "slowdownFactor":2.2,"hint":{"decisionMs":560,"periodMs":8,"validityMs":2000}},
            {"name":"r3","host":"draws.example","pathPrefix":"/pair/","kind":"non_idempotent",
            "timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"draw","maxAttempts":3,
            "slowdownFactor":1.5,"hint":{"decisionMs":40,"periodMs":0.5,"validityMs":2000}},)";
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 8; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number), .cpu = 16000});
    cell.open(
            3, runners,
            [](const std::string &, const std::string &spec) {
                return spec == "watch" ? Behaviour{.runMs = 0, .lasts = true}
                                       : Behaviour{.runMs = 300};
            },
            routes,
            [](const std::string &phase) {
                return phase[0] == 'a' ? AdviceTimes{560, 8} : AdviceTimes{40, 0.5};
            });
    cell.waitUntilServing();
    const size_t owner = cell.owner();
    std::vector<size_t> others;
    for (size_t index = 0; index < 3; ++index) {
        if (index != owner)
            others.push_back(index);
    }
    const size_t removed =
            cell.member(others[0]).members < cell.member(others[1]).members ? others[0] : others[1];
    if (hasTrouble) {
        record.line(absl::StrCat("member ", removed, " is removed for good (SIGTERM)"));
        cell.member(removed).process->terminate();
        if (!cell.member(removed).process->waitForExit(BootClock::now() + seconds(8)).ok())
            throw CannotRun("the member did not stop");
        cell.endMember(removed);
        pause(4000); // more than contactMs
    }
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    for (int client = 0; client < 3; ++client)
        clients.emplace_back([&, client] {
            TimePoint next = BootClock::now() + milliseconds(33 * client);
            for (int number = 0; !isOver; ++number) {
                std::this_thread::sleep_until(next);
                next += milliseconds(100);
                cell.call(owner, "POST", absl::StrCat("/pair/", jobId(10000 + 3 * number + client)),
                          R"({"spec":"round","phases":[{"count":1,"cpu":500,"memMb":64,)"
                          R"("estRuntimeMs":300}]})");
            }
        });
    pause(3000);
    std::vector<Accepted> lasting;
    const TimePoint until = BootClock::now() + milliseconds(observedMs);
    TimePoint next = BootClock::now();
    int64_t longestMs = 0;
    bool isLost = false;
    while (BootClock::now() < until) {
        if (int(lasting.size()) < lastingJobs && BootClock::now() >= next) {
            next += milliseconds(lastingEveryMs);
            const std::string id = absl::StrFormat("a%015x", lasting.size());
            if (cell.call(owner, "POST", "/watch/" + id,
                          R"({"spec":"watch","phases":[{"count":2,"cpu":1000,"memMb":64,)"
                          R"("estRuntimeMs":600,"longRunning":true}]})")
                        .status
                == 200)
                lasting.push_back({id, record.elapsedMs()});
        }
        for (const Accepted &job : lasting) {
            for (const char *const index : {".0.0.0", ".0.0.1"}) {
                const std::string task = job.id + index;
                const int64_t waitedMs = record.elapsedMs() - job.atMs;
                if (hasStarted(cell, task))
                    continue;
                longestMs = std::max(longestMs, waitedMs);
                if (waitedMs >= fromLastRunMs + nothingRunsMs && !isLost) {
                    isLost = true;
                    record.line(absl::StrCat("task ", task, " has not started ", waitedMs,
                                             " ms after its job was accepted"));
                }
            }
        }
        pause(20);
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    int neverStarted = 0;
    for (const Accepted &job : lasting)
        neverStarted += hasStarted(cell, job.id + ".0.0.0") ? 0 : 1;
    record.line(absl::StrCat(lasting.size(), " lasting jobs, ", neverStarted,
                             " of them never started; the longest wait was ", longestMs, " ms"));
    return !isLost;
}

// Rule BUDGET. A wide job can never be done: each of its tasks fails. Its owner is killed once the
// first failures have been taken note of.
bool attemptsOfAWideJob(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr size_t tasks = 1500;
    constexpr int64_t maxAttempts = 2; // of the queue
    constexpr int soundJobs = 24;
    const std::string route =
            R"({"name":"r2","host":"draws.example","pathPrefix":"/wide/","kind":"non_idempotent",
            "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"draw","maxAttempts":2,
            "slowdownFactor":2.2},)";
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 8; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number), .cpu = 16000, .recordedTasks = 5});
    const std::string job = jobId(1);
    cell.open(
            3, runners,
            [&job](const std::string &task, const std::string &) {
                return task.starts_with(job) ? Behaviour{.runMs = 1500, .how = "failed"}
                                             : Behaviour{.runMs = 300};
            },
            route);
    cell.waitUntilServing();
    // So that one job in twenty and fewer can never be done.
    for (int number = 0; number < soundJobs; ++number)
        submit(cell, size_t(number) % 3, jobId(100 + number),
               R"({"spec":"pair","phases":[{"count":1,"cpu":500,"memMb":64,"estRuntimeMs":300}]})");
    const Answer accepted =
            cell.call(0, "POST", "/wide/" + job,
                      absl::StrCat(R"({"spec":"round","phases":[{"count":)", tasks,
                                   R"(,"cpu":80,"memMb":1,"estRuntimeMs":1500}]})"));
    if (accepted.status != 200)
        throw CannotRun("the wide job was not accepted");
    const auto failures = [&](size_t index) {
        const auto ends = cell.log().ends.find(absl::StrCat(job, ".0.0.", index));
        return ends == cell.log().ends.end()
                ? size_t(0)
                : size_t(std::count(ends->second.begin(), ends->second.end(), "failed"));
    };
    const bool haveFailed = harness::waitUntil(BootClock::now() + seconds(30), [&] {
        return cell.onStandins([&] {
            size_t failed = 0;
            for (size_t index = 0; index < tasks; ++index)
                failed += failures(index) >= 1 ? 1 : 0;
            size_t unacknowledged = 0;
            for (size_t index = 0; index < cell.runnerCount(); ++index)
                unacknowledged += cell.runner(index).unacknowledged();
            return failed == tasks && unacknowledged == 0;
        });
    });
    if (!haveFailed)
        throw CannotRun("the first runs did not all fail");
    record.line(absl::StrCat("each of ", tasks,
                             " tasks has failed once, and all ends are taken "
                             "note of"));
    if (hasTrouble) {
        const size_t owner = cell.owner();
        record.line(absl::StrCat("member ", owner, ", the owner, is killed"));
        cell.endMember(owner);
        pause(500);
        cell.startMember(owner);
    }
    const bool hasEnded = harness::waitUntil(BootClock::now() + seconds(60), [&] {
        pause(500);
        return cell.state(1, job) == "failed" || cell.state(2, job) == "failed";
    });
    // The ends count only once they are taken note of.
    const bool areAcknowledged = harness::waitUntil(BootClock::now() + seconds(15), [&] {
        return cell.onStandins([&] {
            size_t left = 0;
            for (size_t index = 0; index < cell.runnerCount(); ++index)
                left += cell.runner(index).unacknowledged() + cell.runner(index).running();
            return left == 0;
        });
    });
    if (!areAcknowledged)
        throw CannotRun("some ends are not acknowledged");
    size_t broken = 0;
    size_t mostStarts = 0;
    cell.onStandins([&] {
        for (size_t index = 0; index < tasks; ++index) {
            const std::string task = absl::StrCat(job, ".0.0.", index);
            const std::vector<RunnerLog::Start> &starts = cell.log().starts[task];
            mostStarts = std::max(mostStarts, starts.size());
            const bool isBroken = std::any_of(starts.begin(), starts.end(), [](const auto &start) {
                return start.failedBefore >= maxAttempts;
            });
            if (isBroken && ++broken <= 3)
                record.line(absl::StrCat("task ", task, ": ", starts.size(),
                                         " starts, the last one after ", starts.back().failedBefore,
                                         " runs had failed"));
        }
        return 0;
    });
    record.line(absl::StrCat(hasEnded ? "the job is shown as failed; " : "the job has not ended; ",
                             broken, " tasks were started after ", maxAttempts,
                             " runs had failed; most starts of one task: ", mostStarts));
    return broken == 0;
}

// Rule LOST. All tasks of one job that lasts fail by their own fault, 5 to 20 s after each start.
// Sound jobs that last are handed in meanwhile.
bool failingLastingJob(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr int failingTasks = 192;
    constexpr int64_t fromLastRunMs = 6000;
    constexpr int64_t nothingRunsMs = 3000;
    constexpr int soundJobs = 10;
    constexpr int64_t soundEveryMs = 4000;
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 8; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number), .cpu = 16000});
    std::mt19937 random(1);
    cell.open(3, runners,
              [&random, hasTrouble](const std::string &, const std::string &spec) -> Behaviour {
                  if (spec == "watch" || (spec == "broken" && !hasTrouble))
                      return {.runMs = 0, .lasts = true};
                  if (spec == "broken")
                      return {.runMs = std::uniform_int_distribution<int64_t>(5000, 20000)(random),
                              .how = "failed",
                              .lasts = true};
                  return {.runMs = 300};
              });
    cell.waitUntilServing();
    submit(cell, 0, jobId(1),
           absl::StrCat(
                   R"({"spec":"broken","phases":[{"count":)", failingTasks,
                   R"(,"cpu":250,"memMb":64,"estRuntimeMs":600,"antiAffinity":24,"longRunning":true}]})"));
    pause(9000);
    std::vector<Accepted> sound;
    int64_t longestMs = 0;
    bool isLost = false;
    TimePoint next = BootClock::now();
    const TimePoint until = next + milliseconds(soundJobs * soundEveryMs + 12000);
    while (BootClock::now() < until) {
        if (int(sound.size()) < soundJobs && BootClock::now() >= next) {
            next += milliseconds(soundEveryMs);
            const std::string id = jobId(100 + int(sound.size()));
            submit(cell, 1, id,
                   R"({"spec":"watch","phases":[{"count":1,"cpu":500,"memMb":64,)"
                   R"("estRuntimeMs":600,"longRunning":true}]})");
            sound.push_back({id, record.elapsedMs()});
        }
        for (const Accepted &job : sound) {
            const std::string task = job.id + ".0.0.0";
            if (hasStarted(cell, task))
                continue;
            const int64_t waitedMs = record.elapsedMs() - job.atMs;
            longestMs = std::max(longestMs, waitedMs);
            if (waitedMs >= fromLastRunMs + nothingRunsMs && !isLost) {
                isLost = true;
                const size_t running = cell.onStandins([&] { return cell.log().running.size(); });
                record.line(absl::StrCat("task ", task, " has not started ", waitedMs,
                                         " ms after its job was accepted; ", running,
                                         " tasks run, on at most ", running * 500,
                                         " of 128000 thousandths of a core"));
            }
        }
        pause(20);
    }
    record.line(absl::StrCat("the longest wait of a sound task was ", longestMs, " ms"));
    return !isLost;
}

// Rule LOST. A queue has had short jobs with rough estimates. Then a task of four minutes comes,
// with the right estimate. One runner of eight has the label that it needs, and is idle otherwise.
bool longTaskAfterShortOnes(Record &record, const std::string &program, bool hasTrouble)
{
    constexpr int shortJobs = 60;
    constexpr int64_t shortMs = 300;
    constexpr int64_t longMs = 240000;
    constexpr int64_t finishMs = 14000; // finish_s
    constexpr int64_t nothingRunsMs = 3000;
    constexpr int64_t observedMs = 60000;
    const std::string otherQueue =
            R"({"name":"r2","host":"draws.example","pathPrefix":"/other/","kind":"non_idempotent",
            "timeoutMs":3000,"targetLatencyMs":2500,"priority":1,"service":"draw","maxAttempts":4,
            "slowdownFactor":2.2},)";
    Deployment cell(record, program);
    std::vector<RunnerOptions> runners;
    for (int number = 0; number < 7; ++number)
        runners.push_back({.id = absl::StrCat("i-a", number)});
    runners.push_back({.id = "i-b0", .labels = {"b", "r2"}});
    cell.open(
            3, runners,
            [](const std::string &, const std::string &spec) {
                return Behaviour{.runMs = spec == "long" ? longMs : shortMs};
            },
            otherQueue);
    cell.waitUntilServing();
    // Estimates are off by up to a third. Without the trouble these jobs come through another
    // queue.
    for (int number = 0; number < shortJobs; ++number) {
        const int64_t estimate = shortMs * (70 + 10 * (number % 7)) / 100;
        const std::string path =
                absl::StrCat(hasTrouble ? Deployment::prefix : "/other/", jobId(100 + number));
        if (cell.call(size_t(number) % 3, "POST", path,
                      absl::StrCat(R"({"spec":"short","phases":[{"count":1,"cpu":1000,"memMb":64,)",
                                   R"("estRuntimeMs":)", estimate, "}]}"))
                    .status
            != 200)
            throw CannotRun("a job was not accepted");
        pause(50);
    }
    pause(1000);
    const std::string job = jobId(1);
    const std::string task = job + ".0.0.0";
    submit(cell, 0, job,
           absl::StrCat(R"({"spec":"long","phases":[{"count":1,"cpu":1000,"memMb":64,)",
                        R"("estRuntimeMs":)", longMs, R"(,"requires":"b"}]})"));
    record.line("end of the traffic");
    pause(finishMs);
    int64_t idleSinceMs = record.elapsedMs();
    int64_t longestMs = 0;
    const TimePoint until = BootClock::now() + milliseconds(observedMs);
    while (BootClock::now() < until) {
        if (cell.onStandins([&] { return cell.log().running.contains(task); }))
            idleSinceMs = record.elapsedMs();
        longestMs = std::max(longestMs, record.elapsedMs() - idleSinceMs);
        pause(20);
    }
    const std::string state = cell.state(0, job);
    const auto [starts, stops] = cell.onStandins([&] {
        const std::vector<std::string> &ends = cell.log().ends[task];
        return std::pair(cell.log().starts[task].size(),
                         std::count(ends.begin(), ends.end(), "stopped"));
    });
    record.line(absl::StrCat(
            "the job, which nobody has cancelled, is shown as '", state, "'; ", starts, " starts, ",
            stops, " of them stopped; with i-b0 idle nothing ran for up to ", longestMs, " ms"));
    return longestMs < nothingRunsMs;
}

} // namespace cwl::review
