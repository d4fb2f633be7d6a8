// Workers of one group: their capacity, running tasks, health and availability.

#pragma once

#include "placement/candidateindex.h"
#include "placement/types.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace cwl::placement {

// A worker is quarantined after tasks of this many different jobs failed on it without a success in
// between.
constexpr size_t quarantineJobThreshold = 3;
constexpr Duration firstQuarantine = seconds(30);
constexpr Duration maxQuarantine = std::chrono::minutes(30);

struct Worker
{
    enum class Health {
        Good,
        Quarantined, // gets no tasks until `quarantinedUntil`
        Trial,       // gets one task at a time until one succeeds
    };

    WorkerSpec spec = {};
    Resources used = {};                // by running tasks
    Resources held = {};                // reserved for a waiting gang
    std::vector<uint32_t> slots = {};   // of running tasks
    std::vector<JobNumber> failed = {}; // distinct jobs with failed tasks since the last success
    TimePoint quarantinedUntil = {};
    uint32_t quarantines = 0; // consecutive; the duration doubles up to maxQuarantine
    Health health = Health::Good;
    uint16_t dataCentreNumber = 0;
    bool isKnown = false;    // false after removal
    bool isReported = false; // it has reported its running tasks
    bool isReachable = true;
    bool isDraining = false;

    // Capacity that is neither used nor held for a gang. A resource is negative when the worker
    // reported tasks that need more than its capacity.
    Resources free() const { return spec.capacity - used - held; }
};

// Number of workers that share a capacity and a data centre. Admission rejects jobs that fit no
// shape.
struct WorkerShape
{
    Resources capacity;
    uint16_t dataCentreNumber = 0;
    uint32_t workers = 0;
};

class Fleet
{
public:
    static constexpr uint16_t anyDataCentre = 0xffff;
    static constexpr uint16_t unknownDataCentre = 0xfffe;

    // Section: workers

    // Adds a worker or changes its capacity. A new worker gets no tasks until setReported().
    WorkerNumber put(const WorkerSpec &spec);
    void remove(WorkerNumber worker);            // release its tasks first
    WorkerNumber find(const WorkerId &id) const; // noNumber if unknown
    const Worker &worker(WorkerNumber number) const { return m_workers[number]; }
    size_t size() const { return m_workers.size(); } // includes removed workers
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
    void releaseHeld(WorkerNumber worker, const Resources &amount);
    bool isUsable(WorkerNumber worker) const; // may get another task now

    // Section: health

    // Returns true if the worker was quarantined by this failure.
    bool recordFailure(WorkerNumber worker, JobNumber job, TimePoint now);
    void recordSuccess(WorkerNumber worker);
    void clearFailures(WorkerNumber worker, JobNumber job);
    void endQuarantine(WorkerNumber worker, TimePoint now);

    // Section: search

    uint16_t findOrAddDataCentre(const DataCentreId &dataCentre); // assigns a number to a new one
    size_t dataCentres() const { return m_dataCentres.size(); }
    uint16_t findDataCentre(const DataCentreId &dataCentre) const; // or unknownDataCentre
    // Appends usable workers that fit the demand, from one data centre or from all. Workers with
    // accelerators are searched only if the demand includes accelerators or if no worker without
    // them fits. `limits` holds the most free accelerators that a candidate may have, by data
    // centre; a data centre beyond its end has no limit.
    void collect(const CandidateIndex::Search &search, uint16_t dataCentreNumber,
                 const std::vector<int64_t> &limits, std::vector<WorkerNumber> &found) const;

private:
    struct DataCentreIndexes
    {
        std::array<CandidateIndex, 2> indexes; // without and with accelerators
    };

    void reindex(WorkerNumber worker);
    void countShape(const Worker &worker, int change);
    CandidateIndex &indexOf(const Worker &worker);

    std::vector<Worker> m_workers;
    std::unordered_map<WorkerId, WorkerNumber> m_numbers;
    std::unordered_map<DataCentreId, uint16_t> m_dataCentreNumbers;
    std::vector<DataCentreIndexes> m_dataCentres; // by data centre number
    std::vector<WorkerShape> m_shapes;
    Resources m_total;
    size_t m_known = 0;
};

} // namespace cwl::placement
