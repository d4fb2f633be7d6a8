// Benchmarks of packing for both deployments, and of wait times with and without floods.

#include "drive.h"

#include <algorithm>
#include <array>

namespace cwl::bench {

namespace {

using namespace cwl::placement;

constexpr const char *classNames[] = {"urgent", "normal", "deferred"};
constexpr double noTimeLimit = 1e18;

struct MixEntry
{
    Resources each;
    int weight = 1; // relative number of jobs
};

// Task sizes of each deployment.
const std::vector<MixEntry> mocionesMix = {{sized(500, 1024, 0), 6},   {sized(1000, 4096, 0), 6},
                                           {sized(2000, 8192, 0), 3},  {sized(3000, 10240, 0), 2},
                                           {sized(6000, 20480, 0), 2}, {sized(8000, 32768, 1), 2},
                                           {sized(14000, 65536, 2), 1}};
const std::vector<MixEntry> yarmoukMix = {{sized(1000, 2048, 0), 6},   {sized(2000, 4096, 0), 6},
                                          {sized(7000, 12288, 0), 3},  {sized(20000, 40960, 0), 2},
                                          {sized(30000, 49152, 0), 1}, {sized(16000, 32768, 1), 2},
                                          {sized(30000, 65536, 3), 1}};

class ArrivalSource
{
public:
    ArrivalSource(const std::vector<MixEntry> &mix, uint64_t seed)
        : m_mix(mix)
        , m_random(seed)
    {
        for (const MixEntry &each : mix)
            m_weights += each.weight;
    }

    Arrival next(double at, double meanRun)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.run =
                std::clamp(std::exponential_distribution(1 / meanRun)(m_random), 1.0, 10 * meanRun);
        arrival.spec.id = JobId("job" + std::to_string(m_jobs++));
        arrival.spec.team = TeamId("team" + std::to_string(m_random() % 40));
        const uint64_t urgency = m_random() % 10;
        arrival.spec.urgency = urgency < 3 ? UrgencyClass::Urgent
                : urgency < 7              ? UrgencyClass::Normal
                                           : UrgencyClass::Deferred;
        arrival.spec.each = drawSize();
        // Declared run times are wrong by a factor of up to 10.
        const double error = std::uniform_real_distribution(-1.0, 1.0)(m_random);
        arrival.spec.run = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(arrival.run * std::pow(10.0, error)));
        return arrival;
    }

    double gap(double perSecond) { return std::exponential_distribution(perSecond)(m_random); }

private:
    Resources drawSize()
    {
        auto drawn = static_cast<int>(m_random() % static_cast<uint64_t>(m_weights));
        for (const MixEntry &each : m_mix) {
            drawn -= each.weight;
            if (drawn < 0)
                return each.each;
        }
        return m_mix.front().each;
    }

    const std::vector<MixEntry> &m_mix;
    std::mt19937_64 m_random;
    int m_weights = 0;
    size_t m_jobs = 0;
};

std::array<double, 3> amounts(const Resources &resources)
{
    return {static_cast<double>(resources.cores.value()),
            static_cast<double>(resources.memory.value()),
            static_cast<double>(resources.accelerators.value())};
}

// Lower bound of the makespan: the total work over the capacity of the fleet for each resource, or
// the longest task.
double makespanBound(const std::vector<Arrival> &arrivals, const std::vector<WorkerSpec> &fleet)
{
    std::array<double, 3> work = {};
    std::array<double, 3> capacity = {};
    double longest = 0;
    for (const Arrival &arrival : arrivals) {
        for (size_t i = 0; i < 3; ++i)
            work[i] += amounts(arrival.spec.each)[i] * arrival.run * arrival.spec.count;
        longest = std::max(longest, arrival.run);
    }
    for (const WorkerSpec &worker : fleet) {
        for (size_t i = 0; i < 3; ++i)
            capacity[i] += amounts(worker.capacity)[i];
    }
    double bound = longest;
    for (size_t i = 0; i < 3; ++i)
        bound = std::max(bound, work[i] / capacity[i]);
    return bound;
}

