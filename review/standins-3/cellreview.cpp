// Plays one case of the review: cellreview CASE PROGRAM RECORD. Exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.

#include "deployment.h"

#include <cstdio>
#include <unistd.h>

using namespace review;

namespace {

Deployment *opened = nullptr;

Deployment &open(Record &record, const std::string &program, const std::vector<Queue> &queues)
{
    opened = new Deployment(record, program, queues);
    return *opened;
}

constexpr int broken = 1;
constexpr int held = 0;
constexpr int notRun = 2;

bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

std::string oneStep(const std::string &spec, const std::string &fields)
{
    return "{\"spec\":\"" + spec + "\",\"phases\":[{" + fields + "}]}";
}

// Section: one job that cannot be done

// LOST, last sentence: a job has nothing running for 3 s while the turn of a task has come, there
// is capacity for it twice over and under half of the service's capacity is in use. Ordinary jobs
// come before and after a job that lasts and whose tasks always fail.
int starve(Record &record, const std::string &program)
{
    // Before the hopeless job, within 3 s: as many sound jobs of its own queue, and ordinary ones
    // of the other. So 1 of 31 messages of its queue is hopeless.
    constexpr int earlier = 30;
    constexpr int later = 60; // ordinary jobs after it
    constexpr int64_t pauseMs = 80;
    constexpr int64_t cpuOfSound = 50;
    constexpr int64_t finishMs = 14000;
    constexpr int64_t cpuOfRunner = 4000;
    constexpr int64_t cpuOfService = 4 * cpuOfRunner;
    Deployment &cell = open(record, program,
                            {{.name = "draw-pair", .prefix = "/draw/", .service = "draw-svc"},
                             {.name = "motion-watch",
                              .prefix = "/watch/",
                              .service = "draw-svc",
                              .priority = 1,
                              .maxAttempts = 4,
                              .slowdownFactor = 2.2,
                              .targetLatencyMs = 2500}});
    for (int number = 0; number < 4; ++number)
        cell.addRunner(
                {.id = "i-" + std::to_string(number), .service = "draw-svc", .cpu = cpuOfRunner});
    if (!cell.open(3))
        return notRun;
    const std::string ordinary =
            oneStep("run=200", "\"count\":2,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":200");
    const std::string hopeless = oneStep("fail=50",
                                         "\"count\":6,\"cpu\":1300,\"memMb\":256,"
                                         "\"estRuntimeMs\":620,\"longRunning\":true");
    const auto isCompleted = [&](int number) {
        return cell.stateOf("/draw/" + jobId(number)) == "completed";
    };
    const std::string sound = oneStep("run=0",
                                      "\"count\":1,\"cpu\":50,\"memMb\":16,\"estRuntimeMs\":620,"
                                      "\"longRunning\":true");
    for (int number = 0; number < earlier; ++number) {
        if (!cell.submit("/watch/" + jobId(3000 + number), sound)
            || !cell.submit("/draw/" + jobId(number), ordinary))
            return notRun;
        sleepMs(pauseMs);
    }
    if (hasTrouble()
        && !cell.submit("/watch/" + jobId(1000), hopeless,
                        "six lasting tasks of 1.3 cores, which always fail after 50 ms"))
        return notRun;
    for (int number = earlier; number < earlier + later; ++number) {
        if (!cell.submit("/draw/" + jobId(number), ordinary))
            return notRun;
        sleepMs(pauseMs);
    }
    record.add("the traffic has ended");
    sleepMs(finishMs);
    std::map<int, int64_t> idleSince; // jobs that are not completed
    for (int number = 0; number < earlier + later; ++number) {
        if (!isCompleted(number))
            idleSince[number] = steadyMs();
    }
    record.add(std::to_string(idleSince.size()) + " of " + std::to_string(earlier + later)
               + " ordinary jobs are not completed 14 s after the end of the traffic");
    std::set<int> lost;
    const int64_t until = steadyMs() + 5000;
    while (!idleSince.empty() && steadyMs() < until) {
        sleepMs(5);
        int64_t used = 0;
        std::set<std::string> busy;
        for (const auto &runner : cell.runners) {
            for (const auto &[task, run] : runner->running()) {
                // What the tasks ask for: of the hopeless job, of the sound ones, of others.
                if (task.substr(0, 16) == jobId(1000))
                    used += 1300;
                else
                    used += run.runMs == 0 ? cpuOfSound : 500;
                busy.insert(task.substr(0, 16));
            }
        }
        const bool isCapacityFree = 2 * used < cpuOfService && cpuOfService - used >= 2 * 500;
        for (auto &[number, since] : idleSince) {
            if (!isCapacityFree || busy.contains(jobId(number)))
                since = steadyMs();
            else if (steadyMs() - since >= 3000)
                lost.insert(number);
        }
    }
    record.add("LOST: " + std::to_string(lost.size())
               + " accepted jobs have had nothing running for 3 s, with most runners idle");
    return lost.empty() ? held : broken;
}

// Section: a gang that finds no room

// LOST, last sentence: a gang of five that finds room on four runners only, since tasks that last
// are at work on the other six, keeps those four runners from less urgent jobs.
int reserve(Record &record, const std::string &program)
{
    // Before the hopeless gang, within 3 s: as many sound gangs of its own queue, of one task each,
    // and ordinary jobs of the other. So 1 of 31 messages of its queue is hopeless.
    constexpr int earlier = 30;
    constexpr int later = 60; // ordinary jobs after it
    constexpr int64_t pauseMs = 80;
    constexpr int64_t finishMs = 14000;
    constexpr int64_t cpuOfService = 10 * 4000;
    Deployment &cell = open(record, program,
                            {{.name = "motion-watch",
                              .prefix = "/watch/",
                              .service = "draw-svc",
                              .priority = 1,
                              .slowdownFactor = 2.2,
                              .targetLatencyMs = 2500},
                             {.name = "speech-transcribe",
                              .prefix = "/speech/",
                              .service = "draw-svc",
                              .priority = 1,
                              .slowdownFactor = 2.2,
                              .targetLatencyMs = 1000},
                             {.name = "tab-rebuild",
                              .prefix = "/tab/",
                              .service = "draw-svc",
                              .priority = 2,
                              .slowdownFactor = 4,
                              .targetLatencyMs = 3000}});
    for (int number = 0; number < 10; ++number)
        cell.addRunner({.id = "i-" + std::to_string(number), .service = "draw-svc"});
    if (!cell.open(3))
        return notRun;
    if (!cell.submit("/watch/" + jobId(1001),
                     oneStep("run=0",
                             "\"count\":6,\"cpu\":2500,\"memMb\":256,\"estRuntimeMs\":620,"
                             "\"longRunning\":true,\"antiAffinity\":1")))
        return notRun;
    sleepMs(1000);
    const std::string ordinary =
            oneStep("run=200", "\"count\":1,\"cpu\":2000,\"memMb\":256,\"estRuntimeMs\":200");
    const std::string sound = oneStep("run=4500",
                                      "\"count\":1,\"cpu\":100,\"memMb\":16,\"estRuntimeMs\":4500,"
                                      "\"gang\":true");
    for (int number = 0; number < earlier + later; ++number) {
        if (number < earlier && !cell.submit("/speech/" + jobId(3000 + number), sound))
            return notRun;
        if (number == earlier && hasTrouble()
            && !cell.submit("/speech/" + jobId(1000),
                            oneStep("run=11000",
                                    "\"count\":5,\"cpu\":3000,\"memMb\":256,\"estRuntimeMs\":11000,"
                                    "\"gang\":true"),
                            "a gang that finds no room"))
            return notRun;
        if (!cell.submit("/tab/" + jobId(number), ordinary))
            return notRun;
        sleepMs(pauseMs);
    }
    record.add("the traffic has ended");
    sleepMs(finishMs);
    std::map<int, int64_t> idleSince; // jobs that are not completed
    for (int number = 0; number < earlier + later; ++number) {
        if (cell.stateOf("/tab/" + jobId(number)) != "completed")
            idleSince[number] = steadyMs();
    }
    record.add(std::to_string(idleSince.size()) + " jobs are not completed 14 s after the end of "
               + "the traffic");
    std::set<int> lost;
    const int64_t until = steadyMs() + 5000;
    while (!idleSince.empty() && steadyMs() < until) {
        sleepMs(5);
        int64_t used = 0;
        std::set<std::string> busy;
        for (const auto &runner : cell.runners) {
            for (const auto &[task, run] : runner->running()) {
                used += task.substr(0, 16) == jobId(1001)   ? 2500
                        : task.substr(0, 16) == jobId(1000) ? 3000
                                                            : 2000;
                busy.insert(task.substr(0, 16));
            }
        }
        // Four runners have room for two of these tasks each.
        const bool isCapacityFree = 2 * used < cpuOfService && used <= 6 * 2500 + 4000;
        for (auto &[number, since] : idleSince) {
            if (!isCapacityFree || busy.contains(jobId(number)))
                since = steadyMs();
            else if (steadyMs() - since >= 3000)
                lost.insert(number);
        }
    }
    record.add("LOST: " + std::to_string(lost.size())
               + " accepted jobs have had nothing running for 3 s, with four runners idle");
    return lost.empty() ? held : broken;
}

// Section: the count of waiting jobs

// MIXED: a machine in touch gives as `pending` under half of the jobs without times that were
// accepted over visible_ms + 2 s before and have not begun.
int pending(Record &record, const std::string &program)
{
    constexpr int jobs = 2;
    constexpr int64_t visibleMs = 3000 + 2000;
    constexpr int64_t hangMs = 5300; // the limit is 5.5 s
    Deployment &cell = open(record, program,
                            {{.name = "draw-pair", .prefix = "/draw/", .service = "draw-svc"},
                             {.name = "tab-rebuild",
                              .prefix = "/tab/",
                              .service = "draw-svc",
                              .priority = 2,
                              .slowdownFactor = 4,
                              .targetLatencyMs = 3000}});
    for (int number = 0; number < 10; ++number)
        cell.addRunner({.id = "i-" + std::to_string(number), .service = "draw-svc"});
    if (!cell.open(3))
        return notRun;
    // Nine of the ten runners are at work for a minute; they cannot be preempted.
    if (!cell.submit("/tab/" + jobId(1000),
                     oneStep("run=60000",
                             "\"count\":9,\"cpu\":3500,\"memMb\":256,\"estRuntimeMs\":"
                             "60000,\"antiAffinity\":1")))
        return notRun;
    sleepMs(1500);
    Runner *free = nullptr;
    int busy = 0;
    for (const auto &runner : cell.runners) {
        if (runner->running().empty())
            free = runner.get();
        else
            ++busy;
    }
    if (busy != 9 || !free)
        return notRun;
    record.add("9 runners are busy, " + free->options().id + " is free");
    const std::string ordinary =
            oneStep("run=300", "\"count\":1,\"cpu\":1000,\"memMb\":256,\"estRuntimeMs\":300");
    // Starts at the same time open both connections that the owner keeps for orders to a runner.
    const std::string wide =
            oneStep("run=300", "\"count\":3,\"cpu\":1000,\"memMb\":256,\"estRuntimeMs\":300");
    for (int number = 2000; number < 2006; ++number) {
        if (!cell.submit("/draw/" + jobId(number), wide))
            return notRun;
    }
    sleepMs(2000);
    if (!free->running().empty())
        return notRun;
    const int64_t troubleAt = steadyMs();
    if (hasTrouble()) {
        record.add(free->options().id + " leaves all requests unanswered for 5.3 s");
        free->hangs = true;
    }
    std::map<std::string, int64_t> acceptedAt; // by id, of the record
    for (int number = 0; number < jobs; ++number) {
        if (!cell.submit("/draw/" + jobId(number), ordinary))
            return notRun;
        acceptedAt[jobId(number)] = record.nowMs();
    }
    int wrong = 0;
    int asked = 0;
    while (steadyMs() < troubleAt + 15000) {
        if (free->hangs && steadyMs() >= troubleAt + hangMs) {
            free->hangs = false;
            record.add(free->options().id + " answers again");
        }
        const int64_t sentAt = record.nowMs();
        const Response response = cell.send("GET", "/draw/", "");
        const auto begun = [&](const std::string &id) {
            for (const auto &runner : cell.runners) {
                for (const auto &[task, at] : runner->begun()) {
                    if (task.substr(0, 16) == id)
                        return true;
                }
            }
            return false;
        };
        int waiting = 0;
        for (const auto &[id, at] : acceptedAt)
            waiting += sentAt - at > visibleMs && !begun(id) ? 1 : 0;
        if (response.status == 200 && waiting > 0) {
            ++asked;
            const int64_t told = fromText(response.body)["pending"].asInt64();
            if (2 * told < waiting) {
                ++wrong;
                record.add("pending is " + std::to_string(told) + ", and " + std::to_string(waiting)
                           + " jobs that were accepted over 5 s before have not begun");
            }
        }
        sleepMs(100);
    }
    record.add("MIXED: " + std::to_string(wrong) + " of " + std::to_string(asked)
               + " counts were under half of the jobs that had not begun");
    return wrong > 0 ? broken : held;
}

// Section: a lasting task at work

// AVAIL: a stop ends a task of a step with maxUnavailable that is at work on a sound runner that
// is not draining, while so many others of its step are not at work for noticeMs.
int avail(Record &record, const std::string &program)
{
    constexpr int64_t noticeMs = 4500;
    constexpr int64_t batchMs = 9000;
    constexpr int64_t troubleMs = 5500;
    Deployment &cell = open(record, program,
                            {{.name = "draw-pair", .prefix = "/draw/", .service = "draw-svc"},
                             {.name = "motion-watch",
                              .prefix = "/watch/",
                              .service = "draw-svc",
                              .priority = 1,
                              .maxAttempts = 4,
                              .slowdownFactor = 2.2,
                              .targetLatencyMs = 2500},
                             {.name = "tab-rebuild",
                              .prefix = "/tab/",
                              .service = "draw-svc",
                              .priority = 2,
                              .slowdownFactor = 4,
                              .targetLatencyMs = 3000}});
    for (int number = 0; number < 3; ++number)
        cell.addRunner({.id = "i-" + std::to_string(number), .service = "draw-svc", .cpu = 5000});
    const std::string id = jobId(1);
    std::vector<std::pair<std::string, int64_t>> stopped; // tasks at work, and when
    std::mutex mutex;
    int64_t submittedAt = 0; // of the record, as all times here
    for (const auto &runner : cell.runners) {
        runner->losingJob = id;
        runner->onStopOrder = [&, runner = runner.get()](const std::string &task,
                                                         const Runner::Run &run) {
            if (task.substr(0, 16) != id)
                return;
            const bool isAtWork = runner->percentOf(run) == 100;
            record.add("stop of " + task + ": at work " + (isAtWork ? "yes" : "no"));
            const std::lock_guard lock(mutex);
            if (isAtWork)
                stopped.emplace_back(task, record.nowMs());
        };
    }
    if (!cell.open(3))
        return notRun;
    // Two runners have no room for a task of the step: one for 9 s, one until the end.
    if (!cell.submit("/tab/" + jobId(1001),
                     oneStep("run=60000",
                             "\"count\":1,\"cpu\":4000,\"memMb\":256,\"estRuntimeMs\":60000"))
        || !cell.submit("/tab/" + jobId(1000),
                        oneStep("run=" + std::to_string(batchMs),
                                "\"count\":1,\"cpu\":4000,\"memMb\":256,\"estRuntimeMs\":9000")))
        return notRun;
    const int64_t batchAt = steadyMs();
    sleepMs(1000);
    Runner *busy = nullptr;
    for (const auto &runner : cell.runners) {
        if (runner->running().contains(jobId(1000) + ".0.0.0"))
            busy = runner.get();
    }
    if (!busy)
        return notRun;
    if (!cell.submit("/watch/" + id,
                     oneStep("run=0",
                             "\"count\":3,\"cpu\":4000,\"memMb\":256,\"estRuntimeMs\":620,"
                             "\"longRunning\":true,\"maxUnavailable\":1")))
        return notRun;
    submittedAt = record.nowMs();
    // Small jobs all along, with a task on each runner: one lost answer is then under a fortieth
    // (x) of what the runner executes meanwhile.
    const std::string ordinary = oneStep("run=100",
                                         "\"count\":3,\"antiAffinity\":1,\"cpu\":250,\"memMb\":256,"
                                         "\"estRuntimeMs\":100");
    const int64_t troubleAt = batchAt + batchMs - 1000;
    bool isOn = false;
    bool isOver = false;
    int callsBefore = 0;
    for (int number = 10; steadyMs() < batchAt + batchMs + 9000; ++number) {
        if (!cell.submit("/draw/" + jobId(number), ordinary))
            return notRun;
        sleepMs(60);
        if (!isOn && steadyMs() >= troubleAt) {
            isOn = true;
            callsBefore = busy->calls;
            if (hasTrouble()) {
                record.add("of the calls that " + busy->options().id
                           + " executes in the next 5.5 s, one answer will be lost");
                busy->losesStartOf = true;
            }
        }
        if (isOn && !isOver && steadyMs() >= troubleAt + troubleMs) {
            isOver = true;
            const int calls = busy->calls - callsBefore;
            record.add(busy->options().id + " has executed " + std::to_string(calls)
                       + " calls in 5.5 s");
            if (calls < 40)
                return notRun;
        }
    }
    const std::lock_guard lock(mutex);
    int wrong = 0;
    for (const auto &stop : stopped) {
        const std::string &task = stop.first;
        const int64_t at = stop.second;
        int away = 0; // other tasks of the step that had not run since the job was accepted
        for (int index = 0; index < 3; ++index) {
            const std::string other = id + ".0.0." + std::to_string(index);
            const bool hasRun =
                    std::any_of(cell.runners.begin(), cell.runners.end(), [&](const auto &runner) {
                        const auto begun = runner->begun();
                        return begun.contains(other) && begun.at(other) < at;
                    });
            away += other != task && !hasRun && at - submittedAt > noticeMs ? 1 : 0;
        }
        record.add(task + " was at work when it was stopped, and " + std::to_string(away)
                   + " other tasks of its step had been away for over 4.5 s");
        wrong += away >= 1 ? 1 : 0; // maxUnavailable
    }
    record.add("AVAIL: " + std::to_string(wrong) + " tasks at work were stopped");
    return wrong > 0 ? broken : held;
}

struct Case
{
    const char *name;
    int (*play)(Record &record, const std::string &program);
};

constexpr Case cases[] = {
        {"starve", starve}, {"reserve", reserve}, {"pending", pending}, {"avail", avail}};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: cellreview CASE PROGRAM RECORD\n");
        return notRun;
    }
    Record record(argv[3]);
    if (!record.isOpen())
        return notRun;
    for (const Case &known : cases) {
        if (std::string(argv[1]) != known.name)
            continue;
        const int result = known.play(record, argv[2]);
        record.add("exit " + std::to_string(result));
        if (opened)
            opened->close();
        std::_Exit(result); // the threads of the stand-ins go on until here
    }
    return notRun;
}
