// Customers in the dispatcher: accounts of jobs, and use by runs that may exist unseen.

#include "jobs/dispatcher.h"

#include "node/log.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

constexpr Duration customerLogInterval = seconds(5);
constexpr size_t maxCustomersLogged = 64; // in one round

Resources times(const Resources &each, int64_t count)
{
    return {Millicores(each.cores.value() * count), Mebibytes(each.memory.value() * count),
            Accelerators(each.accelerators.value() * count)};
}

// The resources of all tasks of the job that an earlier owner may have started and that are not
// known to run.
Resources possibleUse(const Job &job)
{
    Resources sum;
    if (isFinal(job.state)) { // cancelled or failed: any of its tasks may not have been stopped yet
        for (const Step &step : job.spec.steps)
            sum = sum + times(step.each, step.count);
        return sum;
    }
    for (const Occurrence &occurrence : job.occurrences) {
        for (size_t number = 0; number < occurrence.steps.size(); ++number) {
            const Resources &each = job.spec.steps[number].each;
            sum = sum + times(each, occurrence.steps[number].waiting);
        }
    }
    return sum;
}

Resources smaller(const Resources &a, const Resources &b)
{
    return {std::min(a.cores, b.cores), std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace

// Marks the job as beyond its customer's rate unless it is one of the first of its second: what a
// customer submits beyond its weight waits for what is due to it and to others.
void Dispatcher::openAccount(Job &job)
{
    if (!job.spec.customer)
        return;
    job.account = &m_customers.open(*job.spec.customer);
    const int64_t due = std::max<int64_t>(1, job.account->customer.weight);
    job.isWithinRate = job.account->arrivals.add(job.spec.acceptedAt) <= due;
}

// Until recovery is complete, workers that have not listed their runs may have any task that an
// earlier owner may have started. A restored job that was cancelled counts too: its runs may not
// have been stopped yet.
void Dispatcher::updateUnreadUse()
{
    for (const auto &[id, account] : m_customers.all())
        account->mayBeUsed = {};
    if (isRecoveryComplete() || m_customers.all().empty())
        return;
    Resources unread;
    bool isBounded = true;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->isRecorded || worker->isRecovered || hasLapsed(*worker))
            continue;
        unread = unread + worker->entry.capacity;
        isBounded = isBounded && worker->entry.capacity.cores.value() > 0;
    }
    for (const auto &[id, job] : m_jobs) {
        if (!job->account || !job->isRestored || job->state == JobState::Completed)
            continue;
        CustomerAccount &account = *job->account;
        account.mayBeUsed = account.mayBeUsed + possibleUse(*job);
    }
    if (!isBounded)
        return;
    for (const auto &[id, account] : m_customers.all())
        account->mayBeUsed = smaller(account->mayBeUsed, unread);
}

// 1 is what is due to the customer by its weight.
double Dispatcher::weightedShare(const CustomerAccount *account) const
{
    if (!account || m_totalWeight <= 0)
        return 0;
    const double due =
            double(std::max<int64_t>(1, account->customer.weight)) / double(m_totalWeight);
    return dominantShare(*account, m_capacity) / due;
}

// One line for each customer that has work, at intervals.
void Dispatcher::logCustomers(TimePoint now)
{
    if (m_customers.all().empty() || now - m_customersLoggedAt < customerLogInterval)
        return;
    m_customersLoggedAt = now;
    std::unordered_map<const CustomerAccount *, std::pair<size_t, size_t>> waiting;
    for (const Job *job : m_open) {
        if (!job->account || job->state != JobState::Queued)
            continue;
        ++waiting[job->account].first;
        waiting[job->account].second += job->isWithinRate ? 0 : 1;
    }
    size_t logged = 0;
    for (const auto &[id, account] : m_customers.all()) {
        if (account->runs == 0 && !waiting.contains(account.get()))
            continue;
        if (++logged > maxCustomersLogged)
            return;
        log::info("customer_use",
                  {{"customer", id.value()},
                   {"runs", account->runs},
                   {"cores", account->used.cores.value()},
                   {"memory", account->used.memory.value()},
                   {"accelerators", account->used.accelerators.value()},
                   {"cap_cores", account->customer.cap.cores.value()},
                   {"cap_memory", account->customer.cap.memory.value()},
                   {"cap_accelerators", account->customer.cap.accelerators.value()},
                   {"weight", account->customer.weight},
                   {"share_of_due", weightedShare(account.get())},
                   {"waiting_jobs", waiting[account.get()].first},
                   {"beyond_rate", waiting[account.get()].second}});
    }
}

} // namespace cwl::jobs
