// Property tests of the planner with random sequences of calls. RapidCheck prints its seed.

#include "harness.h"

#include "base/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <sstream>

namespace {

using namespace cwl;
using namespace cwl::placement;
using namespace cwl::placement::test;

constexpr size_t workerCount = 8;
constexpr size_t teamCount = 3;

// One step. Generated before it is executed, so that a sequence can be executed twice.
struct Step
{
    int kind = 0;
    uint32_t one = 0;
    uint32_t two = 0;
    uint32_t three = 0;
};

void showValue(const Step &step, std::ostream &stream)
{
    stream << "{" << step.kind << "," << step.one << "," << step.two << "," << step.three << "}";
}

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    showValue(step, stream);
    return stream;
}

rc::Gen<Step> anyStep()
{
    const auto number = rc::gen::inRange<uint32_t>(0, 1000);
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 14)),
                                rc::gen::set(&Step::one, number), rc::gen::set(&Step::two, number),
                                rc::gen::set(&Step::three, number));
}

// Executes steps and checks the invariants after each one.
class SequenceRunner
{
public:
    SequenceRunner()
    {
        for (size_t team = 0; team < teamCount; ++team)
            m_harness.addTeam("team" + std::to_string(team),
                              sized(40000 + 20000 * int64_t(team), 200000, 8), 1 + int64_t(team));
        for (size_t worker = 0; worker < workerCount; ++worker)
            addWorker(worker);
    }

    std::string execute(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            apply(step);
            decide();
            check();
        }
        return m_log.str();
    }

