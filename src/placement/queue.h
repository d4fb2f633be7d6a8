// Waiting jobs by class, size and team. The next job of a class is that of the team with the lowest
// weighted share among the sizes that are not blocked.

#pragma once

#include "placement/accounts.h"
#include "placement/job.h"
#include "placement/types.h"

#include <array>
#include <compare>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace cwl::placement {

// Tasks of one size wait together: when one finds no room, none of them does.
struct Size
{
    Resources each;
    uint16_t place = 0;
    uint32_t gang = 0; // number of tasks of a gang, 0 for other kinds

    bool operator==(const Size &) const = default;
};

struct SizeHash
{
    size_t operator()(const Size &size) const noexcept;
};

class Queue
{
public:
    // Different sizes that may wait at once, since some steps visit each blocked size.
    static constexpr size_t maxSizes = 4096;

    Queue(std::deque<Job> &jobs, Accounts &accounts)
        : m_jobs(jobs)
        , m_accounts(accounts)
    {
    }

    static Size sizeOf(const Job &job)
    {
        return {job.each, job.place, job.kind == JobKind::Gang ? job.count : 0};
    }
    bool isFullOfSizes(const Size &size) const;

    // Adds a job with a ready task; does nothing if it is queued. `isFirst` puts it before the
    // other jobs of its team, for tasks that come back.
    void add(JobNumber job, const Resources &total, bool isFirst);
    void remove(JobNumber job);

    // Returns the job whose turn it is, noNumber if every waiting job is blocked or parked.
    JobNumber next(UrgencyClass urgency) const;

    // Returns a job of the class whose size is blocked, noNumber if there is none.
    JobNumber nextBlocked(UrgencyClass urgency) const;

    // Returns a job of the class whose size is blocked only by the limits on free accelerators.
    JobNumber nextKeptOut(UrgencyClass urgency) const;

    // Sets the most free accelerators, by place, that a worker may have to take tasks without
    // accelerators: one less than the smallest waiting demand, so that workers with accelerators
    // keep room for tasks that need them. A demand of which nothing has started since `since`
    // counts no more, so that a task that finds no room keeps none closed for ever.
    void findAcceleratorLimits(size_t places, TimePoint since, std::vector<int64_t> &limits) const;
    void noteStart(const Size &size, TimePoint now);
    static constexpr int64_t noAcceleratorLimit = std::numeric_limits<int64_t>::max();

    // No worker has room for its size, or none within the limits on free accelerators.
    void blockSize(JobNumber job, bool isKeptOut);
    void unblockKeptOut();
    void unblockSize(const Size &size);
    void unblockGangs();
    void wake(const Resources &free, uint16_t place); // unblocks what fits, gangs excepted
    void parkForQuota(JobNumber job);                 // its team is at its quota for this size
    void teamChanged(TeamNumber team, const Resources &total); // its use or quota changed

    bool isBlocked(JobNumber job) const;
    bool isParked(JobNumber job) const;
    size_t sizes() const { return m_numbers.size(); }

private:
    // Lowest first.
    struct Rank
    {
        double share = 0;         // weighted, of the team
        int64_t accelerators = 0; // negative demand: the scarcest resource first within a team
        TimePoint at = {};        // see firstOf
        uint32_t queue = noNumber;

        auto operator<=>(const Rank &) const = default;
    };
    using Order = std::set<Rank>;

    struct SizeState
    {
        Size size = {};
        uint32_t queues = 0;                 // queues with jobs
        uint32_t blockedPosition = noNumber; // in m_blocked
        bool isKeptOut = false;              // while blocked: by the limits on free accelerators
        std::array<Order, urgencyClassCount> ready = {};
        std::array<uint32_t, urgencyClassCount> activePosition = {noNumber, noNumber, noNumber};
    };
    // Jobs of one declared run time within a factor of two, in order of arrival.
    struct RunList
    {
        JobNumber head = noNumber;
        JobNumber tail = noNumber;
    };
    static constexpr size_t runLevels = 8;
    struct TeamQueue
    {
        Rank rank = {}; // key in the order
        uint32_t size = noNumber;
        TeamNumber team = noNumber;
        std::array<RunList, runLevels> runs = {};
        UrgencyClass urgency = UrgencyClass::Normal;
        bool isParked = false;
    };

    uint32_t findOrAddQueue(const Job &job, const Resources &total);
    uint32_t findOrAddSize(const Size &size);
    void removeQueue(uint32_t queue);
    void enter(uint32_t queue);
    void leave(uint32_t queue);
    void activate(uint32_t size, size_t urgency);
    void deactivate(uint32_t size, size_t urgency);
    void unblock(uint32_t size);
    static size_t runLevel(const Job &job);
    // Returns the job whose submission less its declared run time is the earliest, noNumber if the
    // queue is empty. `at` is that time.
    JobNumber firstOf(const TeamQueue &queue, TimePoint &at) const;
    JobNumber firstOf(const Rank &rank) const;
    void updateRank(uint32_t queue);
    struct AcceleratorDemand
    {
        uint32_t queues = 0; // that wait for it
        TimePoint progress;  // last start, or when the first waiting job was submitted
    };
    AcceleratorDemand &acceleratorDemand(const Size &size);
    void countAccelerators(const Size &size, int change);

    std::deque<Job> &m_jobs;
    Accounts &m_accounts;
    std::vector<SizeState> m_sizes;
    std::vector<uint32_t> m_freeSizes;
    std::unordered_map<Size, uint32_t, SizeHash> m_numbers;
    std::vector<TeamQueue> m_queues;
    std::vector<uint32_t> m_freeQueues;
    std::array<std::vector<uint32_t>, urgencyClassCount> m_active; // unblocked sizes with work
    std::vector<uint32_t> m_blocked;
    // By place and number of accelerators (the last: that many and more); the first row is for any
    // place.
    static constexpr size_t acceleratorCounts = 9;
    std::vector<std::array<AcceleratorDemand, acceleratorCounts>> m_accelerators;
};

} // namespace cwl::placement
