#include "ledger.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace review {

namespace {

constexpr size_t maxBreaksNoted = 20; // of one rule, in full

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

Ledger::Ledger(const std::string &path)
    : m_record(path)
{
}

int64_t Ledger::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_began)
            .count();
}

void Ledger::write(const std::string &line)
{
    m_record << now() << " ms  " << line << "\n" << std::flush;
}

void Ledger::note(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    write(line);
}

void Ledger::submitted(const std::string &job, std::vector<StepShape> steps)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_shapes[job] = std::move(steps);
}

StepShape Ledger::shapeOf(const std::string &task) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::vector<std::string> parts = absl::StrSplit(task, '.');
    const auto shapes = m_shapes.find(parts[0]);
    size_t step = 0;
    if (parts.size() != 4 || shapes == m_shapes.end() || !absl::SimpleAtoi(parts[2], &step)
        || step >= shapes->second.size())
        return {};
    return shapes->second[step];
}

void Ledger::breakRule(const std::string &rule, const std::string &what)
{
    if (++m_broken[rule] <= maxBreaksNoted)
        write(absl::StrCat("BROKEN ", rule, ": ", what));
}

void Ledger::broken(const std::string &rule, const std::string &what)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    breakRule(rule, what);
}

void Ledger::started(const std::string &task, int64_t attempt, const std::string &life)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Run> &runs = m_runs[task];
    for (const Run &run : runs) {
        if (run.endedAt < 0)
            breakRule("TWICE",
                      absl::StrCat(task, " attempt ", attempt, " starts on ", life,
                                   " while attempt ", run.attempt, " runs on ", run.life));
    }
    Run run;
    run.attempt = attempt;
    run.life = life;
    run.startedAt = now();
    runs.push_back(run);
    write(absl::StrCat("start  ", task, " attempt ", attempt, " on ", life));
}

void Ledger::ended(const std::string &task, int64_t attempt, const std::string &life,
                   int64_t number, const std::string &how)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Run> &runs = m_runs[task];
    for (size_t index = 0; index < runs.size(); ++index) {
        Run &run = runs[index];
        if (run.attempt != attempt || run.life != life || run.endedAt >= 0)
            continue;
        run.endedAt = now();
        run.number = number;
        run.how = how;
        m_unnoted[{life, number}] = {task, index};
    }
    write(absl::StrCat("end    ", task, " attempt ", attempt, " on ", life, " number ", number, " ",
                       how));
}

void Ledger::takenNoteOf(const std::string &life, int64_t number)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_unnoted.find({life, number});
    if (found == m_unnoted.end())
        return;
    const auto &[task, index] = found->second;
    Run &run = m_runs.at(task)[index];
    run.notedAt = now();
    write(absl::StrCat("noted  ", task, " attempt ", run.attempt, " on ", life, " number ",
                       number));
    m_unnoted.erase(found);
}

void Ledger::lifeEnded(const std::string &life)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto &[task, runs] : m_runs) {
        for (Run &run : runs) {
            if (run.life == life && run.endedAt < 0) {
                run.endedAt = now();
                run.how = "crashed";
            }
        }
    }
    write("crash  " + life);
}

bool Ledger::hasBegun(const std::string &job) const
{
    return starts(job) > 0;
}

size_t Ledger::starts(const std::string &job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    size_t count = 0;
    for (const auto &[task, runs] : m_runs)
        count += jobOf(task) == job ? runs.size() : 0;
    return count;
}

size_t Ledger::doneTasks(const std::string &job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    size_t count = 0;
    for (const auto &[task, runs] : m_runs) {
        bool isDone = false;
        for (const Run &run : runs)
            isDone = isDone || run.how == "done";
        count += jobOf(task) == job && isDone ? 1 : 0;
    }
    return count;
}

void Ledger::judgeTwice()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &[task, runs] : m_runs) {
        for (const Run &done : runs) {
            if (done.how != "done" || done.notedAt < 0)
                continue;
            for (const Run &later : runs) {
                if (&later != &done && later.startedAt > done.endedAt)
                    breakRule("TWICE",
                              absl::StrCat(task, " attempt ", later.attempt, " started at ",
                                           later.startedAt, " ms on ", later.life,
                                           ", after attempt ", done.attempt, " had ended done at ",
                                           done.endedAt, " ms on ", done.life, " as number ",
                                           done.number, ", taken note of at ", done.notedAt,
                                           " ms"));
            }
        }
    }
}

size_t Ledger::brokenCount(const std::string &rule) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_broken.find(rule);
    return found == m_broken.end() ? 0 : found->second;
}

std::string Ledger::summary() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    for (const auto &[rule, count] : m_broken)
        absl::StrAppend(&text, text.empty() ? "" : ", ", rule, " ", count);
    return text.empty() ? "no rule broken" : "broken: " + text;
}

} // namespace review