// Prints the makespan bound divided by the makespan, for jobs that all arrive at once.
void comparePacking(const std::string &name, const std::vector<WorkerSpec> &fleet,
                    const std::vector<MixEntry> &mix, size_t jobs, uint64_t seed)
{
    ArrivalSource source(mix, seed);
    std::vector<Arrival> arrivals;
    for (size_t job = 0; job < jobs; ++job)
        arrivals.push_back(source.next(0, 60));
    const double bound = makespanBound(arrivals, fleet);
    const auto report = [&](const std::string &suffix, std::unique_ptr<Scheduler> scheduler) {
        const DriveResult result = drive(*scheduler, arrivals, fleet, {}, noTimeLimit);
        print("packing." + name + suffix, bound / result.makespan, "ratio");
    };
    report("", plannerScheduler(fleet, 40));
    report(".first_fit", firstFitScheduler(fleet, false));
    report(".strict_priority", firstFitScheduler(fleet, true));
    // Reference: a scheduler without classes and teams that knows the true run times.
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &one, const Arrival &other) { return one.run > other.run; });
    report(".longest_first", firstFitScheduler(fleet, false));
}

// Section: floods

constexpr double floodStart = 600;      // seconds
constexpr double measuredSeconds = 900; // seconds from the start of the flood

std::vector<Arrival> baseArrivals(uint64_t seed, const std::vector<WorkerSpec> &fleet)
{
    // A load of about 60% of the cores: the mean task has 2.9 cores and runs 60 s.
    double cores = 0;
    for (const WorkerSpec &worker : fleet)
        cores += static_cast<double>(worker.capacity.cores.value()) / 1000;
    const double perSecond = 0.6 * cores / (2.9 * 60);
    ArrivalSource source(mocionesMix, seed);
    std::vector<Arrival> arrivals;
    for (double at = 0; at < floodStart + measuredSeconds; at += source.gap(perSecond))
        arrivals.push_back(source.next(at, 60));
    return arrivals;
}

// Adds one-core tasks from one team within 10 s, ten times as many as the fleet has cores.
void addFlood(std::vector<Arrival> &arrivals, const std::vector<WorkerSpec> &fleet,
              UrgencyClass urgency)
{
    int64_t cores = 0;
    for (const WorkerSpec &worker : fleet)
        cores += worker.capacity.cores.value() / 1000;
    constexpr uint32_t tasksPerJob = 100;
    const int64_t jobs = cores * 10 / tasksPerJob;
    for (int64_t job = 0; job < jobs; ++job) {
        Arrival arrival;
        arrival.at = floodStart + 10.0 * static_cast<double>(job) / static_cast<double>(jobs);
        arrival.run = 120;
        arrival.isFlood = true;
        arrival.spec.id = JobId("flood" + std::to_string(job));
        arrival.spec.team = TeamId("team40");
        arrival.spec.urgency = urgency;
        arrival.spec.count = tasksPerJob;
        arrival.spec.each = sized(1000, 2048, 0);
        arrival.spec.run = seconds(120);
        arrivals.push_back(arrival);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &one, const Arrival &other) { return one.at < other.at; });
}

// Dominant share of the fleet that the jobs of each class need in the window.
std::array<double, 3> demandShares(const std::vector<Arrival> &arrivals,
                                   const std::vector<WorkerSpec> &fleet, const Window &window)
{
    std::array<std::array<double, 3>, 3> work = {};
    std::array<double, 3> capacity = {};
    for (const Arrival &arrival : arrivals) {
        if (arrival.at < window.from || arrival.at >= window.to)
            continue;
        for (size_t i = 0; i < 3; ++i)
            work[static_cast<size_t>(arrival.spec.urgency)][i] +=
                    amounts(arrival.spec.each)[i] * arrival.run * arrival.spec.count;
    }
    for (const WorkerSpec &worker : fleet) {
        for (size_t i = 0; i < 3; ++i)
            capacity[i] += amounts(worker.capacity)[i] * (window.to - window.from);
    }
    std::array<double, 3> shares = {};
    for (size_t urgency = 0; urgency < 3; ++urgency) {
        for (size_t i = 0; i < 3; ++i)
            shares[urgency] = std::max(shares[urgency], work[urgency][i] / capacity[i]);
    }
    return shares;
}

