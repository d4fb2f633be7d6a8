// Waiting jobs by class, size and team. The next job of a class is one of the team with the lowest
// weighted share, among the sizes that are not blocked.

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

// Key by which waiting jobs are grouped. When no worker fits a task, the whole size is blocked.
struct Size
{
    Resources each;
    uint16_t dataCentreNumber = 0;
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
    // Limit on the distinct sizes that wait at once. Some steps iterate over all blocked sizes.
    static constexpr size_t maxSizes = 4096;

    Queue(std::deque<Job> &jobs, Accounts &accounts)
        : m_jobs(jobs)
        , m_accounts(accounts)
    {
    }

    static Size sizeOf(const Job &job)
    {
        return {job.each, job.dataCentreNumber, job.kind == JobKind::Gang ? job.count : 0};
    }
    bool isFullOfSizes(const Size &size) const;

    // Adds a job with a ready task. Does nothing if it is already queued. `isFirst` puts it before
    // the other jobs of its team, for tasks that are queued again.
    void add(JobNumber job, const Resources &total, bool isFirst);
    void remove(JobNumber job);

    // Returns the next job of the class, noNumber if every waiting job is blocked or parked.
    JobNumber next(UrgencyClass urgency) const;

    // Returns a job of the class whose size is blocked, noNumber if there is none.
    JobNumber nextBlocked(UrgencyClass urgency) const;

    // Returns a job of the class whose size is blocked only by the limits on free accelerators.
    JobNumber nextAcceleratorLimited(UrgencyClass urgency) const;

    // Sets, by data centre, the most free accelerators that a worker may have to get tasks without
    // accelerators: one less than the smallest waiting demand. Workers with more free accelerators
    // are reserved for tasks that need them. A demand without a start since `since` is ignored, so
    // that a task that never fits does not reserve workers permanently.
    void findAcceleratorLimits(size_t dataCentres, TimePoint since,
                               std::vector<int64_t> &limits) const;
    void recordStart(const Size &size, TimePoint now);
    static constexpr int64_t noAcceleratorLimit = std::numeric_limits<int64_t>::max();

    // Blocks the size of a job: no worker fits it, or none within the limits on free accelerators.
    void blockSize(JobNumber job, bool isAcceleratorLimited);
    void unblockAcceleratorLimited();
    void unblockSize(const Size &size);
    void unblockGangs();
    // Unblocks the sizes that fit into `free`, except gangs.
    void unblockFitting(const Resources &free, uint16_t dataCentreNumber);
    void parkForQuota(JobNumber job); // another task of this size would exceed its team's quota
    void teamChanged(TeamNumber team, const Resources &total); // its usage or quota changed

    bool isBlocked(JobNumber job) const;
    bool isParked(JobNumber job) const;
    size_t sizes() const { return m_numbers.size(); }

private:
    // Sort key of a queue; the lowest starts first.
    struct Rank
    {
        double share = 0;         // weighted share of the team
        int64_t accelerators = 0; // negative demand: the scarcest resource comes first
        TimePoint at = {};        // submission less declared run time, see firstOf()
        uint32_t queue = noNumber;

        auto operator<=>(const Rank &) const = default;
    };
    using Order = std::set<Rank>;

    struct SizeState
    {
        Size size = {};
        uint32_t queues = 0;                 // queues with jobs
        uint32_t blockedPosition = noNumber; // in m_blocked
        bool isAcceleratorLimited = false;   // blocked only by the limits on free accelerators
        std::array<Order, urgencyClassCount> ready = {};
        std::array<uint32_t, urgencyClassCount> activePosition = {noNumber, noNumber, noNumber};
    };
    // Jobs whose declared run times are within a factor of two, in order of arrival.
    struct RunList
    {
        JobNumber head = noNumber;
        JobNumber tail = noNumber;
    };
    static constexpr size_t runLevels = 8;
    struct TeamQueue
    {
        Rank rank = {}; // key in SizeState::ready
        uint32_t size = noNumber;
        TeamNumber team = noNumber;
        std::array<RunList, runLevels> runs = {};
        UrgencyClass urgency = UrgencyClass::Normal;
        bool isParked = false;
    };

    uint32_t findOrAddQueue(const Job &job, const Resources &total);
    uint32_t findOrAddSize(const Size &size);
    void removeQueue(uint32_t queue);
    void addToOrder(uint32_t queue);
    void removeFromOrder(uint32_t queue);
    void activate(uint32_t size, size_t urgency);
    void deactivate(uint32_t size, size_t urgency);
    void unblock(uint32_t size);
    static size_t runLevel(const Job &job);
    // Returns the job with the earliest submission time less declared run time, and that time in
    // `at`. Returns noNumber if the queue is empty.
    JobNumber firstOf(const TeamQueue &queue, TimePoint &at) const;
    JobNumber firstOf(const Rank &rank) const;
    void updateRank(uint32_t queue);
    struct AcceleratorDemand
    {
        uint32_t queues = 0; // queues that wait for this number of accelerators
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
    // Unblocked sizes with waiting jobs, by class.
    std::array<std::vector<uint32_t>, urgencyClassCount> m_active;
    std::vector<uint32_t> m_blocked;
    // By data centre and number of accelerators. The last number stands for that many and more, the
    // first row for jobs that allow any data centre.
    static constexpr size_t acceleratorCounts = 9;
    std::vector<std::array<AcceleratorDemand, acceleratorCounts>> m_accelerators;
};

} // namespace cwl::placement
