// Workers of one group: capacity, what runs on each, and which may take work.

#pragma once

#include "placement/candidateindex.h"
#include "placement/types.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace cwl::placement {

// Failures of tasks from this many different jobs, without a success between, quarantine a worker.
constexpr size_t quarantineJobs = 3;
constexpr Duration firstQuarantine = seconds(30);
constexpr Duration longestQuarantine = std::chrono::minutes(30);

struct Worker
{
    enum class Health {
        Good,
        Quarantined, // takes no work until `quarantinedUntil`
        Trial,       // takes one task at a time until one succeeds
    };

    WorkerSpec spec = {};
    Resources used = {};                // by running tasks
    Resources held = {};                // kept free for a waiting gang
    std::vector<uint32_t> slots = {};   // of running tasks
    std::vector<JobNumber> failed = {}; // different jobs whose tasks failed since a success
    TimePoint quarantinedUntil = {};
    uint32_t quarantines = 0; // in a row, each longer than the last
    Health health = Health::Good;
    uint16_t place = 0;      // number of the data centre
    bool isKnown = false;    // false after removal
    bool isReported = false; // it has told what runs on it
    bool isReachable = true;
    bool isDraining = false;

    // Free capacity without what is held for a gang; a dimension is negative when a report showed
    // more than the worker has.
    Resources free() const { return spec.capacity - used - held; }
};

// A capacity that workers have, for the check of jobs that can never run.
struct WorkerShape
{
    Resources capacity;
    uint16_t place = 0;
    uint32_t workers = 0;
};

class Fleet
{
public:
    static constexpr uint16_t anyPlace = 0xffff;
    static constexpr uint16_t unknownPlace = 0xfffe;

    // Section: workers

    // Adds a worker, or changes its capacity. A new worker takes no work before it has reported.
    WorkerNumber put(const WorkerSpec &spec);
    void remove(WorkerNumber worker);            // its tasks must have been released before
    WorkerNumber find(const WorkerId &id) const; // noNumber if unknown
    const Worker &worker(WorkerNumber number) const { return m_workers[number]; }
    size_t size() const { return m_workers.size(); } // numbers in use, removed workers included
    size_t known() const { return m_known; }
    Resources total() const { return m_total; } // capacity of all known workers
    const std::vector<WorkerShape> &shapes() const { return m_shapes; }

    void setReported(WorkerNumber worker, bool isReported);
    void setReachable(WorkerNumber worker, bool isReachable);
    void setDraining(WorkerNumber worker, bool isDraining);

    // Section: capacity

    void reserve(WorkerNumber worker, const Resources &amount, uint32_t slot);
    void release(WorkerNumber worker, const Resources &amount, uint32_t slot);
    void hold(WorkerNumber worker, const Resources &amount);
    void unhold(WorkerNumber worker, const Resources &amount);
    bool isUsable(WorkerNumber worker) const; // may take another task now

    // Section: health

    // Returns true if the worker was quarantined by this failure.
    bool noteFailure(WorkerNumber worker, JobNumber job, TimePoint now);
    void noteSuccess(WorkerNumber worker);
    void forgetJob(WorkerNumber worker, JobNumber job);
    void endQuarantine(WorkerNumber worker, TimePoint now);

    // Section: search

    uint16_t placeOf(const DataCentreId &dataCentre); // numbers a data centre
    size_t places() const { return m_indexes.size(); }
    uint16_t findPlace(const DataCentreId &dataCentre) const; // unknownPlace if it has no number
    // Appends usable workers with room, of one place or of all. Workers without accelerators come
    // first and alone unless none of them has room or the demand includes accelerators. `limits`
    // holds the most free accelerators that a candidate may have, by place; it may be shorter.
    void collect(const CandidateIndex::Search &search, uint16_t place,
                 const std::vector<int64_t> &limits, std::vector<WorkerNumber> &found) const;

private:
    struct Place
    {
        std::array<CandidateIndex, 2> indexes; // without and with accelerators
    };

    void reindex(WorkerNumber worker);
    void countShape(const Worker &worker, int change);
    CandidateIndex &indexOf(const Worker &worker);

    std::vector<Worker> m_workers;
    std::unordered_map<WorkerId, WorkerNumber> m_numbers;
    std::unordered_map<DataCentreId, uint16_t> m_places;
    std::vector<Place> m_indexes; // by place
    std::vector<WorkerShape> m_shapes;
    Resources m_total;
    size_t m_known = 0;
};

} // namespace cwl::placement