using MakeScheduler = std::unique_ptr<Scheduler> (*)(const std::vector<WorkerSpec> &);

void compareFloods(const std::string &suffix, MakeScheduler makeScheduler, uint64_t seed)
{
    const std::vector<WorkerSpec> fleet = mocionesFleet(48);
    const Window window{floodStart, floodStart + measuredSeconds};
    const char *cases[] = {"no_flood", "flood_deferred", "flood_urgent"};
    double withoutFlood[3] = {};
    const std::array<double, 3> demand = demandShares(baseArrivals(seed, fleet), fleet, window);
    for (size_t urgency = 0; urgency < 3 && suffix.empty(); ++urgency)
        print(std::string("flood.demand_share.") + classNames[urgency], demand[urgency], "ratio");
    for (int number = 0; number < 3; ++number) {
        std::vector<Arrival> arrivals = baseArrivals(seed, fleet);
        if (number > 0)
            addFlood(arrivals, fleet, number == 1 ? UrgencyClass::Deferred : UrgencyClass::Urgent);
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(fleet);
        DriveResult result = drive(*scheduler, arrivals, fleet, window, window.to);
        const std::string label = std::string(".") + cases[number] + suffix;
        double work = result.floodCoreSeconds;
        for (size_t urgency = 0; urgency < 3; ++urgency) {
            const std::string wait = std::string("wait.") + classNames[urgency];
            print(wait + ".p50" + label, percentile(result.waits[urgency], 0.5), "s");
            print(wait + ".p99" + label, percentile(result.waits[urgency], 0.99), "s");
            work += result.coreSeconds[urgency];
            if (number == 0) {
                withoutFlood[urgency] = result.coreSeconds[urgency];
                continue;
            }
            const double retained = result.coreSeconds[urgency] / withoutFlood[urgency];
            print(std::string("flood.kept.") + classNames[urgency] + label, retained, "ratio");
            // Relative to the demand up to the guaranteed share; a flood may take the rest.
            const double guarantee =
                    static_cast<double>(Options().classShares[urgency]) / 100 / demand[urgency];
            print(std::string("flood.kept_of_guarantee.") + classNames[urgency] + label,
                  retained / std::min(1.0, guarantee), "ratio");
        }
        if (number > 0) {
            print("flood.idle_share" + label, 1 - work / result.capacityCoreSeconds, "ratio");
            print("flood.preemptions" + label, static_cast<double>(result.preemptions), "tasks");
        }
    }
}

} // namespace

void benchPacking(uint64_t seed)
{
    // Once the last waiting task has started, the makespan depends only on the run times of the
    // remaining tasks and not on their placement: about 370 s here, the longest of the 480 tasks
    // that run then. That is a third of the makespan of the short backlog and an eighth of the
    // makespan of the long one.
    constexpr size_t shortBacklog = 6000;
    constexpr size_t longBacklog = 20'000;
    comparePacking("mociones", mocionesFleet(48), mocionesMix, shortBacklog, seed);
    comparePacking("yarmouk", yarmoukFleet(48), yarmoukMix, shortBacklog, seed);
    comparePacking("mociones.long", mocionesFleet(48), mocionesMix, longBacklog, seed);
    comparePacking("yarmouk.long", yarmoukFleet(48), yarmoukMix, longBacklog, seed);
}

void benchFloods(uint64_t seed)
{
    compareFloods(
            "", [](const std::vector<WorkerSpec> &fleet) { return plannerScheduler(fleet, 41); },
            seed);
    compareFloods(
            ".first_fit",
            [](const std::vector<WorkerSpec> &fleet) { return firstFitScheduler(fleet, false); },
            seed);
    compareFloods(
            ".strict_priority",
            [](const std::vector<WorkerSpec> &fleet) { return firstFitScheduler(fleet, true); },
            seed);
}

} // namespace cwl::bench