private:
    void addWorker(size_t number)
    {
        m_harness.addWorker(
                "w" + std::to_string(number),
                sized(8000 + 4000 * int64_t(number % 3), 32768, number % 4 == 3 ? 4 : 0),
                "dc" + std::to_string(number % 2), "r" + std::to_string(number / 2));
    }

    void apply(const Step &step)
    {
        Planner &planner = m_harness.planner;
        const auto worker =
                planner.fleet().find(WorkerId("w" + std::to_string(step.one % workerCount)));
        if (step.kind <= 3) {
            submit(step);
        } else if (step.kind <= 8 && !m_harness.running.empty()) {
            const TaskRef task = m_harness.running[step.one % m_harness.running.size()].task;
            const Outcome outcomes[] = {Outcome::Succeeded, Outcome::Succeeded, Outcome::Failed,
                                        Outcome::Stopped};
            m_harness.end(task, outcomes[step.two % 4]);
        } else if (step.kind == 9) {
            cancel("job" + std::to_string(step.one % (m_nextJob + 1)));
        } else if (step.kind == 10) {
            m_harness.now += milliseconds(step.one * 20);
        } else if (step.kind == 11 && worker != noNumber) {
            planner.setDraining(worker, step.two % 2 == 0);
        } else if (step.kind == 12 && worker != noNumber) {
            planner.setReachable(worker, step.two % 3 != 0);
        } else if (step.kind == 13 && worker != noNumber && step.two % 4 == 0) {
            replaceWorker(worker, step.one % workerCount);
        }
    }

    void submit(const Step &step)
    {
        JobSpec spec =
                m_harness.job("job" + std::to_string(m_nextJob),
                              "team" + std::to_string(step.one % teamCount), 1 + step.two % 9,
                              sized(500 * (1 + step.three % 12), 512 * (1 + step.two % 20),
                                    step.three % 5 == 0 ? step.one % 3 : 0));
        spec.kind = static_cast<JobKind>(step.one % 3);
        spec.urgency = static_cast<UrgencyClass>(step.two % 3);
        spec.policy = static_cast<PackingPolicy>(step.three % 3);
        spec.run = seconds(step.three);
        if (step.three % 7 == 0)
            spec.dataCentre = DataCentreId("dc1");
        if (m_harness.planner.submit(spec, m_harness.now).ok())
            ++m_nextJob;
    }

    void cancel(const std::string &id)
    {
        const auto stopped = m_harness.planner.cancel(JobId(id));
        if (!stopped.ok())
            return;
        for (const Assignment &task : *stopped)
            m_harness.end(task.task, Outcome::Stopped);
        RC_ASSERT(m_harness.planner.find(JobId(id)) == noNumber);
    }

    void replaceWorker(WorkerNumber worker, size_t number)
    {
        m_harness.planner.setReachable(worker, false);
        for (const Assignment &task : m_harness.planner.tasksOn(worker))
            m_harness.end(task.task, Outcome::Stopped);
        m_harness.planner.removeWorker(worker, m_harness.now);
        addWorker(number);
    }

    void decide()
    {
        Decision decision;
        size_t decisions = 0;
        while (m_harness.planner.decide(m_harness.now, decision)) {
            RC_ASSERT(++decisions < 10000u); // no endless loop of decisions
            log(decision);
            if (decision.kind == Decision::Kind::Preempt) {
                for (const Assignment &victim : decision.assignments)
                    m_harness.end(victim.task, Outcome::Stopped);
                continue;
            }
            const Job &job = m_harness.planner.job(decision.assignments.front().task.job);
            const size_t expected = job.kind == JobKind::Gang ? job.count : 1;
            RC_ASSERT(decision.assignments.size() == expected); // all tasks of a gang or none
            for (const Assignment &task : decision.assignments) {
                RC_ASSERT(m_harness.planner.fleet().worker(task.worker).isReachable);
                RC_ASSERT(!m_harness.planner.fleet().worker(task.worker).isDraining);
                m_harness.running.push_back(task);
            }
            check();
        }
    }

    void log(const Decision &decision)
    {
        m_log << (decision.kind == Decision::Kind::Start ? "start" : "preempt");
        for (const Assignment &task : decision.assignments) {
            m_log << " " << task.task.job << "/" << task.task.index << "@" << task.worker << "#"
                  << task.attempt.value() << "=" << task.score.total();
        }
        m_log << "\n";
    }

    void check() const
    {
        std::map<WorkerNumber, Resources> used;
        std::map<std::string, Resources> usedByTeam;
        std::map<JobNumber, uint32_t> running;
        for (const Assignment &task : m_harness.running) {
            const Job &job = m_harness.planner.job(task.task.job);
            used[task.worker] = used[task.worker] + job.each;
            std::string team = m_harness.planner.accounts().team(job.team).spec.id.value();
            usedByTeam[team] = usedByTeam[team] + job.each;
            ++running[task.task.job];
        }
        for (const auto &[worker, amount] : used) {
            const Worker &state = m_harness.planner.fleet().worker(worker);
            RC_ASSERT(amount.fitsIn(state.spec.capacity));
            RC_ASSERT(amount == state.used);
        }
        for (const auto &[team, amount] : usedByTeam)
            RC_ASSERT(amount.fitsIn(m_harness.quotas.at(team)));
        RC_ASSERT(m_harness.planner.runningTasks() == m_harness.running.size());
        uint64_t waiting = 0;
        for (uint32_t number = 0; number < m_nextJob; ++number) {
            const JobId id("job" + std::to_string(number));
            const std::optional<JobCounts> counts = m_harness.planner.counts(id);
            if (!counts)
                continue;
            waiting += counts->waiting;
            RC_ASSERT(counts->running == running[m_harness.planner.find(id)]);
            for (uint32_t index = 0; index < 9; ++index)
                checkReason(id, index);
        }
        RC_ASSERT(waiting == m_harness.planner.waitingTasks());
    }

    // Every waiting task has a wait reason, and no other task has one.
    void checkReason(const JobId &id, uint32_t index) const
    {
        const auto explanation = m_harness.planner.explain(id, index, m_harness.now);
        if (!explanation)
            return;
        const bool isWaiting = explanation->state == TaskState::Waiting;
        RC_ASSERT(isWaiting == (explanation->reason != WaitReason::NotWaiting));
    }

    Harness m_harness;
    uint32_t m_nextJob = 0;
    std::ostringstream m_log;
};

class PlannerPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannerPropertyTest);
    CPPUNIT_TEST(anySequenceKeepsCapacityQuotaAndGangInvariants);
    CPPUNIT_TEST(sameCallsGiveSameDecisions);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overloaded workers, exceeded quotas, partially started gangs and lost tasks.
    void anySequenceKeepsCapacityQuotaAndGangInvariants()
    {
        const bool holds = rc::check("invariants", [] {
            SequenceRunner runner;
            runner.execute(*rc::gen::container<std::vector<Step>>(anyStep()));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against decisions that depend on anything other than the calls.
    void sameCallsGiveSameDecisions()
    {
        const bool holds = rc::check("determinism", [] {
            const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
            SequenceRunner one;
            SequenceRunner other;
            RC_ASSERT(one.execute(steps) == other.execute(steps));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannerPropertyTest);

} // namespace
