// What the stand-ins of one case have seen, and the rules that are judged from it.

#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

struct StepShape
{
    int64_t cpu = 0;
    int64_t memMb = 0;
};

class Ledger
{
public:
    explicit Ledger(const std::string &path);

    int64_t now() const; // milliseconds since the case began
    void note(const std::string &line);

    void submitted(const std::string &job, std::vector<StepShape> steps);
    StepShape shapeOf(const std::string &task) const; // "job.occurrence.step.index"

    // `life` names one life of one runner.
    void started(const std::string &task, int64_t attempt, const std::string &life);
    void ended(const std::string &task, int64_t attempt, const std::string &life, int64_t number,
               const std::string &how);
    // The cursor of an owner has reached this end.
    void takenNoteOf(const std::string &life, int64_t number);
    // Everything that ran in this life is gone, without ends.
    void lifeEnded(const std::string &life);
    void broken(const std::string &rule, const std::string &what);

    bool hasBegun(const std::string &job) const; // a task of it has started
    size_t starts(const std::string &job) const;
    size_t doneTasks(const std::string &job) const;
    // Rule TWICE over the whole case: a start after a run has ended `done`, if that end is taken
    // note of then or later. Starts beside a run are noted as they happen.
    void judgeTwice();
    size_t brokenCount(const std::string &rule) const;
    std::string summary() const;

private:
    struct Run
    {
        int64_t attempt = 0;
        std::string life;
        int64_t startedAt = 0;
        int64_t endedAt = -1;
        int64_t notedAt = -1;
        int64_t number = 0;
        std::string how;
    };

    mutable std::mutex m_mutex;
    std::ofstream m_record;
    const std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
    std::map<std::string, std::vector<StepShape>> m_shapes;
    std::map<std::string, std::vector<Run>> m_runs; // by task
    // Ends that are not taken note of yet: the task and the index of its run.
    std::map<std::pair<std::string, int64_t>, std::pair<std::string, size_t>> m_unnoted;
    std::map<std::string, size_t> m_broken;

    void write(const std::string &line);
    void breakRule(const std::string &rule, const std::string &what);
};

} // namespace review
